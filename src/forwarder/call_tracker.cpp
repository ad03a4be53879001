#include "forwarder/call_tracker.hpp"

#include <algorithm>
#include <utility>

#include "protocol/delivery_request.hpp"

namespace brassfront {

void CallTracker::AddHealthCheck(EndpointId endpoint, Time now, Time deadline) {
  const CallId id = next_id_++;
  PendingCall& call = calls_[id];
  call.endpoint = endpoint;
  call.health_check = true;
  call.decided_at = now;
  call.start_by = call.deadline = deadline;
  ready_calls_.push_back(id);
}

void CallTracker::AddAttempt(DecidedAttempt decided) {
  if (AddToOpenBatch(decided)) return;
  const CallId id = next_id_++;
  PendingCall& call = calls_[id];
  call.endpoint = decided.endpoint;
  call.attempts.push_back(std::move(decided.attempt));
  call.batch_bytes = decided.bytes;
  call.decided_at = decided.decided_at;
  call.start_by = decided.start_by;
  call.deadline = decided.deadline;
  ready_calls_.push_back(id);
  open_batches_[decided.endpoint] = id;
}

bool CallTracker::AddToOpenBatch(DecidedAttempt& decided) {
  const auto open = open_batches_.find(decided.endpoint);
  if (open == open_batches_.end()) return false;
  PendingCall& call = calls_.at(open->second);
  if (call.attempts.size() >= decided.max_batch) return false;
  if (call.batch_bytes + decided.bytes > kMaxBodyBytes) return false;
  const Time first_deadline = std::min(call.deadline, decided.deadline);
  if (first_deadline - decided.decided_at < kBatchTimeoutMargin + kMinBatchTime) return false;
  call.attempts.push_back(std::move(decided.attempt));
  call.batch_bytes += decided.bytes;
  call.start_by = std::min(call.start_by, decided.start_by);
  call.deadline = std::min(call.deadline, decided.deadline);
  return true;
}

void CallTracker::StartReadyCalls(Time now, Starter& starter) {
  std::deque<CallId> waiting;
  for (const CallId id : std::exchange(ready_calls_, {})) {
    PendingCall& call = calls_.at(id);
    std::erase_if(call.attempts, [&](const PendingAttempt& attempt) {
      const bool deliverable = starter.IsDeliverable(attempt.message);
      if (!deliverable) starter.OnAttemptNotSent(call, attempt, now);
      return !deliverable;
    });
    const Readiness readiness = CheckReadiness(call, now, starter);
    if (readiness == Readiness::kWait) {
      waiting.push_back(id);
    } else if (readiness == Readiness::kDrop || !starter.Start(id, call, now)) {
      Drop(id, now, starter);
    } else if (!call.health_check) {
      ++running_calls_;
    }
  }
  ready_calls_.insert(ready_calls_.begin(), waiting.begin(), waiting.end());
}

CallTracker::Readiness CallTracker::CheckReadiness(const PendingCall& call, Time now,
                                                   const Starter& starter) const {
  const bool empty = call.attempts.empty() && !call.health_check;
  if (call.withdrawn || now > call.start_by || empty) return Readiness::kDrop;
  const bool acknowledged = std::all_of(
      call.attempts.begin(), call.attempts.end(),
      [&](const PendingAttempt& attempt) { return starter.IsAcknowledged(attempt.message); });
  if (!acknowledged) return Readiness::kWait;
  if (!call.health_check && running_calls_ >= max_running_calls_) return Readiness::kWait;
  return Readiness::kStart;
}

void CallTracker::Drop(CallId id, Time now, Starter& starter) {
  const PendingCall& call = calls_.at(id);
  for (const PendingAttempt& attempt : call.attempts) starter.OnAttemptNotSent(call, attempt, now);
  calls_.erase(id);
}

void CallTracker::CancelAttempt(MessageId message, std::size_t number, bool message_over) {
  for (auto& [id, call] : calls_) {
    const auto attempt = std::find_if(
        call.attempts.begin(), call.attempts.end(), [&](const PendingAttempt& candidate) {
          return candidate.message == message && candidate.attempt == number;
        });
    if (attempt == call.attempts.end()) continue;
    attempt->cancelled = true;
    const bool all_cancelled =
        std::all_of(call.attempts.begin(), call.attempts.end(),
                    [](const PendingAttempt& other) { return other.cancelled; });
    if (!message_over && !all_cancelled) return;
    call.withdrawn = true;
    if (call.endpoint_call) call.endpoint_call->Abort(EndpointCall::StopReason::kCancelled);
    return;
  }
}

void CallTracker::WithdrawCalls(const std::function<bool(EndpointId)>& matches) {
  for (auto& [id, call] : calls_) {
    if (!matches(call.endpoint)) continue;
    call.withdrawn = true;
    if (call.endpoint_call) call.endpoint_call->WithdrawBeforeSend();
  }
}

void CallTracker::StopStarted() {
  for (auto& [id, call] : calls_) {
    if (call.endpoint_call) call.endpoint_call->Abort(EndpointCall::StopReason::kCancelled);
  }
}

bool CallTracker::HasStarted() const {
  return std::any_of(calls_.begin(), calls_.end(),
                     [](const auto& entry) { return entry.second.endpoint_call != nullptr; });
}

void CallTracker::OnTimeout(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  // A batch ends with the shortest of its messages' times, so a missing answer does not mean that
  // the endpoint is at fault.
  const bool batch = it->second.attempts.size() > 1;
  it->second.endpoint_call->Abort(batch ? EndpointCall::StopReason::kCancelled
                                        : EndpointCall::StopReason::kTimedOut);
}

std::optional<PendingCall> CallTracker::Complete(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return std::nullopt;
  PendingCall call = std::move(it->second);
  calls_.erase(it);
  if (!call.health_check) --running_calls_;
  return call;
}

std::set<CallTracker::EndpointId> CallTracker::EndpointsInUse() const {
  std::set<EndpointId> endpoints;
  for (const auto& [id, call] : calls_) endpoints.insert(call.endpoint);
  return endpoints;
}

}  // namespace brassfront
