// The lives of taken messages: which state each is in, what became of it so far, and which ones
// should have ended by now. It decides nothing: it is the engine's own check on itself.
//
// Does no I/O and knows no clock; used by one thread. Times are those of the caller's clock.
#ifndef BRASSFRONT_FORWARDER_MESSAGE_TRACE_HPP_
#define BRASSFRONT_FORWARDER_MESSAGE_TRACE_HPP_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace brassfront {

// What a taken message is waiting for. A state follows from the life's steps.
enum class LifeState {
  kHeld,    // for its turn
  kOut,     // for the end of an attempt
  kEnding,  // for the platform to hear its notice
  kOver     // nothing: its end is noted
};

enum class Step : std::uint8_t {
  kTaken,      // the spool has it
  kRestored,   // from an earlier process; detail: its attempts
  kHeard,      // the client was told
  kStarted,    // an attempt; detail: the next hop
  kSettled,    // an attempt; detail: its outcome as the module names it
  kGivenUp,    // its notice was handed over; detail: 1 if deferred
  kDelivered,  // over
  kGone,       // over: the endpoint says that nothing more is owed
  kNoticed,    // over: the platform has heard
  kWithdrawn   // over: the client went before it was told
};

class MessageTrace {
 public:
  using Time = std::chrono::nanoseconds;
  using MessageId = std::uint64_t;

  // A message that has not ended so long after its time is overdue. The rule allows 300 ms.
  static constexpr Time kGrace = std::chrono::milliseconds(150);
  static constexpr std::size_t kMostSteps = 24;  // kept of each; of more, the first and the last

  struct Overdue {
    MessageId message = 0;
    LifeState state = LifeState::kHeld;
    std::string history;  // `taken+0 heard+1 started+5(12) ...`, in ms since the first step
  };

  // A new life. An id that lives already keeps its life, and false is returned.
  bool Begin(MessageId message, Time now, Time deadline, Step step, std::uint32_t detail = 0);
  // Steps of messages that are over or unknown are passed over: an attempt may settle after that.
  void Note(MessageId message, Time now, Step step, std::uint32_t detail = 0);

  // The state; kOver for any that does not live.
  [[nodiscard]] LifeState StateOf(MessageId message) const;
  [[nodiscard]] std::string HistoryOf(MessageId message) const;
  [[nodiscard]] std::size_t living() const { return lives_.size(); }

  // When the next one becomes overdue; Time::max() if none can.
  [[nodiscard]] Time Next() const;
  // Those that have become overdue by now; each is told once.
  std::vector<Overdue> TakeOverdue(Time now);
  [[nodiscard]] std::uint64_t overdue() const { return overdue_; }  // of this process, so far

 private:
  struct Mark {
    std::uint32_t ms = 0;  // since the first step
    Step step = Step::kTaken;
    std::uint32_t detail = 0;
  };
  struct Life {
    Time started_at{};
    Time deadline{};
    LifeState state = LifeState::kHeld;
    std::uint32_t out = 0;    // attempts
    std::uint32_t steps = 0;  // with those that are not kept
    std::array<Mark, kMostSteps> marks{};
  };

  void Add(Life& life, Time now, Step step, std::uint32_t detail);
  static std::string History(const Life& life);

  std::map<MessageId, Life> lives_;
  std::set<std::pair<Time, MessageId>> due_;
  std::uint64_t overdue_ = 0;
};

const char* NameOf(LifeState state);
const char* NameOf(Step step);

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_MESSAGE_TRACE_HPP_
