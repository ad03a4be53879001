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

  // A list of endpoints on its way to the engine; what comes back goes there. For any thread.
  MemberList Filter(MemberList list) {
    if (sharing_) sharing_->Listed(list);
    return exclusions_.Take(std::move(list));
  }

  // What the engine is to tell of its calls; none: nothing is shared beside work.
  CallObserver* call_observer() { return sharing_.get(); }

  // From now on it speaks with its peers. What was settled before about this forwarder holds before
  // it returns: a machine that is out starts standing by. Throws std::runtime_error.
  void Begin(ForwarderControl control);
  // Reads the roster again; a bad one, or one that changes too much, changes nothing and leaves a
  // line. For any thread.
  void Reload();
  // Tells the peers that this forwarder ends, and stops.
  void Leave();

 private:
  using Time = peers::Time;
  struct ReloadNow {};
  struct LeaveNow {};
  struct Banned {
    std::set<std::string> endpoints;
  };
  struct Asked {
    ControlRequest call;
    std::promise<ControlReply> reply;
  };
  using Item = std::variant<ReloadNow, LeaveNow, Banned, Asked>;

  // A command of an operator's that waits to be settled.
  struct Pending {
    maintenance::Command command;
    std::promise<ControlReply> reply;
    Time until{}, next_try{};
  };

  void Work();
  void Put(Item item);
  void TakeItems();
  void On(const ReloadNow&) { TakeRoster(); }
  void On(const LeaveNow&);
  void On(Banned& e) { local_.banned = std::move(e.endpoints); }
  void On(Asked& e);
  void ReadDatagrams(Time now);
  void TakeFrame(const peers::Frame& frame, Time now);
  void TakeAsk(const peers::Frame& frame);
  void TakeNews(const peers::Frame& frame);
  void TakeRoster();
  void MakeRaftNode();
  void Rejoin(std::string_view why);
  void TickRaftNode(Time now);
  void LeadTurns(Time now);
  void DoDuty(Time now);
  void AskForNews(Time now);
  void Share(Time now);
  void Know(const maintenance::MaintenanceState& newer);
  void TellRequests(const maintenance::MaintenanceState& before);
  void SettlePending(Time now);
  void Submit(const maintenance::Command& command);
  void Send(peers::Kind kind, const std::string& to, std::string body);
  void SendFrames();
  void SendOut(const peers::Frame& frame);
  void TellChanges();
  void TellDropped(peers::Drop drop, const std::string& from, Time now);
  [[nodiscard]] std::string Leader() const;
  [[nodiscard]] ControlReply Status(bool members) const;
  [[nodiscard]] ControlReply List() const;
  [[nodiscard]] bool Votes() const;

  const std::string path_, folder_;
  peers::Roster roster_;
  const std::string self_name_;
  const std::uint64_t seed_;
  LocalIdentity self_;
  EndpointExclusions exclusions_;
  std::unique_ptr<Sharing> sharing_;  // none: the roster has no such part
  ForwarderControl forwarder_;
  Socket socket_;
  Socket wake_;  // eventfd
  BoundedQueue<Item> inbox_{64};

  // The thread's own.
  peers::FailureDetector failure_detector_;
  consensus::FileStore store_;
  maintenance::MaintenanceState settled_;  // what our own log comes to, if we vote
  std::unique_ptr<consensus::RaftNode> raft_node_;
  Time council_again_{};
  bool old_seen_ = false;                // the folder was found to be an old copy
  maintenance::MaintenanceState known_;  // the newest settled state that we have, from whoever
  maintenance::MaintenanceScheduler leader_;
  std::optional<Time> leads_since_;
  bool leader_waits_ = false;    // for its last command
  std::string believed_leader_;  // where we do not vote
  std::map<std::string, std::uint64_t> loads_;
  maintenance::LocalMember local_;
  Time stands_by_since_{};
  std::set<std::string> ban_asked_;
  Time next_duty_{}, next_news_{};
  std::vector<Pending> pending_;
  std::map<std::string, Time> told_;  // bad frames, by whom they claim to be from
  std::map<peers::Drop, std::uint64_t> dropped_;
  std::set<std::string> duplicate_members_;  // names that two processes use, as was told
  std::vector<char> buffer_;
  std::vector<peers::Frame> out_;
  bool leaving_ = false;

  std::unique_ptr<ControlServer> control_server_;
  Thread thread_;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_FLEET_HPP_
