// Answers that may turn out to be those of earlier requests. An endpoint that writes a second
// answer which nobody asked for may write it behind the next request on the same connection, where
// it reads as the answer to that request; the true one comes behind it, on a connection that seems
// idle. So an answer on a reused connection is settled once its connection has rested without
// input.
#ifndef BRASSFRONT_NET_UNSETTLED_ANSWERS_HPP_
#define BRASSFRONT_NET_UNSETTLED_ANSWERS_HPP_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "net/socket.hpp"

namespace brassfront {

enum class AnswerCertainty {
  kUnsettled,
  kCertain,   // its connection has rested, and nothing came behind it
  kDoubtful,  // it may be the answer to an earlier request
};

// Shared by whoever holds the answer, who reads it, and UnsettledAnswers, which changes it once.
using SharedAnswerCertainty = std::shared_ptr<std::atomic<AnswerCertainty>>;

// Of the connections of one pool. Knows no clock and no lock: times are the caller's.
class UnsettledAnswers {
 public:
  using ConnectionId = std::uint64_t;

  // An answer is settled once its connection has rested for so long behind it. An endpoint that
  // takes longer for the true one is not found out by that connection.
  static constexpr std::chrono::milliseconds kSettleTime{100};
  // A connection may be reused without rest until its oldest unsettled answer is so old.
  static constexpr std::chrono::milliseconds kMaxUnsettledTime{250};

  // An answer has come at `now` on a connection that is in use.
  [[nodiscard]] SharedAnswerCertainty Add(ConnectionId connection, std::uint64_t endpoint,
                                          SteadyTime now);
  // The connection that was in use has begun to rest, or was closed.
  void OnRest(ConnectionId connection, SteadyTime now);
  // The connection, on which no input was seen, is used again.
  void OnReuse(ConnectionId connection, SteadyTime now);
  // Input that nobody had asked for has come from this endpoint: its unsettled answers are
  // doubtful, on each of its connections.
  void OnUnaskedInput(std::uint64_t endpoint);
  // The answers on connections that have rested for kSettleTime are certain. To be called after
  // these connections were looked at for input.
  void SettleRested(SteadyTime now);

  // Whether an answer on this connection is unsettled.
  [[nodiscard]] bool Has(ConnectionId connection) const {
    return by_connection_.contains(connection);
  }
  // The connection has to rest before it is used again.
  [[nodiscard]] bool NeedsRest(ConnectionId connection, SteadyTime now) const;

 private:
  struct OfConnection {
    std::uint64_t endpoint = 0;  // its id
    SteadyTime oldest{};
    std::optional<SteadyTime> rests_since{};  // none: in use
    std::vector<SharedAnswerCertainty> answers{};

    [[nodiscard]] bool HasRested(SteadyTime now) const {
      return rests_since && now - *rests_since >= kSettleTime;
    }
  };

  std::map<ConnectionId, OfConnection> by_connection_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_UNSETTLED_ANSWERS_HPP_
