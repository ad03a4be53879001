// Which members are alive: SWIM (Das, Gupta, Motivala 2002) with suspicion, and Lifeguard's local
// health (Dadgar, Phillips, Currey 2017): a member that misses answers doubts itself before it
// doubts others.
//
// In each period of `probe` a member pings one other, in a random order in which each comes once a
// round. Where no ack comes within `answer`, it asks proxies to ping the target for it. A target
// that nobody reached by the end of the period is suspected, and declared dead after `suspicion`
// unless it refutes that. Traffic per member does not grow with the fleet; updates on members ride
// on the frames of probes.
//
// A core: no I/O, no clock, no threads, one seed. It is fed frames and the time, and returns frames
// to send and changes. One thread owns it.
//
// Invariants:
// - A member's incarnation never runs backwards; an update of a lower one is ignored.
// - Only the member itself raises its incarnation, to refute.
// - An update that a member is dead only begins our own suspicion of it, or shortens that to
//   `suspicion` after the last frame that we have received of the member.
// - A process that was paused declares nobody dead for what it missed.
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
    std::uint64_t identity = 0;         // of its folder; 0: no frame of it yet
    std::uint64_t former_identity = 0;  // the one before
    // Times that a frame of the former identity came again: two processes use the name.
    std::size_t identity_flips = 0;
    Link link = Link::kTwoWay;
    Time last_heard{};              // when its last frame came to us
    Time suspicion_ends{};          // while suspected: when it is declared dead
    std::size_t missed_probes = 0;  // direct probes in a row
  };

  // A state or a link that has changed, for the log and the other cores.
  struct Change {
    std::string name;
    State from{}, to{};
    std::uint64_t incarnation = 0;
    std::optional<Link> link{};  // if it is the link that changed
  };

  struct Counts {
    std::uint64_t probes = 0;                   // direct ones, one a period
    std::uint64_t missed = 0;                   // probes that nobody answered
    std::uint64_t indirect_probes = 0;          // probes for which proxies were asked
    std::uint64_t refutations = 0;              // refutations of our own suspicion or death
    std::uint64_t stale = 0;                    // frames of an older incarnation than we know
    std::uint64_t pauses = 0;                   // times that this process was paused
    std::uint64_t bad = 0;                      // frames that could not be read
    std::uint64_t duplicate_sender_frames = 0;  // frames of a second process with a peer's name
  };

  // `identity` and `process_incarnation` are those of this member's folder; `members` may contain
  // `self`.
  FailureDetector(const Timings& timings, std::string self, const std::vector<std::string>& members,
                  std::uint64_t identity, std::uint64_t process_incarnation, std::uint64_t seed);

  // Does what is due. To be called at Next() at the latest; a call that comes much later means that
  // this process was paused.
  void Tick(Time now);
  [[nodiscard]] Time Next() const;
  // A frame of a peer, its signature checked. Frames of other cores count as signs of life.
  void Receive(const Frame& frame, Time now);
  // Announces that this process ends, so that others need not suspect it. Nothing is done after it.
  void Leave(Time now);
  // The roster has changed.
  void SetMembers(const std::vector<std::string>& members);

  // Each call returns a frame or a change once, in order.
  std::vector<Frame> TakeFrames() { return std::exchange(frames_, {}); }
  std::vector<Change> TakeChanges() { return std::exchange(changes_, {}); }

  [[nodiscard]] const std::map<std::string, Peer>& peers() const { return peers_; }
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
  [[nodiscard]] std::uint64_t identity() const { return identity_; }
  // Lifeguard's local health score, 0 (healthy) to 8: our own time limits are (1 + score) times as
  // long.
  [[nodiscard]] std::size_t local_health_score() const { return local_health_.score(); }
  // Others remember a later process incarnation of ours than our folder does: it is an old copy, or
  // was lost.
  [[nodiscard]] bool folder_is_stale() const { return folder_is_stale_; }
  // Peers that have acknowledged a probe since our start, and so have told what they know of us.
  [[nodiscard]] std::size_t answered_by() const { return answered_by_.size(); }

 private:
  // Our probe of this period.
  struct DirectProbe {
    std::string target;
    std::uint32_t sequence = 0;
    Time request_indirect_at{};  // without an ack until then, proxies are asked
    Time ends{};
    bool indirect_requested = false;
    bool answered = false;  // by the target or by way of a proxy
    bool answered_directly = false;
    std::size_t proxies = 0;        // asked
    std::size_t proxies_heard = 0;  // that have confirmed it
  };
  // A probe that we do as a proxy.
  struct IndirectProbe {
    std::uint32_t sequence = 0;  // of our ping
    std::string requester;
    std::uint32_t requester_sequence = 0;  // of its ping-req
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

  // ---- what is believed of a peer ----
  void Suspect(const std::string& name, Peer& peer, Time now);
  void SetState(const std::string& name, Peer& peer, State state, std::uint64_t incarnation);
  void UpdateLink(const std::string& name, Peer& peer);

  const Timings timings_;
  const std::string self_;
  const std::uint64_t identity_;
  std::uint64_t incarnation_;
  Random random_;
  std::map<std::string, Peer> peers_;
  std::set<std::string> suspects_;  // the peers in kSuspect
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
