// A delivery: one call to a next hop, which carries one delivery attempt or a bundle of them.
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
  enum class Stop { kNone, kRecalled, kCancelled, kTimedOut };

  // `permit` is asked last of all before the first byte; none: nobody has to be asked.
  EndpointCall(std::uint64_t its_number, std::uint64_t its_hop, std::string to, std::string bytes,
               SteadyTime latest, std::function<bool()> permit = nullptr)
      : number(its_number),
        hop(its_hop),
        address(std::move(to)),
        request(std::move(bytes)),
        start_by(latest),
        permit_(std::move(permit)) {}

  const std::uint64_t number;
  const std::uint64_t hop;  // of the next hop; another one may take over the address
  const std::string address;
  const std::string request;
  const SteadyTime start_by;  // not to be written later than this

  // ---- for the engine ----

  // Not to be sent if it is not being written yet: a wait or a drain has come.
  void Recall() {
    const std::lock_guard lock(mutex_);
    if (!begun_ && stop_ == Stop::kNone) stop_ = Stop::kRecalled;
  }
  // Ends the connection, whatever it is doing.
  void End(Stop why) {
    const std::lock_guard lock(mutex_);
    if (stop_ == Stop::kNone) stop_ = why;
    if (fd_ >= 0) ShutDown(fd_);
  }

  // ---- for the thread that carries it out ----

  // From here to Detach the connection can be ended by the engine; false if it is stopped already.
  bool Attach(const Socket& socket) {
    const std::lock_guard lock(mutex_);
    if (stop_ != Stop::kNone) return false;
    fd_ = socket.fd();
    return true;
  }
  void Detach() {
    const std::lock_guard lock(mutex_);
    fd_ = -1;
  }
  // The last check before the first byte.
  bool BeginWrite() {
    const std::lock_guard lock(mutex_);
    if (stop_ != Stop::kNone || std::chrono::steady_clock::now() > start_by) return false;
    if (permit_ && !permit_()) return false;
    begun_ = true;
    return true;
  }
  // Not all of it could be written: it never ran, and may be begun again.
  void TakeBackWrite() {
    const std::lock_guard lock(mutex_);
    begun_ = false;
  }
  Stop stopped() const {
    const std::lock_guard lock(mutex_);
    return stop_;
  }

 private:
  const std::function<bool()> permit_;
  mutable std::mutex mutex_;
  int fd_ = -1;
  bool begun_ = false;
  Stop stop_ = Stop::kNone;
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
  std::uint64_t number = 0;
  CallOutcome outcome = CallOutcome::kReset;
  // With kAnswered: a whole answer, or one that is spoilt after a first line with 200.
  int status = 0;
  bool whole = false;
  std::string body{};
  std::string wait_ms{}, slots_taken{}, load{};  // headers as they stand; empty if absent
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_ENDPOINT_CALL_HPP_
