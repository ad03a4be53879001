// Hands what was observed of endpoints and destinations from one process of a dispatcher to the
// next. Implemented in condition_transfer.cpp.
#ifndef BRASSFRONT_POLICY_CONDITION_TRANSFER_HPP_
#define BRASSFRONT_POLICY_CONDITION_TRANSFER_HPP_

#include <vector>

#include "dispatch_policy/conditions.hpp"
#include "policy/circuit_breaker.hpp"
#include "policy/decision_context.hpp"
#include "policy/endpoint_registry.hpp"

namespace dispatch_policy {

class ConditionTransfer {
 public:
  ConditionTransfer(DecisionContext& context, EndpointRegistry& registry, CircuitBreaker& breaker)
      : now_(context.now), context_(context), registry_(registry), breaker_(breaker) {}

  // Takes up what was stored; ignored for an unknown endpoint. Moments that should have passed and
  // lie in the future count as now.
  void Restore(const EndpointConditionRestored& event);
  void Restore(const DestinationConditionRestored& event);

  // Nothing was stored for a destination with messages of an earlier process.
  void OnLost(const DestinationConditionLost& event);

  // What may have changed since the last call, each endpoint and destination once.
  std::vector<ConditionChange> TakeChanges();

 private:
  // The stored condition with its past moments at now or before. The listed limit is that of the
  // present list.
  [[nodiscard]] RateLimitCondition Sanitized(RateLimitCondition stored,
                                             const RateLimitCondition& present) const;

  const Time& now_;
  DecisionContext& context_;
  EndpointRegistry& registry_;
  CircuitBreaker& breaker_;
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_CONDITION_TRANSFER_HPP_
