#include "forwarder/message_trace.hpp"

#include <algorithm>

namespace brassfront {
namespace {

constexpr std::size_t kFirstSteps = 8;  // kept from the start, when there are too many

bool Ends(Step step) {
  return step == Step::kDelivered || step == Step::kGone || step == Step::kNoticed ||
         step == Step::kWithdrawn;
}

}  // namespace

bool MessageTrace::Begin(MessageId message, Time now, Time deadline, Step step,
                         std::uint32_t detail) {
  const auto [it, added] = lives_.try_emplace(message);
  if (!added) return false;
  it->second.started_at = now;
  it->second.deadline = deadline;
  due_.emplace(deadline + kGrace, message);
  Add(it->second, now, step, detail);
  return true;
}

void MessageTrace::Note(MessageId message, Time now, Step step, std::uint32_t detail) {
  const auto it = lives_.find(message);
  if (it == lives_.end()) return;
  Life& life = it->second;
  if (Ends(step)) {
    due_.erase({life.deadline + kGrace, message});
    lives_.erase(it);
    return;
  }
  Add(life, now, step, detail);
  if (step == Step::kStarted) ++life.out;
  if (step == Step::kSettled && life.out > 0) --life.out;
  if (step == Step::kGivenUp) life.state = LifeState::kEnding;
  if (life.state != LifeState::kEnding) {
    life.state = life.out > 0 ? LifeState::kOut : LifeState::kHeld;
  }
}

// Of a long life the first steps stay and the last ones turn over.
void MessageTrace::Add(Life& life, Time now, Step step, std::uint32_t detail) {
  std::size_t place = life.steps;
  if (place >= kMostSteps) {
    std::move(life.marks.begin() + kFirstSteps + 1, life.marks.end(),
              life.marks.begin() + kFirstSteps);
    place = kMostSteps - 1;
  }
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - life.started_at).count();
  life.marks[place] = {static_cast<std::uint32_t>(ms), step, detail};
  ++life.steps;
}

LifeState MessageTrace::StateOf(MessageId message) const {
  const auto it = lives_.find(message);
  return it == lives_.end() ? LifeState::kOver : it->second.state;
}

std::string MessageTrace::HistoryOf(MessageId message) const {
  const auto it = lives_.find(message);
  return it == lives_.end() ? "" : History(it->second);
}

std::string MessageTrace::History(const Life& life) {
  std::string out;
  const std::size_t kept = std::min<std::size_t>(life.steps, kMostSteps);
  for (std::size_t i = 0; i < kept; ++i) {
    if (life.steps > kMostSteps && i == kFirstSteps) out += " ...";
    const Mark& mark = life.marks[i];
    if (!out.empty()) out += ' ';
    out.append(NameOf(mark.step)).append("+").append(std::to_string(mark.ms));
    if (mark.detail > 0) out.append("(").append(std::to_string(mark.detail)).append(")");
  }
  return out;
}

MessageTrace::Time MessageTrace::Next() const {
  return due_.empty() ? Time::max() : due_.begin()->first;
}

std::vector<MessageTrace::Overdue> MessageTrace::TakeOverdue(Time now) {
  std::vector<Overdue> all;
  while (!due_.empty() && due_.begin()->first <= now) {
    const MessageId message = due_.begin()->second;
    due_.erase(due_.begin());
    const Life& life = lives_.at(message);
    all.push_back({message, life.state, History(life)});
    ++overdue_;
  }
  return all;
}

const char* NameOf(LifeState state) {
  switch (state) {
    case LifeState::kHeld:
      return "waiting";
    case LifeState::kOut:
      return "calling";
    case LifeState::kEnding:
      return "notifying";
    case LifeState::kOver:
      break;
  }
  return "over";
}

const char* NameOf(Step step) {
  constexpr const char* kNames[] = {"accepted",  "restored", "acknowledged", "started",
                                    "completed", "given-up", "delivered",    "gone",
                                    "notified",  "cancelled"};
  return kNames[static_cast<std::size_t>(step)];
}

}  // namespace brassfront
