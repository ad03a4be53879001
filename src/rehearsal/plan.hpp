// The load of a rehearsal: the first submission of every message with its time, derived only from
// the scenario and a seed. The same seed gives the same plan, byte for byte.
#ifndef BRASSFRONT_REHEARSAL_PLAN_HPP_
#define BRASSFRONT_REHEARSAL_PLAN_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "rehearsal/scenario.hpp"

namespace brassfront::rehearsal {

struct Arrival {
  Time at{};
  std::uint64_t number = 0;  // position in order of time, from 0
  std::size_t merchant = 0;
  std::size_t partner = 0;
  bool in_clump = false;
};

struct Plan {
  std::uint64_t seed = 0;
  std::vector<Arrival> arrivals;
};

Plan MakePlan(const Scenario& scenario, std::uint64_t seed);

// Returns one line for each arrival and action, sorted by time.
std::string PlanText(const Scenario& scenario, const Plan& plan);

// Return the ID and the idempotency key of a message on the wire, 16 hexadecimal digits each. The
// ID differs for each submission of the message; the key does not.
std::string WireId(std::uint64_t seed, std::uint64_t number, std::uint64_t sequence);
std::string WireKey(std::uint64_t seed, std::uint64_t number);

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_PLAN_HPP_
