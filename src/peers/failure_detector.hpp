// Failure detector for the members of the fleet: SWIM (Das, Gupta, Motivala 2002) with suspicion
// and Lifeguard's local health score (Dadgar, Phillips, Currey 2017). A member that misses acks
// extends its own time limits before it declares others dead.
//
// In each period of length `probe`, a member pings one other member. The order is random, and each
// member is pinged once a round. If no ack arrives within `answer`, the member requests proxies to
// ping the target on its behalf. A target that nobody reached by the end of the period becomes a
// suspect, and is declared dead after `suspicion` unless it refutes that. Traffic per member does
// not grow with the size of the fleet, because updates on members are piggybacked on probe frames.
//
// Deterministic: no I/O, no clock, no threads, one random seed. The caller passes in received
// frames and the time, and gets back frames to send and state changes. Owned by one thread.
//
// Invariants:
// - A member's incarnation never decreases; an update with a lower one is ignored.
// - Only the member itself raises its incarnation, in order to refute.
// - An update that reports a member as dead only starts our own suspicion of that member, or
//   shortens the suspicion so that it ends `suspicion` after the last frame received from it.
// - A process that was paused declares no member dead for frames that it missed meanwhile.
#ifndef BRASSFRONT_PEERS_FAILURE_DETECTOR_HPP_
#define BRASSFRONT_PEERS_FAILURE_DETECTOR_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "peers/frame.hpp"
#include "peers/gossip_queue.hpp"
#include "peers/local_health.hpp"
#include "peers/member_state.hpp"
#include "peers/probe_round.hpp"
#include "peers/random.hpp"
#include "peers/roster.hpp"
#include "peers/swim_messages.hpp"

namespace brassfront::peers {

class FailureDetector {
 public:
  struct Peer {
    State state = State::kUnknown;
    std::uint64_t incarnation = 0;
    std::uint64_t identity = 0;         // folder id; 0: no frame received yet
    std::uint64_t former_identity = 0;  // the folder id before that
    // Number of times that the former identity came back: two processes use the name.
    std::size_t identity_flips = 0;
    Link link = Link::kTwoWay;
    Time last_heard{};              // when we received its last frame
    Time suspicion_ends{};          // while suspected: when it is declared dead
    std::size_t missed_probes = 0;  // consecutive direct probes
  };

  // A change of a peer's state or link, for the log and the other components.
  struct Change {
    std::string name;
    State from{}, to{};
    std::uint64_t incarnation = 0;
    std::optional<Link> link{};  // set only if the link changed
  };

  struct Counts {
    std::uint64_t probes = 0;                   // direct probes, one per period
    std::uint64_t missed = 0;                   // probes that nobody answered
    std::uint64_t indirect_probes = 0;          // probes for which proxies were requested
    std::uint64_t refutations = 0;              // times that we refuted being suspect or dead
    std::uint64_t stale = 0;                    // frames with an older incarnation than known
    std::uint64_t pauses = 0;                   // times that this process was paused
    std::uint64_t bad = 0;                      // frames that could not be decoded
    std::uint64_t duplicate_sender_frames = 0;  // frames of a second process with a peer's name
  };

  // `identity` and `process_incarnation` come from this member's folder. `members` may contain
  // `self`.
  FailureDetector(const Timings& timings, std::string self, const std::vector<std::string>& members,
                  std::uint64_t identity, std::uint64_t process_incarnation, std::uint64_t seed);

  // Does the work that is due. Must be called at Next() at the latest; a call that comes much later
  // means that this process was paused.
  void Tick(Time now);
  [[nodiscard]] Time Next() const;
  // Handles a frame from a peer; the caller has checked its signature. A frame of any kind shows
  // that its sender is alive.
  void Receive(const Frame& frame, Time now);
  // Announces that this process ends, so that other members need not suspect it. The detector does
  // nothing afterwards.
  void Leave(Time now);
  // Replaces the members after a change of the roster.
  void SetMembers(const std::vector<std::string>& members);

  // Return the frames to send, or the changes, in order, and clear the list.
  std::vector<Frame> TakeFrames() { return std::exchange(frames_, {}); }
  std::vector<Change> TakeChanges() { return std::exchange(changes_, {}); }

