// Submissions whose clients wait for a reply, because the policy has not decided on them yet.
#ifndef BRASSFRONT_FORWARDER_SUBMISSION_QUEUE_HPP_
#define BRASSFRONT_FORWARDER_SUBMISSION_QUEUE_HPP_

#include <future>
#include <map>
#include <vector>

#include "acceptance/message_acceptor.hpp"
#include "dispatch_policy/dispatch_policy.hpp"
#include "forwarder/message_table.hpp"
#include "forwarder/request_validator.hpp"
#include "forwarder/stage_latencies.hpp"
#include "protocol/delivery_request.hpp"

namespace brassfront {

// A client's thread waits for the reply. If the submission is destroyed without a reply, its future
// throws std::future_error.
struct PendingSubmission {
  DeliveryRequest request;
  RequestIndexes indexes;
  dispatch_policy::Time received_at{};   // the message's time counts from here
  dispatch_policy::Time submitted_at{};  // for the latencies
  std::promise<SubmitResult> reply;
};

// Used only by the engine's thread.
class SubmissionQueue {
 public:
  using MessageId = dispatch_policy::MessageId;

  // `latencies` must outlive the queue, which records the latencies of its stage `accept`.
  explicit SubmissionQueue(StageLatencies& latencies) : latencies_(latencies) {}

  void Add(MessageId message, PendingSubmission submission);
  void Reply(PendingSubmission& submission, SubmitResult result);
  // Replies to the message's client and removes the submission. Returns false if no client waits.
  bool ReplyTo(MessageId message, SubmitResult result);
  // Records each waiting message in the spool, only then replies that it is accepted, and removes
  // all submissions. Returns the messages for which the spool had no room: these were rejected and
  // removed from the table.
  [[nodiscard]] std::vector<MessageId> AcceptAll(MessageTable& messages);
  void Clear() { submissions_.clear(); }

 private:
  StageLatencies& latencies_;
  std::map<MessageId, PendingSubmission> submissions_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_SUBMISSION_QUEUE_HPP_
