// What an endpoint's answer means for one attempt to deliver one message.
//
// An answer on a reused connection may belong to an earlier call (net/answer_sequence.hpp). A
// doubtful answer is acted on at once, in the one way that is right whether it belongs to the
// attempt or not: what either of the two forbids is not done. So no attempt follows an answer that
// allows none, and an attempt that is answered doubtfully counts as one that may have run.
#ifndef BRASSFRONT_FORWARDER_ATTEMPT_RESULT_HPP_
#define BRASSFRONT_FORWARDER_ATTEMPT_RESULT_HPP_

#include <optional>

#include "dispatch_policy/dispatch_policy.hpp"
#include "net/answer_sequence.hpp"

namespace brassfront {

// What an answer says about an attempt, if it belongs to the attempt.
enum class AttemptAnswer {
  kDelivered,
  kOver,       // not run; the message has ended: no further attempt
  kExhausted,  // not run; the message has had all its attempts: no further attempt
  kRejected,   // not run
  kNotSent,    // not run, for a reason that says nothing about the endpoint's load
  kError       // may have run
};

// How an answer ends a message.
enum class MessageEnd {
  kDelivered,          // for certain
  kDeliveredLate,      // the platform may not count the answer, because of its time
  kDeliveredDoubtful,  // the answer may belong to an earlier call, however unlikely that is
  kOver,
  kExhausted
};

struct AttemptResult {
  dispatch_policy::Outcome outcome = dispatch_policy::Outcome::kReset;
  bool may_have_run = true;
  // If set, no further attempt is allowed.
  std::optional<MessageEnd> end{};
};

// Returns what follows from an answer.
[[nodiscard]] AttemptResult Interpret(AttemptAnswer answer, AnswerCertainty certainty);

// Returns what follows from an attempt that ended without an answer.
[[nodiscard]] AttemptResult WithoutAnswer(dispatch_policy::Outcome outcome);

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_ATTEMPT_RESULT_HPP_
