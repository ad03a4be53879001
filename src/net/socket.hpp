// Blocking TCP sockets over IPv4 addresses; names are not resolved.
#ifndef BRASSFRONT_NET_SOCKET_HPP_
#define BRASSFRONT_NET_SOCKET_HPP_

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace brassfront {

using SteadyTime = std::chrono::steady_clock::time_point;

class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }

  [[nodiscard]] int fd() const { return fd_; }
  [[nodiscard]] bool is_open() const { return fd_ >= 0; }
  void Close();

  // False if not all could be written by then.
  bool SendAll(std::string_view bytes, SteadyTime until = SteadyTime::max());
  // Waits for something to read or the peer's end; false if neither came by then.
  [[nodiscard]] bool AwaitInput(SteadyTime until) const;
  // Bytes read, 0 at the peer's end, -1 at an error (errno tells: EAGAIN at a time-out).
  long Receive(std::span<char> into);
  long ReceiveNow(std::span<char> into);  // -1 with EAGAIN where nothing has come
  // Something to read or the end has come: a connection between calls is stale then.
  [[nodiscard]] bool HasInputOrEnd() const;
  // The peer has ended or reset it, as TCP's state tells: unread bytes do not count, and neither
  // does what this side has shut down.
  [[nodiscard]] bool PeerHasEnded() const;
  void ReceiveTimeout(std::chrono::milliseconds time);

 private:
  long ReceiveWith(std::span<char> into, int flags);
  [[nodiscard]] bool Await(short events, SteadyTime until) const;

  int fd_ = -1;
};

// True if the text is IPv4:PORT.
bool IsAddress(const std::string& address);

// A stream socket that is not connected yet, so that another thread may shut it down meanwhile.
Socket NewSocket();
bool Connect(const Socket& socket, const std::string& address, std::chrono::milliseconds limit);

// Closed if the address cannot be listened on; errno tells why.
Socket Listen(const std::string& address);
std::string AddressOf(const Socket& listener);  // with the port that the system chose for port 0
std::string PeerOf(const Socket& connection);   // IPv4:PORT of its other side
Socket Accept(const Socket& listener);
// From now on Accept fails with EAGAIN where nobody waits to be taken.
void DoNotWait(const Socket& listener);

// Datagram sockets on, or towards, an address; closed where it cannot be, and errno tells why.
Socket BindDatagrams(const std::string& address);
Socket ConnectDatagrams(const std::string& address);

// Wakes up whichever thread is blocked on it.
void ShutDown(int fd);

// The one line that each connection leaves at its end.
void LogConnectionEnd(std::string_view side, std::string_view peer, std::string_view reason,
                      std::size_t exchanges);

}  // namespace brassfront

#endif  // BRASSFRONT_NET_SOCKET_HPP_
