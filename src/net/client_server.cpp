#include "net/client_server.hpp"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <thread>
#include <vector>

namespace brassfront {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAcceptRetryDelay{20};        // after a failed accept, for descriptors
constexpr milliseconds kReplyTimeout{500};           // for a reply to be written
constexpr milliseconds kExpiryCheckInterval{50};     // between two looks at what is due
constexpr milliseconds kLingerTimeout{500};          // and so many bytes, of what still comes
constexpr milliseconds kShutdownLingerTimeout{100};  // the same at the end of the process
constexpr std::size_t kMaxDiscardedBytes = 1 << 20;
constexpr std::size_t kMaxPendingReplyBytes = 16 * 1024;  // bytes that wait for one write
constexpr std::size_t kMaxAcceptsPerWakeup = 64;          // before the others get their turn
constexpr std::size_t kMinWorkers = 2;
constexpr std::uint64_t kListenerToken = UINT64_MAX, kWakeupToken = UINT64_MAX - 1;
constexpr const char* kLogSide = "client";

// Without waiting for anything: other clients wait to be taken.
void RejectConnection(Socket& socket, const char* reason) {
  socket.SendAll(RespError("BUSY", "1000"), std::chrono::steady_clock::now());
  LogConnectionEnd(kLogSide, "", reason, 0);
}

bool WatchEvents(const Socket& readiness, int how, int fd, std::uint64_t id, std::uint32_t events) {
  epoll_event wanted{};
  wanted.events = events;
  wanted.data.u64 = id;
  return epoll_ctl(readiness.fd(), how, fd, &wanted) == 0;
}

}  // namespace

ClientServer::ClientServer(Socket listener, const Limits& limits, MessageAcceptor& acceptor,
                           BufferPool& buffers)
    : limits_(limits),
      acceptor_(acceptor),
      buffers_(buffers),
      listener_(std::move(listener)),
      epoll_(epoll_create1(EPOLL_CLOEXEC)),
      wakeup_(eventfd(0, EFD_CLOEXEC)),
      workers_(
          "client",
          {.min_threads = std::min(kMinWorkers, limits.workers), .max_threads = limits.workers},
          [this](Connection* connection) { ServeCommands(*connection); }) {
  DoNotWait(listener_);
  if (!WatchEvents(epoll_, EPOLL_CTL_ADD, listener_.fd(), kListenerToken, EPOLLIN) ||
      !WatchEvents(epoll_, EPOLL_CTL_ADD, wakeup_.fd(), kWakeupToken, EPOLLIN)) {
    throw std::runtime_error("no room for a descriptor");
  }
  poll_thread_ = Thread("client-poll", [this] { RunPollLoop(); });
  if (!poll_thread_.started()) throw std::runtime_error("no room for a thread");
}

ClientServer::~ClientServer() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  eventfd_write(wakeup_.fd(), 1);
  poll_thread_.Join();
  // The workers go on with what they were given: replies still go out. They come last.
}

void ClientServer::Drain() {
  {
    const std::lock_guard lock(mutex_);
    draining_ = true;
  }
  eventfd_write(wakeup_.fd(), 1);
}

void ClientServer::StandBy(bool stand_by) {
  {
    const std::lock_guard lock(mutex_);
    if (standing_by_.exchange(stand_by) == stand_by) return;
    standby_since_ = std::chrono::steady_clock::now();
  }
  eventfd_write(wakeup_.fd(), 1);
}

// ======== the poll loop ========

void ClientServer::RunPollLoop() {
  std::array<epoll_event, 64> events;
  int wait = -1;
  while (true) {
    const int ready = epoll_wait(epoll_.fd(), events.data(), events.size(), wait);
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      for (auto it = connections_.begin(); it != connections_.end();) {
        Connection& connection = *(it++)->second;
        if (connection.state != State::kServing)
          LingerAndRemove(connection, "shutdown", std::chrono::steady_clock::now());
      }
      return;
    }
    for (int i = 0; i < ready; ++i) {
      const std::uint64_t id = events[i].data.u64;
      if (id == kListenerToken) {
        AcceptConnections();
      } else if (id == kWakeupToken) {
        eventfd_t count = 0;
        eventfd_read(wakeup_.fd(), &count);
        CloseIdleForDrain();
      } else if (const auto found = connections_.find(id); found != connections_.end()) {
        if (found->second->state != State::kServing) Read(*found->second);
      }
    }
    CloseExpired(std::chrono::steady_clock::now());
    wait = connections_.empty() ? -1 : static_cast<int>(kExpiryCheckInterval.count());
  }
}

