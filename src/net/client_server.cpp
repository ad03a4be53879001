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

constexpr milliseconds kAcceptPause{20};   // after a failed accept, for descriptors
constexpr milliseconds kReplyTime{500};    // for a reply to be written
constexpr milliseconds kSweep{50};         // between two looks at what is due
constexpr milliseconds kLingerFor{500};    // and so many bytes, of what still comes
constexpr milliseconds kLingerAlone{100};  // the same at the end of the process
constexpr std::size_t kMostPassedOver = 1 << 20;
constexpr std::size_t kMostReplies = 16 * 1024;  // bytes that wait for one write
constexpr std::size_t kMostAccepts = 64;         // before the others get their turn
constexpr std::size_t kLeastWorkers = 2;
constexpr std::uint64_t kListener = UINT64_MAX, kWake = UINT64_MAX - 1;
constexpr const char* kSide = "client";

// Without waiting for anything: other clients wait to be taken.
void TurnAway(Socket& socket, const char* reason) {
  socket.SendAll(RespError("BUSY", "1000"), std::chrono::steady_clock::now());
  LogConnectionEnd(kSide, "", reason, 0);
}

bool Watches(const Socket& readiness, int how, int fd, std::uint64_t number, std::uint32_t events) {
  epoll_event wanted{};
  wanted.events = events;
  wanted.data.u64 = number;
  return epoll_ctl(readiness.fd(), how, fd, &wanted) == 0;
}

}  // namespace

ClientServer::ClientServer(Socket listener, const Limits& limits, MessageAcceptor& acceptor,
                           BufferPool& buffers)
    : limits_(limits),
      acceptor_(acceptor),
      buffers_(buffers),
      listener_(std::move(listener)),
      readiness_(epoll_create1(EPOLL_CLOEXEC)),
      wake_(eventfd(0, EFD_CLOEXEC)),
      workers_("client", {.least = std::min(kLeastWorkers, limits.workers), .most = limits.workers},
               [this](Connection* connection) { Serve(*connection); }) {
  DoNotWait(listener_);
  if (!Watches(readiness_, EPOLL_CTL_ADD, listener_.fd(), kListener, EPOLLIN) ||
      !Watches(readiness_, EPOLL_CTL_ADD, wake_.fd(), kWake, EPOLLIN)) {
    throw std::runtime_error("no room for a descriptor");
  }
  lobby_ = Thread("client-poll", [this] { RunPollLoop(); });
  if (!lobby_.started()) throw std::runtime_error("no room for a thread");
}

ClientServer::~ClientServer() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  eventfd_write(wake_.fd(), 1);
  lobby_.Join();
  // The workers go on with what they were given: replies still go out. They come last.
}

void ClientServer::Drain() {
  {
    const std::lock_guard lock(mutex_);
    draining_ = true;
  }
  eventfd_write(wake_.fd(), 1);
}

void ClientServer::StandBy(bool stand_by) {
  {
    const std::lock_guard lock(mutex_);
    if (standing_by_.exchange(stand_by) == stand_by) return;
    stands_by_since_ = std::chrono::steady_clock::now();
  }
  eventfd_write(wake_.fd(), 1);
}

// ======== the lobby ========

void ClientServer::RunPollLoop() {
  std::array<epoll_event, 64> events;
  int wait = -1;
  while (true) {
    const int n = epoll_wait(readiness_.fd(), events.data(), events.size(), wait);
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      for (auto it = connections_.begin(); it != connections_.end();) {
        Connection& c = *(it++)->second;
        if (c.state != State::kServing) EndAlone(c, "shutdown", std::chrono::steady_clock::now());
      }
      return;
    }
    for (int i = 0; i < n; ++i) {
      const std::uint64_t number = events[i].data.u64;
      if (number == kListener) {
        TakeConnections();
      } else if (number == kWake) {
        eventfd_t count = 0;
        eventfd_read(wake_.fd(), &count);
        EndForDrain();
      } else if (const auto it = connections_.find(number); it != connections_.end()) {
        if (it->second->state != State::kServing) Read(*it->second);
      }
    }
    EndDue(std::chrono::steady_clock::now());
    wait = connections_.empty() ? -1 : static_cast<int>(kSweep.count());
  }
}

