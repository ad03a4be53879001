#include "net/sender_side.hpp"

#include <cerrno>
#include <chrono>
#include <thread>
#include <utility>

#include "net/log.hpp"

namespace brassfront {
namespace {

constexpr std::chrono::milliseconds kAcceptPause{20};  // after a failed accept, for descriptors
constexpr const char* kSide = "sender";

}  // namespace

SenderSide::SenderSide(Socket listener, std::size_t most, Intake& intake, BufferPool& buffers)
    : most_(most),
      intake_(intake),
      buffers_(buffers),
      listener_(std::move(listener)),
      acceptor_([this] { TakeConnections(); }) {}

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
    if (c.reading) StopReading(c.socket.fd());
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
    if (connections_.size() >= most_) {
      socket.SendAll(RespError("BUSY", "1000"));
      LogConnectionEnd(kSide, "", "too-many", 0);
      continue;
    }
    Connection& c = connections_.emplace_back();
    c.socket = std::move(socket);
    c.thread = Thread([this, &c] { Serve(c); });
    if (c.thread.started()) continue;
    c.socket.SendAll(RespError("BUSY", "1000"));
    LogConnectionEnd(kSide, "", "no-thread", 0);
    connections_.pop_back();
  }
}

void SenderSide::Reap() {
  const std::lock_guard lock(mutex_);
  connections_.remove_if([](const Connection& c) { return c.ended; });  // their threads are over
}

void SenderSide::SetReading(Connection& connection, bool reading) {
  const std::lock_guard lock(mutex_);
  connection.reading = reading;
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
  while (true) {
    if (draining_ && exchanges > 0 && reader.between_commands()) return "drained";
    BufferPool::Buffer buffer = buffers_.Get();
    // A new connection may send its one request in a drain: only those that had theirs are cut.
    SetReading(connection, exchanges > 0 && reader.between_commands());
    const long n = connection.socket.Receive(buffer.span());
    SetReading(connection, false);
    if (n < 0) return stopping_ ? "shutdown" : "reset";
    if (n == 0) return stopping_ ? "shutdown" : draining_ ? "drained" : "peer-closed";
    reader.Feed({buffer.span().data(), static_cast<std::size_t>(n)});
    while (!reader.commands().empty()) {
      RespCommand command = std::move(reader.commands().front());
      reader.commands().pop_front();
      const char* reason = nullptr;
      ++exchanges;
      if (!Reply(connection, command, reason)) return reason;
    }
    if (reader.broken()) {
      connection.socket.SendAll(RespError("ERR", "protocol error"));
      return "malformed";
    }
  }
}

// False, with the reason, if the connection is to end.
bool SenderSide::Reply(Connection& connection, RespCommand& command, const char*& reason) {
  std::string& name = command.words[0];
  for (char& c : name) c = c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c;
  std::string reply;
  bool last = false;
  if (command.oversize) {
    reply = RespError("ERR", "over 64 KiB");
  } else if (name == "MSG.PUT") {
    return HandIn(connection, command, reason);
  } else if (name == "PING") {
    reply = command.words.size() > 1 ? RespBulk(command.words[1]) : RespSimple("PONG");
  } else if (name == "QUIT") {
    reply = RespSimple("OK");
    last = true;
  } else {
    reply = RespError("ERR", "unknown command");
  }
  if (!connection.socket.SendAll(reply)) {
    reason = "reset";
    return false;
  }
  reason = "quit";
  return !last;
}

bool SenderSide::HandIn(Connection& connection, RespCommand& command, const char*& reason) {
  reason = "reset";
  Envelope envelope;
  try {
    envelope = ParsePut(std::move(command.words));
  } catch (const BadEnvelope& fault) {
    return connection.socket.SendAll(RespError("ERR", fault.what()));
  }
  const std::string id = envelope.id;
  const Answer answer = intake_.HandIn(std::move(envelope));
  if (answer.verdict == Answer::Verdict::kBad) {
    return connection.socket.SendAll(RespError("ERR", answer.fault));
  }
  if (answer.verdict == Answer::Verdict::kDeferred) {
    std::string wait;
    if (answer.come_back) wait = std::to_string(answer.come_back->count());
    return connection.socket.SendAll(RespError("BUSY", wait));
  }
  // A client that has stopped waiting may hand the message in again under a new id.
  if (connection.socket.HasEnded() || !connection.socket.SendAll(RespSimple("OK"))) {
    intake_.Lost(id);
    reason = "gone-before-answer";
    return false;
  }
  intake_.Heard(id);
  return true;
}

}  // namespace brassfront
