// Whether an answer on a persistent connection belongs to the call that was written last.
//
// HTTP/1.1 matches responses to requests by their order alone (RFC 9112, section 9.3). An endpoint
// may send a second, unsolicited answer to a call. If it arrives while the next call on the
// connection is in flight, it is read as the answer to that call, whose true answer then follows
// later or never. So an answer that follows another one too soon is doubtful, and stays doubtful:
// what comes or does not come afterwards proves nothing about it.
#ifndef BRASSFRONT_NET_ANSWER_SEQUENCE_HPP_
#define BRASSFRONT_NET_ANSWER_SEQUENCE_HPP_

#include <algorithm>
#include <chrono>

#include "net/socket.hpp"

namespace brassfront {

enum class AnswerCertainty {
  kCertain,   // it is the answer to its call
  kLikely,    // it is believed, unless a message would be lost if it belonged to an earlier call
  kDoubtful,  // it may belong to an earlier call; its own call may still be running
};

// What a call requires of the connection that it is written on.
enum class AnswerNeed {
  kAny,     // its answer may be doubtful
  kSettled  // its answer is not doubtful, and no true answer to an earlier call is expected
};

// The answers on one connection. Reads no clock: the caller passes all times, which must not
// decrease.
class AnswerSequence {
 public:
  // A second answer that is sent together with the first one arrives within this time after it.
  static constexpr std::chrono::milliseconds kMaxCopyDelay{150};
  // An answer this long after another one is certain, whatever the endpoint sends.
  static constexpr std::chrono::milliseconds kCertainAfter{2000};

  // An answer has been read; its first byte was received at `begin` and its last one at `end`. If
  // it belongs to an earlier call, the true answer to its own call is expected by `true_answer_by`.
  AnswerCertainty Add(SteadyTime begin, SteadyTime end, SteadyTime true_answer_by) {
    const AnswerCertainty certainty = CertaintyAt(begin);
    const SteadyTime after_copies = end + kMaxCopyDelay;
    const SteadyTime after_true_answer = std::max(after_copies, true_answer_by);
    const bool is_doubtful = certainty == AnswerCertainty::kDoubtful;
    const bool is_certain = certainty == AnswerCertainty::kCertain;
    doubtful_until_ = is_doubtful ? after_true_answer : after_copies;
    settled_from_ = is_certain ? after_copies : after_true_answer;
    likely_until_ = end + kCertainAfter;
    return certainty;
  }
  // Returns the certainty of an answer that begins at this time, if no other one precedes it.
  [[nodiscard]] AnswerCertainty CertaintyAt(SteadyTime time) const {
    if (time < doubtful_until_) return AnswerCertainty::kDoubtful;
    return time < likely_until_ ? AnswerCertainty::kLikely : AnswerCertainty::kCertain;
  }

  // Whether a call that is written at this time gets the answer that it needs.
  [[nodiscard]] bool Satisfies(AnswerNeed need, SteadyTime time) const {
    return need == AnswerNeed::kAny || time >= settled_from_;
  }

 private:
  SteadyTime doubtful_until_ = SteadyTime::min();
  SteadyTime settled_from_ = SteadyTime::min();
  SteadyTime likely_until_ = SteadyTime::min();
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_ANSWER_SEQUENCE_HPP_