void ClientServer::TakeConnections() {
  for (std::size_t i = 0; i < kMostAccepts; ++i) {
    Socket socket = Accept(listener_);
    if (!socket.is_open()) {
      // Guards against a listener that stays ready while no descriptor is free.
      if (errno != EAGAIN) std::this_thread::sleep_for(kAcceptPause);
      return;
    }
    const SteadyTime now = std::chrono::steady_clock::now();
    if (connections_.size() >= limits_.connections && !MakeRoom(now)) {
      TurnAway(socket, "connection-limit");
      continue;
    }
    const Number number = next_++;
    Connection& c = *connections_.emplace(number, std::make_unique<Connection>()).first->second;
    c.number = number;
    c.socket = std::move(socket);
    c.since = now;
    Arm(c, EPOLL_CTL_ADD);
    Enter(c, now + limits_.command);
  }
}

// Ends the connection that is the least loss, for a newcomer. Guards against clients that connect
// and say nothing, or have had their answer and stay, in the places of those with a message.
bool ClientServer::MakeRoom(SteadyTime now) {
  if (EndLeaving()) return true;
  const auto end_longest = [&](const Order& idle, milliseconds at_least) {
    // One with a command that has come meanwhile goes to a worker, and the next is looked at.
    while (!idle.empty() && now - idle.begin()->first >= at_least) {
      if (EndIdle(idle.begin()->second, "evicted")) {
        EndLeaving();
        return true;
      }
    }
    return false;
  };
  return end_longest(idle_useless_, limits_.useless) ||
         end_longest(idle_useful_, limits_.least_idle);
}

// Ends the one that has been leaving for longest, if there is one.
bool ClientServer::EndLeaving() {
  if (leaving_.empty()) return false;
  Connection& c = *connections_.at(leaving_.begin()->second);
  Erase(c, c.leaves_for);
  return true;
}

// Ends the longest idle of the connections that have had an answer, if there are too many of them.
void ClientServer::TrimIdle(SteadyTime now) {
  if (idle_useful_.size() <= limits_.most_idle) return;
  const auto [since, number] = *idle_useful_.begin();
  if (now - since >= limits_.least_idle) EndIdle(number, "evicted");
}

// False if something has come on it meanwhile: it is no longer idle, or it has ended by itself.
bool ClientServer::EndIdle(Number number, const char* reason) {
  Connection& c = *connections_.at(number);
  if (c.socket.HasInputOrEnd()) {
    if (Read(c)) return false;
    if (connections_.count(number) == 0) return true;
    if (!c.IsIdle()) return false;  // a command has begun
  }
  Withdraw(c);
  Leave(c, reason);
  return true;
}

// The one way to end a client's connection from our side; it stands in none of the sorted sets.
// Guards against bytes that come between the last read and the end: a close over unread bytes
// resets the connection, and the last reply may go with it. What comes from now on is not read as a
// command, so the client knows that it may send it again elsewhere.
void ClientServer::Leave(Connection& c, const char* reason) {
  c.state = State::kLeaving;
  c.leaves_for = reason;
  shutdown(c.socket.fd(), SHUT_WR);
  Enter(c, std::chrono::steady_clock::now() + kLingerFor);
  Arm(c, EPOLL_CTL_MOD);
}

// Reads once. True if the connection has work for a worker, who has it now.
bool ClientServer::Read(Connection& c) {
  BufferPool::Buffer buffer = buffers_.Get();
  const long n = c.socket.ReceiveNow(buffer.span());
  if (n < 0 && errno == EAGAIN) {
    Arm(c, EPOLL_CTL_MOD);
    return false;
  }
  if (c.state == State::kLeaving) {
    c.passed_over += static_cast<std::size_t>(std::max(n, 0L));
    if (n <= 0 || c.passed_over >= kMostPassedOver) {
      Erase(c, c.leaves_for);
    } else {
      Arm(c, EPOLL_CTL_MOD);
    }
    return false;
  }
  if (n <= 0) {
    Erase(c, n < 0 ? "reset" : "peer-closed");
    return false;
  }
  const bool begins = c.exchanges > 0 && c.reader.between_commands();
  c.reader.Feed({buffer.span().data(), static_cast<std::size_t>(n)});
  if (!c.reader.commands().empty() || c.reader.broken()) {
    Withdraw(c);
    c.state = State::kServing;
    workers_.Submit(&c);
    return true;
  }
  Arm(c, EPOLL_CTL_MOD);
  if (begins) {
    Withdraw(c);
    Enter(c, std::chrono::steady_clock::now() + limits_.command);
  }
  return false;
}

