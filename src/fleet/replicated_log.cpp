#include "fleet/replicated_log.hpp"

#include <chrono>
#include <utility>

#include "observe/log.hpp"

namespace brassfront::fleet {
namespace {

using observe::Concern;
using observe::Level;

// Delay from a failed write to the next attempt: long enough not to overload a full disk with
// writes, short enough for a voter to be back while an operator waits.
constexpr peers::Time kStoreRetryDelay = std::chrono::seconds(2);

}  // namespace

ReplicatedLog::ReplicatedLog(const RosterWatcher& roster, LocalIdentity& identity,
                             const peers::FailureDetector& failure_detector,
                             const std::string& folder, std::uint64_t seed)
    : roster_(roster),
      identity_(identity),
      failure_detector_(failure_detector),
      seed_(seed),
      store_(folder) {}

void ReplicatedLog::Start() {
  node_.reset();
  started_as_voter_ = roster_.self().voter;
  if (!started_as_voter_) return;
  const peers::Roster& roster = roster_.roster();
  state_ = {};
  consensus::RaftNode::Options options;
  options.id = identity_.identity();
  options.self = roster_.self().name;
  options.voters = roster.Voters();
  options.heartbeat = roster.timings.heartbeat;
  options.election = roster.timings.election;
  options.seed = seed_ ^ identity_.identity() ^ identity_.process_incarnation();
  node_ = std::make_unique<consensus::RaftNode>(std::move(options), store_, state_);
  if (node_->damaged()) {
    RejoinWithNewIdentity(
        "settled log damaged, this folder joins anew and has "
        "no vote until then");
  }
}

void ReplicatedLog::OnRosterChanged() {
  if (started_as_voter_ != roster_.self().voter) {
    Start();
  } else if (node_) {
    node_->SetVoters(roster_.roster().Voters());
  }
}

void ReplicatedLog::RejoinWithNewIdentity(std::string_view reason) {
  observe::Log(Concern::kFleet, Level::kError, reason);
  store_.Clear();
  identity_.Renew();
  Start();
}

// If peers remember a later incarnation of this member than its folder contains, the member may
// have cast votes that the folder does not record.
void ReplicatedLog::RejoinIfFolderIsStale() {
  if (!failure_detector_.folder_is_stale() || node_->bootstrapped()) return;
  if (std::exchange(stale_folder_handled_, true)) return;
  bool damaged = false;
  if (!store_.Load(damaged).empty() || damaged) {
    RejoinWithNewIdentity("settled log is an old copy, this folder joins anew");
  }
}

void ReplicatedLog::RestartAfterStoreFailure(Time now) {
  if (!restart_at_) {
    observe::Log(Concern::kFleet, Level::kError, "settled log cannot be written");
    restart_at_ = now + kStoreRetryDelay;
  }
  if (now < *restart_at_) return;
  restart_at_.reset();
  Start();
}

void ReplicatedLog::Tick(Time now) {
  if (!node_) return;
  RejoinIfFolderIsStale();
  // Voting is allowed once at least half of the other voters have reported what they remember of
  // this member.
  const std::size_t others = roster_.roster().Voters().size() - 1;
  if (failure_detector_.answered_by() >= (others + 1) / 2) node_->AllowVoting();
  if (node_->broken()) return RestartAfterStoreFailure(now);
  node_->Tick(now);
}

peers::Time ReplicatedLog::Next() const { return node_ ? node_->Next() : Time::max(); }

void ReplicatedLog::Receive(const peers::Frame& frame, Time now) {
  if (!node_) return;
  const bool is_bootstrap = frame.kind == peers::Kind::kBootstrap;
  node_->Receive(frame.from, frame.identity, is_bootstrap, frame.body, now);
}

std::vector<consensus::RaftNode::Message> ReplicatedLog::TakeMessages() {
  if (!node_) return {};
  return node_->TakeMessages();
}

void ReplicatedLog::Propose(std::string_view command, consensus::RaftNode::Done done) {
  node_->Propose(command, std::move(done));
}

}  // namespace brassfront::fleet
