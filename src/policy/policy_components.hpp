// The components of the policy and how they are wired: each uses those above it only.
#ifndef BRASSFRONT_POLICY_POLICY_COMPONENTS_HPP_
#define BRASSFRONT_POLICY_POLICY_COMPONENTS_HPP_

#include <cstdint>
#include <utility>

#include "policy/admission_gate.hpp"
#include "policy/circuit_breaker.hpp"
#include "policy/concurrency_limiter.hpp"
#include "policy/decision_context.hpp"
#include "policy/endpoint_registry.hpp"
#include "policy/endpoint_selector.hpp"
#include "policy/message_ledger.hpp"
#include "policy/rate_limiter.hpp"
#include "policy/retry_scheduler.hpp"

namespace dispatch_policy {

// Neither copied nor moved, as the components refer to each other.
struct PolicyComponents {
  PolicyComponents(Settings settings, std::uint64_t seed) : context(std::move(settings), seed) {}
  PolicyComponents(const PolicyComponents&) = delete;
  PolicyComponents& operator=(const PolicyComponents&) = delete;

  DecisionContext context;
  EndpointRegistry registry{context};
  RateLimiter rate_limiter{context, registry};
  ConcurrencyLimiter concurrency_limiter{context, registry};
  AdmissionGate admission_gate{context, registry};
  MessageLedger ledger{context, registry, admission_gate};
  CircuitBreaker breaker{context, registry, rate_limiter, concurrency_limiter};
  RetryScheduler retry_scheduler{context, registry, concurrency_limiter, ledger, breaker};
  EndpointSelector selector{context,        registry, rate_limiter, concurrency_limiter,
                            admission_gate, ledger,   breaker,      retry_scheduler};
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_POLICY_COMPONENTS_HPP_
