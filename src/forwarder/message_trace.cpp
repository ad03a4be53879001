#include "forwarder/message_trace.hpp"

#include <algorithm>

namespace brassfront {
namespace {

// Number of first steps that are kept of a history with more than kMaxSteps steps.
constexpr std::size_t kMaxFirstSteps = 8;

bool IsFinal(TraceStep step) {
  return step == TraceStep::kDelivered || step == TraceStep::kNotified ||
         step == TraceStep::kCancelled;
}

}  // namespace

bool MessageTrace::Begin(MessageId message, Time now, Time deadline, TraceStep step,
                         std::uint32_t detail) {
  const auto [it, added] = messages_.try_emplace(message);
  if (!added) return false;
  it->second.started_at = now;
  it->second.deadline = deadline;
  overdue_times_.insert({deadline + kGrace, message});
  Add(it->second, now, step, detail);
  return true;
}

void MessageTrace::Note(MessageId message, Time now, TraceStep step, std::uint32_t detail) {
  const auto it = messages_.find(message);
  if (it == messages_.end()) return;
  TracedMessage& traced = it->second;
  if (IsFinal(step)) {
    overdue_times_.erase({traced.deadline + kGrace, message});
    messages_.erase(it);
    return;
  }
  Add(traced, now, step, detail);
  if (step == TraceStep::kStarted) ++traced.running_attempts;
  if (step == TraceStep::kCompleted && traced.running_attempts > 0) --traced.running_attempts;
  if (step == TraceStep::kGivenUp) traced.state = MessageState::kNotifying;
  if (traced.state != MessageState::kNotifying) {
    traced.state = traced.running_attempts > 0 ? MessageState::kCalling : MessageState::kWaiting;
  }
}

// Of a long history, keeps the first steps and a sliding window of the last steps.
void MessageTrace::Add(TracedMessage& traced, Time now, TraceStep step, std::uint32_t detail) {
  std::size_t index = traced.step_count;
  if (index >= kMaxSteps) {
    std::move(traced.recorded_steps.begin() + kMaxFirstSteps + 1, traced.recorded_steps.end(),
              traced.recorded_steps.begin() + kMaxFirstSteps);
    index = kMaxSteps - 1;
  }
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - traced.started_at).count();
  traced.recorded_steps[index] = {static_cast<std::uint32_t>(ms), step, detail};
  ++traced.step_count;
}

MessageState MessageTrace::State(MessageId message) const {
  const auto it = messages_.find(message);
  return it == messages_.end() ? MessageState::kOver : it->second.state;
}

std::string MessageTrace::History(MessageId message) const {
  const auto it = messages_.find(message);
  return it == messages_.end() ? "" : Format(it->second);
}

std::string MessageTrace::Format(const TracedMessage& traced) {
  std::string out;
  const std::size_t kept = std::min<std::size_t>(traced.step_count, kMaxSteps);
  for (std::size_t i = 0; i < kept; ++i) {
    if (traced.step_count > kMaxSteps && i == kMaxFirstSteps) out += " ...";
    const RecordedStep& recorded = traced.recorded_steps[i];
    if (!out.empty()) out += ' ';
    out.append(ToString(recorded.step)).append("+").append(std::to_string(recorded.ms));
    if (recorded.detail > 0) out.append("(").append(std::to_string(recorded.detail)).append(")");
  }
  return out;
}

MessageTrace::Time MessageTrace::NextOverdue() const {
  return overdue_times_.empty() ? Time::max() : overdue_times_.begin()->at;
}

std::vector<MessageTrace::Overdue> MessageTrace::TakeOverdue(Time now) {
  std::vector<Overdue> all;
  while (!overdue_times_.empty() && overdue_times_.begin()->at <= now) {
    const MessageId message = overdue_times_.begin()->message;
    overdue_times_.erase(overdue_times_.begin());
    const TracedMessage& traced = messages_.at(message);
    all.push_back({message, traced.state, Format(traced)});
    ++overdue_;
  }
  return all;
}

const char* ToString(MessageState state) {
  switch (state) {
    case MessageState::kWaiting:
      return "waiting";
    case MessageState::kCalling:
      return "calling";
    case MessageState::kNotifying:
      return "notifying";
    case MessageState::kOver:
      break;
  }
  return "over";
}

const char* ToString(TraceStep step) {
  switch (step) {
    case TraceStep::kAccepted:
      return "accepted";
    case TraceStep::kRestored:
      return "restored";
    case TraceStep::kAcknowledged:
      return "acknowledged";
    case TraceStep::kStarted:
      return "started";
    case TraceStep::kCompleted:
      return "completed";
    case TraceStep::kGivenUp:
      return "given-up";
    case TraceStep::kDelivered:
      return "delivered";
    case TraceStep::kNotified:
      return "notified";
    case TraceStep::kCancelled:
      break;
  }
  return "cancelled";
}

}  // namespace brassfront
