#include "net/unsettled_answers.hpp"

namespace brassfront {
namespace {

void SetAll(const std::vector<SharedAnswerCertainty>& answers, AnswerCertainty certainty) {
  for (const SharedAnswerCertainty& answer : answers) answer->store(certainty);
}

}  // namespace

SharedAnswerCertainty UnsettledAnswers::Add(ConnectionId connection, std::uint64_t endpoint,
                                            SteadyTime now) {
  OfConnection& entry =
      by_connection_.try_emplace(connection, OfConnection{.endpoint = endpoint, .oldest = now})
          .first->second;
  entry.answers.push_back(
      std::make_shared<std::atomic<AnswerCertainty>>(AnswerCertainty::kUnsettled));
  return entry.answers.back();
}

void UnsettledAnswers::OnRest(ConnectionId connection, SteadyTime now) {
  const auto it = by_connection_.find(connection);
  if (it != by_connection_.end()) it->second.rests_since = now;
}

void UnsettledAnswers::OnReuse(ConnectionId connection, SteadyTime now) {
  const auto it = by_connection_.find(connection);
  if (it == by_connection_.end()) return;
  if (it->second.HasRested(now)) {
    SetAll(it->second.answers, AnswerCertainty::kCertain);
    by_connection_.erase(it);
  } else {
    it->second.rests_since.reset();
  }
}

void UnsettledAnswers::OnUnaskedInput(std::uint64_t endpoint) {
  std::erase_if(by_connection_, [&](const auto& entry) {
    if (entry.second.endpoint != endpoint) return false;
    SetAll(entry.second.answers, AnswerCertainty::kDoubtful);
    return true;
  });
}

void UnsettledAnswers::SettleRested(SteadyTime now) {
  std::erase_if(by_connection_, [now](const auto& entry) {
    if (!entry.second.HasRested(now)) return false;
    SetAll(entry.second.answers, AnswerCertainty::kCertain);
    return true;
  });
}

bool UnsettledAnswers::NeedsRest(ConnectionId connection, SteadyTime now) const {
  const auto it = by_connection_.find(connection);
  return it != by_connection_.end() && now - it->second.oldest >= kMaxUnsettledTime;
}

}  // namespace brassfront
