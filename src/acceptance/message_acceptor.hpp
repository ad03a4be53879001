// How client protocols reach the engine: the one way in, whichever protocol stands before it.
#ifndef BRASSFRONT_ACCEPTANCE_MESSAGE_ACCEPTOR_HPP_
#define BRASSFRONT_ACCEPTANCE_MESSAGE_ACCEPTOR_HPP_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "protocol/delivery_request.hpp"

namespace brassfront {

struct SubmitResult {
  enum class Status { kAccepted, kRejected, kInvalid };
  Status status = Status::kRejected;
  std::optional<std::chrono::milliseconds> retry_after;  // with kRejected
  std::string error;                                     // with kInvalid, for people
  bool unknown_destination = false;  // with kRejected: no list names its destination so far
  // With kAccepted: what OnAcknowledged and OnClientDisconnected name. Not the client's id, which
  // is the client's to choose and may be that of another client's message.
  std::uint64_t message = 0;

  // 0: it is not said when to come back.
  static SubmitResult Rejected(std::chrono::nanoseconds retry_after) {
    SubmitResult answer;
    if (retry_after.count() > 0) {
      answer.retry_after = std::chrono::ceil<std::chrono::milliseconds>(retry_after);
    }
    return answer;
  }
  static SubmitResult Invalid(std::string its_error) {
    return {.status = Status::kInvalid, .retry_after = {}, .error = std::move(its_error)};
  }
};

class MessageAcceptor {
 public:
  virtual ~MessageAcceptor() = default;

  // Blocks until the engine has decided. A taken request is kept by the spool and waits for
  // OnAcknowledged or OnClientDisconnected, one of which must follow.
  virtual SubmitResult Submit(DeliveryRequest request) = 0;
  // The client was told that the request was taken: deliveries may begin.
  virtual void OnAcknowledged(std::uint64_t message) = 0;
  // The client went before it could be told: the request is withdrawn.
  virtual void OnClientDisconnected(std::uint64_t message) = 0;
};

}  // namespace brassfront

#endif  // BRASSFRONT_ACCEPTANCE_MESSAGE_ACCEPTOR_HPP_
