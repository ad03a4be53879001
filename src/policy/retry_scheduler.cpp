#include "policy/retry_scheduler.hpp"

#include <algorithm>

namespace dispatch_policy {
namespace {

constexpr Duration kUnsentPause = std::chrono::milliseconds(100);  // after a call was not sent
constexpr double kMinOverdueShare = 0.2;  // of the shortest aim; handshakes and batches vary

}  // namespace

void RetryScheduler::CompleteAttempt(const AttemptCompleted& event) {
  Message* found = ledger_.FindInFlight(event);
  if (found == nullptr) return;
  Message& message = *found;
  const Attempt& attempt = message.attempts[event.attempt];
  ledger_.RecordCompletion(message, event);
  breaker_.RecordAttempt(attempt, event);
  if (message.finished) {
    ledger_.Forget(message.id);
  } else if (event.finished || event.outcome == Outcome::kDelivered) {
    ledger_.Finish(message);
  } else {
    ScheduleRetry(message, event);
  }
}

void RetryScheduler::ReviewMessages() {
  ledger_.ForgetIdleKeys();
  for (auto it = ledger_.messages().begin(); it != ledger_.messages().end();) {
    Message& message = it++->second;  // giving it up may erase it
    if (message.finished) continue;
    const Time last = message.deadline - settings_.decision_interval;
    if (now_ >= last ||
        (message.attempts_in_flight == 0 && (ledger_.DedupWindowExpired(message) ||
                                             AllEndpointsWaitPast(message.destination, last)))) {
      ledger_.GiveUp(message);
    } else if (message.attempts_in_flight > 0) {
      ReviewAttempt(message);
    }
  }
}

void RetryScheduler::SetWakeUpTimer() {
  Time next = Time::max();
  auto consider = [&](Time t) {
    if (t > now_) next = std::min(next, t);
  };
  for (const auto& [id, message] : ledger_.messages()) {
    if (message.finished) continue;
    consider(message.deadline - settings_.decision_interval);
    consider(message.not_before);
    consider(ledger_.BatchingDeadline(message));
    if (message.may_have_run)
      consider(*message.may_have_run + ledger_.ClassOf(message).dedup_window);
    if (!message.key.empty()) consider(ledger_.KeyCooldownEnd(message));
    if (message.attempts_in_flight == 0) continue;
    const Attempt& attempt = message.attempts.back();
    const Duration overdue = OverdueAfter(registry_.EndpointAt(attempt.endpoint));
    consider(attempt.sent + overdue);
    consider(attempt.sent + 2 * overdue);
  }
  for (DestinationId id : registry_.active()) {
    Destination& destination = registry_.DestinationAt(id);
    if (destination.waiting.empty()) continue;
    for (EndpointId endpoint_id : destination.endpoints) {
      const RateLimitScope& scope = registry_.FindScope(registry_.EndpointAt(endpoint_id));
      consider(registry_.EndpointAt(endpoint_id).next_call);
      consider(std::max(scope.wait_until, scope.next_call));
      consider(scope.next_trial);
    }
  }
  if (next == Time::max() || (wake_at_ > now_ && wake_at_ <= next)) return;
  wake_at_ = next;
  context_.actions.push_back(SetTimer{0, next});
}

Duration RetryScheduler::AttemptTimeout(const Message& message, const Endpoint& endpoint) const {
  const Duration left = std::max<Duration>(message.deadline - now_, settings_.decision_interval);
  if (settings_.cancel_allowed || ledger_.ClassOf(message).effect == Effect::kNotIdempotent)
    return left;
  return std::min(left, 2 * OverdueAfter(endpoint));
}

Duration RetryScheduler::OverdueAfter(const Endpoint& endpoint) const {
  const double usual = endpoint.mean_latency + kOverdueDeviations * endpoint.latency_deviation;
  const double least = kMinOverdueShare * ToSeconds(context_.min_latency_objective);
  const double known = endpoint.mean_latency > 0 ? std::max(usual, least) : 2 * least;
  const int doublings = std::min(endpoint.failures_in_row, kMaxBackoffDoublings);
  return std::min(FromSeconds(known) * (1 << doublings), 2 * context_.min_latency_objective);
}

void RetryScheduler::ScheduleRetry(Message& message, const AttemptCompleted& event) {
  if (event.exhausted || ledger_.AttemptsExhausted(message)) return ledger_.GiveUp(message);
  if (event.outcome == Outcome::kError) message.not_before = now_ + kRejectionPause;
  // Without a pause all attempts would be used up while no slot is free.
  if (event.outcome == Outcome::kNotSent || event.outcome == Outcome::kConnectionLimitReached) {
    message.not_before = now_ + kUnsentPause;
  }
  registry_.active().insert(message.destination);
  std::vector<MessageId>& waiting = registry_.DestinationAt(message.destination).waiting;
  waiting.insert(std::lower_bound(waiting.begin(), waiting.end(), message.id), message.id);
}

void RetryScheduler::ReviewAttempt(Message& message) {
  Attempt& attempt = message.attempts.back();
  Endpoint& endpoint = registry_.EndpointAt(attempt.endpoint);
  const Duration limit = OverdueAfter(endpoint);
  if (now_ - attempt.sent < limit) return;
  Call& call = concurrency_.CallAt(attempt.call);
  if (!call.overdue) {
    call.overdue = true;
    --endpoint.calls_not_overdue;
    ++endpoint.overdue_in_row;
    breaker_.RecordFailure(endpoint, call);
  }
  if (attempt.cancelled || !settings_.cancel_allowed) return;
  const bool repeat = ledger_.ClassOf(message).effect != Effect::kNotIdempotent;
  const bool lost = endpoint.last_answer > attempt.sent || breaker_.NetworkIsLossy();
  const bool silent = now_ - attempt.sent >= 2 * limit;
  if ((concurrency_.SlotsAreScarce(0) && (lost || silent)) || (repeat && silent))
    ledger_.CancelAttempts(message);
}

bool RetryScheduler::AllEndpointsWaitPast(DestinationId id, Time last) {
  bool any = false;
  for (EndpointId endpoint_id : registry_.DestinationAt(id).endpoints) {
    Endpoint& endpoint = registry_.EndpointAt(endpoint_id);
    if (endpoint.entry.state != EndpointState::kListed) continue;
    if (registry_.FindScope(endpoint).wait_until < last) return false;
    any = true;
  }
  return any;
}

}  // namespace dispatch_policy
