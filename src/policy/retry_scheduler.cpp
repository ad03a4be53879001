#include "policy/retry_scheduler.hpp"

#include <algorithm>

namespace dispatch_policy {
namespace {

constexpr Duration kUnsentPause = std::chrono::milliseconds(100);  // after a call was not sent
constexpr double kLeastOverdue = 0.2;  // of the shortest aim; handshakes and batches vary

}  // namespace

void RetryScheduler::CompleteAttempt(const AttemptCompleted& e) {
  Message* found = ledger_.FindInFlight(e);
  if (found == nullptr) return;
  Message& m = *found;
  const Attempt& attempt = m.attempts[e.attempt];
  ledger_.RecordCompletion(m, e);
  breaker_.JudgeCall(attempt, e);
  if (m.finished) {
    ledger_.Forget(m.id);
  } else if (e.finished || e.outcome == Outcome::kDelivered) {
    ledger_.Close(m);
  } else {
    AfterFailure(m, e);
  }
}

void RetryScheduler::ReviewMessages() {
  ledger_.ForgetIdleKeys();
  for (auto it = ledger_.messages().begin(); it != ledger_.messages().end();) {
    Message& m = it++->second;  // giving it up may erase it
    if (m.finished) continue;
    const Time last = m.deadline - settings_.decision_interval;
    if (now_ >= last ||
        (m.out == 0 && (ledger_.WindowClosed(m) || WaitsPast(m.destination, last)))) {
      ledger_.GiveUp(m);
    } else if (m.out > 0) {
      ReviewAttempt(m);
    }
  }
}

void RetryScheduler::SetWakeUp() {
  Time next = Time::max();
  auto consider = [&](Time t) {
    if (t > now_) next = std::min(next, t);
  };
  for (const auto& [id, m] : ledger_.messages()) {
    if (m.finished) continue;
    consider(m.deadline - settings_.decision_interval);
    consider(m.not_before);
    consider(ledger_.GatheredAt(m));
    if (m.may_have_run) consider(*m.may_have_run + ledger_.ClassOf(m).dedup_window);
    if (!m.key.empty()) consider(ledger_.KeyRestsUntil(m));
    if (m.out == 0) continue;
    const Attempt& a = m.attempts.back();
    const Duration overdue = OverdueAfter(registry_.EndpointAt(a.endpoint));
    consider(a.sent + overdue);
    consider(a.sent + 2 * overdue);
  }
  for (DestinationId id : registry_.active_destinations()) {
    Destination& d = registry_.DestinationAt(id);
    if (d.waiting.empty()) continue;
    for (EndpointId e : d.endpoints) {
      const Lane& lane = registry_.LaneOf(registry_.EndpointAt(e));
      consider(registry_.EndpointAt(e).next_call);
      consider(std::max(lane.wait_until, lane.next_call));
      consider(lane.next_trial);
    }
  }
  if (next == Time::max() || (wake_at_ > now_ && wake_at_ <= next)) return;
  wake_at_ = next;
  context_.actions.push_back(SetTimer{0, next});
}

Duration RetryScheduler::TimeoutOf(const Message& m, const Endpoint& e) const {
  const Duration left = std::max<Duration>(m.deadline - now_, settings_.decision_interval);
  if (settings_.cancel_allowed || ledger_.ClassOf(m).effect == Effect::kNotIdempotent) return left;
  return std::min(left, 2 * OverdueAfter(e));
}

Duration RetryScheduler::OverdueAfter(const Endpoint& e) const {
  const double usual = e.latency + kOverdueSpreads * e.spread;
  const double least = kLeastOverdue * ToSeconds(context_.shortest_aim);
  const double known = e.latency > 0 ? std::max(usual, least) : 2 * least;
  const int doublings = std::min(e.fails_in_row, kMostDoublings);
  return std::min(FromSeconds(known) * (1 << doublings), 2 * context_.shortest_aim);
}

void RetryScheduler::AfterFailure(Message& m, const AttemptCompleted& e) {
  if (e.exhausted || ledger_.Spent(m)) return ledger_.GiveUp(m);
  if (e.outcome == Outcome::kError) m.not_before = now_ + kFullPause;
  // Without a pause all attempts would be used up while no slot is free.
  if (e.outcome == Outcome::kNotSent || e.outcome == Outcome::kConnectionLimitReached) {
    m.not_before = now_ + kUnsentPause;
  }
  registry_.active_destinations().insert(m.destination);
  std::vector<MessageId>& waiting = registry_.DestinationAt(m.destination).waiting;
  waiting.insert(std::lower_bound(waiting.begin(), waiting.end(), m.id), m.id);
}

void RetryScheduler::ReviewAttempt(Message& m) {
  Attempt& a = m.attempts.back();
  Endpoint& e = registry_.EndpointAt(a.endpoint);
  const Duration limit = OverdueAfter(e);
  if (now_ - a.sent < limit) return;
  Call& call = concurrency_limiter_.CallAt(a.call);
  if (!call.overdue) {
    call.overdue = true;
    --e.fresh_out;
    ++e.silent_row;
    breaker_.Failed(e, call);
  }
  if (a.cancelled || !settings_.cancel_allowed) return;
  const bool repeat = ledger_.ClassOf(m).effect != Effect::kNotIdempotent;
  const bool lost = e.last_answer > a.sent || breaker_.NetworkLosesCalls();
  const bool silent = now_ - a.sent >= 2 * limit;
  if ((concurrency_limiter_.SlotsScarce(0) && (lost || silent)) || (repeat && silent))
    ledger_.CancelOut(m);
}

bool RetryScheduler::WaitsPast(DestinationId id, Time last) {
  bool any = false;
  for (EndpointId e : registry_.DestinationAt(id).endpoints) {
    Endpoint& endpoint = registry_.EndpointAt(e);
    if (endpoint.entry.state != EndpointState::kListed) continue;
    if (registry_.LaneOf(endpoint).wait_until < last) return false;
    any = true;
  }
  return any;
}

}  // namespace dispatch_policy
