// The calls in flight, and who may have the slots that are left. Implemented in limits.cpp.
#ifndef BRASSFRONT_POLICY_CONCURRENCY_LIMITER_HPP_
#define BRASSFRONT_POLICY_CONCURRENCY_LIMITER_HPP_

#include <cstddef>
#include <cstdint>
#include <map>

#include "policy/decision_context.hpp"
#include "policy/endpoint_registry.hpp"
#include "policy/policy_state.hpp"

namespace dispatch_policy {

// Owns all Call records. Where slots are scarce, one destination gets a share of them only, and so
// do all endpoints whose last call failed, together.
class ConcurrencyLimiter {
 public:
  ConcurrencyLimiter(DecisionContext& context, EndpointRegistry& registry)
      : settings_(context.settings), now_(context.now), registry_(registry) {}

  // Starts a call to the endpoint. It has no message yet; `message_class` is that of its first one.
  Call& BeginCall(Endpoint& endpoint, Destination& destination, std::size_t message_class);

  // Ends a call whose messages all have an outcome: its slot is free, and the reference invalid.
  void EndCall(Endpoint& endpoint, const Call& call);

  // Calls that may still start; SIZE_MAX where there is no limit.
  [[nodiscard]] std::size_t FreeSlots() const;

  // Whether few slots would be left once `taken` more are filled.
  [[nodiscard]] bool SlotsAreScarce(std::size_t taken) const;

  // Whether the destination may have the next slot, while others wait. The slot that it would fill
  // counts as taken: with five slots or fewer there would be nothing left to share otherwise.
  [[nodiscard]] bool WithinDestinationShare(const Destination& destination) const;

  // Whether the endpoint may have the next slot. All whose last call failed share a quarter of the
  // slots, as many of them could fill all slots without any reaching its own share.
  [[nodiscard]] bool WithinUnhealthyShare(const Endpoint& endpoint) const;

  // The call must be in flight.
  Call& CallAt(std::uint64_t id) { return calls_.at(id); }

 private:
  // Whether messages wait for another destination.
  [[nodiscard]] bool OtherDestinationsWait(const Destination& destination) const;

  // That share of all slots, 1 at least.
  [[nodiscard]] double SlotsForShare(double share) const;

  const Settings& settings_;
  const Time& now_;
  EndpointRegistry& registry_;
  std::uint64_t next_call_id_ = 0;
  int unhealthy_calls_ = 0;
  std::map<std::uint64_t, Call> calls_;
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_CONCURRENCY_LIMITER_HPP_
