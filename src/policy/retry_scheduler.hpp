// Decides when an attempt times out, when a message is retried, and when it is given up.
// Implemented in message_ledger.cpp.
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

// Owns the wake-up timer. It does not start attempts: EndpointSelector does that.
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

  // Processes the end of an attempt: the message is finished, given up, or queued for a retry.
  void CompleteAttempt(const AttemptCompleted& event);

  // Gives up messages whose deadline or dedup window has passed or whose endpoints are all
  // unavailable until the deadline, and checks for overdue answers.
  void ReviewMessages();

  // Requests a timer for the earliest time at which a decision changes without any other event.
  void SetWakeUpTimer();

  // Called when the timer has fired. It may fire a little early if the caller's clock is coarser
  // than a nanosecond; it is then set again.
  void OnTimerFired() { wake_at_ = Time::min(); }

  // Returns the timeout of an attempt of the message at the endpoint, always above 0.
  [[nodiscard]] Duration AttemptTimeout(const Message& message, const Endpoint& endpoint) const;

 private:
  // Returns the time after which an answer is overdue. The time doubles with each consecutive
  // failure, so that answers of an endpoint that has become slow still count.
  [[nodiscard]] Duration OverdueAfter(const Endpoint& endpoint) const;

  // Gives the message up or queues it for a retry. The retry waits for a pause if the endpoint
  // failed or the call was not sent: without the pause all attempts would be used up while no slot
  // is free.
  void ScheduleRetry(Message& message, const AttemptCompleted& event);

  // Counts a call with an overdue answer as a failure, long before the message's deadline. Cancels
  // the attempt if its slot is needed or if another attempt may succeed.
  void ReviewAttempt(Message& message);

  // Returns whether the Retry-After of every listed endpoint ends at `time` or later. The messages
  // are then given up now instead of at that time.
  bool AllEndpointsWaitPast(DestinationId destination, Time time);

  const Settings& settings_;
  const Time& now_;
  DecisionContext& context_;
  EndpointRegistry& registry_;
  ConcurrencyLimiter& concurrency_;
  MessageLedger& ledger_;
  CircuitBreaker& breaker_;
  Time wake_at_ = Time::min();  // time of the timer that is set
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_RETRY_SCHEDULER_HPP_