  [[nodiscard]] const std::map<std::string, Peer>& peers() const { return peers_; }
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
  [[nodiscard]] std::uint64_t identity() const { return identity_; }
  // Lifeguard's local health score, 0 (healthy) to 8. This member's own time limits are multiplied
  // by (1 + score).
  [[nodiscard]] std::size_t local_health_score() const { return local_health_.score(); }
  // Other members know a later process incarnation of this member than its folder contains: the
  // folder is an old copy, or the original was lost.
  [[nodiscard]] bool folder_is_stale() const { return folder_is_stale_; }
  // Number of peers that have acknowledged a probe since our start, and thereby have sent what they
  // know about this member.
  [[nodiscard]] std::size_t answered_by() const { return answered_by_.size(); }

 private:
  // This member's own probe in the current period.
  struct DirectProbe {
    std::string target;
    std::uint32_t sequence = 0;
    Time request_indirect_at{};  // proxies are requested if no ack has arrived by then
    Time ends{};
    bool indirect_requested = false;
    bool answered = false;  // by the target, directly or by way of a proxy
    bool answered_directly = false;
    std::size_t proxies = 0;        // proxies that were requested to probe
    std::size_t proxies_heard = 0;  // proxies that confirmed the request
  };
  // A probe that this member does as a proxy.
  struct IndirectProbe {
    std::uint32_t sequence = 0;  // of our ping to the target
    std::string requester;
    std::uint32_t requester_sequence = 0;  // of the requester's ping-req
    Time ends{};
  };

  // ---- time ----
  void RecoverFromPause(Time now);
  void ExpireSuspicions(Time now);

  // ---- probes ----
  void StartPeriod(Time now);
  void StartDirectProbe(Time now);
  void PingRandomSuspect();
  void PingRandomAbsentPeer();
  void RequestIndirectProbes();
  void EndDirectProbe(Time now);
  void OnProbeAnswered(const std::string& name, std::uint32_t sequence, bool directly);
  [[nodiscard]] std::vector<std::string> ChooseAlivePeers(std::size_t max_count,
                                                          const std::string& excluded);

  // ---- messages ----
  void Send(const std::string& to, const SwimMessage& message);
  void SendPing(const std::string& target);
  [[nodiscard]] std::vector<GossipUpdate> TakeUpdatesFor(const std::string& receiver);
  [[nodiscard]] GossipUpdate DescribeMember(const std::string& name) const;
  void RecordSender(const Frame& frame, Time now);
  void On(const Ping& ping, const std::string& from, Time now);
  void On(const PingRequest& request, const std::string& from, Time now);
  void On(const Ack& ack, const std::string& from, Time now);

  // ---- gossip ----
  void ApplyUpdate(const GossipUpdate& update, Time now);
  void ApplyUpdateAboutSelf(const GossipUpdate& update);
  void ApplyAlive(const GossipUpdate& update, Peer& peer);
  void ApplySuspect(const GossipUpdate& update, Peer& peer, Time now);
  void ApplyDead(const GossipUpdate& update, Peer& peer, Time now);
  void ApplyLeft(const GossipUpdate& update, Peer& peer);
  void Disseminate(const std::string& name) { gossip_.Disseminate(name, peers_.size() + 1); }

  // ---- state of a peer ----
  void Suspect(const std::string& name, Peer& peer, Time now);
  void SetState(const std::string& name, Peer& peer, State state, std::uint64_t incarnation);
  void UpdateLink(const std::string& name, Peer& peer);

  const Timings timings_;
  const std::string self_;
  const std::uint64_t identity_;
  std::uint64_t incarnation_;
  Random random_;
  std::map<std::string, Peer> peers_;
  std::set<std::string> suspects_;  // the peers in the state kSuspect
  GossipQueue gossip_;
  ProbeRound probe_round_;
  std::optional<DirectProbe> probe_;
  std::vector<IndirectProbe> indirect_probes_;
  std::set<std::string> answered_by_;
  std::uint32_t next_sequence_ = 1;
  std::uint64_t periods_ = 0;
  Time next_period_{};
  std::optional<Time> last_tick_;
  LocalHealth local_health_;
  bool folder_is_stale_ = false;
  bool left_ = false;
  std::vector<Frame> frames_;
  std::vector<Change> changes_;
  Counts counts_;
};

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_FAILURE_DETECTOR_HPP_
