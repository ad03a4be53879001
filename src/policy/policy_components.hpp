// The components of the policy and their dependencies: each component uses only those declared
// above it.
#ifndef BRASSFRONT_POLICY_POLICY_COMPONENTS_HPP_
#define BRASSFRONT_POLICY_POLICY_COMPONENTS_HPP_

#include <cstdint>
#include <utility>

#include "dispatch_policy/dispatch_policy.hpp"
#include "policy/admission_gate.hpp"
#include "policy/circuit_breaker.hpp"
#include "policy/concurrency_limiter.hpp"
#include "policy/condition_transfer.hpp"
#include "policy/decision_context.hpp"
#include "policy/endpoint_registry.hpp"
#include "policy/endpoint_selector.hpp"
#include "policy/message_ledger.hpp"
#include "policy/rate_limiter.hpp"
#include "policy/retry_scheduler.hpp"

namespace dispatch_policy {

// Neither copyable nor movable, because the components hold references to each other.
struct DispatchPolicy::Impl {
  Impl(Settings settings, std::uint64_t seed) : context(std::move(settings), seed) {}
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  // Passes each event to the component that handles it.
  void On(const MessageArrived& event) { ledger.AdmitMessage(event); }
  void On(const MessageRestored& event) { ledger.RestoreMessage(event); }
  void On(const MessageCancelled& event) { ledger.CancelMessage(event); }
  void On(const AttemptCompleted& event) { retry_scheduler.CompleteAttempt(event); }
  void On(const HealthCheckCompleted& event) { breaker.CompleteHealthCheck(event); }
  void On(const EndpointList& event) { registry.ApplyList(event); }
  void On(const TimerFired&) { retry_scheduler.OnTimerFired(); }
  void On(const QuotaLeased& event) { rate_limiter.ApplyQuotaLease(event); }
  void On(const PeerHealthReport& event) { breaker.ApplyPeerReport(event); }
  void On(const EndpointConditionRestored& event) { condition_transfer.Restore(event); }
  void On(const DestinationConditionRestored& event) { condition_transfer.Restore(event); }
  void On(const DestinationConditionLost& event) { condition_transfer.OnLost(event); }

  DecisionContext context;
  EndpointRegistry registry{context};
  RateLimiter rate_limiter{context, registry};
  ConcurrencyLimiter concurrency_limiter{context, registry};
  AdmissionGate admission_gate{context, registry};
  MessageLedger ledger{context, registry, admission_gate};
  CircuitBreaker breaker{context, registry, rate_limiter, concurrency_limiter};
  ConditionTransfer condition_transfer{context, registry, breaker};
  RetryScheduler retry_scheduler{context, registry, concurrency_limiter, ledger, breaker};
  EndpointSelector selector{context,        registry, rate_limiter, concurrency_limiter,
                            admission_gate, ledger,   breaker,      retry_scheduler};
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_POLICY_COMPONENTS_HPP_
