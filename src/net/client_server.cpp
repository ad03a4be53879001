#include "net/client_server.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

#include "protocol/resp.hpp"
#include "system/retry.hpp"

namespace brassfront {
namespace {

using std::chrono::milliseconds;

// Delay before accepting again if no descriptor was free: the listener stays ready all the time.
constexpr milliseconds kAcceptRetryDelay{20};
constexpr milliseconds kExpiryCheckInterval{50};
// A lingering close ends after the timeout or the maximum of bytes, whichever comes first.
constexpr milliseconds kLingerTimeout{500};
constexpr milliseconds kShutdownLingerTimeout{100};
constexpr std::size_t kMaxDiscardedBytes = 1 << 20;
// Maximum number of connections accepted per wakeup, so that open connections do not wait too long.
constexpr std::size_t kMaxAcceptsPerWakeup = 64;
constexpr std::size_t kMinWorkers = 2;
// Poller tokens that are not connection ids.
constexpr Poller::Token kListenerToken = UINT64_MAX;
constexpr Poller::Token kWakeupToken = UINT64_MAX - 1;
constexpr const char* kLogSide = "client";
constexpr const char* kRejectionRetryAfterMs = "1000";

// Sends the client a retry time, without blocking, and closes the connection.
void RejectConnection(Socket socket) {
  socket.SendAll(RespError("BUSY", kRejectionRetryAfterMs), std::chrono::steady_clock::now());
  LogConnectionEnd(kLogSide, "", ToString(CloseReason::kConnectionLimit), 0);
}

}  // namespace

ClientServer::ClientServer(Socket listener, const Limits& limits, MessageAcceptor& acceptor,
                           BufferPool& buffers)
    : limits_(limits),
      buffers_(buffers),
      listener_(std::move(listener)),
      commands_(acceptor, standby_, limits.max_invalid_commands),
      connections_({.max_idle = limits.max_idle,
                    .min_idle_before_first_message = limits.min_idle_before_first_message,
                    .min_idle = limits.min_idle}),
      workers_(
          "client",
          {.min_threads = std::min(kMinWorkers, limits.workers), .max_threads = limits.workers},
          [this](ClientConnection* connection) { ServeCommands(*connection); }) {
  poller_.Watch(listener_.fd(), kListenerToken);
  poller_.Watch(wakeup_.fd(), kWakeupToken);
  poll_thread_ = Thread::Require("client-poll", [this] { RunPollLoop(); });
}

ClientServer::~ClientServer() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wakeup_.Signal();
  poll_thread_.Join();
  // The thread pool's destructor waits for the workers, so that their replies are still sent.
}

void ClientServer::Drain() {
  {
    const std::lock_guard lock(mutex_);
    draining_ = true;
  }
  wakeup_.Signal();
}

void ClientServer::StandBy(bool stand_by) {
  if (standby_.Set(stand_by, std::chrono::steady_clock::now())) wakeup_.Signal();
}

std::size_t ClientServer::idle_connections() const {
  const std::lock_guard lock(mutex_);
  return connections_.idle_connections();
}

// ======== the poll loop ========

void ClientServer::RunPollLoop() {
  std::optional<milliseconds> timeout;
  while (true) {
    const auto ready = poller_.Wait(timeout);
    AcceptResult accepted = AcceptResult::kDone;
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) {
        CloseAllNotServing();
        return;
      }
      accepted = HandleAllReady(ready);
      timeout = connections_.empty() ? std::nullopt : std::optional(kExpiryCheckInterval);
    }
    // The pause prevents a busy loop, as the listener stays ready. It is made without the mutex,
    // which every worker needs.
    if (accepted == AcceptResult::kFailed) Pause(kAcceptRetryDelay);
  }
}

ClientServer::AcceptResult ClientServer::HandleAllReady(std::span<const Poller::Token> ready) {
  AcceptResult accepted = AcceptResult::kDone;
  for (const Poller::Token token : ready) {
    if (token == kListenerToken) {
      accepted = AcceptConnections();
    } else {
      HandleReady(token);
    }
  }
  RearmUnwatched();
  CloseExpired(std::chrono::steady_clock::now());
  return accepted;
}

void ClientServer::HandleReady(Poller::Token token) {
  if (token == kWakeupToken) {
    wakeup_.Clear();
    if (ClosesBetweenCommands()) CloseBetweenCommands();
    return;
  }
  ClientConnection* const connection = connections_.Find(token);
  if (connection == nullptr || connection->state == ClientConnection::State::kServing) return;
  ReadOnce(*connection);
}

