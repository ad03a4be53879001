// One HTTP call to an endpoint, and its result.
#ifndef BRASSFRONT_NET_ENDPOINT_CALL_HPP_
#define BRASSFRONT_NET_ENDPOINT_CALL_HPP_

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <utility>

#include "net/socket.hpp"
#include "net/unsettled_answers.hpp"

namespace brassfront {

// A call that carries one delivery attempt, a batch of them or a health check. The engine makes it
// and may withdraw or abort it at any time; one thread of the EndpointClient performs it meanwhile.
class EndpointCall {
 public:
  // What the engine did to it first.
  enum class StopReason { kNone, kWithdrawn, kCancelled, kTimedOut };

  // `permit` is asked as the last check before the first byte, in the performing thread; without
  // one the call is always permitted.
  EndpointCall(std::uint64_t call_id, std::uint64_t endpoint_id, std::string to, std::string bytes,
               SteadyTime latest, std::function<bool()> permit = nullptr)
      : id(call_id),
        endpoint(endpoint_id),
        address(std::move(to)),
        request(std::move(bytes)),
        start_by(latest),
        permit_(std::move(permit)) {}

  const std::uint64_t id;
  const std::uint64_t endpoint;  // its id; another endpoint may take over the address
  const std::string address;     // IPv4:PORT
  const std::string request;     // the whole HTTP request
  const SteadyTime start_by;     // the first byte is not written later than this

  // ---- for any thread ----

  // The call is not to be sent, unless its first byte may already have been written: then this has
  // no effect.
  void WithdrawBeforeSend() {
    const std::lock_guard lock(mutex_);
    if (!write_begun_ && stop_reason_ == StopReason::kNone) stop_reason_ = StopReason::kWithdrawn;
  }
  // Ends the call whatever it is doing, by shutting its connection down.
  void Abort(StopReason why) {
    const std::lock_guard lock(mutex_);
    if (stop_reason_ == StopReason::kNone) stop_reason_ = why;
    if (attached_fd_ >= 0) ShutDown(attached_fd_);
  }
  [[nodiscard]] StopReason stop_reason() const {
    const std::lock_guard lock(mutex_);
    return stop_reason_;
  }

  // ---- for the thread that performs it ----

  // From now until DetachConnection, Abort shuts this connection down; it must stay open. False if
  // the call was stopped before.
  [[nodiscard]] bool AttachConnection(const Socket& socket) {
    const std::lock_guard lock(mutex_);
    if (stop_reason_ != StopReason::kNone) return false;
    attached_fd_ = socket.fd();
    return true;
  }
  void DetachConnection() {
    const std::lock_guard lock(mutex_);
    attached_fd_ = -1;
  }
  // The last check before the first byte; false if the call is stopped, late or not permitted.
  [[nodiscard]] bool BeginWrite() {
    const std::lock_guard lock(mutex_);
    if (stop_reason_ != StopReason::kNone) return false;
    if (std::chrono::steady_clock::now() > start_by) return false;
    if (permit_ && !permit_()) return false;
    write_begun_ = true;
    return true;
  }
  // The request could not be written completely, so it did not run: it may be begun again.
  void UndoBeginWrite() {
    const std::lock_guard lock(mutex_);
    write_begun_ = false;
  }

 private:
  const std::function<bool()> permit_;
  mutable std::mutex mutex_;  // guards what follows
  int attached_fd_ = -1;      // of the connection, which the performing thread owns
  bool write_begun_ = false;
  StopReason stop_reason_ = StopReason::kNone;
};

// How a call ended, as its connection shows it. The log tells them by their numbers.
enum class CallOutcome {
  kAnswered,                // a response came; an incomplete one only with status 200
  kNotSent,                 // it did not run: stopped, late or not permitted before the first byte
  kConnectFailed,           // it did not run: no connection, or the request was not written whole
  kConnectionLimitReached,  // it did not run: the endpoint rejected the connection
  kReset,                   // it may have run: the connection ended without a usable response
  kTimedOut,                // aborted with kTimedOut; it may have run
  kCancelled,               // aborted with kCancelled; it may have run
};

struct EndpointCallResult {
  std::uint64_t call_id = 0;
  CallOutcome outcome = CallOutcome::kReset;
  // What follows is set with kAnswered and, of a complete response, kConnectionLimitReached.
  int status = 0;         // of HTTP
  bool complete = false;  // else only the status is known
  std::string body{};
  SharedAnswerCertainty certainty{};  // of what was answered; none if it is certain
  // Headers as the endpoint sent them; empty if absent.
  std::string retry_after_ms{};
  std::string slots_taken{};
  std::string load_report{};
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_ENDPOINT_CALL_HPP_
