// Which members live: SWIM (Das, Gupta, Motivala 2002) with suspicion, and what Lifeguard (Dadgar,
// Phillips, Currey 2017) adds: a member that misses answers doubts itself before it doubts others.
//
// A core: no I/O, no clock, no threads, one seed. It is fed frames and the time, and hands back
// frames to send and what has changed. One thread owns it. Each member sends about one probe every
// `probe`, whatever the size of the fleet, and words about members ride on these.
//
// An incarnation is a member's number of starts, kept in its folder, and behind it the number of
// times that it has denied its own death since then: of two words about a member the one with the
// higher incarnation is newer, so a restart is told from a stale word.
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
enum class Link : std::uint8_t { kWhole, kOneWay, kIndirect };
const char* ToString(Link link);

inline constexpr std::uint64_t kDenialBits = 20;
inline std::uint64_t IncarnationOf(std::uint64_t process_incarnation) {
  return process_incarnation << kDenialBits;
}
inline std::uint64_t ProcessIncarnationOf(std::uint64_t incarnation) {
  return incarnation >> kDenialBits;
}

class FailureDetector {
 public:
  struct Peer {
    State state = State::kUnknown;
    std::uint64_t incarnation = 0;
    std::uint64_t identity = 0;  // of its folder; 0: not heard directly
    std::uint64_t former = 0;    // identity before that one
    std::size_t flips = 0;       // times that the former one was heard again: two use the name
    Link link = Link::kWhole;
    Time heard{};            // its last frame that came to us
    Time dead_at{};          // while suspected: if no word of its process_incarnation comes
    std::size_t missed = 0;  // direct probes in a row
  };

  // Something to tell people and the other cores: a state, or a link.
  struct Change {
    std::string name;
    State from{}, to{};
    std::uint64_t incarnation = 0;
    std::optional<Link> link{};  // if it is the link that changed
  };

  struct Counts {
    std::uint64_t probes = 0, missed = 0, asked_others = 0, denials = 0, stale = 0, pauses = 0;
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

  std::vector<Frame> TakeFrames() { return std::exchange(out_, {}); }
  std::vector<Change> TakeChanges() { return std::exchange(changes_, {}); }

  [[nodiscard]] const std::map<std::string, Peer>& peers() const { return peers_; }
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
  [[nodiscard]] std::uint64_t identity() const { return identity_; }
  // 0: all is well. Each probe that went unanswered adds one, 8 at most, where those that were
  // asked for help were silent as well: then it may be us. Our own time limits are so many times
  // longer, and one more.
  [[nodiscard]] std::size_t doubt() const { return doubt_; }
  // Others have known a later process_incarnation of ours than our folder does: it is an old copy,
  // or was lost.
  [[nodiscard]] bool folder_is_stale() const { return folder_is_old_; }
  // Peers that have told, since our start, what they know of us (an answer to a probe).
  [[nodiscard]] std::size_t answered_by() const { return answered_.size(); }

 private:
  struct Word {
    std::string name;
    State state{};
    std::uint64_t incarnation = 0;
  };
  struct Outstanding {  // our probe of this period
    std::string target;
    std::uint32_t number = 0;
    Time ask_others{}, ends{};
    bool asked = false, answered = false, directly = false;
    std::size_t helpers = 0, helpers_heard = 0;
  };
  struct Errand {  // a probe for somebody else
    std::uint32_t number = 0;
    std::string asker;
    std::uint32_t askers_number = 0;
    Time ends{};
  };

  void StartProbe(Time now);
  void EndProbe(Time now);
  void Ping(const std::string& target, std::uint32_t number);
  void Send(Kind kind, const std::string& to, Writer body);
  void Hear(const Frame& frame, Time now);
  void Answered(const std::string& name, std::uint32_t number, bool directly);
  void Take(const Word& word, Time now);
  void TakeAboutSelf(const Word& word);
  void Set(const std::string& name, Peer& peer, State state, std::uint64_t incarnation);
  void Suspect(const std::string& name, Peer& peer, Time now);
  void SetLink(const std::string& name, Peer& peer);
  void Spread(const std::string& name);
  void PutWords(Writer& body, const std::string& to);
  std::vector<Word> ReadWords(Reader& reader);
  std::optional<std::string> NextTarget();
  std::vector<std::string> Some(std::size_t most, const std::string& but);
  [[nodiscard]] bool IsPresent(const Peer& peer) const {
    return peer.state == State::kAlive || peer.state == State::kSuspect;
  }
  [[nodiscard]] Time Stretched(Time time) const {
    return time * static_cast<Time::rep>(1 + doubt_);
  }

  const Timings timings_;
  const std::string self_;
  const std::uint64_t identity_;
  std::uint64_t incarnation_;
  Random random_;
  std::map<std::string, Peer> peers_;
  std::set<std::string> suspects_;
  std::map<std::string, std::size_t> to_spread_;  // words, by whom they are about: times left
  std::vector<std::string> round_;                // still to be probed in this round
  std::optional<Outstanding> probe_;
  std::vector<Errand> errands_;
  std::set<std::string> answered_;
  std::uint32_t next_number_ = 1;
  std::uint64_t periods_ = 0;
  Time next_probe_{};
  std::optional<Time> last_tick_;
  std::size_t doubt_ = 0;
  bool folder_is_old_ = false;
  bool left_ = false;
  std::vector<Frame> out_;
  std::vector<Change> changes_;
  Counts counts_;
};

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_FAILURE_DETECTOR_HPP_
