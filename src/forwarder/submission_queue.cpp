#include "forwarder/submission_queue.hpp"

#include <utility>

#include "forwarder/clock.hpp"
#include "observe/log.hpp"

namespace brassfront {

void SubmissionQueue::Add(MessageId message, PendingSubmission submission) {
  submissions_.emplace(message, std::move(submission));
}

void SubmissionQueue::Reply(PendingSubmission& submission, SubmitResult result) {
  latencies_.accept.Add(Now() - submission.submitted_at);
  submission.reply.set_value(std::move(result));
}

bool SubmissionQueue::ReplyTo(MessageId message, SubmitResult result) {
  const auto it = submissions_.find(message);
  if (it == submissions_.end()) return false;
  Reply(it->second, std::move(result));
  submissions_.erase(it);
  return true;
}

std::vector<SubmissionQueue::MessageId> SubmissionQueue::AcceptAll(MessageTable& messages) {
  std::vector<MessageId> rejected;
  for (auto& [message, submission] : submissions_) {
    const UnixMs unix_now = messages.SpoolTime();
    const dispatch_policy::Time now = Now();
    latencies_.accept.Add(now - submission.submitted_at);
    if (messages.Persist(message, std::move(submission.request), submission.received_at, now,
                         unix_now)) {
      SubmitResult accepted;
      accepted.status = SubmitResult::Status::kAccepted;
      accepted.message = message;
      submission.reply.set_value(std::move(accepted));
      continue;
    }
    observe::LogRateLimited(observe::Concern::kSpool, observe::Level::kWarning,
                            "spool full: message rejected");
    rejected.push_back(message);
    submission.reply.set_value(SubmitResult::Rejected(dispatch_policy::kRetryAfterWhenFull));
  }
  submissions_.clear();
  return rejected;
}

}  // namespace brassfront
