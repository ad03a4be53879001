// A delivery: one call to a next endpoint, which carries one delivery attempt or a bundle of them.
// The engine makes it and may recall or stop it; one thread of the next hops carries it out.
#ifndef BRASSFRONT_NET_ENDPOINT_CALL_HPP_
#define BRASSFRONT_NET_ENDPOINT_CALL_HPP_

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <utility>

#include "net/socket.hpp"

namespace brassfront {

class EndpointCall {
 public:
  enum class StopReason { kNone, kWithdrawn, kCancelled, kTimedOut };

  // `permit` is asked last of all before the first byte; none: nobody has to be asked.
  EndpointCall(std::uint64_t call_id, std::uint64_t endpoint_id, std::string to, std::string bytes,
               SteadyTime latest, std::function<bool()> permit = nullptr)
      : id(call_id),
        endpoint(endpoint_id),
        address(std::move(to)),
        request(std::move(bytes)),
        start_by(latest),
        permit_(std::move(permit)) {}

  const std::uint64_t id;
  const std::uint64_t endpoint;  // of the next endpoint; another one may take over the address
  const std::string address;
  const std::string request;
  const SteadyTime start_by;  // not to be written later than this

  // ---- for the engine ----

  // Not to be sent if it is not being written yet: a wait or a drain has come.
  void WithdrawBeforeSend() {
    const std::lock_guard lock(mutex_);
    if (!begun_ && stop_reason_ == StopReason::kNone) stop_reason_ = StopReason::kWithdrawn;
  }
  // Ends the connection, whatever it is doing.
  void Abort(StopReason why) {
    const std::lock_guard lock(mutex_);
    if (stop_reason_ == StopReason::kNone) stop_reason_ = why;
    if (fd_ >= 0) ShutDown(fd_);
  }

  // ---- for the thread that carries it out ----

  // From here to DetachConnection the connection can be ended by the engine; false if it is
  // stop_reason already.
  bool AttachConnection(const Socket& socket) {
    const std::lock_guard lock(mutex_);
    if (stop_reason_ != StopReason::kNone) return false;
    fd_ = socket.fd();
    return true;
  }
  void DetachConnection() {
    const std::lock_guard lock(mutex_);
    fd_ = -1;
  }
  // The last check before the first byte.
  bool BeginWrite() {
    const std::lock_guard lock(mutex_);
    if (stop_reason_ != StopReason::kNone || std::chrono::steady_clock::now() > start_by)
      return false;
    if (permit_ && !permit_()) return false;
    begun_ = true;
    return true;
  }
  // Not all of it could be written: it never ran, and may be begun again.
  void UndoBeginWrite() {
    const std::lock_guard lock(mutex_);
    begun_ = false;
  }
  StopReason stop_reason() const {
    const std::lock_guard lock(mutex_);
    return stop_reason_;
  }

 private:
  const std::function<bool()> permit_;
  mutable std::mutex mutex_;
  int fd_ = -1;
  bool begun_ = false;
  StopReason stop_reason_ = StopReason::kNone;
};

// How a call ended, as its connection shows it.
enum class CallOutcome {
  kAnswered,
  kNotSent,
  kConnectFailed,
  kConnectionLimitReached,
  kReset,
  kTimedOut,
  kCancelled
};

// What a call brought: its outcome and, if it was answered, the answer.
struct EndpointCallResult {
  std::uint64_t call_id = 0;
  CallOutcome outcome = CallOutcome::kReset;
  // With kAnswered: a complete answer, or one that is spoilt after a first line with 200.
  int status = 0;
  bool complete = false;
  std::string body{};
  std::string retry_after_ms{}, slots_taken{},
      load_report{};  // headers as they stand; empty if absent
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_ENDPOINT_CALL_HPP_
