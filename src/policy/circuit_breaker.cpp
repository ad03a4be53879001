#include "policy/circuit_breaker.hpp"

#include <algorithm>
#include <cmath>

namespace dispatch_policy {

const double kOverdueDeviations = 4;  // deviations over the mean until an answer is overdue
namespace {

constexpr Duration kConnectionGrowthInterval =
    std::chrono::seconds(2);                 // until one more connection is tried
constexpr double kMinTrialRate = 1e-3;       // a second; no setting stops them
constexpr int kMaxRejectionsInRow = 3;       // and for more calls in a row than this
constexpr double kFailureGain = 0.3;         // weight of the newest outcome: few are seen; two open
constexpr double kOutageFailureShare = 0.5;  // failure share that is an outage
constexpr Duration kMinOutage = std::chrono::seconds(3);  // without an answer; less is loss
constexpr double kRecoveryBudgetShare = 0.6;  // of the fail-back budget; the rest is for estimates
constexpr double kLatencyGain = 0.15;         // weight of the newest latency
constexpr double kLossGain = 0.1;             // weight of the newest answer in the share of loss
constexpr double kLossyNetworkShare = 0.08;   // of answers after a lost call, and it is the network
constexpr std::size_t kBindingWitnesses = 2;  // of other dispatchers, for their word to bind

LogMessage TransitionText(Health health, const EndpointEntry& entry) {
  static constexpr const char* kNames[] = {"closed", "open", "recovering"};
  return {"breaker " + std::string(kNames[static_cast<int>(health)]) + " destination " +
          std::to_string(entry.destination) + " endpoint " + std::to_string(entry.endpoint)};
}

LogMessage LongRetryAfterText(const EndpointEntry& entry, Duration wait) {
  return {"endpoint " + std::to_string(entry.endpoint) + " told a wait of " +
          std::to_string(ToSeconds(wait)) + " s, past every deadline"};
}

}  // namespace

void CircuitBreaker::RecordAttempt(const Attempt& attempt, const AttemptCompleted& event) {
  Endpoint& endpoint = registry_.EndpointAt(attempt.endpoint);
  RateLimitScope& scope = registry_.FindScope(endpoint);
  Call& call = concurrency_.CallAt(attempt.call);
  // A wait binds whichever message of a batch was told of it, however long it is.
  scope.wait_until = std::max(scope.wait_until, now_ + event.retry_after);
  if (event.retry_after > context_.max_deadline) {
    context_.actions.push_back(LongRetryAfterText(endpoint.entry, event.retry_after));
  }
  rate_limiter_.ApplyLoadReport(scope, event.report);
  if (!call.outcome_recorded && event.outcome != Outcome::kCancelled &&
      event.outcome != Outcome::kNotSent) {
    call.outcome_recorded = true;
    RecordOutcome(endpoint, event.outcome, call, event.elapsed, event.retry_after);
  }
  if (--call.messages_in_flight == 0) concurrency_.EndCall(endpoint, call);
}

void CircuitBreaker::CompleteHealthCheck(const HealthCheckCompleted& event) {
  Endpoint* endpoint = registry_.FindEndpoint(event.endpoint);
  if (endpoint == nullptr || !endpoint->health_check_in_flight) return;
  endpoint->health_check_in_flight = false;
  rate_limiter_.ApplyLoadReport(registry_.FindScope(*endpoint), event.report);
  RecordOutcome(*endpoint, event.outcome, {.sent = now_ - event.elapsed, .message_class = SIZE_MAX},
                Duration{}, Duration{});
}

void CircuitBreaker::ApplyPeerReport(const PeerHealthReport& report) {
  Endpoint* known = registry_.FindEndpoint(report.endpoint);
  if (known == nullptr || known->last_answer > now_ - report.age) return;  // ours is newer
  Endpoint& endpoint = *known;
  RateLimitScope& scope = registry_.FindScope(endpoint);
  const bool sure = report.witnesses >= kBindingWitnesses;
  if (report.health == PeerHealth::kBeingTested) {
    scope.next_trial = std::max(scope.next_trial, now_ + std::min(report.duration, kMaxLimitSpan));
  } else if (report.health == PeerHealth::kServing) {
    if (endpoint.health != Health::kOpen) return;
    if (sure) TransitionTo(endpoint, Health::kRecovering);
    scope.next_trial = std::min(scope.next_trial, now_ + context_.AddJitter(kRejectionPause));
  } else if (!sure) {
    if (endpoint.failures_in_row > 0) return;
    endpoint.failures_in_row = 1;
    endpoint.first_failure = now_;
  } else if (report.health == PeerHealth::kRetryAfter) {
    scope.wait_until =
        std::max(scope.wait_until, now_ + std::min(report.duration, context_.max_deadline));
  } else if (endpoint.health == Health::kClosed) {
    TransitionTo(endpoint,
                 report.health == PeerHealth::kFailing ? Health::kOpen : Health::kRecovering);
    if (report.health == PeerHealth::kWarmingUp)
      endpoint.health_since = now_ - std::min(report.age, now_);
  }
}

void CircuitBreaker::RecordCall(Endpoint& endpoint) {
  rate_limiter_.RecordCall(endpoint);
  if (endpoint.health != Health::kClosed)
    registry_.FindScope(endpoint).next_trial = now_ + context_.AddJitter(TrialInterval(endpoint));
}

void CircuitBreaker::TransitionTo(Endpoint& endpoint, Health health) {
  RateLimitScope& scope = registry_.FindScope(endpoint);
  // The backlogs of many dispatchers must not all be sent at once when the slow start ends.
  if (endpoint.health == Health::kRecovering && health == Health::kClosed) {
    const double local_share = rate_limiter_.LocalShareOfLimit(endpoint);
    if (rate_limiter_.CallsRarely(local_share)) rate_limiter_.LimitRareCaller(scope, local_share);
  }
  endpoint.health = health;
  endpoint.closed_by_endpoint = false;
  endpoint.health_since = now_;
  scope.next_trial = std::max(scope.next_trial, now_ + context_.AddJitter(TrialInterval(endpoint)));
  context_.actions.push_back(TransitionText(health, endpoint.entry));
}

bool CircuitBreaker::HasConnectionCapacity(const Endpoint& endpoint) const {
  if (endpoint.next_call > now_) return false;
  return endpoint.connection_limit == 0 ||
         endpoint.calls_in_flight <
             endpoint.connection_limit + (now_ - endpoint.limit_seen) / kConnectionGrowthInterval;
}

bool CircuitBreaker::NetworkIsLossy() const { return loss_share_ > kLossyNetworkShare; }

void CircuitBreaker::RecordOutcome(Endpoint& endpoint, Outcome outcome, const Call& call,
                                   Duration elapsed, Duration retry_after) {
  RateLimitScope& scope = registry_.FindScope(endpoint);
  if (outcome == Outcome::kDelivered) {
    rate_limiter_.OnCallAccepted(scope);
    if (elapsed > Duration{}) {
      const double seen = ToSeconds(elapsed);
      UpdateLossShare(endpoint, seen);
      if (endpoint.mean_latency <= 0) endpoint.mean_latency = seen;
      endpoint.latency_deviation +=
          kLatencyGain * (std::abs(seen - endpoint.mean_latency) - endpoint.latency_deviation);
      endpoint.mean_latency += kLatencyGain * (seen - endpoint.mean_latency);
    }
    RecordSuccess(endpoint, call);
  } else if (outcome == Outcome::kRejected) {
    rate_limiter_.OnCallRejected(endpoint, call, retry_after, TrialInterval(endpoint));
    OpenIfRejectingLong(endpoint, scope, retry_after);
  } else if (outcome == Outcome::kConnectionLimitReached) {
    OnConnectionLimit(endpoint);
  } else if (!call.overdue && !(outcome == Outcome::kReset && AnsweredRecently(endpoint))) {
    RecordFailure(endpoint, call, outcome == Outcome::kConnectFailed);
  }
}

void CircuitBreaker::RecordSuccess(Endpoint& endpoint, const Call& call) {
  const bool outage =
      endpoint.failures_in_row > 0 && call.sent - endpoint.first_failure > kMinOutage;
  endpoint.last_answer = std::max(endpoint.last_answer, call.sent);
  registry_.DestinationAt(endpoint.entry.destination).last_answer = call.sent;
  endpoint.failure_share *= 1 - kFailureGain;
  if (call.message_class < endpoint.class_failure_shares.size())
    endpoint.class_failure_shares[call.message_class] /= 2;
  endpoint.failures_in_row = 0;
  if (endpoint.health != Health::kOpen ||
      (endpoint.closed_by_endpoint && call.sent < endpoint.health_since))
    return;
  TransitionTo(endpoint,
               outage || endpoint.closed_by_endpoint ? Health::kRecovering : Health::kClosed);
}

void CircuitBreaker::RecordFailure(Endpoint& endpoint, const Call& call, bool closed) {
  endpoint.last_connect_failed = closed;
  if (endpoint.failures_in_row++ == 0) endpoint.first_failure = call.sent;
  if (endpoint.health == Health::kRecovering && call.sent < endpoint.health_since)
    return;  // older than the recovery
  endpoint.class_failure_shares.resize(settings_.classes.size());
  if (call.message_class < endpoint.class_failure_shares.size()) {
    double& failure = endpoint.class_failure_shares[call.message_class];
    failure += (1 - failure) / 2;
  }
  endpoint.failure_share += kFailureGain * (1 - endpoint.failure_share);
  const bool unheard =
      now_ - registry_.DestinationAt(endpoint.entry.destination).last_answer > kMessageRateMemory;
  if ((endpoint.failure_share > kOutageFailureShare || unheard) && endpoint.health != Health::kOpen)
    TransitionTo(endpoint, Health::kOpen);
}

void CircuitBreaker::OpenIfRejectingLong(Endpoint& endpoint, RateLimitScope& scope,
                                         Duration retry_after) {
  const bool closed_by_endpoint =
      retry_after > kMaxLimitSpan || (scope.rejections_in_row > kMaxRejectionsInRow &&
                                      now_ - scope.first_rejection > kMaxLimitSpan);
  if (!closed_by_endpoint) return;
  for (EndpointId id : registry_.DestinationAt(endpoint.entry.destination).endpoints) {
    Endpoint& other = registry_.EndpointAt(id);
    if (&registry_.FindScope(other) != &scope) continue;
    if (other.health != Health::kOpen) TransitionTo(other, Health::kOpen);
    other.closed_by_endpoint = true;
  }
}

void CircuitBreaker::OnConnectionLimit(Endpoint& endpoint) {
  endpoint.connection_limit = std::max(1, endpoint.calls_in_flight - 1);
  endpoint.limit_seen = now_;
  if (endpoint.calls_in_flight <= 1)
    endpoint.next_call = now_ + context_.AddJitter(kRejectionPause);
}

void CircuitBreaker::UpdateLossShare(Endpoint& endpoint, double seen) {
  const bool lost = endpoint.overdue_in_row > 0 &&
                    seen <= endpoint.mean_latency + kOverdueDeviations * endpoint.latency_deviation;
  loss_share_ += kLossGain * ((lost ? 1 : 0) - loss_share_);
  endpoint.overdue_in_row = 0;
}

bool CircuitBreaker::AnsweredRecently(const Endpoint& endpoint) const {
  return endpoint.last_answer > Time{} &&
         now_ - endpoint.last_answer < context_.min_latency_objective;
}

Duration CircuitBreaker::TrialInterval(Endpoint& endpoint) {
  double capacity_share = settings_.slow_start_share;
  if (endpoint.health == Health::kRecovering && settings_.slow_start_duration > Duration{}) {
    capacity_share += (1 - settings_.slow_start_share) *
                      std::min(1.0, ToSeconds(now_ - endpoint.health_since) /
                                        ToSeconds(settings_.slow_start_duration));
  }
  const double rate = rate_limiter_.LocalShareOfLimit(endpoint) * capacity_share *
                      kRecoveryBudgetShare * settings_.collapse_load_multiple;
  return FromSeconds(1 / std::max(rate, kMinTrialRate));
}

}  // namespace dispatch_policy
