// Which members live: SWIM (Das, Gupta, Motivala 2002) with suspicion, and what Lifeguard (Dadgar,
// Phillips, Currey 2017) adds: a member that misses answers doubts itself before it doubts others.
//
// A core: no I/O, no clock, no threads, one seed. It is fed frames and the time, and hands back
// frames to send and what has changed. One thread owns it. Each member sends about one probe every
// `probe`, whatever the size of the fleet, and words about members ride on these.
//
// An incarnation is a member's number of starts, kept in its folder, and behind it the number of
// times that it has denied its own death since then: of two words about a member the one with the
// higher incarnation is newer, so a restart is told from a stale update.
#ifndef BRASSFRONT_PEERS_FAILURE_DETECTOR_HPP_
#define BRASSFRONT_PEERS_FAILURE_DETECTOR_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "peers/frame.hpp"
#include "peers/random.hpp"
#include "peers/roster.hpp"

namespace brassfront::peers {

class Reader;
class Writer;

// kUnknown: not heard of since our start. kLeft: it said that it ends. kDead may be alive and cut
// off: nobody can tell.
enum class State : std::uint8_t { kUnknown, kAlive, kSuspect, kDead, kLeft };
const char* ToString(State state);

// Between us and one peer, by our own probes. kOneWay: we hear it, and our probes come back by way
// of others alone. kIndirect: neither hears the other directly, and others hear it.
enum class Link : std::uint8_t { kTwoWay, kOneWay, kIndirect };
const char* ToString(Link link);

inline constexpr std::uint64_t kRefutationBits = 20;
inline std::uint64_t FirstIncarnation(std::uint64_t process_incarnation) {
  return process_incarnation << kRefutationBits;
}
inline std::uint64_t ProcessIncarnationOf(std::uint64_t incarnation) {
  return incarnation >> kRefutationBits;
}

class FailureDetector {
 public:
  struct Peer {
    State state = State::kUnknown;
    std::uint64_t incarnation = 0;
    std::uint64_t identity = 0;         // of its folder; 0: not heard directly
    std::uint64_t former_identity = 0;  // identity before that one
    std::size_t flips = 0;  // times that the former one was heard again: two use the name
    Link link = Link::kTwoWay;
    Time last_heard{};              // its last frame that came to us
    Time suspicion_ends{};          // while suspected: if no word of its process_incarnation comes
    std::size_t missed_probes = 0;  // direct probes in a row
  };

  // Something to tell people and the other cores: a state, or a link.
  struct Change {
    std::string name;
    State from{}, to{};
    std::uint64_t incarnation = 0;
    std::optional<Link> link{};  // if it is the link that changed
  };

  struct Counts {
    std::uint64_t probes = 0, missed = 0, indirect_probes = 0, denials = 0, stale = 0, pauses = 0;
    std::uint64_t bad = 0;    // frames that could not be read
    std::uint64_t twice = 0;  // words of two processes with one name
  };

  FailureDetector(const Timings& timings, std::string self, const std::vector<std::string>& members,
                  std::uint64_t identity, std::uint64_t process_incarnation, std::uint64_t seed);

  // Does what is due. To be called at Next() at the latest; a call that comes much later means that
  // this process was stopped, and nobody is judged by what it missed.
  void Tick(Time now);
  [[nodiscard]] Time Next() const;
  // A frame of a peer that has checked. Kinds of other cores count as signs of process_incarnation.
  void Receive(const Frame& frame, Time now);
  // Says good-bye: others need not suspect us.
  void Leave(Time now);
  // The roster has changed.
  void SetMembers(const std::vector<std::string>& members);

  std::vector<Frame> TakeFrames() { return std::exchange(frames_, {}); }
  std::vector<Change> TakeChanges() { return std::exchange(changes_, {}); }

  [[nodiscard]] const std::map<std::string, Peer>& peers() const { return peers_; }
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
  [[nodiscard]] std::uint64_t identity() const { return identity_; }
  // 0: all is well. Each probe that went unanswered adds one, 8 at most, where those that were
  // asked for help were silent as well: then it may be us. Our own time limits are so many times
  // longer, and one more.
  [[nodiscard]] std::size_t doubt() const { return local_health_score_; }
  // Others have known a later process_incarnation of ours than our folder does: it is an old copy,
  // or was lost.
  [[nodiscard]] bool folder_is_stale() const { return folder_is_stale_; }
  // Peers that have told, since our start, what they know of us (an answer to a probe).
  [[nodiscard]] std::size_t answered_by() const { return answered_by_.size(); }

 private:
  struct GossipUpdate {
    std::string name;
    State state{};
    std::uint64_t incarnation = 0;
  };
  struct DirectProbe {  // our probe of this period
    std::string target;
    std::uint32_t sequence = 0;
    Time request_indirect_at{}, ends{};
    bool indirect_requested = false, answered = false, directly = false;
    std::size_t proxies = 0, proxies_heard = 0;
  };
  struct IndirectProbe {  // a probe for somebody else
    std::uint32_t sequence = 0;
    std::string requester;
    std::uint32_t requester_sequence = 0;
    Time ends{};
  };

  void StartProbe(Time now);
  void EndProbe(Time now);
  void SendPing(const std::string& target, std::uint32_t sequence);
  void Send(Kind kind, const std::string& to, Writer body);
  void RecordSender(const Frame& frame, Time now);
  void OnProbeAnswered(const std::string& name, std::uint32_t sequence, bool directly);
  void ApplyUpdate(const GossipUpdate& update, Time now);
  void ApplyUpdateAboutSelf(const GossipUpdate& update);
  void SetState(const std::string& name, Peer& peer, State state, std::uint64_t incarnation);
  void Suspect(const std::string& name, Peer& peer, Time now);
  void UpdateLink(const std::string& name, Peer& peer);
  void Disseminate(const std::string& name);
  void EncodeUpdates(Writer& body, const std::string& to);
  std::vector<GossipUpdate> DecodeUpdates(Reader& reader);
  std::optional<std::string> NextProbeTarget();
  std::vector<std::string> ChooseAliveMembers(std::size_t max_count, const std::string& excluded);
  [[nodiscard]] bool IsPresent(const Peer& peer) const {
    return peer.state == State::kAlive || peer.state == State::kSuspect;
  }
  [[nodiscard]] Time ScaleByLocalHealth(Time time) const {
    return time * static_cast<Time::rep>(1 + local_health_score_);
  }

  const Timings timings_;
  const std::string self_;
  const std::uint64_t identity_;
  std::uint64_t incarnation_;
  Random random_;
  std::map<std::string, Peer> peers_;
  std::set<std::string> suspects_;
  std::map<std::string, std::size_t>
      transmissions_left_;                // words, by whom they are about: times left
  std::vector<std::string> probe_round_;  // still to be probed in this round
  std::optional<DirectProbe> probe_;
  std::vector<IndirectProbe> indirect_probes_;
  std::set<std::string> answered_by_;
  std::uint32_t next_sequence_ = 1;
  std::uint64_t periods_ = 0;
  Time next_probe_{};
  std::optional<Time> last_tick_;
  std::size_t local_health_score_ = 0;
  bool folder_is_stale_ = false;
  bool left_ = false;
  std::vector<Frame> frames_;
  std::vector<Change> changes_;
  Counts counts_;
};

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_FAILURE_DETECTOR_HPP_
