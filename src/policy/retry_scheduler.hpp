// When an attempt times out, when a message is tried again, and when it is given up. Implemented in
// message_ledger.cpp.
#ifndef BRASSFRONT_POLICY_RETRY_SCHEDULER_HPP_
#define BRASSFRONT_POLICY_RETRY_SCHEDULER_HPP_

#include "policy/circuit_breaker.hpp"
#include "policy/concurrency_limiter.hpp"
#include "policy/decision_context.hpp"
#include "policy/endpoint_registry.hpp"
#include "policy/message_ledger.hpp"
#include "policy/policy_state.hpp"
#include "policy/rate_limiter.hpp"

namespace dispatch_policy {

// Owns the wake-up timer. It starts no attempt: that is up to EndpointSelector.
class RetryScheduler {
 public:
  RetryScheduler(DecisionContext& context, EndpointRegistry& registry,
                 ConcurrencyLimiter& concurrency_limiter, MessageLedger& ledger,
                 CircuitBreaker& breaker)
      : settings_(context.settings),
        now_(context.now),
        context_(context),
        registry_(registry),
        concurrency_(concurrency_limiter),
        ledger_(ledger),
        breaker_(breaker) {}

  // Takes up the end of an attempt: the message is over, given up, or waits for its retry.
  void CompleteAttempt(const AttemptCompleted& event);

  // Gives up messages whose time is up or whose dedup window has closed, and looks for overdue
  // answers.
  void ReviewMessages();

  // Asks for a timer at the earliest moment at which waiting alone changes a decision.
  void SetWakeUpTimer();

  // The timer fired. It may be a little early where the caller's clock is coarser; then it is set
  // again.
  void OnTimerFired() { wake_at_ = Time::min(); }

  // Timeout of an attempt of the message at the endpoint, always above 0.
  [[nodiscard]] Duration AttemptTimeout(const Message& message, const Endpoint& endpoint) const;

 private:
  // Time after which an answer is overdue. Doubled with each failure in a row, so that answers of
  // an endpoint that has become slow still count.
  [[nodiscard]] Duration OverdueAfter(const Endpoint& endpoint) const;

  // Gives the message up or queues it for a retry, after a pause where the endpoint failed or the
  // call was not sent: without one all attempts would be used up while no slot is free.
  void ScheduleRetry(Message& message, const AttemptCompleted& event);

  // Counts a call without an answer as a failure long before its message's deadline. Its attempt is
  // cancelled when the slot is wanted or another attempt may do better.
  void ReviewAttempt(Message& message);

  // Whether every listed endpoint has asked to wait until `last` or longer: messages are given up
  // now, not then.
  bool AllEndpointsWaitPast(DestinationId destination, Time last);

  const Settings& settings_;
  const Time& now_;
  DecisionContext& context_;
  EndpointRegistry& registry_;
  ConcurrencyLimiter& concurrency_;
  MessageLedger& ledger_;
  CircuitBreaker& breaker_;
  Time wake_at_ = Time::min();  // of the timer that is set
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_RETRY_SCHEDULER_HPP_
