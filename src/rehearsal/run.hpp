// Runs a scenario: simulated clients and partners on loopback addresses, real forwarder processes,
// and one result.
#ifndef BRASSFRONT_REHEARSAL_RUN_HPP_
#define BRASSFRONT_REHEARSAL_RUN_HPP_

#include <cstdint>
#include <functional>
#include <string>

#include "rehearsal/auditor.hpp"
#include "rehearsal/scenario.hpp"

namespace brassfront::rehearsal {

struct RunOptions {
  std::uint64_t seed = 1;
  std::string forwarder;                             // path of the forwarder program
  std::string out;                                   // folder for logs and state; must exist
  std::function<void(const std::string&)> progress;  // called with one line per second, if set
};

struct ExpectationResult {
  std::string text;
  double found = 0;
  bool kept = false;
};

struct Result {
  enum class Status { kPassed, kFailed, kInvalid };

  Scenario scenario;
  std::uint64_t seed = 0;
  std::string plan_hash;
  AuditResult audit;
  std::vector<ExpectationResult> expectations;
  Status status = Status::kInvalid;
  std::string invalid_reason;  // reason of kInvalid
  double wall_seconds = 0;
  double late_p99_ms = 0, late_max_ms = 0;
  double late_share = 0;
  double forwarder_cpu_seconds = 0;
  std::size_t client_connections = 0;  // maximum number at the same time
};

// Runs the scenario. Throws std::runtime_error if it cannot be started.
Result Play(const Scenario& scenario, const RunOptions& options);

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_RUN_HPP_
