// This member's part in the replicated log: its Raft node if the roster makes it a voter, the store
// beneath it, and the maintenance state that the committed commands come to.
//
// The node is made anew when its store failed, and under a new identity when the folder turns out
// to be damaged or an old copy: such a folder must not vote for what it may have forgotten.
#ifndef BRASSFRONT_FLEET_REPLICATED_LOG_HPP_
#define BRASSFRONT_FLEET_REPLICATED_LOG_HPP_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/file_store.hpp"
#include "consensus/raft_node.hpp"
#include "fleet/local_identity.hpp"
#include "fleet/roster_watcher.hpp"
#include "maintenance/maintenance_state.hpp"
#include "peers/failure_detector.hpp"
#include "peers/frame.hpp"

namespace brassfront::fleet {

// Owned and called by the fleet's thread, but for Start.
class ReplicatedLog {
 public:
  using Time = peers::Time;

  // All three must outlive this object. Throws std::runtime_error where the folder cannot be
  // written.
  ReplicatedLog(const RosterWatcher& roster, LocalIdentity& identity,
                const peers::FailureDetector& failure_detector, const std::string& folder,
                std::uint64_t seed);

  // Makes the Raft node, or drops it if this member is no voter. To be called at the start and when
  // that changes. Throws std::runtime_error where the log cannot be read at all.
  void Start();
  // The roster has changed: starts or drops the node if this member has become a voter or has
  // ceased to be one, and else tells the node who votes.
  void OnRosterChanged();
  // Does what is due; to be called at Next() at the latest.
  void Tick(Time now);
  [[nodiscard]] Time Next() const;

  // A frame of kind kRaftMessage or kBootstrap.
  void Receive(const peers::Frame& frame, Time now);
  [[nodiscard]] std::vector<consensus::RaftNode::Message> TakeMessages();
  // Only on the leader. `done` is called once, during this call or a later one.
  void Propose(std::string_view command, consensus::RaftNode::Done done);

  // This member votes, and its log has begun: it knows who leads.
  [[nodiscard]] bool bootstrapped() const { return node_ && node_->bootstrapped(); }
  [[nodiscard]] bool is_leader() const { return node_ && node_->leads(); }
  // Empty: none is known. Of use only if bootstrapped.
  [[nodiscard]] std::string leader() const { return node_->leader(); }
  [[nodiscard]] std::uint64_t term() const { return node_ ? node_->term() : 0; }
  // This folder is a voter of the log's own configuration.
  [[nodiscard]] bool votes() const { return node_ && node_->votes(); }
  // What the committed commands come to; nullptr: this member is no voter.
  [[nodiscard]] const maintenance::MaintenanceState* state() const {
    return node_ ? &state_ : nullptr;
  }

 private:
  void RejoinWithNewIdentity(std::string_view reason);
  void RejoinIfFolderIsStale();
  void RestartAfterStoreFailure(Time now);

  const RosterWatcher& roster_;
  LocalIdentity& identity_;
  const peers::FailureDetector& failure_detector_;
  const std::uint64_t seed_;
  consensus::FileStore store_;
  maintenance::MaintenanceState state_;
  std::unique_ptr<consensus::RaftNode> node_;
  bool started_as_voter_ = false;  // by the roster at the last change
  bool stale_folder_handled_ = false;
  std::optional<Time> restart_at_;  // set: the store has failed
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_REPLICATED_LOG_HPP_
