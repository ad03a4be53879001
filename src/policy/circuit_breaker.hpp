// Finds outages of endpoints, and brings endpoints back by trial calls and slow start.
#ifndef BRASSFRONT_POLICY_CIRCUIT_BREAKER_HPP_
#define BRASSFRONT_POLICY_CIRCUIT_BREAKER_HPP_

#include "policy/concurrency_limiter.hpp"
#include "policy/decision_context.hpp"
#include "policy/endpoint_registry.hpp"
#include "policy/policy_state.hpp"
#include "policy/rate_limiter.hpp"

namespace dispatch_policy {

// Mean deviations above the mean latency at which an answer is overdue.
extern const double kOverdueDeviations;

// The name in the log.
[[nodiscard]] const char* ToString(Health health);

// Closed: calls go out. Open: trial calls only. Recovering: calls at a rate that grows within the
// slow start.
class CircuitBreaker {
 public:
  CircuitBreaker(DecisionContext& context, EndpointRegistry& registry, RateLimiter& rate_limiter,
                 ConcurrencyLimiter& concurrency_limiter)
      : settings_(context.settings),
        now_(context.now),
        context_(context),
        registry_(registry),
        rate_limiter_(rate_limiter),
        concurrency_(concurrency_limiter) {}

  // Takes up the end of an attempt: Retry-After and load report of each message, the outcome once a
  // call.
  void RecordAttempt(const Attempt& attempt, const AttemptCompleted& event);

  // Takes up the end of a health check; ignored if none is under way there.
  void CompleteHealthCheck(const HealthCheckCompleted& event);

  // Takes up what other dispatchers saw. One witness is checked by a single call, two count as this
  // instance's own calls would: one that is wrong or lies costs a round trip, whatever it claims.
  void ApplyPeerReport(const PeerHealthReport& report);

  // Nothing is known of an endpoint that an earlier process has left messages for: it is tried by
  // single calls, the first one at once, and gets a slow start. Ignored where something is known.
  void RequireTrial(Endpoint& endpoint);

  // Books a call or health check: the next one waits for the pace and, while not closed, for the
  // next trial.
  void RecordCall(Endpoint& endpoint);

  // Changes the state of the breaker, with a line in the log. At the end of a slow start an
  // instance that calls rarely is limited, as the backlogs of many must not all be sent at once.
  void TransitionTo(Endpoint& endpoint, Health health);

  // Whether the endpoint's connection limit, as far as it was seen, leaves room for a call.
  [[nodiscard]] bool HasConnectionCapacity(const Endpoint& endpoint) const;

  // Whether so many answers came after lost calls that the network must be losing them.
  [[nodiscard]] bool NetworkIsLossy() const;

  // A call failed, or its answer is overdue. A failure alone leaves the endpoint one call at a
  // time. It is an outage when most calls fail, or when nothing was answered lately: many
  // dispatchers that each know of one failure would overload a returning destination. Where only
  // some calls are lost the endpoint stays in use.
  void RecordFailure(Endpoint& endpoint, const Call& call, bool connect_failed = false);

 private:
  // Takes up the outcome of a call or health check. `elapsed` 0: unknown; `retry_after`: its
  // Retry-After, 0: none.
  void RecordOutcome(Endpoint& endpoint, Outcome outcome, const Call& call, Duration elapsed,
                     Duration retry_after);

  // A call was delivered: closes the breaker, or starts the recovery after an outage. An answer to
  // a call from before the endpoint shut says nothing of its return.
  void RecordSuccess(Endpoint& endpoint, const Call& call);

  // Opens the breaker after rejections alone for longer than a limit's span, or a long Retry-After:
  // the endpoint will be warming up when it is back, and cannot take the rate from before.
  void OpenIfRejectingLong(Endpoint& endpoint, RateLimitScope& scope, Duration retry_after);

  // The endpoint's connection limit is reached: no more connections for this instance than there
  // are, and one more with each pause from then on. That is neither a rate limit nor an outage, as
  // calls on the connections that stand are taken.
  void OnConnectionLimit(Endpoint& endpoint);

  // Takes up the latency of a call that was delivered. An answer at the usual latency after silence
  // means that the silent calls were lost on the way: a slow or hung destination does not answer
  // like this.
  void RecordLatency(Endpoint& endpoint, double seconds);

  // Whether the endpoint answered lately; a reset is then the end of its connection, not an outage.
  [[nodiscard]] bool AnsweredRecently(const Endpoint& endpoint) const;

  // Time between trial calls: at the capacity that the endpoint has while warming up, which grows
  // over the slow start, for this instance's part of the traffic.
  Duration TrialInterval(Endpoint& endpoint);

  const Settings& settings_;
  const Time& now_;
  DecisionContext& context_;
  EndpointRegistry& registry_;
  RateLimiter& rate_limiter_;
  ConcurrencyLimiter& concurrency_;
  double loss_share_ = 0;
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_CIRCUIT_BREAKER_HPP_
