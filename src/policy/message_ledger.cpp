#include "policy/message_ledger.hpp"

#include <algorithm>
#include <utility>

namespace dispatch_policy {

void MessageLedger::AdmitMessage(const MessageArrived& event) {
  if (messages_.count(event.message) != 0) return;
  if (event.message_class >=
      settings_.classes.size()) {  // of no class: nothing is known to be safe
    context_.actions.push_back(RejectMessage{event.message, Duration{}});
    return;
  }
  Message message = NewMessage(event.message, event.message_class, event.time_left);
  message.destination = event.destination;
  Destination& destination = registry_.FindOrAddDestination(event.destination);
  destination.arrivals.Add(now_);
  if (!gate_.Admit(destination)) {
    context_.actions.push_back(RejectMessage{message.id, gate_.RetryAfter(destination, message)});
    return;
  }
  Enqueue(std::move(message), event.key);
}

void MessageLedger::RestoreMessage(const MessageRestored& event) {
  if (messages_.count(event.message) != 0) return;
  if (event.message_class >= settings_.classes.size()) {
    context_.actions.push_back(FailMessage{event.message});
    return;
  }
  Message message = NewMessage(event.message, event.message_class, event.time_left);
  message.destination = event.destination;
  message.earlier_attempts = event.attempts_used;
  message.may_have_run = event.may_have_run;
  const Endpoint* ran_on = registry_.FindEndpoint(event.ran_on_endpoint);
  if (event.may_have_run && ran_on != nullptr) message.ran_in_zone = ran_on->entry.zone;
  registry_.FindOrAddDestination(event.destination);
  Enqueue(std::move(message), event.key);
  if (AttemptsExhausted(messages_.at(event.message))) GiveUp(messages_.at(event.message));
}

void MessageLedger::CancelMessage(const MessageCancelled& event) {
  auto it = messages_.find(event.message);
  if (it == messages_.end() || it->second.finished) return;
  CancelAttempts(it->second);
  Finish(it->second);
}

Message* MessageLedger::FindInFlight(const AttemptCompleted& event) {
  auto it = messages_.find(event.message);
  if (it == messages_.end() || event.attempt >= it->second.attempts.size()) return nullptr;
  return it->second.attempts[event.attempt].in_flight ? &it->second : nullptr;
}

void MessageLedger::RecordCompletion(Message& message, const AttemptCompleted& event) {
  Attempt& attempt = message.attempts[event.attempt];
  attempt.in_flight = false;
  --message.attempts_in_flight;
  const bool doubt = event.outcome == Outcome::kTimeout || event.outcome == Outcome::kReset ||
                     event.outcome == Outcome::kCancelled;
  if ((doubt || event.outcome == Outcome::kError) && !message.may_have_run) {
    message.may_have_run = attempt.sent;
    message.ran_in_zone = registry_.EndpointAt(attempt.endpoint).entry.zone;
  }
  if (doubt && !message.key.empty())
    keys_[message.key].cooldown_until = now_ + settings_.ordering_cooldown;
}

void MessageLedger::GiveUp(Message& message) {
  CancelAttempts(message);
  if (SafeToResubmit(message)) {
    context_.actions.push_back(RejectMessage{
        message.id, gate_.RetryAfter(registry_.DestinationAt(message.destination), message)});
  } else {
    context_.actions.push_back(FailMessage{message.id});
  }
  Finish(message);
}

void MessageLedger::Finish(Message& message) {
  message.finished = true;
  gate_.OnMessageFinished();
  std::erase(registry_.DestinationAt(message.destination).waiting, message.id);
  Forget(message.id);
}

void MessageLedger::Forget(MessageId id) {
  auto it = messages_.find(id);
  if (it == messages_.end() || !it->second.finished || it->second.attempts_in_flight > 0) return;
  if (!it->second.key.empty()) std::erase(keys_[it->second.key].messages, id);
  messages_.erase(it);
}

void MessageLedger::CancelAttempts(Message& message) {
  if (!settings_.cancel_allowed) return;
  for (std::size_t i = 0; i < message.attempts.size(); ++i) {
    Attempt& attempt = message.attempts[i];
    if (!attempt.in_flight || attempt.cancelled) continue;
    attempt.cancelled = true;
    context_.actions.push_back(CancelAttempt{message.id, i});
  }
}

bool MessageLedger::AttemptsExhausted(const Message& message) const {
  const bool all = settings_.max_attempts > 0 &&
                   message.earlier_attempts + message.attempts.size() >= settings_.max_attempts;
  const bool lost = (message.may_have_run && ClassOf(message).effect == Effect::kNotIdempotent) ||
                    DedupWindowExpired(message);
  return all || lost;
}

bool MessageLedger::DedupWindowExpired(const Message& message) const {
  return message.may_have_run && ClassOf(message).effect == Effect::kIdempotentWithKey &&
         now_ - *message.may_have_run >= ClassOf(message).dedup_window;
}

bool MessageLedger::IsNextOfKey(const Message& message) const {
  if (message.key.empty()) return true;
  const OrderingQueue& line = keys_.at(message.key);
  return line.messages.front() == message.id &&
         (line.cooldown_until <= now_ || !message.attempts.empty());
}

void MessageLedger::ForgetIdleKeys() {
  std::erase_if(keys_, [this](const auto& k) {
    return k.second.messages.empty() && k.second.cooldown_until <= now_;
  });
}

Time MessageLedger::LatestStart(const Message& message) const {
  if (!message.may_have_run || ClassOf(message).effect != Effect::kIdempotentWithKey)
    return message.deadline;
  return std::min(message.deadline, *message.may_have_run + ClassOf(message).dedup_window);
}

Time MessageLedger::BatchingDeadline(const Message& message) const {
  const Duration time =
      std::min(ClassOf(message).latency_objective, (message.deadline - message.accepted) / 2);
  return message.accepted + FromSeconds(kBatchingShare * ToSeconds(time));
}

Message MessageLedger::NewMessage(MessageId id, std::size_t message_class,
                                  Duration time_left) const {
  Message message;
  message.id = id;
  message.message_class = message_class;
  message.deadline = now_ + time_left;
  message.first_submitted = message.deadline - ClassOf(message).deadline;
  message.accepted = now_;
  return message;
}

void MessageLedger::Enqueue(Message message, const std::string& key) {
  if (ClassOf(message).ordered && !key.empty()) {
    message.key = key;
    keys_[message.key].messages.push_back(message.id);
  }
  registry_.DestinationAt(message.destination).waiting.push_back(message.id);
  registry_.active().insert(message.destination);
  gate_.OnMessageAccepted();
  messages_.emplace(message.id, std::move(message));
}

bool MessageLedger::SafeToResubmit(const Message& message) const {
  const ClassSettings& settings = ClassOf(message);
  if ((!message.may_have_run && message.attempts_in_flight == 0) ||
      settings.effect == Effect::kIdempotent)
    return true;
  return settings.effect == Effect::kIdempotentWithKey &&
         settings.dedup_scope == DedupScope::kDestination;
}

}  // namespace dispatch_policy