ClientServer::AcceptResult ClientServer::AcceptConnections() {
  for (std::size_t i = 0; i < kMaxAcceptsPerWakeup; ++i) {
    Socket socket = Accept(listener_);
    if (!socket.is_open()) {
      if (errno == EAGAIN) return AcceptResult::kDone;
      // The error of a connection that ended before it was accepted does not affect others.
      if (Classify(SystemCall::kAccept, errno) == ErrorClass::kPeer) continue;
      return AcceptResult::kFailed;
    }
    const SteadyTime now = std::chrono::steady_clock::now();
    if (connections_.size() >= limits_.connections && !EvictOne(now)) {
      RejectConnection(std::move(socket));
      continue;
    }
    ClientConnection& connection = connections_.Add(std::move(socket), now);
    if (!poller_.WatchOneShot(connection.socket.fd(), connection.id)) {
      unwatched_.insert(connection.id);
    }
    connections_.Schedule(connection, now + limits_.command);
  }
  return AcceptResult::kDone;
}

// Closes a connection to make room for a new one. Returns false if none may be closed yet.
bool ClientServer::EvictOne(SteadyTime now) {
  if (FinishOldestLingering()) return true;
  // If a command has been received on the connection in the meantime, CloseIfIdle passes it to a
  // worker, and the next connection is tried.
  while (ClientConnection* const connection = connections_.FindEvictable(now)) {
    if (!CloseIfIdle(*connection, CloseReason::kEvicted)) continue;
    FinishOldestLingering();
    return true;
  }
  return false;
}

// Returns false if no connection is lingering.
bool ClientServer::FinishOldestLingering() {
  ClientConnection* const oldest = connections_.FindOldestLingering();
  if (oldest == nullptr) return false;
  Remove(*oldest, *oldest->close_reason);
  return true;
}

// Returns true if the connection was passed to a worker.
bool ClientServer::ReadOnce(ClientConnection& connection) {
  BufferPool::Buffer buffer = buffers_.Get();
  const ssize_t received = connection.socket.ReceiveNow(buffer.span());
  if (received < 0 && errno == EAGAIN) {
    Rearm(connection);
    return false;
  }
  if (connection.state == ClientConnection::State::kLingering) {
    DiscardInput(connection, received);
    return false;
  }
  if (received <= 0) {
    Remove(connection, received < 0 ? CloseReason::kReset : CloseReason::kPeerClosed);
    return false;
  }
  const bool begins_command = connection.IsBetweenCommands();
  connection.reader.Feed({buffer.span().data(), static_cast<std::size_t>(received)});
  if (!connection.reader.commands().empty() || connection.reader.broken()) {
    const SteadyTime now = std::chrono::steady_clock::now();
    connection.received_at = connection.had_unread_input ? connection.read_at : now;
    connection.read_at = now;
    connections_.Unschedule(connection);
    connection.state = ClientConnection::State::kServing;
    workers_.Submit(&connection);
    return true;
  }
  Rearm(connection);
  if (begins_command) {
    connections_.Unschedule(connection);
    connections_.Schedule(connection, std::chrono::steady_clock::now() + limits_.command);
  }
  return false;
}

// Counts the discarded input of a lingering connection; `received` is the result of
// Socket::ReceiveNow.
void ClientServer::DiscardInput(ClientConnection& connection, ssize_t received) {
  connection.discarded_bytes += static_cast<std::size_t>(std::max<ssize_t>(received, 0));
  if (received <= 0 || connection.discarded_bytes >= kMaxDiscardedBytes) {
    Remove(connection, *connection.close_reason);
  } else {
    Rearm(connection);
  }
}

void ClientServer::CloseExpired(SteadyTime now) {
  while (ClientConnection* const expired = connections_.FindExpired(now)) {
    ClientConnection& connection = *expired;
    if (connection.state == ClientConnection::State::kLingering) {
      Remove(connection, *connection.close_reason);
    } else if (connection.IsBetweenCommands()) {
      CloseIfIdle(connection, CloseReason::kIdle);
    } else {
      connection.socket.SendAll(RespError("ERR", "no command in time"), now);
      connections_.Unschedule(connection);
      const bool sent_nothing = connection.reader.between_commands();
      BeginLingeringClose(connection, sent_nothing ? CloseReason::kSilent : CloseReason::kTooSlow);
    }
  }
}

