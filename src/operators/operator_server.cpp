#include "operators/operator_server.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

#include "observe/log.hpp"
#include "observe/metrics.hpp"
#include "system/retry.hpp"

namespace brassfront {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRequestTimeout{3000};
// After the reply the client has this long to close the connection, so that its unread bytes do not
// cause a reset before it has read the reply.
constexpr milliseconds kLingerTimeout{500};
// Interval for closing expired connections and for retrying the listener and failed writes.
constexpr milliseconds kTickInterval{200};
constexpr int kRequestTimedOut = 408;

}  // namespace

OperatorServer::OperatorServer(std::string address, OperatorCommands& commands, BufferPool& buffers)
    : address_(std::move(address)),
      commands_(commands),
      buffers_(buffers),
      thread_(Thread::Require("operators", [this] { Run(); })) {}

OperatorServer::~OperatorServer() {
  stopping_ = true;
  wakeup_.Signal();
  thread_.Join();
}

void OperatorServer::Run() {
  while (!stopping_) {
    if (!listener_.is_open()) Listen();
    WaitForInput();
    CloseExpired(std::chrono::steady_clock::now());
    commands_.Retry();
  }
}

void OperatorServer::Listen() {
  listener_ = brassfront::Listen(address_, AcceptMode::kNonBlocking);
  if (listener_.is_open()) {
    observe::Log(observe::Concern::kService, observe::Level::kInfo, "operators served",
                 {{"listen", LocalAddress(listener_)}});
    return;
  }
  observe::LogRateLimited(observe::Concern::kService, observe::Level::kWarning,
                          "operators' address not available",
                          {{"listen", address_}, {"error", std::strerror(errno)}});
}

// Waits for input, at most one tick, and serves the connections that have input.
void OperatorServer::WaitForInput() {
  std::vector<pollfd> poll_entries{{wakeup_.fd(), POLLIN, 0}, {listener_.fd(), POLLIN, 0}};
  for (const Connection& connection : connections_) {
    poll_entries.push_back({connection.socket.fd(), POLLIN, 0});
  }
  const int ready = poll(poll_entries.data(), poll_entries.size(), kTickInterval.count());
  if (ready < 0) {
    observe::CountSystemCallFailure("poll", errno);
    Pause(kTransientPause);
    return;
  }
  auto entry = poll_entries.begin() + 2;
  for (auto it = connections_.begin(); it != connections_.end(); ++entry) {
    Connection& connection = *it++;  // Serve may remove the connection
    if (entry->revents != 0) Serve(connection);
  }
  if (poll_entries[1].revents != 0) AcceptCallers();
}

void OperatorServer::AcceptCallers() {
  while (true) {
    Socket socket = Accept(listener_);
    if (!socket.is_open()) {
      if (errno == EAGAIN) return;
      if (Classify(SystemCall::kAccept, errno) != ErrorClass::kPeer) return Pause(kTransientPause);
      continue;
    }
    if (connections_.size() >= kMaxConnections) connections_.pop_front();
    const SteadyTime deadline = std::chrono::steady_clock::now() + kRequestTimeout;
    connections_.push_back({.socket = std::move(socket), .deadline = deadline});
  }
}

void OperatorServer::Serve(Connection& connection) {
  BufferPool::Buffer buffer = buffers_.Get();
  const ssize_t received = connection.socket.ReceiveNow(buffer.span());
  if (received < 0 && errno == EAGAIN) return;
  if (received <= 0) {
    connections_.remove_if([&](const Connection& other) { return &other == &connection; });
    return;
  }
  if (connection.answered) return;
  HttpRequestReader& reader = connection.reader;
  reader.Feed({buffer.span().data(), static_cast<std::size_t>(received)});
  if (!reader.done()) return;
  if (reader.error()) return Answer(connection, {*reader.error(), "bad request\n"});
  const OperatorReply reply = commands_.Execute(reader.request());
  observe::Log(observe::Concern::kService, observe::Level::kInfo, "operator call",
               {{"method", reader.request().method},
                {"path", reader.request().path},
                {"query", reader.request().query},
                {"status", reply.status}});
  Answer(connection, reply);
}

void OperatorServer::Answer(Connection& connection, const OperatorReply& reply) {
  const SteadyTime now = std::chrono::steady_clock::now();
  connection.answered = true;
  connection.deadline = now + kLingerTimeout;
  // A reply fits into the socket's send buffer. The server does not wait for a client whose buffer
  // has no room.
  connection.socket.SendAll(FormatHttpReply(reply.status, reply.body), now + kTransientPause);
  shutdown(connection.socket.fd(), SHUT_WR);
}

void OperatorServer::CloseExpired(SteadyTime now) {
  for (auto it = connections_.begin(); it != connections_.end();) {
    Connection& connection = *it++;
    if (connection.deadline > now) continue;
    if (!connection.answered) {
      Answer(connection, {kRequestTimedOut, "no request in time\n"});
      continue;
    }
    connections_.remove_if([&](const Connection& other) { return &other == &connection; });
  }
}

}  // namespace brassfront
