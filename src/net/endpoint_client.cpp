#include "net/endpoint_client.hpp"

#include <algorithm>
#include <utility>

#include "observe/metrics.hpp"
#include "protocol/http.hpp"
#include "system/retry.hpp"

namespace brassfront {
namespace {

using StopReason = EndpointCall::StopReason;

constexpr std::size_t kMinThreads = 2;
// Maximum size of a response body; the response to a full batch is a few KiB.
constexpr std::size_t kMaxResponseBodyBytes = std::size_t{128} * 1024;
// Maximum time from the first byte of a response to its last. Without it, a response that is
// shorter than it announces would occupy a thread and a connection forever.
constexpr std::chrono::milliseconds kResponseTimeout{500};
constexpr int kHttpOk = 200;
constexpr int kHttpServiceUnavailable = 503;

// Returns the close reason of a connection, where a stop by the engine takes precedence.
CloseReason CloseReasonFor(StopReason stop, CloseReason without_stop) {
  switch (stop) {
    case StopReason::kNone:
      return without_stop;
    case StopReason::kWithdrawn:
      return CloseReason::kWithdrawn;
    case StopReason::kCancelled:
      return CloseReason::kCancelled;
    case StopReason::kTimedOut:
      return CloseReason::kTimedOut;
  }
  return without_stop;
}

// Reads until the response is complete, can no longer become complete, or the connection is shut
// down. Returns the close reason of the connection for the case that the response is not complete:
// kStale if it was received before the request was sent. On a new connection such a response is not
// an earlier answer but a rejection. Sets `first_input_at` if there was input.
CloseReason ReadUntilComplete(EndpointConnection& connection, BufferPool& buffers,
                              HttpReader& reader, SteadyTime& first_input_at) {
  Socket& socket = connection.socket;
  bool may_be_earlier = connection.calls > 0;
  CloseReason failure = CloseReason::kMalformed;
  SteadyTime deadline = SteadyTime::max();
  while (!reader.done() && !reader.broken()) {
    if (!reader.begun()) {
      deadline = SteadyTime::max();
    } else if (deadline == SteadyTime::max()) {
      deadline = std::chrono::steady_clock::now() + kResponseTimeout;
    }
    if (!socket.AwaitInput(deadline)) return CloseReason::kIncomplete;
    if (first_input_at == SteadyTime{}) first_input_at = std::chrono::steady_clock::now();
    if (std::exchange(may_be_earlier, false) && socket.InputPrecedesWrite()) {
      return CloseReason::kStale;
    }
    BufferPool::Buffer buffer = buffers.Get();
    const ssize_t received = socket.Receive(buffer.span());
    if (received > 0) {
      reader.Feed({buffer.span().data(), static_cast<std::size_t>(received)});
    } else {
      failure = CloseReason::kReset;
      reader.FeedEnd();
    }
  }
  return failure;
}

void PauseUntil(SteadyTime time) {
  const SteadyTime now = std::chrono::steady_clock::now();
  if (time > now) Pause(std::chrono::ceil<std::chrono::milliseconds>(time - now));
}

// Records the end of a call on the connection.
ConnectionUse RecordCall(EndpointConnection& connection, SteadyTime written_at) {
  const SteadyTime previous_end =
      std::exchange(connection.last_call_end, std::chrono::steady_clock::now());
  const bool reused = connection.calls++ > 0;
  return {.connection = connection.id,
          .calls = connection.calls,
          .idle_before = reused ? written_at - previous_end : SteadyTime::duration(0)};
}

// Returns the result of a call whose request was written. An incomplete response counts only if its
// status is 200, so that a request that has run is never mistaken for a rejected one.
EndpointCallResult MakeResult(HttpReader& reader, StopReason stop) {
  EndpointCallResult result;
  if (reader.done() || reader.status() == kHttpOk) {
    result.outcome = CallOutcome::kAnswered;
    result.status = reader.status();
    result.complete = reader.done();
    if (!result.complete) return result;
    result.body = reader.body();
    result.retry_after_ms = reader.Header("wait-ms");
    result.slots_taken = reader.Header("slots-taken");
    result.load_report = reader.Header("x-backend-load");
  } else if (stop == StopReason::kTimedOut) {
    result.outcome = CallOutcome::kTimedOut;
  } else if (stop == StopReason::kCancelled) {
    result.outcome = CallOutcome::kCancelled;
  }
  return result;
}

// True if the endpoint rejected the connection, not the call: it answered the first call on the
// connection with 503, closed the connection, and sent no header about its capacity for calls.
bool IsConnectionRejected(const EndpointCallResult& result, bool keep_alive,
                          std::size_t calls_on_connection) {
  return result.complete && result.status == kHttpServiceUnavailable && calls_on_connection == 1 &&
         !keep_alive && result.retry_after_ms.empty() && result.slots_taken.empty();
}

}  // namespace

EndpointClient::EndpointClient(const Options& options, BufferPool& buffers, OnResult on_result)
    : options_(options),
      buffers_(buffers),
      on_result_(std::move(on_result)),
      connections_({.max_idle_connections = options.max_idle_connections,
                    .group_size = options.group_size,
                    .connection_idle = options.connection_idle}),
      threads_(
          "endpoint",
          {.min_threads = std::min(kMinThreads, options.threads), .max_threads = options.threads},
          [this](const std::shared_ptr<EndpointCall>& call) { Run(call); }) {}

EndpointClient::~EndpointClient() {
  const std::lock_guard lock(mutex_);
  for (auto& [call_id, call] : in_flight_) call->Abort(StopReason::kCancelled);
  connections_.Shutdown();
}

void EndpointClient::Start(std::shared_ptr<EndpointCall> call) {
  {
    const std::lock_guard lock(mutex_);
    in_flight_[call->id] = call;
  }
  threads_.Submit(std::move(call));
}

void EndpointClient::CloseExpiredIdle() {
  const SteadyTime now = std::chrono::steady_clock::now();
  const std::lock_guard lock(mutex_);
  connections_.CloseExpired(now);
}

SteadyTime EndpointClient::NextIdleExpiry() const {
  const std::lock_guard lock(mutex_);
  return connections_.NextExpiry();
}

void EndpointClient::RemoveEndpoint(std::uint64_t endpoint) {
  const std::lock_guard lock(mutex_);
  connections_.RemoveEndpoint(endpoint);
}

void EndpointClient::Run(const std::shared_ptr<EndpointCall>& call) {
  EndpointCallResult result = Perform(*call);
  result.call_id = call->id;
  {
    const std::lock_guard lock(mutex_);
    in_flight_.erase(result.call_id);
  }
  on_result_(std::move(result));
}

EndpointCallResult EndpointClient::Perform(EndpointCall& call) {
  while (true) {
    EndpointConnection connection = TakeConnection(call);
    const bool reused = connection.socket.is_open();
    if (reused && !call.AttachConnection(connection.socket)) {
      ReturnConnection(std::move(connection));
      return {.outcome = CallOutcome::kNotSent};
    }
    if (!reused) {
      const OpenResult opened = OpenConnection(connection, call);
      if (opened == OpenResult::kNotTried) return {.outcome = CallOutcome::kNotSent};
      if (opened == OpenResult::kFailed) return {.outcome = CallOutcome::kConnectFailed};
    }
    if (reused) PauseUntil(connection.ReusableAt());
    if (!call.BeginWrite()) return GiveUpBeforeWrite(std::move(connection), call);
    // Input that is already there would be read as the answer to this call.
    if (reused && connection.socket.HasInputOrEnd()) {
      call.UndoBeginWrite();
      call.DetachConnection();
      connection.Close(CloseReason::kStale);
      continue;
    }
    if (connection.socket.SendAll(call.request)) {
      return ReadResponse(std::move(connection), call, std::chrono::steady_clock::now());
    }
    // The request is not complete, so it did not run. A reused connection may have ended unnoticed
    // while it was idle. That does not mean that the endpoint is down, so another connection is
    // tried.
    call.UndoBeginWrite();
    call.DetachConnection();
    const StopReason stop = call.stop_reason();
    connection.Close(CloseReasonFor(stop, CloseReason::kWriteFailed));
    if (stop != StopReason::kNone) return {.outcome = CallOutcome::kNotSent};
    if (!reused) return {.outcome = CallOutcome::kConnectFailed};
  }
}

// The call may no longer be sent. Its connection can be reused, unless Abort has shut it down.
EndpointCallResult EndpointClient::GiveUpBeforeWrite(EndpointConnection connection,
                                                     EndpointCall& call) {
  call.DetachConnection();
  const StopReason stop = call.stop_reason();
  if (stop == StopReason::kCancelled) {
    connection.Close(CloseReason::kCancelled);
  } else if (stop == StopReason::kTimedOut) {
    connection.Close(CloseReason::kTimedOut);
  } else {
    ReturnConnection(std::move(connection));
  }
  return {.outcome = CallOutcome::kNotSent};
}

// A temporary shortage of resources on this machine does not mean that the endpoint is down, so the
// connection is retried until the call's start_by or the connect timeout, whichever is earlier.
EndpointClient::OpenResult EndpointClient::OpenConnection(EndpointConnection& connection,
                                                          EndpointCall& call) {
  const SteadyTime until =
      std::min(call.start_by, std::chrono::steady_clock::now() + options_.connect_timeout);
  while (true) {
    connection.socket = NewSocket();
    int error = errno;
    if (connection.socket.is_open()) {
      if (!call.AttachConnection(connection.socket)) return OpenResult::kNotTried;
      if (Connect(connection.socket, call.address, options_.connect_timeout)) {
        connection.socket.RecordSegmentTimes();
        return OpenResult::kOpened;
      }
      error = errno;
      call.DetachConnection();
    }
    const StopReason stop = call.stop_reason();
    connection.Close(CloseReasonFor(stop, CloseReason::kConnectFailed));
    if (stop != StopReason::kNone) return OpenResult::kNotTried;
    if (!IsTransient(SystemCall::kConnect, error)) return OpenResult::kFailed;
    if (std::chrono::steady_clock::now() + kTransientPause >= until) return OpenResult::kNotTried;
    Pause(kTransientPause);
  }
}

EndpointCallResult EndpointClient::ReadResponse(EndpointConnection connection, EndpointCall& call,
                                                SteadyTime written_at) {
  HttpReader reader(kMaxResponseBodyBytes);
  SteadyTime first_input_at{};
  const CloseReason failure = ReadUntilComplete(connection, buffers_, reader, first_input_at);
  call.DetachConnection();
  const StopReason stop = call.stop_reason();
  const ConnectionUse use = RecordCall(connection, written_at);
  EndpointCallResult result = MakeResult(reader, stop);
  result.connection_use = use;
  result.certainty = RecordAnswer(connection, reader, written_at, first_input_at);
  const bool doubtful = result.certainty == AnswerCertainty::kDoubtful;
  const bool unsolicited = reader.has_surplus() || failure == CloseReason::kStale;
  if (unsolicited) observe::Count("unasked_answers_total", {"side", "endpoint"});
  // The connection is returned or closed before the result is passed on, so that the connection of
  // a stopped call is closed by then.
  if (!reader.done() || stop != StopReason::kNone) {
    connection.Close(CloseReasonFor(stop, failure));
  } else if (doubtful && !call.MayRunOnAfter(result)) {
    connection.Close(CloseReason::kDoubtful);
  } else if (!reader.keep_alive()) {
    connection.Close(CloseReason::kKeepAliveOff);
  } else {
    ReturnConnection(std::move(connection));
  }
  if (IsConnectionRejected(result, reader.keep_alive(), use.calls)) {
    result.outcome = CallOutcome::kConnectionLimitReached;
    const std::lock_guard lock(mutex_);
    connections_.OnConnectionRejected(call.endpoint, std::chrono::steady_clock::now());
  }
  return result;
}

// Records the answer, if there is one, on its connection. One that is followed by another one
// without a pause is doubtful too, unless no other call was made on the connection.
AnswerCertainty EndpointClient::RecordAnswer(EndpointConnection& connection,
                                             const HttpReader& reader, SteadyTime written_at,
                                             SteadyTime first_input_at) {
  if (!reader.begun()) return AnswerCertainty::kCertain;
  const std::lock_guard lock(mutex_);
  const AnswerCertainty certainty =
      connections_.OnAnswer(connection, written_at, first_input_at, connection.last_call_end);
  const bool reused = connection.calls > 1;
  return reader.has_surplus() && reused ? AnswerCertainty::kDoubtful : certainty;
}

EndpointConnection EndpointClient::TakeConnection(const EndpointCall& call) {
  const std::lock_guard lock(mutex_);
  return connections_.Take(call.endpoint, call.address, std::chrono::steady_clock::now(),
                           call.answer_need);
}

void EndpointClient::ReturnConnection(EndpointConnection connection) {
  const std::lock_guard lock(mutex_);
  connections_.Return(std::move(connection), std::chrono::steady_clock::now());
}

}  // namespace brassfront
