#include "net/endpoint_client.hpp"

#include <algorithm>
#include <utility>

namespace brassfront {
namespace {

constexpr const char* kSide = "endpoint";
constexpr std::size_t kLeastThreads = 2;
constexpr std::size_t kMostAnswer = 128 * 1024;  // bytes of its body; a full bundle's is a few KiB
// Of the time after which the other side closes an idle connection. Guards against a call that
// crosses that close and ends as a reset, which may have run.
constexpr double kIdleShare = 0.6;
// From an answer's first byte to its last. Guards against one that claims more than ever comes, and
// holds its slot meanwhile.
constexpr std::chrono::milliseconds kAnswerTime{500};

const char* ReasonOf(EndpointCall::StopReason stop, const char* otherwise) {
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
      threads_("endpoint",
               {.least = std::min(kLeastThreads, options.threads), .most = options.threads},
               [this](const std::shared_ptr<EndpointCall>& delivery) { Work(delivery); }) {}

// The crew is the last member: it makes what is still waiting end, and then its threads.
EndpointClient::~EndpointClient() {
  const std::lock_guard lock(mutex_);
  closed_ = true;
  for (auto& [number, delivery] : out_) delivery->Abort(EndpointCall::StopReason::kCancelled);
  for (Connection& c : idle_) End(c, "shutdown");
  idle_.clear();
}

void EndpointClient::Start(std::shared_ptr<EndpointCall> delivery) {
  {
    const std::lock_guard lock(mutex_);
    out_[delivery->id] = delivery;
  }
  threads_.Submit(std::move(delivery));
}

void EndpointClient::Work(const std::shared_ptr<EndpointCall>& delivery) {
  EndpointCallResult end = Carry(*delivery);
  end.call_id = delivery->id;
  {
    const std::lock_guard lock(mutex_);
    out_.erase(end.call_id);
  }
  on_result_(std::move(end));
}

EndpointCallResult EndpointClient::Carry(EndpointCall& delivery) {
  while (true) {
    Connection connection = TakeIdle(delivery);
    const bool reused = connection.socket.is_open();
    if (!reused) connection.socket = NewSocket();
    if (!delivery.AttachConnection(connection.socket)) {
      if (reused) Keep(std::move(connection));
      return {.outcome = CallOutcome::kNotSent};
    }
    if (!reused && !Open(connection, delivery)) {
      return {.outcome = delivery.stop_reason() == EndpointCall::StopReason::kNone
                             ? CallOutcome::kConnectFailed
                             : CallOutcome::kNotSent};
    }
    if (!delivery.BeginWrite()) {
      delivery.DetachConnection();
      const EndpointCall::StopReason stop = delivery.stop_reason();
      if (stop == EndpointCall::StopReason::kCancelled ||
          stop == EndpointCall::StopReason::kTimedOut) {
        End(connection, ReasonOf(stop, ""));
      } else {
        Keep(std::move(connection));
      }
      return {.outcome = CallOutcome::kNotSent};
    }
    if (connection.socket.SendAll(delivery.request)) return ReadAnswer(connection, delivery);
    // The last byte was not written, so nothing ran. A kept connection may have died unnoticed:
    // that tells nothing of the next hop, and a new one may do.
    delivery.UndoBeginWrite();
    delivery.DetachConnection();
    const EndpointCall::StopReason stop = delivery.stop_reason();
    End(connection, ReasonOf(stop, "write-failed"));
    if (stop != EndpointCall::StopReason::kNone) return {.outcome = CallOutcome::kNotSent};
    if (!reused) return {.outcome = CallOutcome::kConnectFailed};
  }
}

bool EndpointClient::Open(Connection& connection, EndpointCall& delivery) {
  if (Connect(connection.socket, delivery.address, options_.connect_timeout)) return true;
  delivery.DetachConnection();
  End(connection, ReasonOf(delivery.stop_reason(), "connect-failed"));
  return false;
}

EndpointCallResult EndpointClient::ReadAnswer(Connection& connection, EndpointCall& delivery) {
  HttpReader reader(kMostAnswer);
  const char* fault = "malformed";
  SteadyTime until = SteadyTime::max();
  while (!reader.done() && !reader.broken()) {
    if (!reader.begun()) {
      until = SteadyTime::max();
    } else if (until == SteadyTime::max()) {
      until = std::chrono::steady_clock::now() + kAnswerTime;
    }
    if (!connection.socket.AwaitInput(until)) {
      fault = "incomplete";
      break;
    }
    BufferPool::Buffer buffer = buffers_.Get();
    const long n = connection.socket.Receive(buffer.span());
    if (n > 0) {
      reader.Feed({buffer.span().data(), static_cast<std::size_t>(n)});
    } else {
      fault = "reset";
      reader.FeedEnd();
    }
  }
  delivery.DetachConnection();
  const EndpointCall::StopReason stop = delivery.stop_reason();
  ++connection.exchanges;
  EndpointCallResult end;
  if (reader.done() && reader.keep_alive() && stop == EndpointCall::StopReason::kNone) {
    Keep(std::move(connection));
  } else {
    End(connection, ReasonOf(stop, reader.done() ? "keep-alive-off" : fault));
  }
  // Of a spoilt answer only a first line with 200 is true. Guards against taking a request that has
  // run for one that was turned away.
  if (reader.done() || reader.status() == 200) {
    end.outcome = CallOutcome::kAnswered;
    end.status = reader.status();
    end.complete = reader.done();
    if (!end.complete) return end;
    end.body = reader.body();
    end.retry_after_ms = reader.Header("wait-ms");
    end.slots_taken = reader.Header("slots-taken");
    end.load_report = reader.Header("x-backend-load");
    // Turned away on a connection's first call, and the connection with it, is one too many.
    // Guards against taking that for a limit on calls.
    const bool crowded = end.status == 503 && connection.exchanges == 1 && !reader.keep_alive() &&
                         end.retry_after_ms.empty() && end.slots_taken.empty();
    if (crowded) {
      end.outcome = CallOutcome::kConnectionLimitReached;
      const std::lock_guard lock(mutex_);
      ShareOf(delivery.endpoint).Crowded(std::chrono::steady_clock::now());
    }
  } else if (stop == EndpointCall::StopReason::kTimedOut) {
    end.outcome = CallOutcome::kTimedOut;
  } else if (stop == EndpointCall::StopReason::kCancelled) {
    end.outcome = CallOutcome::kCancelled;
  }
  return end;
}

void EndpointClient::End(Connection& connection, const char* reason) {
  connection.socket.Close();
  LogConnectionEnd(kSide, connection.address, reason, connection.exchanges);
}

// The newest that still stands, or one without a socket. Guards against writing to a connection
// that the other side has closed, or on which it has said more than it was asked.
EndpointClient::Connection EndpointClient::TakeIdle(const EndpointCall& delivery) {
  const std::lock_guard lock(mutex_);
  ShareOf(delivery.endpoint).Called(std::chrono::steady_clock::now());
  for (auto it = idle_.end(); it != idle_.begin();) {
    --it;
    if (it->hop != delivery.endpoint || it->address != delivery.address) continue;
    Connection connection = std::move(*it);
    it = idle_.erase(it);
    if (!connection.socket.HasInputOrEnd()) return connection;
    End(connection, "stale");
  }
  Connection fresh;
  fresh.hop = delivery.endpoint;
  fresh.address = delivery.address;
  return fresh;
}

void EndpointClient::Keep(Connection connection) {
  const std::lock_guard lock(mutex_);
  if (closed_) return End(connection, "shutdown");
  const std::uint64_t hop = connection.hop;
  const SteadyTime now = std::chrono::steady_clock::now();
  const IdleConnectionBudget& share = ShareOf(hop);
  connection.kept_until = now + std::chrono::duration_cast<SteadyTime::duration>(
                                    share.KeptFor(now, options_.connection_idle * kIdleShare));
  idle_.push_back(std::move(connection));
  const auto of_hop = [&](const Connection& c) { return c.hop == hop; };
  const auto kept = std::count_if(idle_.begin(), idle_.end(), of_hop);
  const bool many = static_cast<std::size_t>(kept) > share.Most(now);
  if (!many && idle_.size() <= options_.max_idle_connections) return;
  const auto oldest = many ? std::find_if(idle_.begin(), idle_.end(), of_hop) : idle_.begin();
  End(*oldest, "idle-limit");
  idle_.erase(oldest);
}

void EndpointClient::CloseExpiredIdle() {
  const SteadyTime now = std::chrono::steady_clock::now();
  const std::lock_guard lock(mutex_);
  std::erase_if(idle_, [&](Connection& c) {
    const bool stale = c.socket.HasInputOrEnd();
    if (!stale && c.kept_until > now) return false;
    End(c, stale ? "peer-closed" : "idle");
    return true;
  });
}

SteadyTime EndpointClient::NextIdleExpiry() const {
  const std::lock_guard lock(mutex_);
  SteadyTime next = SteadyTime::max();
  for (const Connection& c : idle_) next = std::min(next, c.kept_until);
  return next;
}

// With the mutex held.
IdleConnectionBudget& EndpointClient::ShareOf(std::uint64_t hop) {
  return shares_.try_emplace(hop, options_.group_size).first->second;
}

void EndpointClient::RemoveEndpoint(std::uint64_t hop) {
  const std::lock_guard lock(mutex_);
  shares_.erase(hop);
  std::erase_if(idle_, [&](Connection& c) {
    if (c.hop != hop) return false;
    End(c, "endpoint-removed");
    return true;
  });
}

}  // namespace brassfront