void ClientServer::AcceptConnections() {
  for (std::size_t i = 0; i < kMaxAcceptsPerWakeup; ++i) {
    Socket socket = Accept(listener_);
    if (!socket.is_open()) {
      // Guards against a listener that stays ready while no descriptor is free.
      if (errno != EAGAIN) std::this_thread::sleep_for(kAcceptRetryDelay);
      return;
    }
    const SteadyTime now = std::chrono::steady_clock::now();
    if (connections_.size() >= limits_.connections && !EvictOne(now)) {
      RejectConnection(socket, "connection-limit");
      continue;
    }
    const ConnectionId id = next_id_++;
    Connection& connection =
        *connections_.emplace(id, std::make_unique<Connection>()).first->second;
    connection.id = id;
    connection.socket = std::move(socket);
    connection.idle_since = now;
    WatchInput(connection, EPOLL_CTL_ADD);
    Schedule(connection, now + limits_.command);
  }
}

// Ends the connection that is the least loss, for a newcomer. Guards against clients that connect
// and say nothing, or have had their answer and stay, in the places of those with a message.
bool ClientServer::EvictOne(SteadyTime now) {
  if (FinishOldestLinger()) return true;
  const auto end_longest = [&](const Order& idle, milliseconds at_least) {
    // One with a command that has come meanwhile goes to a worker, and the next is looked at.
    while (!idle.empty() && now - idle.begin()->first >= at_least) {
      if (CloseIfIdle(idle.begin()->second, "evicted")) {
        FinishOldestLinger();
        return true;
      }
    }
    return false;
  };
  return end_longest(idle_before_first_message_, limits_.min_idle_before_first_message) ||
         end_longest(idle_after_first_message_, limits_.min_idle);
}

// Ends the one that has been leaving for longest, if there is one.
bool ClientServer::FinishOldestLinger() {
  if (lingering_.empty()) return false;
  Connection& connection = *connections_.at(lingering_.begin()->second);
  Remove(connection, connection.close_reason);
  return true;
}

// Ends the longest idle of the connections that have had an answer, if there are too many of them.
void ClientServer::EvictExcessIdle(SteadyTime now) {
  if (idle_after_first_message_.size() <= limits_.most_idle) return;
  const auto [since, id] = *idle_after_first_message_.begin();
  if (now - since >= limits_.min_idle) CloseIfIdle(id, "evicted");
}

// False if something has come on it meanwhile: it is no longer idle, or it has ended by itself.
bool ClientServer::CloseIfIdle(ConnectionId id, const char* reason) {
  Connection& connection = *connections_.at(id);
  if (connection.socket.HasInputOrEnd()) {
    if (Read(connection)) return false;
    if (connections_.count(id) == 0) return true;
    if (!connection.IsIdle()) return false;  // a command has begun
  }
  Unschedule(connection);
  BeginLingeringClose(connection, reason);
  return true;
}

// The one way to end a client's connection from our side; it stands in none of the sorted sets.
// Guards against bytes that come between the last read and the end: a close over unread bytes
// resets the connection, and the last reply may go with it. What comes from now on is not read as a
// command, so the client knows that it may send it again elsewhere.
void ClientServer::BeginLingeringClose(Connection& connection, const char* reason) {
  connection.state = State::kLingering;
  connection.close_reason = reason;
  shutdown(connection.socket.fd(), SHUT_WR);
  Schedule(connection, std::chrono::steady_clock::now() + kLingerTimeout);
  WatchInput(connection, EPOLL_CTL_MOD);
}

// Reads once. True if the connection has work for a worker, who has it now.
bool ClientServer::Read(Connection& connection) {
  BufferPool::Buffer buffer = buffers_.Get();
  const long received = connection.socket.ReceiveNow(buffer.span());
  if (received < 0 && errno == EAGAIN) {
    WatchInput(connection, EPOLL_CTL_MOD);
    return false;
  }
  if (connection.state == State::kLingering) {
    connection.discarded_bytes += static_cast<std::size_t>(std::max(received, 0L));
    if (received <= 0 || connection.discarded_bytes >= kMaxDiscardedBytes) {
      Remove(connection, connection.close_reason);
    } else {
      WatchInput(connection, EPOLL_CTL_MOD);
    }
    return false;
  }
  if (received <= 0) {
    Remove(connection, received < 0 ? "reset" : "peer-closed");
    return false;
  }
  const bool begins = connection.exchanges > 0 && connection.reader.between_commands();
  connection.reader.Feed({buffer.span().data(), static_cast<std::size_t>(received)});
  if (!connection.reader.commands().empty() || connection.reader.broken()) {
    Unschedule(connection);
    connection.state = State::kServing;
    workers_.Submit(&connection);
    return true;
  }
  WatchInput(connection, EPOLL_CTL_MOD);
  if (begins) {
    Unschedule(connection);
    Schedule(connection, std::chrono::steady_clock::now() + limits_.command);
  }
  return false;
}

