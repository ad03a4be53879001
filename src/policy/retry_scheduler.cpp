#include "policy/retry_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace dispatch_policy {

constexpr Duration kUnsentPause = std::chrono::milliseconds(100);  // after a call was not sent
constexpr double kMinOverdueShare = 0.2;  // of the shortest objective; handshakes and batches vary

void RetryScheduler::CompleteAttempt(const AttemptCompleted& event) {
  Message* message = ledger_.RecordCompletion(event);
  if (message == nullptr) return;
  breaker_.RecordAttempt(message->attempts[event.attempt], event);
  if (message->finished) {
    ledger_.Forget(*message);
  } else if (event.finished || event.outcome == Outcome::kDelivered) {
    ledger_.Finish(*message);
  } else {
    ScheduleRetry(*message, event);
  }
}

void RetryScheduler::ReviewMessages() {
  ledger_.ForgetIdleKeys();
  for (auto it = ledger_.messages().begin(); it != ledger_.messages().end();) {
    Message& message = it++->second;  // giving it up may erase it
    if (message.finished) continue;
    const Time last = message.deadline - settings_.decision_interval;
    const bool idle = message.attempts_in_flight == 0;
    const bool waits_past = idle && AllEndpointsWaitPast(message.destination, last);
    if (now_ >= last || waits_past || (idle && ledger_.DedupWindowExpired(message))) {
      ledger_.GiveUp(message);
    } else if (!idle) {
      ReviewAttempt(message);
    }
  }
}

void RetryScheduler::SetWakeUpTimer() {
  Time next = Time::max();
  const auto consider = [&](Time time) {
    if (time > now_) next = std::min(next, time);
  };
  for (const auto& [id, message] : ledger_.messages()) {
    if (message.finished) continue;
    consider(message.deadline - settings_.decision_interval);
    consider(message.not_before);
    consider(ledger_.BatchingDeadline(message));
    const Duration window = ledger_.ClassOf(message).dedup_window;
    if (message.may_have_run) consider(*message.may_have_run + window);
    if (!message.key.empty()) consider(ledger_.KeyCooldownEnd(message));
    if (message.attempts_in_flight == 0) continue;
    const Attempt& attempt = message.attempts.back();
    const Duration overdue = OverdueAfter(registry_.EndpointAt(attempt.endpoint));
    consider(attempt.sent + overdue);
    consider(attempt.sent + 2 * overdue);
  }
  for (DestinationId destination : registry_.active()) {
    if (registry_.DestinationAt(destination).waiting.empty()) continue;
    for (EndpointId id : registry_.DestinationAt(destination).endpoints) {
      Endpoint& endpoint = registry_.EndpointAt(id);
      const RateLimitScope& scope = registry_.FindScope(endpoint);
      consider(endpoint.next_call);
      consider(std::max(scope.wait_until, scope.next_call));
      consider(scope.next_trial);
    }
  }
  if (next == Time::max() || (wake_at_ > now_ && wake_at_ <= next)) return;
  wake_at_ = next;
  context_.Do(SetTimer{0, next});
}

Duration RetryScheduler::AttemptTimeout(const Message& message, const Endpoint& endpoint) const {
  const Duration left = std::max<Duration>(message.deadline - now_, settings_.decision_interval);
  const bool repeatable = ledger_.ClassOf(message).effect != Effect::kNotIdempotent;
  if (settings_.cancel_allowed || !repeatable) return left;
  return std::min(left, 2 * OverdueAfter(endpoint));
}

Duration RetryScheduler::OverdueAfter(const Endpoint& endpoint) const {
  const double usual = endpoint.latency + kOverdueDeviations * endpoint.deviation;
  const double min = kMinOverdueShare * ToSeconds(context_.min_objective);
  const double expected = endpoint.latency > 0 ? std::max(usual, min) : 2 * min;
  const int doublings = std::min(endpoint.failures, kMaxBackoffDoublings);
  return std::min(FromSeconds(expected) * (1 << doublings), 2 * context_.min_objective);
}

void RetryScheduler::ScheduleRetry(Message& message, const AttemptCompleted& event) {
  if (event.exhausted || ledger_.AttemptsExhausted(message)) return ledger_.GiveUp(message);
  const Outcome outcome = event.outcome;
  if (outcome == Outcome::kError) message.not_before = now_ + kRejectionPause;
  // Without a pause all attempts would be used up while no slot is free.
  if (outcome == Outcome::kNotSent || outcome == Outcome::kConnectionLimitReached) {
    message.not_before = now_ + kUnsentPause;
  }
  registry_.active().insert(message.destination);
  std::vector<MessageId>& waiting = registry_.DestinationAt(message.destination).waiting;
  waiting.insert(std::lower_bound(waiting.begin(), waiting.end(), message.id), message.id);
}

void RetryScheduler::ReviewAttempt(Message& message) {
  const Attempt& attempt = message.attempts.back();
  Endpoint& endpoint = registry_.EndpointAt(attempt.endpoint);
  const Duration limit = OverdueAfter(endpoint);
  if (now_ - attempt.sent < limit) return;
  Call& call = concurrency_.CallAt(attempt.call);
  if (!std::exchange(call.overdue, true)) {
    --endpoint.calls_not_overdue;
    ++endpoint.overdue_in_row;
    breaker_.RecordFailure(endpoint, call);
  }
  if (attempt.cancelled || !settings_.cancel_allowed) return;
  const bool repeatable = ledger_.ClassOf(message).effect != Effect::kNotIdempotent;
  const bool lost = endpoint.last_answer > attempt.sent || breaker_.NetworkIsLossy();
  const bool silent = now_ - attempt.sent >= 2 * limit;
  const bool slot_is_wanted = concurrency_.SlotsAreScarce(0) && (lost || silent);
  if (slot_is_wanted || (repeatable && silent)) ledger_.CancelAttempts(message);
}

bool RetryScheduler::AllEndpointsWaitPast(DestinationId destination, Time last) {
  bool any = false;
  for (EndpointId id : registry_.DestinationAt(destination).endpoints) {
    Endpoint& endpoint = registry_.EndpointAt(id);
    if (endpoint.entry.state != EndpointState::kListed) continue;
    if (registry_.FindScope(endpoint).wait_until < last) return false;
    any = true;
  }
  return any;
}

}  // namespace dispatch_policy