void ClientServer::EndDue(SteadyTime now) {
  while (!due_.empty() && due_.begin()->first <= now) {
    Connection& c = *connections_.at(due_.begin()->second);
    if (c.state == State::kLeaving) {
      Erase(c, c.leaves_for);
    } else if (c.exchanges > 0 && c.reader.between_commands()) {
      EndIdle(c.number, "idle");
    } else {
      c.socket.SendAll(RespError("ERR", "no command in time"), now);
      Withdraw(c);
      Leave(c, c.reader.between_commands() ? "silent" : "too-slow");
    }
  }
}

// A new connection may send its one request in a drain: only those that had theirs are ended.
void ClientServer::EndForDrain() {
  if (!SendsAway()) return;
  std::vector<Number> had_theirs;
  for (const auto& [number, c] : connections_) {
    if (c->state == State::kWaiting && c->exchanges > 0 && c->reader.between_commands()) {
      had_theirs.push_back(number);
    }
  }
  for (const Number number : had_theirs) {
    if (connections_.count(number) != 0) EndIdle(number, "draining");
  }
}

// Into the sorted sets, as one that waits or leaves.
void ClientServer::Enter(Connection& c, SteadyTime due) {
  c.due = due;
  due_.emplace(due, c.number);
  if (c.state == State::kLeaving) {
    leaving_.emplace(due, c.number);
  } else if (c.IsIdle()) {
    (c.useful ? idle_useful_ : idle_useless_).emplace(c.since, c.number);
  }
}

// Out of them: to be entered anew, served or ended.
void ClientServer::Withdraw(Connection& c) {
  due_.erase({c.due, c.number});
  idle_useful_.erase({c.since, c.number});
  idle_useless_.erase({c.since, c.number});
  leaving_.erase({c.due, c.number});
}

void ClientServer::Arm(Connection& c, int how) {
  // One that cannot be watched is ended when it is due.
  Watches(readiness_, how, c.socket.fd(), c.number, EPOLLIN | EPOLLONESHOT);
}

void ClientServer::Erase(Connection& c, const char* reason) {
  if (c.state != State::kServing) Withdraw(c);
  LogConnectionEnd(kSide, "", reason, c.exchanges);
  connections_.erase(c.number);
}

// ======== a worker ========

void ClientServer::Serve(Connection& c) {
  const char* reason = "";
  bool stays = AnswerCommands(c, reason);
  const std::lock_guard lock(mutex_);
  const bool between = c.reader.between_commands();
  if (stays && between && SendsAway()) {
    reason = "draining";
    stays = false;
  }
  if (stopping_) {  // there is no lobby any longer
    return EndAlone(c, stays ? "shutdown" : reason,
                    std::chrono::steady_clock::now() + kLingerAlone);
  }
  if (!stays) return Leave(c, reason);
  c.state = State::kWaiting;
  c.since = std::chrono::steady_clock::now();
  Enter(c, c.since + (between ? limits_.idle : limits_.command));
  Arm(c, EPOLL_CTL_MOD);
  TrimIdle(c.since);
}

// Leaves without the lobby: what still comes by then is passed over here.
void ClientServer::EndAlone(Connection& c, const char* reason, SteadyTime until) {
  shutdown(c.socket.fd(), SHUT_WR);
  BufferPool::Buffer buffer = buffers_.Get();
  while (c.passed_over < kMostPassedOver && c.socket.AwaitInput(until)) {
    const long n = c.socket.ReceiveNow(buffer.span());
    if (n <= 0) break;
    c.passed_over += static_cast<std::size_t>(n);
  }
  Erase(c, reason);
}

