// The driver of all that forwarders share: one thread with a datagram socket feeds the cores and
// sends what they say. It decides nothing.
#ifndef BRASSFRONT_FLEET_FLEET_HPP_
#define BRASSFRONT_FLEET_FLEET_HPP_

#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "concurrency/bounded_queue.hpp"
#include "concurrency/thread.hpp"
#include "consensus/file_store.hpp"
#include "consensus/raft_node.hpp"
#include "fleet/control_server.hpp"
#include "fleet/endpoint_exclusions.hpp"
#include "fleet/forwarder_control.hpp"
#include "fleet/local_identity.hpp"
#include "fleet/sharing.hpp"
#include "maintenance/maintenance_scheduler.hpp"
#include "net/socket.hpp"
#include "peers/failure_detector.hpp"
#include "peers/roster.hpp"

namespace brassfront::fleet {

class Fleet {
 public:
  // `self` is this forwarder's name in the roster; the folder is its own. Throws
  // records::BadRecords and std::runtime_error.
  Fleet(std::string roster_path, const std::string& self, const std::string& folder,
        std::uint64_t seed);
  ~Fleet();

  // A list of endpoints on its way to the engine; what comes back goes alive_voters. For any
  // thread.
  MemberList FilterEndpoints(MemberList list) {
    if (sharing_) sharing_->OnEndpointList(list);
    return exclusions_.Apply(std::move(list));
  }

  // What the engine is to tell of its calls; none: nothing is shared beside work.
  CallObserver* call_observer() { return sharing_.get(); }

  // From now on it speaks with its peers. What was settled before about this forwarder holds before
  // it returns: a machine that is out starts standing by. Throws std::runtime_error.
  void Start(ForwarderControl control);
  // Reads the roster again; a bad one, or one that changes too much, changes nothing and leaves a
  // line. For any thread.
  void ReloadRoster();
  // Tells the peers that this forwarder ends, and stops.
  void Stop();

 private:
  using Time = peers::Time;
  struct RosterReloadRequested {};
  struct StopRequested {};
  struct EndpointsExcluded {
    std::set<std::string> endpoints;
  };
  struct ControlRequestReceived {
    ControlRequest request;
    std::promise<ControlReply> reply;
  };
  using Event =
      std::variant<RosterReloadRequested, StopRequested, EndpointsExcluded, ControlRequestReceived>;

  // A command of an operator's that waits to be settled.
  struct PendingCommand {
    maintenance::Command command;
    std::promise<ControlReply> reply;
    Time deadline{}, next_attempt{};
  };

  void Run();
  void PostEvent(Event item);
  void HandleEvents();
  void On(const RosterReloadRequested&) { ApplyRosterFile(); }
  void On(const StopRequested&);
  void On(EndpointsExcluded& event) { local_member_.banned = std::move(event.endpoints); }
  void On(ControlRequestReceived& event);
  void ReadDatagrams(Time now);
  void HandleFrame(const peers::Frame& frame, Time now);
  void HandleForwardedCommand(const peers::Frame& frame);
  void HandleStateMessage(const peers::Frame& frame);
  void ApplyRosterFile();
  void CreateRaftNode();
  void RejoinWithNewIdentity(std::string_view why);
  void TickRaftNode(Time now);
  void RunScheduler(Time now);
  void PerformDuty(Time now);
  void RequestState(Time now);
  void RunSharing(Time now);
  void AdoptState(const maintenance::MaintenanceState& newer);
  void LogRequestChanges(const maintenance::MaintenanceState& before);
  void CompletePendingCommands(Time now);
  void SubmitCommand(const maintenance::Command& command);
  void QueueFrame(peers::Kind kind, const std::string& to, std::string body);
  void SendFrames();
  void SendFrame(const peers::Frame& frame);
  void LogPeerChanges();
  void LogDroppedFrame(peers::Drop drop, const std::string& from, Time now);
  [[nodiscard]] std::string KnownLeader() const;
  [[nodiscard]] ControlReply Status(bool members) const;
  [[nodiscard]] ControlReply List() const;
  [[nodiscard]] bool IsVoter() const;

  const std::string roster_path_, folder_;
  peers::Roster roster_;
  const std::string self_name_;
  const std::uint64_t seed_;
  LocalIdentity local_identity_;
  EndpointExclusions exclusions_;
  std::unique_ptr<Sharing> sharing_;  // none: the roster has no such part
  ForwarderControl forwarder_;
  Socket socket_;
  Socket wake_;  // eventfd
  BoundedQueue<Event> inbox_{64};

  // The thread's own.
  peers::FailureDetector failure_detector_;
  consensus::FileStore store_;
  maintenance::MaintenanceState replicated_state_;  // what our own log comes to, if we vote
  std::unique_ptr<consensus::RaftNode> raft_node_;
  Time raft_restart_at_{};
  bool stale_folder_handled_ = false;  // the folder was found to be an old copy
  maintenance::MaintenanceState
      known_state_;  // the newest settled state that we have, from whoever
  maintenance::MaintenanceScheduler scheduler_;
  std::optional<Time> leader_since_;
  bool proposal_in_flight_ = false;  // for its last command
  std::string reported_leader_;      // where we do not vote
  std::map<std::string, std::uint64_t> reported_loads_;
  maintenance::LocalMember local_member_;
  Time standby_since_{};
  std::set<std::string> requested_exclusions_;
  Time next_duty_at_{}, next_state_request_at_{};
  std::vector<PendingCommand> pending_commands_;
  std::map<std::string, Time> last_drop_logged_at_;  // bad frames, by whom they claim to be from
  std::map<peers::Drop, std::uint64_t> dropped_;
  std::set<std::string> duplicate_members_;  // names that two processes use, as was update
  std::vector<char> receive_buffer_;
  std::vector<peers::Frame> outgoing_frames_;
  bool stopping_ = false;

  std::unique_ptr<ControlServer> control_server_;
  Thread thread_;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_FLEET_HPP_
