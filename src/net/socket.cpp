#include "net/socket.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <utility>

#include "observe/log.hpp"
#include "observe/metrics.hpp"
#include "system/retry.hpp"

namespace brassfront {
namespace {

// Maximum number of connections that wait to be accepted; the system may allow fewer.
constexpr int kListenBacklog = 512;
// After this many failures, or half a second of pauses, the next read or write has to report the
// error. A shutdown of the socket ends that call, while a failing poll might not notice it.
constexpr int kMaxPollFailures = 50;
constexpr std::chrono::milliseconds kMaxPollTimeout{1 << 30};  // poll(2) takes an int

std::optional<sockaddr_in> ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
  const bool valid = error == std::errc() && stop == end &&
                     inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) == 1;
  if (!valid) return std::nullopt;
  address.sin_port = htons(port);
  return address;
}

std::string FormatAddress(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> host{};
  inet_ntop(AF_INET, &address.sin_addr, host.data(), host.size());
  return std::string(host.data()) + ":" + std::to_string(ntohs(address.sin_port));
}

// Returns a datagram socket to which `attach`, bind(2) or connect(2), has assigned the address.
Socket OpenDatagramSocket(const std::string& text, int (*attach)(int, const sockaddr*, socklen_t)) {
  const auto address = ParseAddress(text);
  if (!address) return {};
  Socket socket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  if (!socket.is_open()) return {};
  if (attach(socket.fd(), reinterpret_cast<const sockaddr*>(&*address), sizeof *address) != 0) {
    return {};
  }
  return socket;
}

bool SetTimeout(int fd, int option, std::chrono::milliseconds time) {
  timeval value{};
  value.tv_sec = time.count() / 1000;
  value.tv_usec = time.count() % 1000 * 1000;
  return setsockopt(fd, SOL_SOCKET, option, &value, sizeof value) == 0;
}

Socket OpenStreamSocket(int flags) {
  Socket opened(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0));
  if (!opened.is_open()) observe::CountSystemCallFailure("socket", errno);
  return opened;
}

// Limits how long one transfer waits for a resource shortage to pass.
class ShortageTimer {
 public:
  // Returns true on the first call only.
  [[nodiscard]] bool IsNew() { return std::exchange(is_new_, false); }
  // Pauses briefly. Returns false if the maximum wait or `until` has passed.
  bool Wait(SteadyTime until) {
    const SteadyTime now = std::chrono::steady_clock::now();
    if (give_up_at_ == SteadyTime{}) give_up_at_ = now + kMaxShortage;
    if (now >= give_up_at_ || now >= until) return false;
    Pause(kTransientPause);
    return true;
  }

 private:
  static constexpr std::chrono::milliseconds kMaxShortage{1000};

  bool is_new_ = true;
  SteadyTime give_up_at_{};
};

void EnableOption(int fd, int level, int option) {
  const int on = 1;
  setsockopt(fd, level, option, &on, sizeof on);
}

observe::Concern ConcernOfSide(std::string_view side) {
  if (side == "client") return observe::Concern::kClient;
  if (side == "endpoint") return observe::Concern::kEndpoint;
  return observe::Concern::kPlatform;
}

// Returns the timeout for poll(2) in milliseconds; -1 means no timeout.
int PollTimeout(SteadyTime until) {
  using std::chrono::milliseconds;
  if (until == SteadyTime::max()) return -1;
  const auto left = std::chrono::ceil<milliseconds>(until - std::chrono::steady_clock::now());
  return static_cast<int>(std::clamp(left, milliseconds(0), kMaxPollTimeout).count());
}

}  // namespace

void Socket::Close() {
  if (fd_ >= 0) close(std::exchange(fd_, -1));
}

bool Socket::Await(std::int16_t events, SteadyTime until) const {
  int failures = 0;
  while (failures < kMaxPollFailures) {
    pollfd wanted{fd_, events, 0};
    const int ready = poll(&wanted, 1, PollTimeout(until));
    // poll reports the timestamp of a sent segment as an error, but it is not one.
    if (ready > 0 && wanted.revents == POLLERR && segment_times_.ReadSent(fd_)) continue;
    if (ready > 0) return true;
    if (ready == 0) return false;
    observe::CountSystemCallFailure("poll", errno);
    if (!IsTransient(SystemCall::kPoll, errno)) return true;
    if (std::chrono::steady_clock::now() >= until) return false;
    Pause(kTransientPause);
    ++failures;
  }
  return true;
}

bool Socket::AwaitInput(SteadyTime until) const { return Await(POLLIN, until); }

bool Socket::SendAll(std::string_view bytes, SteadyTime until) {
  ShortageTimer shortage;
  segment_times_.OnWriteBegins(fd_);
  while (!bytes.empty()) {
    const ssize_t sent = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      segment_times_.OnWritten(static_cast<std::size_t>(sent));
      bytes.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    if (sent < 0 && errno == EAGAIN && Await(POLLOUT, until)) continue;
    if (sent < 0 && errno != EAGAIN) observe::CountSystemCallFailure("send", errno);
    const bool shortage_passed = sent < 0 && errno != EAGAIN &&
                                 IsTransient(SystemCall::kSend, errno) && shortage.Wait(until);
    if (!shortage_passed) return false;
  }
  return true;
}

ssize_t Socket::Receive(std::span<char> into) { return ReceiveWith(into, 0); }
ssize_t Socket::ReceiveNow(std::span<char> into) { return ReceiveWith(into, MSG_DONTWAIT); }

