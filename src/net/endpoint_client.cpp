#include "net/endpoint_client.hpp"

#include <algorithm>
#include <utility>

namespace brassfront {
namespace {

constexpr const char* kLogSide = "endpoint";
constexpr std::size_t kMinThreads = 2;
constexpr std::size_t kMaxResponseBodyBytes =
    128 * 1024;  // bytes of its body; a full bundle's is a few KiB
// Of the time after which the other side closes an idle connection. Guards against a call that
// crosses that close and ends as a reset, which may have run.
constexpr double kIdleTimeoutShare = 0.6;
// From an answer's first byte to its last. Guards against one that claims more than ever comes, and
// holds its slot meanwhile.
constexpr std::chrono::milliseconds kResponseTimeout{500};

const char* CloseReasonFor(EndpointCall::StopReason stop, const char* otherwise) {
  switch (stop) {
    case EndpointCall::StopReason::kCancelled:
      return "cancelled";
    case EndpointCall::StopReason::kTimedOut:
      return "timed-out";
    case EndpointCall::StopReason::kWithdrawn:
      return "withdrawn";
    default:
      return otherwise;
  }
}

}  // namespace

EndpointClient::EndpointClient(const Options& options, BufferPool& buffers, OnResult on_result)
    : options_(options),
      buffers_(buffers),
      on_result_(std::move(on_result)),
      threads_(
          "endpoint",
          {.min_threads = std::min(kMinThreads, options.threads), .max_threads = options.threads},
          [this](const std::shared_ptr<EndpointCall>& call) { Run(call); }) {}

// The crew is the last member: it makes what is still waiting end, and then its threads.
EndpointClient::~EndpointClient() {
  const std::lock_guard lock(mutex_);
  closed_ = true;
  for (auto& [call_id, call] : in_flight_) call->Abort(EndpointCall::StopReason::kCancelled);
  for (Connection& connection : idle_) Close(connection, "shutdown");
  idle_.clear();
}

void EndpointClient::Start(std::shared_ptr<EndpointCall> call) {
  {
    const std::lock_guard lock(mutex_);
    in_flight_[call->id] = call;
  }
  threads_.Submit(std::move(call));
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
    Connection connection = TakeIdle(call);
    const bool reused = connection.socket.is_open();
    if (!reused) connection.socket = NewSocket();
    if (!call.AttachConnection(connection.socket)) {
      if (reused) ReturnIdle(std::move(connection));
      return {.outcome = CallOutcome::kNotSent};
    }
    if (!reused && !ConnectTo(connection, call)) {
      return {.outcome = call.stop_reason() == EndpointCall::StopReason::kNone
                             ? CallOutcome::kConnectFailed
                             : CallOutcome::kNotSent};
    }
    if (!call.BeginWrite()) {
      call.DetachConnection();
      const EndpointCall::StopReason stop = call.stop_reason();
      if (stop == EndpointCall::StopReason::kCancelled ||
          stop == EndpointCall::StopReason::kTimedOut) {
        Close(connection, CloseReasonFor(stop, ""));
      } else {
        ReturnIdle(std::move(connection));
      }
      return {.outcome = CallOutcome::kNotSent};
    }
    if (connection.socket.SendAll(call.request)) return ReadResponse(connection, call);
    // The last byte was not written, so nothing ran. A kept connection may have died unnoticed:
    // that tells nothing of the next endpoint, and a new one may do.
    call.UndoBeginWrite();
    call.DetachConnection();
    const EndpointCall::StopReason stop = call.stop_reason();
    Close(connection, CloseReasonFor(stop, "write-failed"));
    if (stop != EndpointCall::StopReason::kNone) return {.outcome = CallOutcome::kNotSent};
    if (!reused) return {.outcome = CallOutcome::kConnectFailed};
  }
}

bool EndpointClient::ConnectTo(Connection& connection, EndpointCall& call) {
  if (Connect(connection.socket, call.address, options_.connect_timeout)) return true;
  call.DetachConnection();
  Close(connection, CloseReasonFor(call.stop_reason(), "connect-failed"));
  return false;
}

