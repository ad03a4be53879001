// The interface by which the servers of client protocols hand messages to the engine.
#ifndef BRASSFRONT_ACCEPTANCE_MESSAGE_ACCEPTOR_HPP_
#define BRASSFRONT_ACCEPTANCE_MESSAGE_ACCEPTOR_HPP_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "protocol/delivery_request.hpp"

namespace brassfront {

// The decision on one request, and the details of the reply to its client.
struct SubmitResult {
  enum class Status { kAccepted, kRejected, kInvalid };
  Status status = Status::kRejected;
  std::optional<std::chrono::milliseconds> retry_after;  // only with kRejected
  std::string error;                                     // only with kInvalid, for human readers
  bool unknown_destination = false;                      // with kRejected: no endpoint list has it
  // Only with kAccepted: the engine's id of the message, for OnAcknowledged and
  // OnClientDisconnected. It differs from the client's id, which another client may use too.
  std::uint64_t message = 0;

  // Rounds `retry_after` up to milliseconds; with 0 the reply has no retry time.
  [[nodiscard]] static SubmitResult Rejected(std::chrono::nanoseconds retry_after) {
    SubmitResult answer;
    if (retry_after.count() > 0) {
      answer.retry_after = std::chrono::ceil<std::chrono::milliseconds>(retry_after);
    }
    return answer;
  }
  [[nodiscard]] static SubmitResult Invalid(std::string its_error) {
    return {.status = Status::kInvalid, .retry_after = {}, .error = std::move(its_error)};
  }
};

// All methods may be called by any thread.
class MessageAcceptor {
 public:
  MessageAcceptor() = default;
  MessageAcceptor(const MessageAcceptor&) = delete;
  MessageAcceptor& operator=(const MessageAcceptor&) = delete;
  virtual ~MessageAcceptor() = default;

  // Blocks until the engine has decided. An accepted request has been recorded in the spool, and
  // the caller must then call either OnAcknowledged or OnClientDisconnected.
  [[nodiscard]] virtual SubmitResult Submit(DeliveryRequest request) = 0;
  // The client was sent the reply that its request is accepted: attempts may start.
  virtual void OnAcknowledged(std::uint64_t message) = 0;
  // The client disconnected before it got the reply: the message is cancelled.
  virtual void OnClientDisconnected(std::uint64_t message) = 0;
};

}  // namespace brassfront

#endif  // BRASSFRONT_ACCEPTANCE_MESSAGE_ACCEPTOR_HPP_