ssize_t Socket::ReceiveWith(std::span<char> into, int flags) {
  ShortageTimer shortage;
  while (true) {
    const ssize_t received = recv(fd_, into.data(), into.size(), flags);
    if (received >= 0 || errno == EAGAIN) return received;
    observe::CountSystemCallFailure("recv", errno);
    if (!IsTransient(SystemCall::kReceive, errno)) return received;
    if (errno == EINTR && shortage.IsNew()) continue;
    if ((flags & MSG_DONTWAIT) != 0) {
      Pause(std::chrono::milliseconds(1));  // the caller polls again at once
      errno = EAGAIN;
      return -1;
    }
    if (!shortage.Wait(SteadyTime::max())) return -1;
  }
}

bool Socket::HasInputOrEnd() const {
  char byte = 0;
  return recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
         !IsTransient(SystemCall::kReceive, errno);
}

bool Socket::HasInput() const {
  char byte = 0;
  return recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool Socket::PeerHasEnded() const {
  tcp_info info{};
  socklen_t length = sizeof info;
  if (getsockopt(fd_, IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
    // The state is unknown; the next write reports whether the connection still works.
    observe::CountSystemCallFailure("getsockopt", errno);
    return false;
  }
  return info.tcpi_state != TCP_ESTABLISHED;
}

bool IsAddress(const std::string& address) { return ParseAddress(address).has_value(); }

Socket NewSocket() { return OpenStreamSocket(0); }

bool Connect(const Socket& socket, const std::string& address, std::chrono::milliseconds limit) {
  const auto to = ParseAddress(address);
  if (!to) errno = EINVAL;
  if (!to || !socket.is_open()) return false;
  const SteadyTime until = std::chrono::steady_clock::now() + limit;
  // Without a timeout, connect could take minutes.
  if (!SetTimeout(socket.fd(), SO_SNDTIMEO, limit)) return false;
  while (connect(socket.fd(), reinterpret_cast<const sockaddr*>(&*to), sizeof *to) != 0) {
    if (errno == EISCONN) break;
    // An interrupted connect continues in the background: the next call waits for it or returns its
    // result.
    const bool goes_on = errno == EINTR || errno == EALREADY;
    if (!goes_on) observe::CountSystemCallFailure("connect", errno);
    if (!goes_on || std::chrono::steady_clock::now() >= until) return false;
    Pause(std::chrono::milliseconds(1));
  }
  SetTimeout(socket.fd(), SO_SNDTIMEO, {});
  EnableOption(socket.fd(), IPPROTO_TCP, TCP_NODELAY);
  return true;
}

Socket Listen(const std::string& address, AcceptMode mode) {
  const auto at = ParseAddress(address);
  Socket listener = OpenStreamSocket(mode == AcceptMode::kNonBlocking ? SOCK_NONBLOCK : 0);
  if (!at) errno = EINVAL;
  if (!at || !listener.is_open()) return Socket();
  EnableOption(listener.fd(), SOL_SOCKET, SO_REUSEADDR);
  if (bind(listener.fd(), reinterpret_cast<const sockaddr*>(&*at), sizeof *at) != 0 ||
      listen(listener.fd(), kListenBacklog) != 0) {
    const int error = errno;
    observe::CountSystemCallFailure("bind", error);
    listener.Close();
    errno = error;
  }
  return listener;
}

std::string LocalAddress(const Socket& listener) {
  sockaddr_in address{};
  socklen_t length = sizeof address;
  getsockname(listener.fd(), reinterpret_cast<sockaddr*>(&address), &length);
  return FormatAddress(address);
}

std::string PeerAddress(const Socket& connection) {
  sockaddr_in address{};
  socklen_t length = sizeof address;
  getpeername(connection.fd(), reinterpret_cast<sockaddr*>(&address), &length);
  return FormatAddress(address);
}

Socket BindDatagrams(const std::string& address) { return OpenDatagramSocket(address, bind); }
Socket ConnectDatagrams(const std::string& address) { return OpenDatagramSocket(address, connect); }

Socket Accept(const Socket& listener) {
  Socket socket(accept4(listener.fd(), nullptr, nullptr, SOCK_CLOEXEC));
  if (!socket.is_open() && errno != EAGAIN) observe::CountSystemCallFailure("accept", errno);
  if (socket.is_open()) EnableOption(socket.fd(), IPPROTO_TCP, TCP_NODELAY);
  return socket;
}

void SetNonBlocking(const Socket& socket) {
  fcntl(socket.fd(), F_SETFL, fcntl(socket.fd(), F_GETFL) | O_NONBLOCK);
}

void ShutDown(int fd) { shutdown(fd, SHUT_RDWR); }

void LogConnectionEnd(std::string_view side, std::string_view peer, std::string_view reason,
                      std::size_t exchanges) {
  constexpr const char* kEvent = "connection ended";
  observe::Count("connections_closed_total", {side, reason});
  constexpr auto kLevel = observe::Level::kInfo;
  const observe::Concern concern = ConcernOfSide(side);
  if (peer.empty()) {
    observe::Log(concern, kLevel, kEvent,
                 {{"side", side}, {"reason", reason}, {"exchanges", exchanges}});
  } else {
    observe::Log(concern, kLevel, kEvent,
                 {{"side", side}, {"peer", peer}, {"reason", reason}, {"exchanges", exchanges}});
  }
}

}  // namespace brassfront