// Called while draining. A new connection may still send its first command.
void ClientServer::CloseBetweenCommands() {
  for (const ClientConnectionId id : connections_.IdsBetweenCommands()) {
    ClientConnection* const connection = connections_.Find(id);
    if (connection != nullptr) CloseIfIdle(*connection, CloseReason::kDraining);
  }
}

// Called at shutdown: discards the input that was received so far, without waiting for more.
void ClientServer::CloseAllNotServing() {
  for (const ClientConnectionId id : connections_.IdsNotServing()) {
    CloseWithoutPollLoop(*connections_.Find(id), CloseReason::kShutdown,
                         std::chrono::steady_clock::now());
  }
}

// ======== the poll loop or a worker ========

void ClientServer::EvictExcessIdle(SteadyTime now) {
  ClientConnection* const excess = connections_.FindExcessIdle(now);
  if (excess != nullptr) CloseIfIdle(*excess, CloseReason::kEvicted);
}

// Returns false if the connection is no longer idle because of new input. Returns true if it is
// closing, or was removed because the client had closed it.
bool ClientServer::CloseIfIdle(ClientConnection& connection, CloseReason reason) {
  const ClientConnectionId id = connection.id;
  if (connection.socket.HasInputOrEnd()) {
    if (ReadOnce(connection)) return false;
    if (connections_.Find(id) == nullptr) return true;
    if (!connection.IsIdle()) return false;  // a command has begun
  }
  connections_.Unschedule(connection);
  BeginLingeringClose(connection, reason);
  return true;
}

// The connection must not be scheduled.
void ClientServer::BeginLingeringClose(ClientConnection& connection, CloseReason reason) {
  connection.state = ClientConnection::State::kLingering;
  connection.close_reason = reason;
  shutdown(connection.socket.fd(), SHUT_WR);
  connections_.Schedule(connection, std::chrono::steady_clock::now() + kLingerTimeout);
  Rearm(connection);
}

// A lingering close at shutdown, when the poll loop no longer discards input: waits until the peer
// closes the connection or the deadline passes.
void ClientServer::CloseWithoutPollLoop(ClientConnection& connection, CloseReason reason,
                                        SteadyTime deadline) {
  shutdown(connection.socket.fd(), SHUT_WR);
  BufferPool::Buffer buffer = buffers_.Get();
  while (connection.discarded_bytes < kMaxDiscardedBytes &&
         connection.socket.AwaitInput(deadline)) {
    const ssize_t received = connection.socket.ReceiveNow(buffer.span());
    if (received <= 0) break;
    connection.discarded_bytes += static_cast<std::size_t>(received);
  }
  Remove(connection, reason);
}

void ClientServer::Rearm(ClientConnection& connection) {
  if (poller_.RearmOneShot(connection.socket.fd(), connection.id)) return;
  unwatched_.insert(connection.id);
}

// Retries watching the connections that the system refused to watch, as when out of memory.
void ClientServer::RearmUnwatched() {
  for (const ClientConnectionId id : std::exchange(unwatched_, {})) {
    ClientConnection* const connection = connections_.Find(id);
    if (connection == nullptr || connection->state == ClientConnection::State::kServing) continue;
    const int fd = connection->socket.fd();
    if (!poller_.RearmOneShot(fd, id) && !poller_.WatchOneShot(fd, id)) unwatched_.insert(id);
  }
}

void ClientServer::Remove(ClientConnection& connection, CloseReason reason) {
  LogConnectionEnd(kLogSide, "", ToString(reason), connection.commands);
  connections_.Remove(connection);
}

// ======== a worker ========

void ClientServer::ServeCommands(ClientConnection& connection) {
  std::optional<CloseReason> close_reason = commands_.ExecutePending(connection);
  connection.had_unread_input = connection.socket.HasInput();
  const std::lock_guard lock(mutex_);
  const bool between_commands = connection.reader.between_commands();
  if (!close_reason && between_commands && ClosesBetweenCommands()) {
    close_reason = CloseReason::kDraining;
  }
  const SteadyTime now = std::chrono::steady_clock::now();
  if (stopping_) {  // the poll loop has ended
    return CloseWithoutPollLoop(connection, close_reason.value_or(CloseReason::kShutdown),
                                now + kShutdownLingerTimeout);
  }
  if (close_reason) return BeginLingeringClose(connection, *close_reason);
  connection.state = ClientConnection::State::kReading;
  connection.idle_since = now;
  connections_.Schedule(connection, now + (between_commands ? limits_.idle : limits_.command));
  Rearm(connection);
  EvictExcessIdle(now);
}

}  // namespace brassfront
