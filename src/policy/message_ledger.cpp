#include "policy/message_ledger.hpp"

#include <algorithm>

#include "policy/retry_scheduler.hpp"

namespace dispatch_policy {

void MessageLedger::AdmitMessage(const MessageArrived& event) {
  if (messages_.count(event.message) != 0) return;
  const std::size_t index = event.message_class;  // out of range: assume that nothing is safe
  if (index >= settings_.classes.size()) {
    return context_.AddAction(RejectMessage{event.message, {}, GiveUpReason::kUnknownClass});
  }
  const Duration class_deadline = settings_.classes[index].deadline;
  Message message(event.message, index, now_, event.time_left, class_deadline);
  Destination& destination = registry_.FindOrAddDestination(event.destination);
  destination.arrivals.Add(now_);
  if (gate_.Admit(destination)) return Enqueue(std::move(message), event.destination, event.key);
  context_.AddAction(RejectMessage{message.id, gate_.RetryAfter(destination, message),
                                   GiveUpReason::kNotAdmitted});
}

void MessageLedger::RestoreMessage(const MessageRestored& event) {
  if (messages_.count(event.message) != 0) return;
  const std::size_t index = event.message_class;  // out of range: assume that nothing is safe
  if (index >= settings_.classes.size()) {
    return context_.AddAction(FailMessage{event.message, GiveUpReason::kUnknownClass});
  }
  const Duration class_deadline = settings_.classes[index].deadline;
  Message message(event.message, index, now_, event.time_left, class_deadline);
  message.earlier_attempts = event.attempts_used;
  message.may_have_run = event.may_have_run;
  const Endpoint* ran_on = registry_.FindEndpoint(event.ran_on_endpoint);
  if (event.may_have_run && ran_on != nullptr) message.ran_in_zone = ran_on->entry.zone;
  registry_.FindOrAddDestination(event.destination);
  Enqueue(std::move(message), event.destination, event.key);
  Message& restored = messages_.at(event.message);
  if (AttemptsExhausted(restored)) GiveUp(restored, GiveUpReason::kAttemptsExhausted);
}

void MessageLedger::CancelMessage(const MessageCancelled& event) {
  auto it = messages_.find(event.message);
  if (it == messages_.end() || it->second.finished) return;
  CancelAttempts(it->second);
  Finish(it->second);
}

Message* MessageLedger::RecordCompletion(const AttemptCompleted& event) {
  auto it = messages_.find(event.message);
  if (it == messages_.end() || event.attempt >= it->second.attempts.size()) return nullptr;
  Message& message = it->second;
  Attempt& attempt = message.attempts[event.attempt];
  if (!std::exchange(attempt.in_flight, false)) return nullptr;
  --message.attempts_in_flight;
  const Outcome outcome = event.outcome;
  const bool has_ended = outcome == Outcome::kDelivered || outcome == Outcome::kError;
  const bool may_still_run = outcome == Outcome::kTimeout || outcome == Outcome::kReset ||
                             outcome == Outcome::kCancelled || (event.may_have_run && !has_ended);
  if ((may_still_run || outcome == Outcome::kError) && !message.may_have_run) {
    message.may_have_run = attempt.sent;
    message.ran_in_zone = registry_.EndpointAt(attempt.endpoint).entry.zone;
  }
  if (may_still_run && !message.key.empty()) {
    keys_[message.key].cooldown_until = now_ + settings_.ordering_cooldown;
  }
  return &message;
}

void MessageLedger::GiveUp(Message& message, GiveUpReason reason) {
  CancelAttempts(message);
  const Destination& destination = registry_.DestinationAt(message.destination);
  if (SafeToResubmit(message)) {
    context_.AddAction(RejectMessage{message.id, gate_.RetryAfter(destination, message), reason});
  } else {
    context_.AddAction(FailMessage{message.id, reason});
  }
  Finish(message);
}

void MessageLedger::Finish(Message& message) {
  message.finished = true;
  gate_.OnMessageFinished();
  std::erase(registry_.DestinationAt(message.destination).waiting, message.id);
  Forget(message);
}

void MessageLedger::Forget(const Message& message) {
  if (!message.finished || message.attempts_in_flight > 0) return;
  if (!message.key.empty()) std::erase(keys_[message.key].messages, message.id);
  messages_.erase(messages_.find(message.id));
}

void MessageLedger::CancelAttempts(Message& message) {
  if (!settings_.cancel_allowed) return;
  for (std::size_t i = 0; i < message.attempts.size(); ++i) {
    Attempt& attempt = message.attempts[i];
    if (!attempt.in_flight || std::exchange(attempt.cancelled, true)) continue;
    context_.AddAction(CancelAttempt{message.id, i});
  }
}

bool MessageLedger::AttemptsExhausted(const Message& message) const {
  const std::size_t attempts = message.earlier_attempts + message.attempts.size();
  if (settings_.max_attempts > 0 && attempts >= settings_.max_attempts) return true;
  const bool repeatable = ClassOf(message).effect != Effect::kNotIdempotent;
  return (message.may_have_run && !repeatable) || DedupWindowExpired(message);
}

bool MessageLedger::DedupWindowExpired(const Message& message) const {
  const ClassSettings& settings = ClassOf(message);
  return message.may_have_run && settings.effect == Effect::kIdempotentWithKey &&
         now_ - *message.may_have_run >= settings.dedup_window;
}

bool MessageLedger::IsNextOfKey(const Message& message) const {
  if (message.key.empty()) return true;
  const OrderingQueue& queue = keys_.at(message.key);
  if (queue.messages.front() != message.id) return false;
  return queue.cooldown_until <= now_ || !message.attempts.empty();
}

void MessageLedger::ForgetIdleKeys() {
  std::erase_if(keys_, [this](const auto& entry) {
    return entry.second.messages.empty() && entry.second.cooldown_until <= now_;
  });
}

Time MessageLedger::LatestStart(const Message& message) const {
  const ClassSettings& settings = ClassOf(message);
  const bool keyed = settings.effect == Effect::kIdempotentWithKey;
  if (!message.may_have_run || !keyed) return message.deadline;
  return std::min(message.deadline, *message.may_have_run + settings.dedup_window);
}

Time MessageLedger::BatchingDeadline(const Message& message) const {
  const Duration half_of_time = (message.deadline - message.accepted) / 2;
  const Duration time = std::min(ClassOf(message).latency_objective, half_of_time);
  return message.accepted + FromSeconds(kBatchingShare * ToSeconds(time));
}

void MessageLedger::Enqueue(Message message, DestinationId destination, const std::string& key) {
  message.destination = destination;
  if (ClassOf(message).ordered && !key.empty()) {
    message.key = key;
    keys_[key].messages.push_back(message.id);
  }
  registry_.DestinationAt(destination).waiting.push_back(message.id);
  registry_.active().insert(destination);
  gate_.OnMessageAccepted();
  messages_.emplace(message.id, std::move(message));
}

bool MessageLedger::SafeToResubmit(const Message& message) const {
  const ClassSettings& settings = ClassOf(message);
  const bool never_ran = !message.may_have_run && message.attempts_in_flight == 0;
  if (never_ran || settings.effect == Effect::kIdempotent) return true;
  return settings.effect == Effect::kIdempotentWithKey &&
         settings.dedup_scope == DedupScope::kDestination;
}

// Pause before a retry after a call was not sent.
constexpr Duration kUnsentPause = std::chrono::milliseconds(100);
// Minimum time until an answer is overdue, as a share of the shortest latency objective: the
// duration of handshakes and batches varies.
constexpr double kMinOverdueShare = 0.2;

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
    Message& message = it++->second;  // giving the message up may erase it
    if (message.finished) continue;
    const Time give_up_at = message.deadline - settings_.decision_interval;
    const bool idle = message.attempts_in_flight == 0;
    const bool all_unavailable = idle && AllEndpointsWaitPast(message.destination, give_up_at);
    if (now_ >= give_up_at) {
      ledger_.GiveUp(message, GiveUpReason::kDeadline);
    } else if (all_unavailable) {
      ledger_.GiveUp(message, GiveUpReason::kEndpointsUnavailable);
    } else if (idle && ledger_.DedupWindowExpired(message)) {
      ledger_.GiveUp(message, GiveUpReason::kDedupWindowExpired);
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
  context_.AddAction(SetTimer{0, next});
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
  if (event.exhausted || ledger_.AttemptsExhausted(message)) {
    return ledger_.GiveUp(message, GiveUpReason::kAttemptsExhausted);
  }
  const Outcome outcome = event.outcome;
  if (outcome == Outcome::kError) message.not_before = now_ + kRejectionPause;
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
  const Duration overdue_after = OverdueAfter(endpoint);
  if (now_ - attempt.sent < overdue_after) return;
  Call& call = concurrency_.CallAt(attempt.call);
  if (!std::exchange(call.overdue, true)) {
    --endpoint.calls_not_overdue;
    ++endpoint.overdue_in_row;
    breaker_.RecordFailure(endpoint, call);
  }
  if (attempt.cancelled || !settings_.cancel_allowed) return;
  const bool repeatable = ledger_.ClassOf(message).effect != Effect::kNotIdempotent;
  const bool lost = endpoint.last_answer > attempt.sent || breaker_.NetworkIsLossy();
  const bool long_overdue = now_ - attempt.sent >= 2 * overdue_after;
  const bool slot_is_needed = concurrency_.SlotsAreScarce(0) && (lost || long_overdue);
  if (slot_is_needed || (repeatable && long_overdue)) ledger_.CancelAttempts(message);
}

bool RetryScheduler::AllEndpointsWaitPast(DestinationId destination, Time time) {
  bool any = false;
  for (EndpointId id : registry_.DestinationAt(destination).endpoints) {
    Endpoint& endpoint = registry_.EndpointAt(id);
    if (endpoint.entry.state != EndpointState::kListed) continue;
    if (registry_.FindScope(endpoint).wait_until < time) return false;
    any = true;
  }
  return any;
}

}  // namespace dispatch_policy
