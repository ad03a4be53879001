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

// The decision on one request, and what its client is told.
struct SubmitResult {
  enum class Status { kAccepted, kRejected, kInvalid };
  Status status = Status::kRejected;
  std::optional<std::chrono::milliseconds> retry_after;  // with kRejected
  std::string error;                                     // with kInvalid, for people
  bool unknown_destination = false;  // with kRejected: no endpoint list names its destination
  // With kAccepted: the id for OnAcknowledged and OnClientDisconnected. Not the client's id, which
  // another client may have chosen as well.
  std::uint64_t message = 0;

  // Rounded up to milliseconds; 0: the client is not told when to come back.
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

  // Blocks until the engine has decided. An accepted request is recorded in the spool, and one of
  // OnAcknowledged and OnClientDisconnected must follow.
  [[nodiscard]] virtual SubmitResult Submit(DeliveryRequest request) = 0;
  // The client was told that its request is accepted: attempts may start.
  virtual void OnAcknowledged(std::uint64_t message) = 0;
  // The client disconnected before it could be told: the message is cancelled.
  virtual void OnClientDisconnected(std::uint64_t message) = 0;
};

}  // namespace brassfront

#endif  // BRASSFRONT_ACCEPTANCE_MESSAGE_ACCEPTOR_HPP_
