#include "forwarder/call_answer.hpp"

#include <algorithm>
#include <string>

namespace brassfront {
namespace {

std::vector<AttemptResult> ParseAnswer(const PendingCall& call, const EndpointCallResult& answer) {
  if (call.attempts.size() == 1) return {ParseSingleAnswer(answer)};
  std::vector<std::string> ids;
  for (const PendingAttempt& attempt : call.attempts) ids.push_back(attempt.client_id);
  return ParseBatchAnswer(answer, ids);
}

}  // namespace

std::vector<AttemptResult> ReadCallAnswer(const PendingCall& call, const EndpointCallResult& answer,
                                          const MessageTable& messages, dispatch_policy::Time now) {
  const bool certain =
      std::all_of(call.attempts.begin(), call.attempts.end(), [&](const PendingAttempt& attempt) {
        return messages.IsDeliveryCertain(attempt.message, now);
      });
  std::vector<AttemptResult> results = ParseAnswer(call, answer);
  for (AttemptResult& result : results) {
    result.in_doubt = !certain;
    result.certainty = answer.certainty;
  }
  return results;
}

MessageEnd ToMessageEnd(const AttemptResult& result) {
  if (result.outcome != dispatch_policy::Outcome::kDelivered) {
    return MessageEnd::kGone;
  }
  if (result.in_doubt) return MessageEnd::kDeliveredInDoubt;
  return result.certainty ? MessageEnd::kDeliveredUnsettled : MessageEnd::kDelivered;
}

}  // namespace brassfront
