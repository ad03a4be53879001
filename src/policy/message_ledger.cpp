#include "policy/message_ledger.hpp"

#include <algorithm>
#include <utility>

namespace dispatch_policy {

void MessageLedger::AdmitMessage(const MessageArrived& event) {
  if (messages_.count(event.message) != 0) return;
  const std::size_t index = event.message_class;
  if (index >= settings_.classes.size()) return context_.Do(RejectMessage{event.message});
  const Duration class_deadline = settings_.classes[index].deadline;
  Message message(event.message, index, now_, event.time_left, class_deadline);
  Destination& destination = registry_.FindOrAddDestination(event.destination);
  destination.arrivals.Add(now_);
  if (gate_.Admit(destination)) return Enqueue(std::move(message), event.destination, event.key);
  context_.Do(RejectMessage{message.id, gate_.RetryAfter(destination, message)});
}

void MessageLedger::RestoreMessage(const MessageRestored& event) {
  if (messages_.count(event.message) != 0) return;
  const std::size_t index = event.message_class;
  if (index >= settings_.classes.size()) return context_.Do(FailMessage{event.message});
  const Duration class_deadline = settings_.classes[index].deadline;
  Message message(event.message, index, now_, event.time_left, class_deadline);
  message.earlier_attempts = event.attempts_used;
  message.may_have_run = event.may_have_run;
  const Endpoint* ran_on = registry_.FindEndpoint(event.ran_on_endpoint);
  if (event.may_have_run && ran_on != nullptr) message.ran_in_zone = ran_on->entry.zone;
  registry_.FindOrAddDestination(event.destination);
  Enqueue(std::move(message), event.destination, event.key);
  if (AttemptsExhausted(messages_.at(event.message))) GiveUp(messages_.at(event.message));
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
  const bool may_still_run =
      outcome == Outcome::kTimeout || outcome == Outcome::kReset || outcome == Outcome::kCancelled;
  if ((may_still_run || outcome == Outcome::kError) && !message.may_have_run) {
    message.may_have_run = attempt.sent;
    message.ran_in_zone = registry_.EndpointAt(attempt.endpoint).entry.zone;
  }
  if (may_still_run && !message.key.empty()) {
    keys_[message.key].cooldown_until = now_ + settings_.ordering_cooldown;
  }
  return &message;
}

void MessageLedger::GiveUp(Message& message) {
  CancelAttempts(message);
  const Destination& destination = registry_.DestinationAt(message.destination);
  if (SafeToResubmit(message)) {
    context_.Do(RejectMessage{message.id, gate_.RetryAfter(destination, message)});
  } else {
    context_.Do(FailMessage{message.id});
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
    context_.Do(CancelAttempt{message.id, i});
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

}  // namespace dispatch_policy
