// Chooses which waiting message gets the next free slot, and which endpoint takes it.
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

// A message with the endpoint that can take it.
struct Candidate {
  Message* message = nullptr;
  Endpoint* endpoint = nullptr;
  double urgency = -1;
};

// Keeps no state of its own. It sends calls and health checks.
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
  // Sends a call with this message and others that may join it.
  void SendCall(Endpoint& endpoint, Message& first);

  // Sends a health check as the trial call where no waiting message may be risked.
  void SendHealthChecks();

  // The most urgent message that some endpoint of the destination can take; for the call to
  // `joined` if given, whose first message was `expiring` or not. No message: none can be sent.
  Candidate BestMessage(Destination& destination, Endpoint* joined = nullptr,
                        bool expiring = false);

  // The cheapest endpoint that can take a call now; null if there is none.
  Endpoint* BestEndpoint(Destination& destination, std::size_t message_class);

  // Whether a call to the endpoint may start now. Ends its slow start when the time is over.
  bool CanCall(Endpoint& endpoint);

  // Whether the message may be sent to the endpoint now.
  [[nodiscard]] bool CanSend(const Message& message, const Endpoint& endpoint) const;

  // Whether the message may be the trial call to an endpoint whose breaker is open, which saves a
  // health check. Where no connection came up the next one will not either or will be answered, so
  // one of many dispatchers risks a message with an idempotency key. One of a few, whose trials
  // come often, would use up its attempts.
  [[nodiscard]] bool MayBeTrialCall(const Message& message, const Endpoint& endpoint) const;

  // Expected latency of one more call there, raised by failures of the class: a class that fails at
  // one endpoint moves to others, and the other classes stay.
  [[nodiscard]] double ExpectedCost(const Endpoint& endpoint, std::size_t message_class) const;

  // The zone penalty of an endpoint with limits of its own; 0 for others.
  [[nodiscard]] double ZonePenalty(const Endpoint& endpoint) const;

  // The weight that the message loses by waiting for half its latency objective, and a little for
  // its weight.
  [[nodiscard]] double Urgency(const Message& message) const;

  // Whether the message's deadline comes before an answer is expected. Such messages share calls
  // with each other only, as a call ends at the deadline of the first of its messages.
  [[nodiscard]] bool ExpiresBeforeAnswer(const Message& message, const Endpoint& endpoint) const;

  // Whether the message need not wait for others to join its call. Waiting a part of its latency
  // objective costs nothing, and spares the rate limit calls of one message.
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
