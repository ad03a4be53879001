// A forwarder's membership in a fleet. It connects the components that members have in common
// (failure detection, the replicated log, maintenance, quota leases, health reports) to one thread,
// a datagram socket and a control socket. The components make all decisions.
#ifndef BRASSFRONT_FLEET_FLEET_HPP_
#define BRASSFRONT_FLEET_FLEET_HPP_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "concurrency/thread.hpp"
#include "exclusions/endpoint_exclusions.hpp"
#include "fleet/control_server.hpp"
#include "fleet/duty_executor.hpp"
#include "fleet/event_inbox.hpp"
#include "fleet/known_state.hpp"
#include "fleet/local_identity.hpp"
#include "fleet/maintenance_leadership.hpp"
#include "fleet/operator_requests.hpp"
#include "fleet/peer_change_log.hpp"
#include "fleet/peer_transport.hpp"
#include "fleet/replicated_log.hpp"
#include "fleet/roster_watcher.hpp"
#include "fleet/sharing.hpp"
#include "fleet/state_exchange.hpp"
#include "fleet/state_messages.hpp"
#include "forwarder/forwarder_control.hpp"
#include "peers/failure_detector.hpp"

namespace brassfront::fleet {

class Fleet {
 public:
  // `self` is this forwarder's name in the roster; `folder` is the forwarder's state folder. Reads
  // the roster, locks the folder and increments the process incarnation stored in it. Throws
  // records::BadRecords and std::runtime_error.
  Fleet(std::string roster_path, const std::string& self, const std::string& folder,
        std::uint64_t seed, EndpointExclusions& exclusions);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // To be called with each endpoint list that is passed to the engine. Any thread may call.
  void OnEndpointList(const MemberList& list);

  // Observer that the engine has to notify of its calls; nullptr if the roster shares neither
  // limits nor health reports. Valid for the lifetime of this object.
  [[nodiscard]] CallObserver* call_observer() { return sharing_.get(); }

  // Opens the sockets and starts the thread. If the machine is in maintenance according to the last
  // known state, the forwarder is in standby before this function returns. The functions of
  // `forwarder` must remain callable until Stop returns. Throws std::runtime_error.
  void Start(ForwarderControl forwarder);
  // Requests that the fleet's thread read the roster again, and returns without waiting. A roster
  // that is invalid, or changes more than a reload may change, is logged and ignored. Any thread
  // may call.
  void ReloadRoster();
  // Notifies the peers that this forwarder is leaving, and ends the thread. Pending operator
  // requests get an error reply. To be called on the owner's thread.
  void Stop();

 private:
  using Time = peers::Time;

  // ---- events from other threads ----
  struct RosterReloadRequested {};
  struct StopRequested {};
  // The engine starts no more calls to these endpoints.
  struct ExclusionsApplied {
    std::set<std::string> endpoints;
  };
  using Event =
      std::variant<RosterReloadRequested, StopRequested, ExclusionsApplied, ReceivedControlRequest>;

  struct Readiness {
    bool datagrams = false;
    bool events = false;
  };

  // ---- the fleet's thread ----
  void Run();
  [[nodiscard]] Readiness WaitForInput() const;
  void HandleEvents();
  void On(const RosterReloadRequested& event);
  void On(const StopRequested& event);
  void On(ExclusionsApplied& event);
  void On(ReceivedControlRequest& event);
  void HandleFrame(const peers::Frame& frame, Time now);
  void HandleForwardedCommand(const peers::Frame& frame);
  void HandleStateMessage(const peers::Frame& frame);
  void AdoptState(const maintenance::MaintenanceState& state);
  void UpdateLeadership(Time now);
  void PerformDuty(Time now);
  void RequestState(Time now);
  void ExchangeSharing(Time now);
  void AdvanceOperatorRequests(Time now);
  void SubmitToLeader(const maintenance::Command& command);
  void QueueFrame(peers::Kind kind, const std::string& to, std::string body);
  void SendFrames();

  [[nodiscard]] std::string KnownLeader() const;
  [[nodiscard]] MemberView View() const;
  // Called on the control server's thread; waits for the reply of the fleet's thread.
  [[nodiscard]] ControlReply HandleControlRequest(const ControlRequest& request);

  const std::string folder_;
  const std::string self_name_;
  RosterWatcher roster_;
  LocalIdentity local_identity_;
  EndpointExclusions& exclusions_;    // thread-safe
  std::unique_ptr<Sharing> sharing_;  // thread-safe; nullptr: the roster shares nothing
  ForwarderControl forwarder_;
  EventInbox<Event> inbox_;  // thread-safe

  // Used only by the fleet's thread once that thread is running.
  peers::FailureDetector failure_detector_;
  PeerTransport transport_;
  MaintenanceLeadership leadership_;
  ReplicatedLog replicated_log_;
  KnownState known_state_;
  DutyExecutor duty_executor_;
  StateExchange state_exchange_;
  OperatorRequests operator_requests_;
  PeerChangeLog peer_change_log_;
  std::vector<peers::Frame> outgoing_frames_;
  bool stopping_ = false;

  std::unique_ptr<ControlServer> control_server_;
  Thread thread_;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_FLEET_HPP_
