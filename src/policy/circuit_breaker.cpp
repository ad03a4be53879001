#include "policy/circuit_breaker.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace dispatch_policy {

const double kOverdueDeviations = 4;

// After a connection limit was reached, one more connection is allowed after each such period.
constexpr Duration kConnectionGrowth = std::chrono::seconds(2);
constexpr double kMinTrialRate = 1e-3;  // calls per second; no setting can stop trial calls
constexpr int kMaxRejections = 3;       // consecutive; more over a long time are an outage
constexpr double kFailureGain = 0.3;    // weight of the latest outcome; 2 failures open the breaker
constexpr double kOutageFailureShare = 0.5;  // share of calls; more failures are an outage
// Failures for a shorter time are lost calls, not an outage.
constexpr Duration kMinOutage = std::chrono::seconds(3);
// Share of the capacity of a destination that is warming up; the rest is a margin for errors.
constexpr double kRecoveryBudgetShare = 0.6;
constexpr double kLatencyGain = 0.15;            // weight of the latest latency
constexpr double kLossGain = 0.1;                // weight of the latest answer in the loss share
constexpr double kLossyNetworkShare = 0.08;      // share of answers that follow lost calls
constexpr std::size_t kConfirmingWitnesses = 2;  // number of dispatchers; a single one may be wrong

const char* ToString(Health health) {
  constexpr std::array kNames = {"closed", "open", "recovering"};
  return kNames.at(static_cast<std::size_t>(health));
}

void CircuitBreaker::RecordAttempt(const Attempt& attempt, const AttemptCompleted& event) {
  Endpoint& endpoint = registry_.EndpointAt(attempt.endpoint);
  RateLimitScope& scope = registry_.FindScope(endpoint);
  Call& call = concurrency_.CallAt(attempt.call);
  registry_.MarkChanged(endpoint);
  scope.wait_until = std::max(scope.wait_until, now_ + event.retry_after);
  if (event.retry_after > context_.max_deadline) {
    context_.AddAction(
        LogMessage{"endpoint " + std::to_string(attempt.endpoint) + " told a wait of " +
                   std::to_string(ToSeconds(event.retry_after)) + " s, past every deadline"});
  }
  rate_limiter_.ApplyLoadReport(scope, event.report);
  const Outcome outcome = event.outcome;
  const bool concerns_endpoint = outcome != Outcome::kCancelled && outcome != Outcome::kNotSent;
  if (concerns_endpoint && !std::exchange(call.outcome_recorded, true)) {
    RecordOutcome(endpoint, outcome, call, event.elapsed, event.retry_after);
  }
  if (--call.messages_in_flight == 0) concurrency_.EndCall(endpoint, call);
}

void CircuitBreaker::CompleteHealthCheck(const HealthCheckCompleted& event) {
  Endpoint* endpoint = registry_.FindEndpoint(event.endpoint);
  if (endpoint == nullptr || !std::exchange(endpoint->health_check_in_flight, false)) return;
  registry_.MarkChanged(*endpoint);
  rate_limiter_.ApplyLoadReport(registry_.FindScope(*endpoint), event.report);
  const Call check{.sent = now_ - event.elapsed, .message_class = SIZE_MAX};
  RecordOutcome(*endpoint, event.outcome, check, Duration{}, Duration{});
}

void CircuitBreaker::ApplyPeerReport(const PeerHealthReport& report) {
  Endpoint* endpoint = registry_.FindEndpoint(report.endpoint);
  // An answer of this instance that is newer than the report overrides the report.
  if (endpoint == nullptr || endpoint->last_answer > now_ - report.age) return;
  registry_.MarkChanged(*endpoint);
  RateLimitScope& scope = registry_.FindScope(*endpoint);
  const bool confirmed = report.witnesses >= kConfirmingWitnesses;
  if (report.health == PeerHealth::kBeingTested) {
    scope.next_trial =
        std::max(scope.next_trial, now_ + std::min(report.duration, kMaxRateLimitWindow));
  } else if (report.health == PeerHealth::kServing) {
    if (endpoint->health != Health::kOpen) return;
    if (confirmed) TransitionTo(*endpoint, Health::kRecovering);
    scope.next_trial = std::min(scope.next_trial, now_ + context_.AddJitter(kRejectionPause));
  } else if (!confirmed) {
    if (endpoint->failures > 0) return;
    endpoint->failures = 1;
    endpoint->first_failure = now_;
  } else if (report.health == PeerHealth::kRetryAfter) {
    const Duration wait = std::min(report.duration, context_.max_deadline);
    scope.wait_until = std::max(scope.wait_until, now_ + wait);
  } else if (endpoint->health == Health::kClosed) {
    const bool warming = report.health == PeerHealth::kWarmingUp;
    TransitionTo(*endpoint, warming ? Health::kRecovering : Health::kOpen);
    if (warming) endpoint->health_since = now_ - std::min(report.age, now_);
  }
}

void CircuitBreaker::RequireTrial(Endpoint& endpoint) {
  if (endpoint.health != Health::kClosed || endpoint.last_answer > Time{}) return;
  TransitionTo(endpoint, Health::kOpen);
  endpoint.closed_by_endpoint = true;
  registry_.FindScope(endpoint).next_trial = now_;
}

void CircuitBreaker::RecordCall(Endpoint& endpoint) {
  registry_.MarkChanged(endpoint);
  rate_limiter_.RecordCall(endpoint);
  if (endpoint.health == Health::kClosed) return;
  registry_.FindScope(endpoint).next_trial = now_ + context_.AddJitter(TrialInterval(endpoint));
}

