// Blocking sockets over IPv4, and what is done with them. Addresses are texts of the form
// IPv4:PORT; names are not resolved.
#ifndef BRASSFRONT_NET_SOCKET_HPP_
#define BRASSFRONT_NET_SOCKET_HPP_

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "net/segment_times.hpp"

namespace brassfront {

using SteadyTime = std::chrono::steady_clock::time_point;

// Owns a descriptor and closes it. For one thread at a time; another one may end what it is blocked
// on by ShutDown, if it makes sure that the socket is not closed meanwhile.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)), segment_times_(other.segment_times_) {}
  Socket& operator=(Socket&& other) noexcept {
    std::swap(fd_, other.fd_);
    std::swap(segment_times_, other.segment_times_);
    return *this;
  }

  [[nodiscard]] int fd() const { return fd_; }  // -1 if closed
  [[nodiscard]] bool is_open() const { return fd_ >= 0; }
  void Close();

  // From now on the kernel notes when bytes are sent and received, where it can. For a connection
  // that has come up and on which nothing was written.
  void RecordSegmentTimes() { segment_times_.Enable(fd_); }
  // Whether the unread input was received before the last byte written was sent, so that it is no
  // answer to that. False where the kernel does not tell.
  [[nodiscard]] bool InputPrecedesWrite() { return segment_times_.InputPrecedesWrite(fd_); }

  // False if not all of the bytes could be written by then. A shortage of this machine's memory is
  // waited out, for a second at most.
  bool SendAll(std::string_view bytes, SteadyTime until = SteadyTime::max());
  // Waits for input or the peer's end; false if neither came by then. True at an error as well: the
  // next read or write tells which.
  [[nodiscard]] bool AwaitInput(SteadyTime until) const;
  // Each returns the bytes read, 0 at the peer's end, and -1 at an error; errno is EAGAIN then if
  // nothing came in time (Receive), or has come by now or could be read for want of memory
  // (ReceiveNow).
  ssize_t Receive(std::span<char> into);
  ssize_t ReceiveNow(std::span<char> into);
  // True if input, the peer's end or an error has come. An idle connection is not usable then.
  [[nodiscard]] bool HasInputOrEnd() const;
  // True if unread input has come.
  [[nodiscard]] bool HasInput() const;
  // True if the peer has closed or reset the connection, by TCP's state: unread input does not
  // matter, nor what this side has shut down.
  [[nodiscard]] bool PeerHasEnded() const;

 private:
  ssize_t ReceiveWith(std::span<char> into, int flags);
  [[nodiscard]] bool Await(std::int16_t events, SteadyTime until) const;

  int fd_ = -1;
  mutable SegmentTimes segment_times_;  // what poll(2) shows as an error is read into it
};

// True if the text is IPv4:PORT.
[[nodiscard]] bool IsAddress(const std::string& address);

// A stream socket that is not connected yet, so that another thread may shut it down while Connect
// blocks. Closed if the system has no descriptor left.
[[nodiscard]] Socket NewSocket();
// False if the connection did not come up within the limit; errno tells why.
[[nodiscard]] bool Connect(const Socket& socket, const std::string& address,
                           std::chrono::milliseconds limit);

// Whether Accept waits for a connection, or fails with EAGAIN if there is none.
enum class AcceptMode { kBlocking, kNonBlocking };
// Closed if the address can't be listened on; errno tells why.
[[nodiscard]] Socket Listen(const std::string& address, AcceptMode mode = AcceptMode::kBlocking);
// The socket's own address, with the port that the system chose if port 0 was asked for.
[[nodiscard]] std::string LocalAddress(const Socket& listener);
// The address of the socket's other side.
[[nodiscard]] std::string PeerAddress(const Socket& connection);
// Closed if there is none; errno tells why.
[[nodiscard]] Socket Accept(const Socket& listener);
// From now on calls on the socket fail with EAGAIN instead of waiting.
void SetNonBlocking(const Socket& socket);

// Datagram sockets that are bound or connected to an address; closed if that is not possible, and
// errno tells why.
[[nodiscard]] Socket BindDatagrams(const std::string& address);
[[nodiscard]] Socket ConnectDatagrams(const std::string& address);

// Shuts down both directions, which ends whatever a thread is blocked on with this descriptor. It
// must not be closed meanwhile.
void ShutDown(int fd);

// Writes the one line of the log that each connection leaves at its end; docs/logging.md has the
// words. `peer` is left out if it is empty.
void LogConnectionEnd(std::string_view side, std::string_view peer, std::string_view reason,
                      std::size_t exchanges);

}  // namespace brassfront

#endif  // BRASSFRONT_NET_SOCKET_HPP_
