// Detects outages of endpoints, and brings endpoints back into use with trial calls and slow start.
#ifndef BRASSFRONT_POLICY_CIRCUIT_BREAKER_HPP_
#define BRASSFRONT_POLICY_CIRCUIT_BREAKER_HPP_

#include "policy/concurrency_limiter.hpp"
#include "policy/decision_context.hpp"
#include "policy/endpoint_registry.hpp"
#include "policy/policy_state.hpp"
#include "policy/rate_limiter.hpp"

namespace dispatch_policy {

// An answer is overdue this many mean deviations above the mean latency.
extern const double kOverdueDeviations;

// Returns the name that logs use for the state.
[[nodiscard]] const char* ToString(Health health);

// States of the breaker of an endpoint: closed (calls are sent), open (only trial calls are sent),
// recovering (calls are sent at a rate that grows during the slow start).
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

  // Processes the end of an attempt. Applies the Retry-After and load report of every message, but
  // the outcome only once per call.
  void RecordAttempt(const Attempt& attempt, const AttemptCompleted& event);

  // Processes the end of a health check; ignored if no check of the endpoint is in progress.
  void CompleteHealthCheck(const HealthCheckCompleted& event);

  // Processes what other dispatchers observed. The report of one witness is verified with a single
  // call; the report of two counts like this instance's own calls. A single witness that is wrong
  // or lies therefore costs only one round trip, whatever it claims.
  void ApplyPeerReport(const PeerHealthReport& report);

  // Called for an endpoint whose condition is unknown although an earlier process left messages for
  // it. The endpoint is tested with single calls, the first one at once, and gets a slow start.
  // Ignored if something is known about the endpoint.
  void RequireTrial(Endpoint& endpoint);

  // Accounts for a call or health check that is sent: the next one waits for the rate limit and,
  // unless the breaker is closed, for the time of the next trial call.
  void RecordCall(Endpoint& endpoint);

  // Changes the state of the breaker and logs it. At the end of a slow start, limits the rate of an
  // instance that calls rarely, because the backlogs of many instances must not all be sent at
  // once.
  void TransitionTo(Endpoint& endpoint, Health health);

  // Returns whether the endpoint's connection limit, as far as it is known, allows another call.
  [[nodiscard]] bool HasConnectionCapacity(const Endpoint& endpoint) const;

  // Returns whether so many answers follow lost calls that the network must be losing calls.
  [[nodiscard]] bool NetworkIsLossy() const;

  // Records that a call failed, or that its answer is overdue. After a single failure the endpoint
  // gets one call at a time. The breaker opens when most calls fail, or when the destination has
  // not answered recently: otherwise many dispatchers that each know of only one failure would
  // overload a returning destination. If only some calls are lost, the endpoint stays in use.
  void RecordFailure(Endpoint& endpoint, const Call& call, bool connect_failed = false);

 private:
  // Processes the outcome of a call or health check. `elapsed` is 0 if unknown; `retry_after` is 0
  // if the answer had no Retry-After.
  void RecordOutcome(Endpoint& endpoint, Outcome outcome, const Call& call, Duration elapsed,
                     Duration retry_after);

  // Records that a call was delivered: closes the breaker, or starts the recovery after an outage.
  // If the breaker opened because of rejections or a Retry-After, the answer to a call from before
  // that does not show that the endpoint is back.
  void RecordSuccess(Endpoint& endpoint, const Call& call);

  // Opens the breaker if all calls were rejected for longer than kMaxRateLimitWindow, or on a
  // Retry-After that is longer than this: the endpoint will be warming up when it is back, and
  // cannot take the previous rate.
  void OpenIfRejectingLong(Endpoint& endpoint, RateLimitScope& scope, Duration retry_after);

  // Records that the endpoint's connection limit is reached. This instance then uses no more than
  // its present number of connections, plus one more after each kConnectionGrowth. This is neither
  // a rate limit nor an outage, because calls on existing connections are still accepted.
  void OnConnectionLimit(Endpoint& endpoint);

  // Records the latency of a call that was delivered. An answer at the usual latency after calls
  // that were not answered means that those calls were lost in the network: a slow or hung
  // destination would not answer at this latency.
  void RecordLatency(Endpoint& endpoint, double seconds);

  // Returns whether the endpoint answered recently; a reset then means that the connection ended,
  // not that there is an outage.
  [[nodiscard]] bool AnsweredRecently(const Endpoint& endpoint) const;

  // Returns the time between trial calls, derived from this instance's share of the capacity that
  // the endpoint has while warming up, which grows during the slow start.
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
