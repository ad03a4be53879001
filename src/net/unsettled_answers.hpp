// Answers that may turn out to be those of earlier requests. An endpoint that writes a second
// answer which nobody asked for may write it behind the next request on the same connection, where
// it reads as the answer to that request; the true one comes behind it, on a connection that seems
// idle, or never, where the endpoint has fallen silent. So an answer on a reused connection is
// settled once its connection has rested without input, and its endpoint has not fallen silent
// behind it.
#ifndef BRASSFRONT_NET_UNSETTLED_ANSWERS_HPP_
#define BRASSFRONT_NET_UNSETTLED_ANSWERS_HPP_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "net/socket.hpp"

namespace brassfront {

enum class AnswerCertainty {
  kUnsettled,
  kCertain,   // nothing speaks against it
  kDoubtful,  // it may be the answer to an earlier request
};

// Shared by whoever holds the answer, who reads it, and UnsettledAnswers, which changes it once.
using SharedAnswerCertainty = std::shared_ptr<std::atomic<AnswerCertainty>>;

// Of the connections of one pool. Knows no clock and no lock: times are the caller's. Endpoints and
// connections are known by their numbers.
class UnsettledAnswers {
 public:
  using ConnectionId = std::uint64_t;
  using EndpointId = std::uint64_t;

  // An answer is settled no earlier than when its connection has rested for so long behind it. A
  // call that is written so long behind it is not answered by what was to be answered before.
  static constexpr std::chrono::milliseconds kSettleTime{100};
  // A connection may be reused without rest until its oldest answer that did not rest is so old.
  static constexpr std::chrono::milliseconds kMaxUnsettledTime{250};

  // ---- calls, on any connection ----

  void OnCallWritten(EndpointId endpoint, SteadyTime now) {
    endpoints_[endpoint].calls_out.insert(now);
  }
  enum class CallEnd { kAnswered, kSilent, kOther };
  // The call that was written then has ended. kSilent: this side has given it up, and nothing of an
  // answer had come; what the endpoint has answered ahead of it is doubtful, unless it answered a
  // call that was written kSettleTime behind that.
  void OnCallEnded(EndpointId endpoint, SteadyTime written_at, CallEnd end, SteadyTime now);

  // ---- reused connections ----

  // An answer has come at `now` on a connection that is in use.
  [[nodiscard]] SharedAnswerCertainty Add(ConnectionId connection, EndpointId endpoint,
                                          SteadyTime now);
  // The connection that was in use has begun to rest, or was closed.
  void OnRest(ConnectionId connection, SteadyTime now);
  // The connection, on which no input was seen, is used again.
  void OnReuse(ConnectionId connection, SteadyTime now);
  // Input that nobody had asked for has come from this endpoint: its unsettled answers are
  // doubtful, on each of its connections.
  void OnUnaskedInput(EndpointId endpoint);
  // Settles what can be settled by now. To be called after the connections for which IsUnrested
  // were looked at for input.
  void Settle(SteadyTime now);

  // Whether the connection has not rested yet behind an unsettled answer.
  [[nodiscard]] bool IsUnrested(ConnectionId connection) const;
  // The connection has to rest before it is used again.
  [[nodiscard]] bool NeedsRest(ConnectionId connection, SteadyTime now) const;

 private:
  struct Answer {
    ConnectionId connection = 0;
    EndpointId endpoint = 0;
    SteadyTime came_at{};
    std::optional<SteadyTime> rests_since{};  // none: the connection is in use
    bool has_rested = false;
    SharedAnswerCertainty certainty{};

    void NoteRest(SteadyTime now) {
      has_rested = has_rested || (rests_since && now - *rests_since >= kSettleTime);
    }
  };
  struct EndpointCalls {
    std::multiset<SteadyTime> calls_out{};  // when they were written
    SteadyTime last_answered_call{};        // when it was written
  };

  [[nodiscard]] static bool HasAnsweredSince(const EndpointCalls& calls, const Answer& answer) {
    return calls.last_answered_call >= answer.came_at + kSettleTime;
  }
  [[nodiscard]] bool AwaitsLaterCall(const Answer& answer) const;

  std::vector<Answer> answers_;
  std::map<EndpointId, EndpointCalls> endpoints_;  // with calls out, or with unsettled answers
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_UNSETTLED_ANSWERS_HPP_
