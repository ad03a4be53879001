#include "forwarder/attempt_result.hpp"

namespace brassfront {
namespace {

using dispatch_policy::Outcome;

bool KnownNotRun(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kConnectionLimitReached || outcome == Outcome::kNotSent;
}

AttemptResult InterpretCertain(AttemptAnswer answer) {
  switch (answer) {
    case AttemptAnswer::kDelivered:
      return {.outcome = Outcome::kDelivered, .end = MessageEnd::kDelivered};
    case AttemptAnswer::kOver:
      return {.outcome = Outcome::kNotSent, .may_have_run = false, .end = MessageEnd::kOver};
    case AttemptAnswer::kExhausted:
      return {.outcome = Outcome::kNotSent, .may_have_run = false, .end = MessageEnd::kExhausted};
    case AttemptAnswer::kRejected:
      return {.outcome = Outcome::kRejected, .may_have_run = false};
    case AttemptAnswer::kNotSent:
      return {.outcome = Outcome::kNotSent, .may_have_run = false};
    case AttemptAnswer::kError:
      return {.outcome = Outcome::kError};
  }
  return {.outcome = Outcome::kError};
}

}  // namespace

AttemptResult Interpret(AttemptAnswer answer, AnswerCertainty certainty) {
  AttemptResult result = InterpretCertain(answer);
  if (certainty == AnswerCertainty::kCertain) return result;
  if (result.end == MessageEnd::kDelivered) result.end = MessageEnd::kDeliveredDoubtful;
  if (certainty == AnswerCertainty::kDoubtful) result.may_have_run = true;
  return result;
}

AttemptResult WithoutAnswer(Outcome outcome) {
  return {.outcome = outcome, .may_have_run = !KnownNotRun(outcome)};
}

}  // namespace brassfront
