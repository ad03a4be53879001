// This member's participation in the replicated log: its Raft node, if it is a voter in the roster,
// the node's store, and the maintenance state that results from the committed commands.
//
// The node is recreated after its store has failed. If the folder turns out to be damaged or an old
// copy, the node is recreated under a new identity: the folder may lack votes that were cast under
// the old one, so voting under it again would be unsafe.
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

// Used only by the fleet's thread, except for Start.
class ReplicatedLog {
 public:
  using Time = peers::Time;

  // The references must outlive this object. Throws std::runtime_error if the folder cannot be
  // written.
  ReplicatedLog(const RosterWatcher& roster, LocalIdentity& identity,
                const peers::FailureDetector& failure_detector, const std::string& folder,
                std::uint64_t seed);

  // Creates the Raft node, or destroys it if this member is not a voter. To be called at startup
  // and when the member's role changes. Throws std::runtime_error if the log cannot be read at all.
  void Start();
  // To be called when the roster has changed. Creates or destroys the node if this member has
  // become or ceased to be a voter; otherwise updates the node's list of voters.
  void OnRosterChanged();
  // Performs the work that is due; to be called at Next() at the latest.
  void Tick(Time now);
  [[nodiscard]] Time Next() const;

  // Handles a frame of kind kRaftMessage or kBootstrap.
  void Receive(const peers::Frame& frame, Time now);
  [[nodiscard]] std::vector<consensus::RaftNode::Message> TakeMessages();
  // To be called only on the leader. `done` is called once, during this call or a later one.
  void Propose(std::string_view command, consensus::RaftNode::Done done);

  // Returns whether this member is a voter with a log, so that it learns of the leader by itself.
  [[nodiscard]] bool bootstrapped() const { return node_ && node_->bootstrapped(); }
  [[nodiscard]] bool is_leader() const { return node_ && node_->leads(); }
  // The leader's name; empty if none is known. May be called only if bootstrapped.
  [[nodiscard]] std::string leader() const { return node_->leader(); }
  [[nodiscard]] std::uint64_t term() const { return node_ ? node_->term() : 0; }
  // Returns whether this folder is a voter in the configuration stored in the log.
  [[nodiscard]] bool votes() const { return node_ && node_->votes(); }
  // The state that results from the committed commands; nullptr if this member is not a voter.
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
  bool started_as_voter_ = false;  // according to the roster at the last Start
  bool stale_folder_handled_ = false;
  std::optional<Time> restart_at_;  // set while the store has failed
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_REPLICATED_LOG_HPP_
