// One HTTP call to an endpoint, and its result.
#ifndef BRASSFRONT_NET_ENDPOINT_CALL_HPP_
#define BRASSFRONT_NET_ENDPOINT_CALL_HPP_

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <utility>

#include "net/answer_sequence.hpp"
#include "net/socket.hpp"

namespace brassfront {

struct EndpointCallResult;

// A call with one delivery attempt, a batch of them or a health check. The engine creates it and
// may withdraw or abort it at any time, while a thread of the EndpointClient performs it.
class EndpointCall {
 public:
  // How the engine stopped the call; the first reason counts.
  enum class StopReason { kNone, kWithdrawn, kCancelled, kTimedOut };
  // Whether the call may still run after this answer without harm, because nothing is sent again.
  using MayRunOn = std::function<bool(const EndpointCallResult&)>;

  // `latest` becomes start_by. The performing thread calls `permit` as the last check before the
  // first byte; without a function the call is always permitted. Unless `may_run_on` returns true
  // for a doubtful answer, the call's connection is closed.
  EndpointCall(std::uint64_t call_id, std::uint64_t endpoint_id, std::string to, std::string bytes,
               SteadyTime latest, std::function<bool()> permit = nullptr,
               AnswerNeed need = AnswerNeed::kAny, MayRunOn may_run_on = nullptr)
      : id(call_id),
        endpoint(endpoint_id),
        address(std::move(to)),
        request(std::move(bytes)),
        start_by(latest),
        answer_need(need),
        may_run_on_(std::move(may_run_on)),
        permit_(std::move(permit)) {}

  const std::uint64_t id;
  const std::uint64_t endpoint;  // id; the address may pass to another endpoint
  const std::string address;     // IPv4:PORT
  const std::string request;     // the complete HTTP request
  const SteadyTime start_by;     // the first byte is not written later than this
  const AnswerNeed answer_need;

  // ---- for any thread ----

  // Prevents the call from being sent. No effect if its first byte may already have been written.
  void WithdrawBeforeSend() {
    const std::lock_guard lock(mutex_);
    if (!write_begun_ && stop_reason_ == StopReason::kNone) stop_reason_ = StopReason::kWithdrawn;
  }
  // Ends the call in any state, by shutting down its connection.
  void Abort(StopReason why) {
    const std::lock_guard lock(mutex_);
    if (stop_reason_ == StopReason::kNone) stop_reason_ = why;
    if (attached_fd_ >= 0) ShutDown(attached_fd_);
  }
  [[nodiscard]] bool MayRunOnAfter(const EndpointCallResult& result) const {
    return may_run_on_ && may_run_on_(result);
  }
  [[nodiscard]] StopReason stop_reason() const {
    const std::lock_guard lock(mutex_);
    return stop_reason_;
  }

  // ---- for the thread that performs it ----

  // Until DetachConnection, Abort shuts down this connection, which must stay open. Returns false
  // if the call has already been stopped.
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
  // The last check before the first byte. Returns false if the call is stopped, late or not
  // permitted.
  [[nodiscard]] bool BeginWrite() {
    const std::lock_guard lock(mutex_);
    if (stop_reason_ != StopReason::kNone) return false;
    if (std::chrono::steady_clock::now() > start_by) return false;
    if (permit_ && !permit_()) return false;
    write_begun_ = true;
    return true;
  }
  // The request was not written completely, so it did not run and may be written again.
  void UndoBeginWrite() {
    const std::lock_guard lock(mutex_);
    write_begun_ = false;
  }

 private:
  const MayRunOn may_run_on_;
  const std::function<bool()> permit_;
  mutable std::mutex mutex_;  // guards the members below
  int attached_fd_ = -1;      // of the connection, owned by the performing thread
  bool write_begun_ = false;
  StopReason stop_reason_ = StopReason::kNone;
};

// How a call ended, as far as its connection shows. The log has the numeric values.
enum class CallOutcome {
  kAnswered,                // a response was received; an incomplete one only with status 200
  kNotSent,                 // it did not run: stopped, late or not permitted before the first byte
  kConnectFailed,           // it did not run: no connection, or the request was not fully written
  kConnectionLimitReached,  // it did not run: the endpoint rejected the connection
  kReset,                   // it may have run: the connection ended without a usable response
  kTimedOut,                // aborted with kTimedOut; it may have run
  kCancelled,               // aborted with kCancelled; it may have run
};

// The connection on which a call's request was written.
struct ConnectionUse {
  std::uint64_t connection = 0;             // its id; 0: the request was not written
  std::size_t calls = 0;                    // number of calls on it, including this one
  std::chrono::nanoseconds idle_before{0};  // time between the previous call's end and the write
};

// The result of a call: its outcome and the response, if there is one.
struct EndpointCallResult {
  std::uint64_t call_id = 0;
  CallOutcome outcome = CallOutcome::kReset;
  ConnectionUse connection_use{};
  // The fields below are set with kAnswered, and with kConnectionLimitReached.
  int status = 0;         // HTTP status code
  bool complete = false;  // if false, only the status is known
  std::string body{};
  // If the answer is doubtful, its connection has been closed, unless the call may run on.
  AnswerCertainty certainty = AnswerCertainty::kCertain;
  // Unparsed response headers; empty if absent.
  std::string retry_after_ms{};
  std::string slots_taken{};
  std::string load_report{};
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_ENDPOINT_CALL_HPP_
