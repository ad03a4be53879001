// Limits the number of concurrent calls, and decides which destinations and endpoints may use the
// remaining slots. A slot is the right to have one call in flight. Implemented in limits.cpp.
#ifndef BRASSFRONT_POLICY_CONCURRENCY_LIMITER_HPP_
#define BRASSFRONT_POLICY_CONCURRENCY_LIMITER_HPP_

#include <cstddef>
#include <cstdint>
#include <map>

#include "policy/decision_context.hpp"
#include "policy/endpoint_registry.hpp"
#include "policy/policy_state.hpp"

namespace dispatch_policy {

// Owns all Call records. While slots are scarce, one destination may use only a share of them, and
// so may all endpoints whose last call failed together.
class ConcurrencyLimiter {
 public:
  ConcurrencyLimiter(DecisionContext& context, EndpointRegistry& registry)
      : settings_(context.settings), now_(context.now), registry_(registry) {}

  // Starts a call to the endpoint, without messages yet. `message_class` is the class of its first
  // message.
  Call& BeginCall(Endpoint& endpoint, Destination& destination, std::size_t message_class);

  // Ends a call whose messages all have an outcome: frees its slot and invalidates the reference.
  void EndCall(Endpoint& endpoint, const Call& call);

  // Returns the number of calls that may still start; SIZE_MAX if there is no limit.
  [[nodiscard]] std::size_t FreeSlots() const;

  // Returns whether few slots would remain after `taken` more calls.
  [[nodiscard]] bool SlotsAreScarce(std::size_t taken) const;

  // Returns whether the destination may use the next slot while other destinations wait. That slot
  // already counts as taken: otherwise no slot would be left for the others if there are five slots
  // or fewer.
  [[nodiscard]] bool WithinDestinationShare(const Destination& destination) const;

  // Returns whether the endpoint may use the next slot. All endpoints whose last call failed share
  // a quarter of the slots, because many of them could fill all slots without any destination
  // reaching its own share.
  [[nodiscard]] bool WithinUnhealthyShare(const Endpoint& endpoint) const;

  // Returns the call with that id, which must be in flight.
  Call& CallAt(std::uint64_t id) { return calls_.at(id); }

 private:
  // Returns whether messages wait for another destination.
  [[nodiscard]] bool OtherDestinationsWait(const Destination& destination) const;

  // Returns the number of slots that make up `share` of all slots, at least 1.
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
