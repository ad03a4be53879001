#include "net/sender_side.hpp"

#include <cerrno>
#include <chrono>
#include <thread>
#include <utility>

namespace brassfront {
namespace {

constexpr std::chrono::milliseconds kAcceptPause{20};  // after a failed accept, for descriptors
constexpr std::chrono::milliseconds kReplyTime{2000};  // for a reply to be written
constexpr std::size_t kMostReplies = 16 * 1024;        // bytes that wait for one write
constexpr std::size_t kMostLeaving = 32;  // connections that were dropped and are not closed yet
constexpr const char* kSide = "sender";

// Without waiting for anything: other clients wait to be taken.
void TurnAway(Socket& socket, const char* reason) {
  socket.SendAll(RespError("BUSY", "1000"), std::chrono::steady_clock::now());
  LogConnectionEnd(kSide, "", reason, 0);
}

}  // namespace

SenderSide::SenderSide(Socket listener, const Limits& limits, Intake& intake, BufferPool& buffers)
    : limits_(limits),
      intake_(intake),
      buffers_(buffers),
      listener_(std::move(listener)),
      acceptor_("acceptor", [this] { TakeConnections(); }) {}

SenderSide::~SenderSide() {
  stopping_ = true;
  ShutDown(listener_.fd());
  acceptor_.Join();
  {
    const std::lock_guard lock(mutex_);
    for (Connection& c : connections_) StopReading(c.socket.fd());  // replies still go out
  }
  for (Connection& c : connections_) c.thread.Join();
}

void SenderSide::Drain() {
  const std::lock_guard lock(mutex_);
  draining_ = true;
  for (Connection& c : connections_) {
    if (c.idle && c.answered) StopReading(c.socket.fd());
  }
}

void SenderSide::TakeConnections() {
  while (!stopping_) {
    Socket socket = Accept(listener_);
    if (stopping_) return;
    Reap();
    if (!socket.is_open()) {
      std::this_thread::sleep_for(kAcceptPause);
      continue;
    }
    const std::lock_guard lock(mutex_);
    if (connections_.size() >= limits_.connections && !MakeRoom()) {
      TurnAway(socket, "too-many");
      continue;
    }
    Connection& c = connections_.emplace_back();
    c.socket = std::move(socket);
    c.since = std::chrono::steady_clock::now();
    c.thread = Thread("sender", [this, &c] { Serve(c); });
    if (c.thread.started()) continue;
    TurnAway(c.socket, "no-thread");
    connections_.pop_back();
  }
}

// Ends the connection that is the least loss, for a newcomer. Guards against clients that connect
// and say nothing, or have had their answer and stay, in the places of those with a message.
bool SenderSide::MakeRoom() {
  std::size_t standing = 0;
  Connection* least = nullptr;
  const SteadyTime now = std::chrono::steady_clock::now();
  for (Connection& c : connections_) {
    if (c.ended || c.dropped) continue;
    ++standing;
    if (!c.idle || now - c.since < (c.useful ? limits_.least_idle : limits_.useless)) continue;
    const bool better = least == nullptr || (least->useful && !c.useful) ||
                        (least->useful == c.useful && c.since < least->since);
    if (better) least = &c;
  }
  // What was dropped has its socket and thread for a little longer.
  if (connections_.size() >= limits_.connections + kMostLeaving) return false;
  if (standing < limits_.connections) return true;
  if (least == nullptr) return false;
  Drop(*least);
  return true;
}

// Ends the longest idle of the connections that have had an answer, if there are too many of them.
void SenderSide::TrimIdle() {
  std::size_t idle = 0;
  Connection* longest = nullptr;
  for (Connection& c : connections_) {
    if (!c.idle || !c.useful || c.ended || c.dropped) continue;
    ++idle;
    if (longest == nullptr || c.since < longest->since) longest = &c;
  }
  if (idle <= limits_.most_idle) return;
  if (std::chrono::steady_clock::now() - longest->since >= limits_.least_idle) Drop(*longest);
}

void SenderSide::Drop(Connection& connection) {
  connection.dropped = true;
  StopReading(connection.socket.fd());  // what is being answered is not cut off
}

void SenderSide::Reap() {
  const std::lock_guard lock(mutex_);
  connections_.remove_if([](const Connection& c) { return c.ended; });  // their threads are over
}

void SenderSide::SetIdle(Connection& connection, bool idle) {
  const std::lock_guard lock(mutex_);
  connection.idle = idle;
}

bool SenderSide::Dropped(const Connection& connection) {
  const std::lock_guard lock(mutex_);
  return connection.dropped;
}

void SenderSide::Serve(Connection& connection) {
  RespReader reader;
  std::size_t exchanges = 0;
  const char* reason = Exchange(connection, reader, exchanges);
  LogConnectionEnd(kSide, "", reason, exchanges);
  const std::lock_guard lock(mutex_);
  ShutDown(connection.socket.fd());
  connection.socket.Close();
  connection.ended = true;
}

// Serves the connection and returns the reason for its end.
const char* SenderSide::Exchange(Connection& connection, RespReader& reader,
                                 std::size_t& exchanges) {
  SteadyTime due = connection.since + limits_.command;
  while (true) {
    const bool between = reader.between_commands();
    if (draining_ && exchanges > 0 && between) return "drained";
    SetIdle(connection, exchanges == 0 || between);
    const bool came = connection.socket.AwaitInput(due);
    SetIdle(connection, false);
    if (!came) {
      if (exchanges > 0 && between) return "idle";
      Say(connection, RespError("ERR", "no command in time"));
      Flush(connection);
      return between ? "silent" : "too-slow";
    }
    BufferPool::Buffer buffer = buffers_.Get();
    const long n = connection.socket.Receive(buffer.span());
    if (n <= 0) {
      if (stopping_) return "shutdown";
      if (Dropped(connection)) return "made-room";
      return n < 0 ? "reset" : draining_ ? "drained" : "peer-closed";
    }
    if (exchanges > 0 && between) due = std::chrono::steady_clock::now() + limits_.command;
    reader.Feed({buffer.span().data(), static_cast<std::size_t>(n)});
    bool answered = false;
    while (!reader.commands().empty()) {
      RespCommand command = std::move(reader.commands().front());
      reader.commands().pop_front();
      const char* reason = nullptr;
      ++exchanges;
      answered = true;
      if (Reply(connection, command, reason)) continue;
      Flush(connection);
      if (connection.faults >= limits_.most_faults) connection.socket.Linger(buffer.span());
      return reason;
    }
    if (reader.broken()) {
      Say(connection, RespError("ERR", "protocol error"));
      Flush(connection);
      connection.socket.Linger(buffer.span());
      return "malformed";
    }
    if (!Flush(connection)) return "reset";
    if (!answered) continue;
    const std::lock_guard lock(mutex_);
    connection.answered = true;
    TrimIdle();
    connection.since = std::chrono::steady_clock::now();
    due = connection.since + (reader.between_commands() ? limits_.idle : limits_.command);
  }
}

// Replies to commands that came together go out together. Guards against a system call for each of
// hundreds. False if the client cannot be reached.
bool SenderSide::Say(Connection& connection, const std::string& reply) {
  connection.replies += reply;
  return connection.replies.size() < kMostReplies || Flush(connection);
}

bool SenderSide::Flush(Connection& connection) {
  if (connection.replies.empty()) return true;
  const std::string replies = std::exchange(connection.replies, {});
  return connection.socket.SendAll(replies, std::chrono::steady_clock::now() + kReplyTime);
}

bool SenderSide::SayFault(Connection& connection, const std::string& reply, const char*& reason) {
  reason = "reset";
  if (!Say(connection, reply)) return false;
  reason = "too-many-faults";
  return ++connection.faults < limits_.most_faults;
}

// False, with the reason, if the connection is to end.
bool SenderSide::Reply(Connection& connection, RespCommand& command, const char*& reason) {
  std::string& name = command.words[0];
  for (char& c : name) c = c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c;
  if (command.oversize) return SayFault(connection, RespError("ERR", "over 64 KiB"), reason);
  if (name == "MSG.PUT") return HandIn(connection, command, reason);
  reason = "reset";
  if (name == "PING") {
    return Say(connection,
               command.words.size() > 1 ? RespBulk(command.words[1]) : RespSimple("PONG"));
  }
  if (name == "QUIT") {
    if (Say(connection, RespSimple("OK"))) reason = "quit";
    return false;
  }
  return SayFault(connection, RespError("ERR", "unknown command"), reason);
}

bool SenderSide::HandIn(Connection& connection, RespCommand& command, const char*& reason) {
  reason = "reset";
  Envelope envelope;
  try {
    envelope = ParsePut(std::move(command.words));
  } catch (const BadEnvelope& fault) {
    return SayFault(connection, RespError("ERR", fault.what()), reason);
  }
  const Answer answer = intake_.HandIn(std::move(envelope));
  if (answer.verdict == Answer::Verdict::kBad) {
    return SayFault(connection, RespError("ERR", answer.fault), reason);
  }
  if (answer.unlisted) {
    const auto wait = answer.come_back.value_or(std::chrono::milliseconds(0));
    return SayFault(connection, RespError("BUSY", std::to_string(wait.count())), reason);
  }
  connection.faults = 0;
  {
    const std::lock_guard lock(mutex_);
    connection.useful = true;
  }
  if (answer.verdict == Answer::Verdict::kDeferred) {
    std::string wait;
    if (answer.come_back) wait = std::to_string(answer.come_back->count());
    return Say(connection, RespError("BUSY", wait));
  }
  // A client that has stopped waiting may hand the message in again under a new id. One whose
  // connection is to end for our reasons, a newcomer's or a drain's, waits for its answer.
  if (connection.socket.PeerHasEnded() || !Say(connection, RespSimple("OK")) ||
      !Flush(connection)) {
    intake_.Lost(answer.message);
    reason = "gone-before-answer";
    return false;
  }
  intake_.Heard(answer.message);
  return true;
}

}  // namespace brassfront
