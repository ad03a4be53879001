#include "forwarder/call_answer.hpp"

#include <algorithm>

namespace brassfront {

std::vector<std::string> BatchIds(const PendingCall& call) {
  std::vector<std::string> ids;
  if (call.attempts.size() <= 1) return ids;
  for (const PendingAttempt& attempt : call.attempts) ids.push_back(attempt.client_id);
  return ids;
}

std::vector<AttemptResult> ReadCallAnswer(const PendingCall& call, const EndpointCallResult& answer,
                                          const MessageTable& messages, dispatch_policy::Time now) {
  const bool in_time =
      std::all_of(call.attempts.begin(), call.attempts.end(), [&](const PendingAttempt& attempt) {
        return messages.IsDeliveryCertain(attempt.message, now);
      });
  std::vector<AttemptResult> results = ParseAnswer(answer, BatchIds(call));
  if (in_time) return results;
  for (AttemptResult& result : results) {
    if (result.outcome == dispatch_policy::Outcome::kDelivered) {
      result.end = MessageEnd::kDeliveredLate;
    }
  }
  return results;
}

}  // namespace brassfront
