// Transfers the conditions of endpoints and destinations from one process of a dispatcher to the
// next. Implemented in condition_transfer.cpp.
#ifndef BRASSFRONT_POLICY_CONDITION_TRANSFER_HPP_
#define BRASSFRONT_POLICY_CONDITION_TRANSFER_HPP_

#include <vector>

#include "dispatch_policy/conditions.hpp"
#include "policy/circuit_breaker.hpp"
#include "policy/decision_context.hpp"
#include "policy/endpoint_registry.hpp"

namespace dispatch_policy {

// Restores stored conditions, and collects those that have changed.
class ConditionTransfer {
 public:
  ConditionTransfer(DecisionContext& context, EndpointRegistry& registry, CircuitBreaker& breaker)
      : now_(context.now), context_(context), registry_(registry), breaker_(breaker) {}

  // Restores a stored condition; ignored for an unknown endpoint. Times that must be in the past
  // but are in the future are set to now.
  void Restore(const EndpointConditionRestored& event);
  void Restore(const DestinationConditionRestored& event);

  // Called when no condition was stored for a destination that has messages of an earlier process.
  void OnLost(const DestinationConditionLost& event);

  // Returns the conditions that may have changed since the last call, one for each endpoint and
  // destination.
  std::vector<ConditionChange> TakeChanges();

 private:
  // Returns the stored condition with past times limited to now. A listed limit is taken from the
  // current endpoint list.
  [[nodiscard]] RateLimitCondition Sanitized(RateLimitCondition stored,
                                             const RateLimitCondition& present) const;

  const Time& now_;
  DecisionContext& context_;
  EndpointRegistry& registry_;
  CircuitBreaker& breaker_;
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_CONDITION_TRANSFER_HPP_
