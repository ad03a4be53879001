#include "policy/circuit_breaker.hpp"

#include <algorithm>
#include <cmath>

namespace dispatch_policy {

const double kOverdueSpreads = 4;  // deviations over the mean until an answer is overdue
namespace {

constexpr Duration kPlacePause = std::chrono::seconds(2);  // until one more connection is tried
constexpr double kLeastTrials = 1e-3;                      // a second; no setting stops them
constexpr int kShutRow = 3;                                // and for more calls in a row than this
constexpr double kFailureGain = 0.3;  // weight of the newest outcome: few are seen; two open
constexpr double kFailedMost = 0.5;   // failure share that is an outage
constexpr Duration kShortestOutage = std::chrono::seconds(3);  // without an answer; less is loss
constexpr double kBudgetShare = 0.6;       // of the fail-back budget; the rest is for estimates
constexpr double kLatencyGain = 0.15;      // weight of the newest latency
constexpr double kLossGain = 0.1;          // weight of the newest answer in the share of loss
constexpr double kLossy = 0.08;            // of answers after a lost call, and it is the network
constexpr std::size_t kSureWitnesses = 2;  // of other dispatchers, for their word to bind

LogMessage TurnedText(Health health, const EndpointEntry& e) {
  static constexpr const char* kNames[] = {"closed", "open", "recovering"};
  return {"breaker " + std::string(kNames[static_cast<int>(health)]) + " destination " +
          std::to_string(e.destination) + " endpoint " + std::to_string(e.endpoint)};
}

LogMessage LongWaitText(const EndpointEntry& e, Duration wait) {
  return {"endpoint " + std::to_string(e.endpoint) + " told a wait of " +
          std::to_string(ToSeconds(wait)) + " s, past every deadline"};
}

}  // namespace

void CircuitBreaker::JudgeCall(const Attempt& attempt, const AttemptCompleted& e) {
  Endpoint& endpoint = registry_.EndpointAt(attempt.endpoint);
  Lane& lane = registry_.LaneOf(endpoint);
  Call& call = concurrency_limiter_.CallAt(attempt.call);
  // A wait binds whichever message of a batch was told of it, however long it is.
  lane.wait_until = std::max(lane.wait_until, now_ + e.retry_after);
  if (e.retry_after > context_.longest_deadline) {
    context_.actions.push_back(LongWaitText(endpoint.entry, e.retry_after));
  }
  rate_limiter_.Heard(lane, e.report);
  if (!call.judged && e.outcome != Outcome::kCancelled && e.outcome != Outcome::kNotSent) {
    call.judged = true;
    Judge(endpoint, e.outcome, call, e.elapsed, e.retry_after);
  }
  if (--call.out == 0) concurrency_limiter_.EndCall(endpoint, call);
}

void CircuitBreaker::CompleteHealthCheck(const HealthCheckCompleted& e) {
  Endpoint* endpoint = registry_.FindEndpoint(e.endpoint);
  if (endpoint == nullptr || !endpoint->probing) return;
  endpoint->probing = false;
  rate_limiter_.Heard(registry_.LaneOf(*endpoint), e.report);
  Judge(*endpoint, e.outcome, {.sent = now_ - e.elapsed, .message_class = SIZE_MAX}, Duration{},
        Duration{});
}

void CircuitBreaker::ApplyPeerReport(const PeerHealthReport& w) {
  Endpoint* known = registry_.FindEndpoint(w.endpoint);
  if (known == nullptr || known->last_answer > now_ - w.age) return;  // ours is newer
  Endpoint& e = *known;
  Lane& lane = registry_.LaneOf(e);
  const bool sure = w.witnesses >= kSureWitnesses;
  if (w.health == PeerHealth::kBeingTested) {
    lane.next_trial = std::max(lane.next_trial, now_ + std::min(w.duration, kLimitSpan));
  } else if (w.health == PeerHealth::kServing) {
    if (e.health != Health::kOpen) return;
    if (sure) Turn(e, Health::kRecovering);
    lane.next_trial = std::min(lane.next_trial, now_ + context_.Spread(kFullPause));
  } else if (!sure) {
    if (e.fails_in_row > 0) return;
    e.fails_in_row = 1;
    e.first_fail = now_;
  } else if (w.health == PeerHealth::kRetryAfter) {
    lane.wait_until =
        std::max(lane.wait_until, now_ + std::min(w.duration, context_.longest_deadline));
  } else if (e.health == Health::kClosed) {
    Turn(e, w.health == PeerHealth::kFailing ? Health::kOpen : Health::kRecovering);
    if (w.health == PeerHealth::kWarmingUp) e.since = now_ - std::min(w.age, now_);
  }
}

void CircuitBreaker::Paced(Endpoint& e) {
  rate_limiter_.PaceNext(e);
  if (e.health != Health::kClosed)
    registry_.LaneOf(e).next_trial = now_ + context_.Spread(TrialGap(e));
}

void CircuitBreaker::Turn(Endpoint& e, Health health) {
  Lane& lane = registry_.LaneOf(e);
  // The backlogs of many dispatchers must not all be sent at once when the slow start ends.
  if (e.health == Health::kRecovering && health == Health::kClosed) {
    const double part = rate_limiter_.PartOf(e);
    if (rate_limiter_.Seldom(part)) rate_limiter_.PaceSeldom(lane, part);
  }
  e.health = health;
  e.shut = false;
  e.since = now_;
  lane.next_trial = std::max(lane.next_trial, now_ + context_.Spread(TrialGap(e)));
  context_.actions.push_back(TurnedText(health, e.entry));
}

bool CircuitBreaker::HasPlace(const Endpoint& e) const {
  if (e.next_call > now_) return false;
  return e.places == 0 || e.calls_out < e.places + (now_ - e.crowded) / kPlacePause;
}

bool CircuitBreaker::NetworkLosesCalls() const { return loss_ > kLossy; }

void CircuitBreaker::Judge(Endpoint& e, Outcome outcome, const Call& call, Duration elapsed,
                           Duration told) {
  Lane& lane = registry_.LaneOf(e);
  if (outcome == Outcome::kDelivered) {
    rate_limiter_.OnAccepted(lane);
    if (elapsed > Duration{}) {
      const double seen = ToSeconds(elapsed);
      NoteLoss(e, seen);
      if (e.latency <= 0) e.latency = seen;
      e.spread += kLatencyGain * (std::abs(seen - e.latency) - e.spread);
      e.latency += kLatencyGain * (seen - e.latency);
    }
    Succeeded(e, call);
  } else if (outcome == Outcome::kRejected) {
    rate_limiter_.OnFull(e, call, told, TrialGap(e));
    JudgeFull(e, lane, told);
  } else if (outcome == Outcome::kConnectionLimitReached) {
    OnCrowded(e);
  } else if (!call.overdue && !(outcome == Outcome::kReset && Answered(e))) {
    Failed(e, call, outcome == Outcome::kConnectFailed);
  }
}

void CircuitBreaker::Succeeded(Endpoint& e, const Call& call) {
  const bool outage = e.fails_in_row > 0 && call.sent - e.first_fail > kShortestOutage;
  e.last_answer = std::max(e.last_answer, call.sent);
  registry_.DestinationAt(e.entry.destination).last_answer = call.sent;
  e.failure *= 1 - kFailureGain;
  if (call.message_class < e.class_failure.size()) e.class_failure[call.message_class] /= 2;
  e.fails_in_row = 0;
  if (e.health != Health::kOpen || (e.shut && call.sent < e.since)) return;
  Turn(e, outage || e.shut ? Health::kRecovering : Health::kClosed);
}

void CircuitBreaker::Failed(Endpoint& e, const Call& call, bool closed) {
  e.closed = closed;
  if (e.fails_in_row++ == 0) e.first_fail = call.sent;
  if (e.health == Health::kRecovering && call.sent < e.since) return;  // older than the recovery
  e.class_failure.resize(settings_.classes.size());
  if (call.message_class < e.class_failure.size()) {
    double& failure = e.class_failure[call.message_class];
    failure += (1 - failure) / 2;
  }
  e.failure += kFailureGain * (1 - e.failure);
  const bool unheard =
      now_ - registry_.DestinationAt(e.entry.destination).last_answer > kRateMemory;
  if ((e.failure > kFailedMost || unheard) && e.health != Health::kOpen) Turn(e, Health::kOpen);
}

void CircuitBreaker::JudgeFull(Endpoint& e, Lane& lane, Duration told) {
  const bool shut =
      told > kLimitSpan || (lane.full_row > kShutRow && now_ - lane.first_full > kLimitSpan);
  if (!shut) return;
  for (EndpointId id : registry_.DestinationAt(e.entry.destination).endpoints) {
    Endpoint& other = registry_.EndpointAt(id);
    if (&registry_.LaneOf(other) != &lane) continue;
    if (other.health != Health::kOpen) Turn(other, Health::kOpen);
    other.shut = true;
  }
}

void CircuitBreaker::OnCrowded(Endpoint& e) {
  e.places = std::max(1, e.calls_out - 1);
  e.crowded = now_;
  if (e.calls_out <= 1) e.next_call = now_ + context_.Spread(kFullPause);
}

void CircuitBreaker::NoteLoss(Endpoint& e, double seen) {
  const bool lost = e.silent_row > 0 && seen <= e.latency + kOverdueSpreads * e.spread;
  loss_ += kLossGain * ((lost ? 1 : 0) - loss_);
  e.silent_row = 0;
}

bool CircuitBreaker::Answered(const Endpoint& e) const {
  return e.last_answer > Time{} && now_ - e.last_answer < context_.shortest_aim;
}

Duration CircuitBreaker::TrialGap(Endpoint& e) {
  double warm = settings_.slow_start_share;
  if (e.health == Health::kRecovering && settings_.slow_start_duration > Duration{}) {
    warm += (1 - settings_.slow_start_share) *
            std::min(1.0, ToSeconds(now_ - e.since) / ToSeconds(settings_.slow_start_duration));
  }
  const double rate =
      rate_limiter_.PartOf(e) * warm * kBudgetShare * settings_.collapse_load_multiple;
  return FromSeconds(1 / std::max(rate, kLeastTrials));
}

}  // namespace dispatch_policy