// Answers what has come whole. False, with the reason, if the connection is to end.
bool ClientServer::AnswerCommands(Connection& c, const char*& reason) {
  while (!c.reader.commands().empty()) {
    RespCommand command = std::move(c.reader.commands().front());
    c.reader.commands().pop_front();
    ++c.exchanges;
    if (Reply(c, command, reason)) continue;
    Flush(c);
    return false;
  }
  if (c.reader.broken()) {
    Say(c, RespError("ERR", "protocol error"));
    Flush(c);
    reason = "malformed";
    return false;
  }
  reason = "reset";
  return Flush(c);
}

// Replies to commands that came together go out together. Guards against a system call for each of
// hundreds. False if the client cannot be reached.
bool ClientServer::Say(Connection& c, const std::string& reply) {
  c.replies += reply;
  return c.replies.size() < kMostReplies || Flush(c);
}

bool ClientServer::Flush(Connection& c) {
  if (c.replies.empty()) return true;
  const std::string replies = std::exchange(c.replies, {});
  return c.socket.SendAll(replies, std::chrono::steady_clock::now() + kReplyTime);
}

bool ClientServer::SayFault(Connection& c, const std::string& reply, const char*& reason) {
  reason = "reset";
  if (!Say(c, reply)) return false;
  reason = "too-many-errors";
  return ++c.faults < limits_.most_faults;
}

// False, with the reason, if the connection is to end.
bool ClientServer::Reply(Connection& c, RespCommand& command, const char*& reason) {
  std::string& name = command.words[0];
  for (char& letter : name) {
    if (letter >= 'a' && letter <= 'z') letter = static_cast<char>(letter - 'a' + 'A');
  }
  if (command.oversize) return SayFault(c, RespError("ERR", "over 64 KiB"), reason);
  if (name == "MSG.PUT") return Submit(c, command, reason);
  reason = "reset";
  if (name == "PING") {
    if (StandsBy(milliseconds{0})) return Say(c, RespError("STANDBY", "taken out for work"));
    return Say(c, command.words.size() > 1 ? RespBulk(command.words[1]) : RespSimple("PONG"));
  }
  if (name == "QUIT") {
    if (Say(c, RespSimple("OK"))) reason = "quit";
    return false;
  }
  return SayFault(c, RespError("ERR", "unknown command"), reason);
}

bool ClientServer::StandsBy(milliseconds for_so_long) {
  if (!standing_by_) return false;
  const std::lock_guard lock(mutex_);
  return std::chrono::steady_clock::now() - stands_by_since_ >= for_so_long;
}

bool ClientServer::Submit(Connection& c, RespCommand& command, const char*& reason) {
  reason = "reset";
  if (StandsBy(kTakenInStandby)) return Say(c, RespError("BUSY", "1000"));
  DeliveryRequest request;
  try {
    request = ParseDeliveryRequest(std::move(command.words));
  } catch (const InvalidDeliveryRequest& fault) {
    return SayFault(c, RespError("ERR", fault.what()), reason);
  }
  const SubmitResult answer = acceptor_.Submit(std::move(request));
  if (answer.status == SubmitResult::Status::kInvalid) {
    return SayFault(c, RespError("ERR", answer.error), reason);
  }
  std::string wait;
  if (answer.retry_after) wait = std::to_string(answer.retry_after->count());
  if (answer.unknown_destination) return SayFault(c, RespError("BUSY", wait), reason);
  c.faults = 0;
  c.useful = true;
  if (answer.status == SubmitResult::Status::kRejected) {
    return Say(c, RespError("BUSY", wait));
  }
  // A client that has stopped waiting may hand the message in again under a new id.
  if (c.socket.PeerHasEnded() || !Say(c, RespSimple("OK")) || !Flush(c)) {
    acceptor_.OnClientDisconnected(answer.message);
    reason = "client-gone";
    return false;
  }
  acceptor_.OnAcknowledged(answer.message);
  return true;
}

}  // namespace brassfront
