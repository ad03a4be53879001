// Selects which waiting message gets the next free slot, and which endpoint it is sent to.
#ifndef BRASSFRONT_POLICY_ENDPOINT_SELECTOR_HPP_
#define BRASSFRONT_POLICY_ENDPOINT_SELECTOR_HPP_

#include <cstddef>

#include "policy/admission_gate.hpp"
#include "policy/circuit_breaker.hpp"
#include "policy/concurrency_limiter.hpp"
#include "policy/decision_context.hpp"
#include "policy/endpoint_registry.hpp"
#include "policy/message_ledger.hpp"
#include "policy/policy_state.hpp"
#include "policy/rate_limiter.hpp"
#include "policy/retry_scheduler.hpp"

namespace dispatch_policy {

// A message and the endpoint that it can be sent to.
struct Candidate {
  Message* message = nullptr;
  Endpoint* endpoint = nullptr;
  double urgency = -1;
};

// Sends calls and health checks. Has no state of its own.
class EndpointSelector {
 public:
  EndpointSelector(DecisionContext& context, EndpointRegistry& registry, RateLimiter& rate_limiter,
                   ConcurrencyLimiter& concurrency_limiter, AdmissionGate& admission_gate,
                   MessageLedger& ledger, CircuitBreaker& breaker, RetryScheduler& retry_scheduler)
      : settings_(context.settings),
        now_(context.now),
        context_(context),
        registry_(registry),
        rate_limiter_(rate_limiter),
        concurrency_(concurrency_limiter),
        gate_(admission_gate),
        ledger_(ledger),
        breaker_(breaker),
        retries_(retry_scheduler) {}

  // Sends waiting messages while slots are free, the most urgent first, then health checks.
  void Dispatch();

 private:
  // Sends a call with this message and others that may share the call.
  void SendCall(Endpoint& endpoint, Message& first);

  // Sends a health check as the trial call if no waiting message may be used for it.
  void SendHealthChecks();

  // Returns the most urgent message that can be sent to an endpoint of the destination; an empty
  // candidate if there is none. If `joined` is given, the message is for a call to that
  // endpoint that has already begun, and `expiring` is ExpiresBeforeAnswer of its first message.
  Candidate BestMessage(Destination& destination, Endpoint* joined = nullptr,
                        bool expiring = false);

  // Returns the endpoint with the lowest expected cost that can take a call now; null if there is
  // none.
  Endpoint* BestEndpoint(Destination& destination, std::size_t message_class);

  // Returns whether a call to the endpoint may start now. Ends the slow start of the endpoint when
  // its duration is over.
  bool CanCall(Endpoint& endpoint);

  // Returns whether the message may be sent to the endpoint now.
  [[nodiscard]] bool CanSend(const Message& message, const Endpoint& endpoint) const;

  // Returns whether the message may be the trial call to an endpoint whose breaker is open, which
  // saves a health check. If the last connection attempt failed, the next one will also fail or the
  // message will be answered, so in a large group a dispatcher uses a message with an idempotency
  // key. In a small group trial calls are frequent and would use up the attempts of the message.
  [[nodiscard]] bool MayBeTrialCall(const Message& message, const Endpoint& endpoint) const;

  // Returns the expected latency of another call to the endpoint, increased by failures of the
  // message class: a class that fails at one endpoint moves to other endpoints, and the other
  // classes stay.
  [[nodiscard]] double ExpectedCost(const Endpoint& endpoint, std::size_t message_class) const;

  // Returns the zone penalty of an endpoint with its own limits; 0 for other endpoints.
  [[nodiscard]] double ZonePenalty(const Endpoint& endpoint) const;

  // Returns the weight that the message loses by waiting for half of its latency objective, plus a
  // small share of its present weight.
  [[nodiscard]] double Urgency(const Message& message) const;

  // Returns whether the message's deadline comes before an answer is expected. Such messages share
  // calls only with each other, because a call ends at the earliest deadline of its messages.
  [[nodiscard]] bool ExpiresBeforeAnswer(const Message& message, const Endpoint& endpoint) const;

  // Returns whether the message can be sent without waiting for others to share its call. Waiting
  // for a part of its latency objective costs nothing, and saves rate limit that calls with a
  // single message would use.
  [[nodiscard]] bool BatchIsReady(const Destination& destination, const Message& message,
                                  const Endpoint& endpoint) const;

  const Settings& settings_;
  const Time& now_;
  DecisionContext& context_;
  EndpointRegistry& registry_;
  RateLimiter& rate_limiter_;
  ConcurrencyLimiter& concurrency_;
  AdmissionGate& gate_;
  MessageLedger& ledger_;
  CircuitBreaker& breaker_;
  RetryScheduler& retries_;
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_ENDPOINT_SELECTOR_HPP_