void CircuitBreaker::TransitionTo(Endpoint& endpoint, Health health) {
  RateLimitScope& scope = registry_.FindScope(endpoint);
  if (endpoint.health == Health::kRecovering && health == Health::kClosed) {
    const double share = rate_limiter_.LocalShareOfLimit(endpoint);
    if (rate_limiter_.CallsRarely(share)) rate_limiter_.LimitRareCaller(scope, share);
  }
  registry_.MarkChanged(endpoint);
  endpoint.health = health;
  endpoint.closed_by_endpoint = false;
  endpoint.health_since = now_;
  const Duration interval = context_.AddJitter(TrialInterval(endpoint));
  scope.next_trial = std::max(scope.next_trial, now_ + interval);
  context_.AddAction(LogMessage{"breaker " + std::string(ToString(health)) + " destination " +
                                std::to_string(endpoint.entry.destination) + " endpoint " +
                                std::to_string(endpoint.entry.endpoint)});
}

bool CircuitBreaker::HasConnectionCapacity(const Endpoint& endpoint) const {
  if (endpoint.next_call > now_) return false;
  if (endpoint.connection_limit == 0) return true;
  const auto growth = (now_ - endpoint.limit_seen) / kConnectionGrowth;
  return endpoint.calls_in_flight < endpoint.connection_limit + growth;
}

bool CircuitBreaker::NetworkIsLossy() const { return loss_share_ > kLossyNetworkShare; }

void CircuitBreaker::RecordOutcome(Endpoint& endpoint, Outcome outcome, const Call& call,
                                   Duration elapsed, Duration retry_after) {
  RateLimitScope& scope = registry_.FindScope(endpoint);
  if (outcome == Outcome::kDelivered) {
    rate_limiter_.OnCallAccepted(scope);
    if (elapsed > Duration{}) RecordLatency(endpoint, ToSeconds(elapsed));
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

void CircuitBreaker::RecordLatency(Endpoint& endpoint, double seconds) {
  const double usual = endpoint.latency + kOverdueDeviations * endpoint.deviation;
  const bool lost = endpoint.overdue_in_row > 0 && seconds <= usual;
  loss_share_ += kLossGain * ((lost ? 1 : 0) - loss_share_);
  endpoint.overdue_in_row = 0;
  if (endpoint.latency <= 0) endpoint.latency = seconds;
  const double deviation = std::abs(seconds - endpoint.latency);
  endpoint.deviation += kLatencyGain * (deviation - endpoint.deviation);
  endpoint.latency += kLatencyGain * (seconds - endpoint.latency);
}

void CircuitBreaker::RecordSuccess(Endpoint& endpoint, const Call& call) {
  const bool outage = endpoint.failures > 0 && call.sent - endpoint.first_failure > kMinOutage;
  endpoint.last_answer = std::max(endpoint.last_answer, call.sent);
  registry_.DestinationAt(endpoint.entry.destination).last_answer = call.sent;
  endpoint.failure_share *= 1 - kFailureGain;
  std::vector<double>& by_class = endpoint.class_failures;
  if (call.message_class < by_class.size()) by_class[call.message_class] /= 2;
  endpoint.failures = 0;
  const bool rejecting = endpoint.closed_by_endpoint;
  if (endpoint.health != Health::kOpen || (rejecting && call.sent < endpoint.health_since)) return;
  TransitionTo(endpoint, outage || rejecting ? Health::kRecovering : Health::kClosed);
}

void CircuitBreaker::RecordFailure(Endpoint& endpoint, const Call& call, bool connect_failed) {
  registry_.MarkChanged(endpoint);
  endpoint.connect_failed = connect_failed;
  if (endpoint.failures++ == 0) endpoint.first_failure = call.sent;
  const bool recovering = endpoint.health == Health::kRecovering;
  if (recovering && call.sent < endpoint.health_since) return;  // sent before the recovery
  std::vector<double>& by_class = endpoint.class_failures;
  by_class.resize(settings_.classes.size());
  const std::size_t index = call.message_class;
  if (index < by_class.size()) by_class[index] += (1 - by_class[index]) / 2;
  endpoint.failure_share += kFailureGain * (1 - endpoint.failure_share);
  const Time last_answer = registry_.DestinationAt(endpoint.entry.destination).last_answer;
  const bool no_recent_answer = now_ - last_answer > kMessageRateTimeConstant;
  const bool outage = no_recent_answer || endpoint.failure_share > kOutageFailureShare;
  if (outage && endpoint.health != Health::kOpen) TransitionTo(endpoint, Health::kOpen);
}

void CircuitBreaker::OpenIfRejectingLong(Endpoint& endpoint, RateLimitScope& scope,
                                         Duration retry_after) {
  const bool many = scope.rejections > kMaxRejections;
  const bool lasting = many && now_ - scope.first_rejection > kMaxRateLimitWindow;
  if (retry_after <= kMaxRateLimitWindow && !lasting) return;
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
  if (endpoint.calls_in_flight > 1) return;
  endpoint.next_call = now_ + context_.AddJitter(kRejectionPause);
}

bool CircuitBreaker::AnsweredRecently(const Endpoint& endpoint) const {
  return endpoint.last_answer > Time{} && now_ - endpoint.last_answer < context_.min_objective;
}

Duration CircuitBreaker::TrialInterval(Endpoint& endpoint) {
  const Duration duration = settings_.slow_start_duration;
  double capacity = settings_.slow_start_share;
  if (endpoint.health == Health::kRecovering && duration > Duration{}) {
    const double progress = ToSeconds(now_ - endpoint.health_since) / ToSeconds(duration);
    capacity += (1 - settings_.slow_start_share) * std::min(1.0, progress);
  }
  const double rate = rate_limiter_.LocalShareOfLimit(endpoint) * capacity * kRecoveryBudgetShare *
                      settings_.collapse_load_multiple;
  return FromSeconds(1 / std::max(rate, kMinTrialRate));
}

}  // namespace dispatch_policy
