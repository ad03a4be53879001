// The history of each accepted message: its state, its steps so far, and whether it should have
// ended by now. It makes no decisions; the engine uses it to report messages that have not ended by
// their deadlines.
//
// Does no I/O and reads no clock: times are those of the caller's clock. Used by one thread.
#ifndef BRASSFRONT_FORWARDER_MESSAGE_TRACE_HPP_
#define BRASSFRONT_FORWARDER_MESSAGE_TRACE_HPP_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace brassfront {

// What an accepted message is waiting for, derived from its recorded steps. The log uses the names
// below (docs/logging.md).
enum class MessageState {
  kWaiting,    // for an attempt to start
  kCalling,    // for a running attempt to complete
  kNotifying,  // for the platform to confirm the notification
  kOver        // nothing: the message has ended, or was never known
};

enum class TraceStep : std::uint8_t {
  kAccepted,      // recorded in the spool
  kRestored,      // from an earlier process; detail: the attempts it used
  kAcknowledged,  // the client received the reply that the message was accepted
  kStarted,       // an attempt; detail: the endpoint's id
  kCompleted,     // an attempt; detail: its dispatch_policy::Outcome
  kGivenUp,       // a notification is due; detail: 1 for a rejection, 0 for a failure
  kDelivered,     // final
  kNotified,      // final: the platform has confirmed the notification
  kCancelled      // final: the client disconnected before it received the reply
};

class MessageTrace {
 public:
  using Time = std::chrono::nanoseconds;
  using MessageId = std::uint64_t;

  // How long after its deadline a message becomes overdue. The platform allows 300 ms.
  static constexpr Time kGrace = std::chrono::milliseconds(150);
  // Maximum number of steps kept for each message. Of a longer history the first and the last steps
  // are kept.
  static constexpr std::size_t kMaxSteps = 24;

  struct Overdue {
    MessageId message = 0;
    MessageState state = MessageState::kWaiting;
    std::string history;  // `accepted+0 acknowledged+1 started+5(12) ...`, ms since the first step
  };

  // Begins a history with `step`. If the id is already traced, keeps its history and returns false.
  bool Begin(MessageId message, Time now, Time deadline, TraceStep step, std::uint32_t detail = 0);
  // Records a step; a final one ends the history. Steps of messages that have ended or are unknown
  // are ignored, because an attempt may complete after its message has ended.
  void Note(MessageId message, Time now, TraceStep step, std::uint32_t detail = 0);

  // Returns kOver if the message is not traced.
  [[nodiscard]] MessageState State(MessageId message) const;
  // Returns an empty text if the message is not traced.
  [[nodiscard]] std::string History(MessageId message) const;
  // Returns the number of messages that have not ended.
  [[nodiscard]] std::size_t size() const { return messages_.size(); }

  // Returns when the next message becomes overdue; Time::max() if none can.
  [[nodiscard]] Time NextOverdue() const;
  // Returns the messages that have become overdue by `now`. Each is returned once.
  [[nodiscard]] std::vector<Overdue> TakeOverdue(Time now);
  // Returns the number of messages that TakeOverdue has returned so far.
  [[nodiscard]] std::uint64_t overdue() const { return overdue_; }

 private:
  struct RecordedStep {
    std::uint32_t ms = 0;  // since the first step
    TraceStep step = TraceStep::kAccepted;
    std::uint32_t detail = 0;
  };
  struct TracedMessage {
    Time started_at{};
    Time deadline{};
    MessageState state = MessageState::kWaiting;
    std::uint32_t running_attempts = 0;
    std::uint32_t step_count = 0;  // including steps that are not kept
    std::array<RecordedStep, kMaxSteps> recorded_steps{};
  };
  struct OverdueTime {
    Time at{};
    MessageId message = 0;
    friend bool operator<(const OverdueTime& left, const OverdueTime& right) {
      return std::tie(left.at, left.message) < std::tie(right.at, right.message);
    }
  };

  static void Add(TracedMessage& traced, Time now, TraceStep step, std::uint32_t detail);
  static std::string Format(const TracedMessage& traced);

  std::map<MessageId, TracedMessage> messages_;
  std::set<OverdueTime> overdue_times_;
  std::uint64_t overdue_ = 0;
};

// Return the names used in the log.
const char* ToString(MessageState state);
const char* ToString(TraceStep step);

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_MESSAGE_TRACE_HPP_
