#include "fleet/control_server.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <stdexcept>
#include <vector>

#include "observe/log.hpp"
#include "protocol/http.hpp"
#include "protocol/json.hpp"

namespace brassfront::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kRequestTimeout{1000};
constexpr seconds kReplyTimeout{20};
constexpr std::size_t kMaxHeadBytes = 8192;
constexpr const char* kSocketName = "control";

// A path of any length: the socket's own field holds 107 bytes, so it is reached by its folder.
sockaddr_un SocketAddressIn(int folder) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  const std::string path = "/proc/self/fd/" + std::to_string(folder) + "/" + kSocketName;
  std::memcpy(address.sun_path, path.c_str(), path.size() + 1);
  return address;
}

Socket OpenFolder(const std::string& folder) {
  return Socket(open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
}

// %XX and + as in a query.
std::string PercentDecode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    const bool hex = text[i] == '%' && i + 2 < text.size() &&
                     std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr ==
                         text.data() + i + 3;
    if (hex) i += 2;
    out += hex ? static_cast<char>(value) : text[i] == '+' ? ' ' : text[i];
  }
  return out;
}

}  // namespace

ControlReply ErrorReply(int status, const std::string& message) {
  return {status, "{\"error\": " + json::Quote(message) + "}"};
}

bool ParseControlRequest(std::string_view head, ControlRequest& request) {
  const std::string_view line = head.substr(0, head.find("\r\n"));
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first == std::string_view::npos || last <= first + 1) return false;
  if (line.substr(last + 1) != "HTTP/1.1" && line.substr(last + 1) != "HTTP/1.0") return false;
  request.method = line.substr(0, first);
  std::string_view target = line.substr(first + 1, last - first - 1);
  if (target.front() != '/' || (request.method != "GET" && request.method != "POST")) return false;
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark == std::string_view::npos) return true;
  target.remove_prefix(mark + 1);
  while (!target.empty()) {
    const std::string_view part = target.substr(0, target.find('&'));
    target.remove_prefix(std::min(target.size(), part.size() + 1));
    const std::size_t equals = part.find('=');
    if (equals == std::string_view::npos) return false;
    request.query[PercentDecode(part.substr(0, equals))] = PercentDecode(part.substr(equals + 1));
  }
  return true;
}

ControlServer::ControlServer(const std::string& folder, Handler handler)
    : path_(folder + "/" + kSocketName),
      handler_(std::move(handler)),
      listener_(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)),
      wake_(eventfd(0, EFD_CLOEXEC)) {
  const Socket directory = OpenFolder(folder);
  unlink(path_.c_str());  // an earlier process's; the folder is locked, so that it has ended
  const sockaddr_un address = SocketAddressIn(directory.fd());
  const mode_t before = umask(0177);
  const bool bound =
      directory.is_open() &&
      bind(listener_.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  umask(before);
  if (!bound || listen(listener_.fd(), 8) != 0) {
    throw std::runtime_error("cannot listen on " + path_ + ": " + std::strerror(errno));
  }
  thread_ = Thread("control", [this] { Serve(); });
  if (!thread_.started()) throw std::runtime_error("no room for a thread");
}

ControlServer::~ControlServer() {
  eventfd_write(wake_.fd(), 1);
  thread_.Join();
  unlink(path_.c_str());
}

void ControlServer::Serve() {
  while (true) {
    pollfd ready[2] = {{listener_.fd(), POLLIN, 0}, {wake_.fd(), POLLIN, 0}};
    if (poll(ready, 2, -1) < 0 && errno != EINTR) return;
    if (ready[1].revents != 0) return;
    if (ready[0].revents == 0) continue;
    Socket connection(accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC));
    if (connection.is_open()) ServeConnection(std::move(connection));
  }
}

void ControlServer::ServeConnection(Socket connection) {
  const SteadyTime deadline = std::chrono::steady_clock::now() + kRequestTimeout;
  ControlReply reply = ErrorReply(400, "no request that can be read came in time");
  ucred peer{};
  socklen_t length = sizeof peer;
  const bool peer_known = getsockopt(connection.fd(), SOL_SOCKET, SO_PEERCRED, &peer, &length) == 0;
  std::string head;
  std::vector<char> bytes(1024);
  while (head.find("\r\n\r\n") == std::string::npos && head.size() < kMaxHeadBytes) {
    if (!connection.AwaitInput(deadline)) break;
    const ssize_t count = connection.ReceiveNow(bytes);
    if (count <= 0) break;
    head.append(bytes.data(), static_cast<std::size_t>(count));
  }
  ControlRequest request;
  if (!peer_known || (peer.uid != geteuid() && peer.uid != 0)) {
    reply = ErrorReply(403, "only the owner of the forwarder may ask");
  } else if (head.find("\r\n\r\n") != std::string::npos && ParseControlRequest(head, request)) {
    reply = handler_(request);
  }
  connection.SendAll("HTTP/1.1 " + std::to_string(reply.status) +
                         (reply.status < 300 ? " OK" : " No") +
                         "\r\nContent-Type: application/json\r\nConnection: close\r\n"
                         "Content-Length: " +
                         std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body,
                     std::chrono::steady_clock::now() + kRequestTimeout);
}

ControlReply CallControl(const std::string& folder, const std::string& method,
                         const std::string& target) {
  const std::string path = folder + "/" + kSocketName;
  struct stat status {};
  if (stat(path.c_str(), &status) != 0) {
    throw std::runtime_error("no forwarder of a fleet is at work in " + folder + " (" +
                             std::strerror(errno) + ")");
  }
  if (status.st_uid != geteuid() && geteuid() != 0) {
    throw std::runtime_error(path + " belongs to another user");
  }
  if ((status.st_mode & 077) != 0) throw std::runtime_error(path + " is open to other users");
  const Socket directory = OpenFolder(folder);
  Socket connection(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_un address = SocketAddressIn(directory.fd());
  if (connect(connection.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    throw std::runtime_error("nobody answers at " + path + ": " + std::strerror(errno));
  }
  const std::string request =
      method == "GET" ? HttpGet(target, "fleet") : HttpPost(target, "fleet", {}, "");
  const SteadyTime deadline = std::chrono::steady_clock::now() + kReplyTimeout;
  HttpReader reader;
  if (connection.SendAll(request, deadline)) {
    std::vector<char> bytes(4096);
    while (!reader.done() && !reader.broken() && connection.AwaitInput(deadline)) {
      const ssize_t count = connection.ReceiveNow(bytes);
      if (count <= 0) {
        reader.FeedEnd();
        break;
      }
      reader.Feed({bytes.data(), static_cast<std::size_t>(count)});
    }
  }
  if (!reader.done()) throw std::runtime_error("no answer came from " + path);
  return {reader.status(), reader.body()};
}

}  // namespace brassfront::fleet
