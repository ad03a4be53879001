#include "policy/message_ledger.hpp"

#include <algorithm>
#include <utility>

namespace dispatch_policy {

void MessageLedger::AcceptMessage(const MessageArrived& e) {
  if (messages_.count(e.message) != 0) return;
  if (e.message_class >= settings_.classes.size()) {  // of no class: nothing is known to be safe
    context_.actions.push_back(RejectMessage{e.message, Duration{}});
    return;
  }
  Message m = Taken(e.message, e.message_class, e.time_left);
  m.destination = e.destination;
  Destination& destination = registry_.DestinationOf(e.destination);
  destination.arrivals.Add(now_);
  if (!admission_gate_.Admit(destination)) {
    context_.actions.push_back(RejectMessage{m.id, admission_gate_.RetryAfter(destination, m)});
    return;
  }
  Hold(std::move(m), e.key);
}

void MessageLedger::RestoreMessage(const MessageRestored& e) {
  if (messages_.count(e.message) != 0) return;
  if (e.message_class >= settings_.classes.size()) {
    context_.actions.push_back(FailMessage{e.message});
    return;
  }
  Message m = Taken(e.message, e.message_class, e.time_left);
  m.destination = e.destination;
  m.attempts_before = e.attempts_used;
  m.may_have_run = e.may_have_run;
  const Endpoint* ran_on = registry_.FindEndpoint(e.ran_on_endpoint);
  if (e.may_have_run && ran_on != nullptr) m.ran_in = ran_on->entry.zone;
  registry_.DestinationOf(e.destination);
  Hold(std::move(m), e.key);
  if (Spent(messages_.at(e.message))) GiveUp(messages_.at(e.message));
}

void MessageLedger::CancelMessage(const MessageCancelled& e) {
  auto it = messages_.find(e.message);
  if (it == messages_.end() || it->second.finished) return;
  CancelOut(it->second);
  Close(it->second);
}

Message* MessageLedger::FindInFlight(const AttemptCompleted& e) {
  auto it = messages_.find(e.message);
  if (it == messages_.end() || e.attempt >= it->second.attempts.size()) return nullptr;
  return it->second.attempts[e.attempt].out ? &it->second : nullptr;
}

void MessageLedger::RecordCompletion(Message& m, const AttemptCompleted& e) {
  Attempt& attempt = m.attempts[e.attempt];
  attempt.out = false;
  --m.out;
  const bool doubt = e.outcome == Outcome::kTimeout || e.outcome == Outcome::kReset ||
                     e.outcome == Outcome::kCancelled;
  if ((doubt || e.outcome == Outcome::kError) && !m.may_have_run) {
    m.may_have_run = attempt.sent;
    m.ran_in = registry_.EndpointAt(attempt.endpoint).entry.zone;
  }
  if (doubt && !m.key.empty()) keys_[m.key].rests_until = now_ + settings_.ordering_cooldown;
}

void MessageLedger::GiveUp(Message& m) {
  CancelOut(m);
  if (MayRefuse(m)) {
    context_.actions.push_back(
        RejectMessage{m.id, admission_gate_.RetryAfter(registry_.DestinationAt(m.destination), m)});
  } else {
    context_.actions.push_back(FailMessage{m.id});
  }
  Close(m);
}

void MessageLedger::Close(Message& m) {
  m.finished = true;
  admission_gate_.MessageFinished();
  std::erase(registry_.DestinationAt(m.destination).waiting, m.id);
  Forget(m.id);
}

void MessageLedger::Forget(MessageId id) {
  auto it = messages_.find(id);
  if (it == messages_.end() || !it->second.finished || it->second.out > 0) return;
  if (!it->second.key.empty()) std::erase(keys_[it->second.key].order, id);
  messages_.erase(it);
}

void MessageLedger::CancelOut(Message& m) {
  if (!settings_.cancel_allowed) return;
  for (std::size_t i = 0; i < m.attempts.size(); ++i) {
    Attempt& a = m.attempts[i];
    if (!a.out || a.cancelled) continue;
    a.cancelled = true;
    context_.actions.push_back(CancelAttempt{m.id, i});
  }
}

bool MessageLedger::Spent(const Message& m) const {
  const bool all =
      settings_.max_attempts > 0 && m.attempts_before + m.attempts.size() >= settings_.max_attempts;
  const bool lost =
      (m.may_have_run && ClassOf(m).effect == Effect::kNotIdempotent) || WindowClosed(m);
  return all || lost;
}

bool MessageLedger::WindowClosed(const Message& m) const {
  return m.may_have_run && ClassOf(m).effect == Effect::kIdempotentWithKey &&
         now_ - *m.may_have_run >= ClassOf(m).dedup_window;
}

bool MessageLedger::KeyFree(const Message& m) const {
  if (m.key.empty()) return true;
  const KeyLine& line = keys_.at(m.key);
  return line.order.front() == m.id && (line.rests_until <= now_ || !m.attempts.empty());
}

void MessageLedger::ForgetIdleKeys() {
  std::erase_if(keys_, [this](const auto& k) {
    return k.second.order.empty() && k.second.rests_until <= now_;
  });
}

Time MessageLedger::StartBy(const Message& m) const {
  if (!m.may_have_run || ClassOf(m).effect != Effect::kIdempotentWithKey) return m.deadline;
  return std::min(m.deadline, *m.may_have_run + ClassOf(m).dedup_window);
}

Time MessageLedger::GatheredAt(const Message& m) const {
  const Duration time = std::min(ClassOf(m).latency_objective, (m.deadline - m.accepted) / 2);
  return m.accepted + FromSeconds(kGather * ToSeconds(time));
}

Message MessageLedger::Taken(MessageId id, std::size_t message_class, Duration time_left) const {
  Message m;
  m.id = id;
  m.message_class = message_class;
  m.deadline = now_ + time_left;
  m.first_handed_in = m.deadline - ClassOf(m).deadline;
  m.accepted = now_;
  return m;
}

void MessageLedger::Hold(Message m, const std::string& key) {
  if (ClassOf(m).ordered && !key.empty()) {
    m.key = key;
    keys_[m.key].order.push_back(m.id);
  }
  registry_.DestinationAt(m.destination).waiting.push_back(m.id);
  registry_.active_destinations().insert(m.destination);
  admission_gate_.MessageAccepted();
  messages_.emplace(m.id, std::move(m));
}

bool MessageLedger::MayRefuse(const Message& m) const {
  const ClassSettings& c = ClassOf(m);
  if ((!m.may_have_run && m.out == 0) || c.effect == Effect::kIdempotent) return true;
  return c.effect == Effect::kIdempotentWithKey && c.dedup_scope == DedupScope::kDestination;
}

}  // namespace dispatch_policy