void ClientServer::CloseExpired(SteadyTime now) {
  while (!by_deadline_.empty() && by_deadline_.begin()->first <= now) {
    Connection& connection = *connections_.at(by_deadline_.begin()->second);
    if (connection.state == State::kLingering) {
      Remove(connection, connection.close_reason);
    } else if (connection.exchanges > 0 && connection.reader.between_commands()) {
      CloseIfIdle(connection.id, "idle");
    } else {
      connection.socket.SendAll(RespError("ERR", "no command in time"), now);
      Unschedule(connection);
      BeginLingeringClose(connection, connection.reader.between_commands() ? "silent" : "too-slow");
    }
  }
}

// A new connection may send its one request in a drain: only those that had theirs are ended.
void ClientServer::CloseIdleForDrain() {
  if (!ClosesBetweenCommands()) return;
  std::vector<ConnectionId> idle;
  for (const auto& [id, connection] : connections_) {
    if (connection->state == State::kWaiting && connection->exchanges > 0 &&
        connection->reader.between_commands()) {
      idle.push_back(id);
    }
  }
  for (const ConnectionId id : idle) {
    if (connections_.count(id) != 0) CloseIfIdle(id, "draining");
  }
}

// Into the sorted sets, as one that waits or leaves.
void ClientServer::Schedule(Connection& connection, SteadyTime deadline) {
  connection.deadline = deadline;
  by_deadline_.emplace(deadline, connection.id);
  if (connection.state == State::kLingering) {
    lingering_.emplace(deadline, connection.id);
  } else if (connection.IsIdle()) {
    (connection.has_submitted ? idle_after_first_message_ : idle_before_first_message_)
        .emplace(connection.idle_since, connection.id);
  }
}

// Out of them: to be entered anew, served or ended.
void ClientServer::Unschedule(Connection& connection) {
  by_deadline_.erase({connection.deadline, connection.id});
  idle_after_first_message_.erase({connection.idle_since, connection.id});
  idle_before_first_message_.erase({connection.idle_since, connection.id});
  lingering_.erase({connection.deadline, connection.id});
}

void ClientServer::WatchInput(Connection& connection, int how) {
  // One that cannot be watched is ended when it is due.
  WatchEvents(epoll_, how, connection.socket.fd(), connection.id, EPOLLIN | EPOLLONESHOT);
}

void ClientServer::Remove(Connection& connection, const char* reason) {
  if (connection.state != State::kServing) Unschedule(connection);
  LogConnectionEnd(kLogSide, "", reason, connection.exchanges);
  connections_.erase(connection.id);
}

// ======== a worker ========

void ClientServer::ServeCommands(Connection& connection) {
  const char* reason = "";
  bool stays_open = ExecutePendingCommands(connection, reason);
  const std::lock_guard lock(mutex_);
  const bool between = connection.reader.between_commands();
  if (stays_open && between && ClosesBetweenCommands()) {
    reason = "draining";
    stays_open = false;
  }
  if (stopping_) {  // the poll loop has ended
    return LingerAndRemove(connection, stays_open ? "shutdown" : reason,
                           std::chrono::steady_clock::now() + kShutdownLingerTimeout);
  }
  if (!stays_open) return BeginLingeringClose(connection, reason);
  connection.state = State::kWaiting;
  connection.idle_since = std::chrono::steady_clock::now();
  Schedule(connection, connection.idle_since + (between ? limits_.idle : limits_.command));
  WatchInput(connection, EPOLL_CTL_MOD);
  EvictExcessIdle(connection.idle_since);
}

// Leaves without the lobby: what still comes by then is passed over here.
void ClientServer::LingerAndRemove(Connection& connection, const char* reason, SteadyTime until) {
  shutdown(connection.socket.fd(), SHUT_WR);
  BufferPool::Buffer buffer = buffers_.Get();
  while (connection.discarded_bytes < kMaxDiscardedBytes && connection.socket.AwaitInput(until)) {
    const long received = connection.socket.ReceiveNow(buffer.span());
    if (received <= 0) break;
    connection.discarded_bytes += static_cast<std::size_t>(received);
  }
  Remove(connection, reason);
}

