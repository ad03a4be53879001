#include "fleet/state_exchange.hpp"

#include <chrono>
#include <cstddef>

namespace brassfront::fleet {
namespace {

using std::chrono::milliseconds;

// Interval of requests. A non-voting member's state lags the log by up to this time, and so do the
// loads that the leader knows of.
constexpr peers::Time kStateRequestInterval = milliseconds(500);
// Delay of the request after a command was submitted: about as long as a commit takes.
constexpr peers::Time kRequestDelayAfterCommand = milliseconds(100);

}  // namespace

StateExchange::StateExchange(const RosterWatcher& roster,
                             const peers::FailureDetector& failure_detector)
    : roster_(roster), failure_detector_(failure_detector), timer_(kStateRequestInterval) {}

std::optional<std::string> StateExchange::NextRecipient(const std::string& leader, Time now) {
  if (!timer_.StartIfDue(now)) return std::nullopt;
  if (leader == roster_.self().name) return std::nullopt;
  std::string recipient = leader;
  if (recipient.empty()) {
    const std::vector<std::string> voters = AliveVoters();
    if (voters.empty()) return std::nullopt;
    const auto now_ms = std::chrono::duration_cast<milliseconds>(now).count();
    recipient = voters[static_cast<std::size_t>(now_ms) % voters.size()];
  }
  if (HasState(recipient, peers::State::kDead)) reported_leader_.clear();
  return recipient;
}

void StateExchange::OnCommandSubmitted(Time now) {
  timer_.BringForwardTo(now + kRequestDelayAfterCommand);
}

bool StateExchange::HasState(const std::string& member, peers::State state) const {
  const auto peer = failure_detector_.peers().find(member);
  return peer != failure_detector_.peers().end() && peer->second.state == state;
}

std::vector<std::string> StateExchange::AliveVoters() const {
  std::vector<std::string> alive;
  for (const std::string& voter : roster_.roster().Voters()) {
    if (HasState(voter, peers::State::kAlive)) alive.push_back(voter);
  }
  return alive;
}

}  // namespace brassfront::fleet