EndpointCallResult EndpointClient::ReadResponse(Connection& connection, EndpointCall& call) {
  HttpReader reader(kMaxResponseBodyBytes);
  const char* failure = "malformed";
  SteadyTime deadline = SteadyTime::max();
  while (!reader.done() && !reader.broken()) {
    if (!reader.begun()) {
      deadline = SteadyTime::max();
    } else if (deadline == SteadyTime::max()) {
      deadline = std::chrono::steady_clock::now() + kResponseTimeout;
    }
    if (!connection.socket.AwaitInput(deadline)) {
      failure = "incomplete";
      break;
    }
    BufferPool::Buffer buffer = buffers_.Get();
    const long received = connection.socket.Receive(buffer.span());
    if (received > 0) {
      reader.Feed({buffer.span().data(), static_cast<std::size_t>(received)});
    } else {
      failure = "reset";
      reader.FeedEnd();
    }
  }
  call.DetachConnection();
  const EndpointCall::StopReason stop = call.stop_reason();
  ++connection.exchanges;
  EndpointCallResult result;
  if (reader.done() && reader.keep_alive() && stop == EndpointCall::StopReason::kNone) {
    ReturnIdle(std::move(connection));
  } else {
    Close(connection, CloseReasonFor(stop, reader.done() ? "keep-alive-off" : failure));
  }
  // Of a spoilt answer only a first line with 200 is true. Guards against taking a request that has
  // run for one that was turned away.
  if (reader.done() || reader.status() == 200) {
    result.outcome = CallOutcome::kAnswered;
    result.status = reader.status();
    result.complete = reader.done();
    if (!result.complete) return result;
    result.body = reader.body();
    result.retry_after_ms = reader.Header("wait-ms");
    result.slots_taken = reader.Header("slots-taken");
    result.load_report = reader.Header("x-backend-load");
    // Turned away on a connection's first call, and the connection with it, is one too many.
    // Guards against taking that for a limit on calls.
    const bool connection_rejected = result.status == 503 && connection.exchanges == 1 &&
                                     !reader.keep_alive() && result.retry_after_ms.empty() &&
                                     result.slots_taken.empty();
    if (connection_rejected) {
      result.outcome = CallOutcome::kConnectionLimitReached;
      const std::lock_guard lock(mutex_);
      BudgetFor(call.endpoint).OnConnectionRejected(std::chrono::steady_clock::now());
    }
  } else if (stop == EndpointCall::StopReason::kTimedOut) {
    result.outcome = CallOutcome::kTimedOut;
  } else if (stop == EndpointCall::StopReason::kCancelled) {
    result.outcome = CallOutcome::kCancelled;
  }
  return result;
}

void EndpointClient::Close(Connection& connection, const char* reason) {
  connection.socket.Close();
  LogConnectionEnd(kLogSide, connection.address, reason, connection.exchanges);
}

// The newest that still stands, or one without a socket. Guards against writing to a connection
// that the other side has closed, or on which it has said more than it was asked.
EndpointClient::Connection EndpointClient::TakeIdle(const EndpointCall& call) {
  const std::lock_guard lock(mutex_);
  BudgetFor(call.endpoint).OnCall(std::chrono::steady_clock::now());
  for (auto it = idle_.end(); it != idle_.begin();) {
    --it;
    if (it->endpoint != call.endpoint || it->address != call.address) continue;
    Connection connection = std::move(*it);
    it = idle_.erase(it);
    if (!connection.socket.HasInputOrEnd()) return connection;
    Close(connection, "stale");
  }
  Connection fresh;
  fresh.endpoint = call.endpoint;
  fresh.address = call.address;
  return fresh;
}

void EndpointClient::ReturnIdle(Connection connection) {
  const std::lock_guard lock(mutex_);
  if (closed_) return Close(connection, "shutdown");
  const std::uint64_t endpoint = connection.endpoint;
  const SteadyTime now = std::chrono::steady_clock::now();
  const IdleConnectionBudget& budget = BudgetFor(endpoint);
  connection.expires_at = now + std::chrono::duration_cast<SteadyTime::duration>(budget.IdleTimeout(
                                    now, options_.connection_idle * kIdleTimeoutShare));
  idle_.push_back(std::move(connection));
  const auto is_of_endpoint = [&](const Connection& other) { return other.endpoint == endpoint; };
  const auto idle_count = std::count_if(idle_.begin(), idle_.end(), is_of_endpoint);
  const bool over_budget = static_cast<std::size_t>(idle_count) > budget.MaxIdleConnections(now);
  if (!over_budget && idle_.size() <= options_.max_idle_connections) return;
  const auto oldest =
      over_budget ? std::find_if(idle_.begin(), idle_.end(), is_of_endpoint) : idle_.begin();
  Close(*oldest, "idle-limit");
  idle_.erase(oldest);
}

void EndpointClient::CloseExpiredIdle() {
  const SteadyTime now = std::chrono::steady_clock::now();
  const std::lock_guard lock(mutex_);
  std::erase_if(idle_, [&](Connection& connection) {
    const bool stale = connection.socket.HasInputOrEnd();
    if (!stale && connection.expires_at > now) return false;
    Close(connection, stale ? "peer-closed" : "idle");
    return true;
  });
}

SteadyTime EndpointClient::NextIdleExpiry() const {
  const std::lock_guard lock(mutex_);
  SteadyTime next = SteadyTime::max();
  for (const Connection& connection : idle_) next = std::min(next, connection.expires_at);
  return next;
}

// With the mutex held.
IdleConnectionBudget& EndpointClient::BudgetFor(std::uint64_t endpoint) {
  return budgets_.try_emplace(endpoint, options_.group_size).first->second;
}

void EndpointClient::RemoveEndpoint(std::uint64_t endpoint) {
  const std::lock_guard lock(mutex_);
  budgets_.erase(endpoint);
  std::erase_if(idle_, [&](Connection& connection) {
    if (connection.endpoint != endpoint) return false;
    Close(connection, "endpoint-removed");
    return true;
  });
}

}  // namespace brassfront