// Answers what has come whole. False, with the reason, if the connection is to end.
bool ClientServer::ExecutePendingCommands(Connection& connection, const char*& reason) {
  while (!connection.reader.commands().empty()) {
    RespCommand command = std::move(connection.reader.commands().front());
    connection.reader.commands().pop_front();
    ++connection.exchanges;
    if (Execute(connection, command, reason)) continue;
    FlushReplies(connection);
    return false;
  }
  if (connection.reader.broken()) {
    AppendReply(connection, RespError("ERR", "protocol error"));
    FlushReplies(connection);
    reason = "malformed";
    return false;
  }
  reason = "reset";
  return FlushReplies(connection);
}

// Replies to commands that came together go out together. Guards against a system call for each of
// hundreds. False if the client cannot be reached.
bool ClientServer::AppendReply(Connection& connection, const std::string& reply) {
  connection.replies += reply;
  return connection.replies.size() < kMaxPendingReplyBytes || FlushReplies(connection);
}

bool ClientServer::FlushReplies(Connection& connection) {
  if (connection.replies.empty()) return true;
  const std::string replies = std::exchange(connection.replies, {});
  return connection.socket.SendAll(replies, std::chrono::steady_clock::now() + kReplyTimeout);
}

bool ClientServer::ReplyInvalid(Connection& connection, const std::string& reply,
                                const char*& reason) {
  reason = "reset";
  if (!AppendReply(connection, reply)) return false;
  reason = "too-many-errors";
  return ++connection.invalid_commands < limits_.max_invalid_commands;
}

// False, with the reason, if the connection is to end.
bool ClientServer::Execute(Connection& connection, RespCommand& command, const char*& reason) {
  std::string& name = command.words[0];
  for (char& letter : name) {
    if (letter >= 'a' && letter <= 'z') letter = static_cast<char>(letter - 'a' + 'A');
  }
  if (command.oversize) return ReplyInvalid(connection, RespError("ERR", "over 64 KiB"), reason);
  if (name == "MSG.PUT") return Submit(connection, command, reason);
  reason = "reset";
  if (name == "PING") {
    if (HasStoodByFor(milliseconds{0}))
      return AppendReply(connection, RespError("STANDBY", "taken out for work"));
    return AppendReply(connection,
                       command.words.size() > 1 ? RespBulk(command.words[1]) : RespSimple("PONG"));
  }
  if (name == "QUIT") {
    if (AppendReply(connection, RespSimple("OK"))) reason = "quit";
    return false;
  }
  return ReplyInvalid(connection, RespError("ERR", "unknown command"), reason);
}

bool ClientServer::HasStoodByFor(milliseconds duration) {
  if (!standing_by_) return false;
  const std::lock_guard lock(mutex_);
  return std::chrono::steady_clock::now() - standby_since_ >= duration;
}

bool ClientServer::Submit(Connection& connection, RespCommand& command, const char*& reason) {
  reason = "reset";
  if (HasStoodByFor(kTakenInStandby)) return AppendReply(connection, RespError("BUSY", "1000"));
  DeliveryRequest request;
  try {
    request = ParseDeliveryRequest(std::move(command.words));
  } catch (const InvalidDeliveryRequest& fault) {
    return ReplyInvalid(connection, RespError("ERR", fault.what()), reason);
  }
  const SubmitResult answer = acceptor_.Submit(std::move(request));
  if (answer.status == SubmitResult::Status::kInvalid) {
    return ReplyInvalid(connection, RespError("ERR", answer.error), reason);
  }
  std::string wait;
  if (answer.retry_after) wait = std::to_string(answer.retry_after->count());
  if (answer.unknown_destination) return ReplyInvalid(connection, RespError("BUSY", wait), reason);
  connection.invalid_commands = 0;
  connection.has_submitted = true;
  if (answer.status == SubmitResult::Status::kRejected) {
    return AppendReply(connection, RespError("BUSY", wait));
  }
  // A client that has stopped waiting may hand the message in again under a new id.
  if (connection.socket.PeerHasEnded() || !AppendReply(connection, RespSimple("OK")) ||
      !FlushReplies(connection)) {
    acceptor_.OnClientDisconnected(answer.message);
    reason = "client-gone";
    return false;
  }
  acceptor_.OnAcknowledged(answer.message);
  return true;
}

}  // namespace brassfront
