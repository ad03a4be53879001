#include "fleet/control_server.hpp"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <stdexcept>
#include <utility>
#include <vector>

#include "fleet/control_socket.hpp"
#include "system/retry.hpp"

namespace brassfront::fleet {
namespace {

// Timeout of receiving a request, and separately of sending its reply. It is short because both
// sides are on this machine and a client that stalls blocks all others.
constexpr std::chrono::milliseconds kTransferTimeout{1000};
constexpr std::size_t kMaxHeadBytes = 8192;
constexpr std::size_t kReadBytes = 1024;
constexpr int kListenBacklog = 8;
constexpr mode_t kOwnerOnlyMask = 0177;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

// Uses the credentials that the kernel reports, which the peer cannot forge. Returns false if they
// are not available.
bool IsOwnerOrRoot(const Socket& connection) {
  ucred peer{};
  socklen_t length = sizeof peer;
  if (getsockopt(connection.fd(), SOL_SOCKET, SO_PEERCRED, &peer, &length) != 0) return false;
  return peer.uid == geteuid() || peer.uid == 0;
}

// Returns a request's head, or the part of it that arrived in time and within the size limit.
std::string ReadHead(Socket& connection) {
  const SteadyTime deadline = std::chrono::steady_clock::now() + kTransferTimeout;
  std::string head;
  std::vector<char> bytes(kReadBytes);
  while (head.find(kHeadEnd) == std::string::npos && head.size() < kMaxHeadBytes) {
    if (!connection.AwaitInput(deadline)) break;
    const ssize_t count = connection.ReceiveNow(bytes);
    if (count <= 0) break;
    head.append(bytes.data(), static_cast<std::size_t>(count));
  }
  return head;
}

std::string ToHttp(const ControlReply& reply) {
  return "HTTP/1.1 " + std::to_string(reply.status) + (reply.status < 300 ? " OK" : " No") +
         "\r\nContent-Type: application/json\r\nConnection: close\r\n"
         "Content-Length: " +
         std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
}

}  // namespace

ControlServer::ControlServer(const std::string& folder, Handler handler)
    : path_(ControlSocketPath(folder)),
      handler_(std::move(handler)),
      listener_(NewControlSocket()),
      stop_event_(eventfd(0, EFD_CLOEXEC)) {
  Bind(folder);
  thread_ = Thread::Require("control", [this] { Serve(); });
}

ControlServer::~ControlServer() {
  eventfd_write(stop_event_.fd(), 1);
  thread_.Join();
  unlink(path_.c_str());
}

void ControlServer::Bind(const std::string& folder_path) {
  const Socket folder = OpenControlFolder(folder_path);
  unlink(path_.c_str());
  const sockaddr_un address = ControlSocketAddress(folder);
  const mode_t mask_before = umask(kOwnerOnlyMask);
  const bool bound =
      folder.is_open() &&
      bind(listener_.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  umask(mask_before);
  if (!bound || listen(listener_.fd(), kListenBacklog) != 0) {
    throw std::runtime_error("cannot listen on " + path_ + ": " + std::strerror(errno));
  }
}

void ControlServer::Serve() {
  while (true) {
    std::array<pollfd, 2> ready{{{listener_.fd(), POLLIN, 0}, {stop_event_.fd(), POLLIN, 0}}};
    if (poll(ready.data(), ready.size(), -1) < 0) {
      Pause(kTransientPause);
      continue;
    }
    if (ready[1].revents != 0) return;
    if (ready[0].revents == 0) continue;
    Socket connection(accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC));
    if (connection.is_open()) {
      ServeConnection(std::move(connection));
    } else {
      Pause(kTransientPause);  // the listener stays readable while file descriptors are exhausted
    }
  }
}

void ControlServer::ServeConnection(Socket connection) {
  const ControlReply reply = ReplyTo(connection);
  connection.SendAll(ToHttp(reply), std::chrono::steady_clock::now() + kTransferTimeout);
}

ControlReply ControlServer::ReplyTo(Socket& connection) {
  const std::string head = ReadHead(connection);
  if (!IsOwnerOrRoot(connection)) {
    return ErrorReply(kStatusForbidden, "only the owner of the forwarder may ask");
  }
  if (head.find(kHeadEnd) != std::string::npos) {
    if (const auto request = ParseControlRequest(head)) return handler_(*request);
  }
  return ErrorReply(kStatusBadRequest, "no request that can be read came in time");
}

}  // namespace brassfront::fleet
