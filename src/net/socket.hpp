// Blocking IPv4 sockets and operations on them. Addresses are strings of the form IPv4:PORT; host
// names are not resolved.
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

// Owns a descriptor and closes it when destroyed. Not thread-safe, but another thread may interrupt
// a blocking call with ShutDown if it ensures that the socket is not closed at the same time.
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

  // Makes the kernel record when bytes are sent and received, if it supports this. To be called on
  // an established connection on which nothing has been written.
  void RecordSegmentTimes() { segment_times_.Enable(fd_); }
  // True if the unread input was received before the last written byte was sent, so that it is not
  // an answer to it. False if the kernel does not provide the times.
  [[nodiscard]] bool InputPrecedesWrite() { return segment_times_.InputPrecedesWrite(fd_); }

  // Returns false if not all of the bytes could be written by `until`. Retries for at most a
  // second while this machine is short of memory.
  bool SendAll(std::string_view bytes, SteadyTime until = SteadyTime::max());
  // Waits until there is input or the peer has closed the connection; returns false on a timeout.
  // Also returns true on an error, which the next read or write reports.
  [[nodiscard]] bool AwaitInput(SteadyTime until) const;
  // Both return the number of bytes read, 0 if the peer has closed the connection, or -1 on an
  // error. errno is EAGAIN if there was no input before the socket's timeout (Receive), or if there
  // is none now or this machine is short of memory (ReceiveNow).
  ssize_t Receive(std::span<char> into);
  ssize_t ReceiveNow(std::span<char> into);
  // True if there is input or an error, or if the peer has closed the connection. In each of these
  // cases an idle connection can't be used again.
  [[nodiscard]] bool HasInputOrEnd() const;
  // True if there is unread input.
  [[nodiscard]] bool HasInput() const;
  // True if the peer has closed or reset the connection according to its TCP state, even if there
  // is unread input. Shutting down reading on this side does not matter.
  [[nodiscard]] bool PeerHasEnded() const;

 private:
  ssize_t ReceiveWith(std::span<char> into, int flags);
  [[nodiscard]] bool Await(std::int16_t events, SteadyTime until) const;

  int fd_ = -1;
  mutable SegmentTimes segment_times_;  // mutable, for timestamps reported by poll(2)
};

// True if the text is IPv4:PORT.
[[nodiscard]] bool IsAddress(const std::string& address);

// Returns a stream socket that is not connected yet, so that another thread may shut it down while
// Connect blocks. It is closed if the system has no descriptor left.
[[nodiscard]] Socket NewSocket();
// Returns false, and sets errno, if the connection could not be established within the limit.
[[nodiscard]] bool Connect(const Socket& socket, const std::string& address,
                           std::chrono::milliseconds limit);

// Whether Accept waits for a connection, or fails with EAGAIN if there is none.
enum class AcceptMode { kBlocking, kNonBlocking };
// Returns a listening socket, or a closed one with errno set if that fails.
[[nodiscard]] Socket Listen(const std::string& address, AcceptMode mode = AcceptMode::kBlocking);
// Returns the socket's own address, with the port chosen by the system if port 0 was requested.
[[nodiscard]] std::string LocalAddress(const Socket& listener);
// Returns the address of the peer.
[[nodiscard]] std::string PeerAddress(const Socket& connection);
// Returns an accepted connection, or a closed socket with errno set if there is none.
[[nodiscard]] Socket Accept(const Socket& listener);
// Makes calls on the socket fail with EAGAIN instead of waiting.
void SetNonBlocking(const Socket& socket);

// Return a datagram socket that is bound or connected to an address, or a closed one with errno set
// if that fails.
[[nodiscard]] Socket BindDatagrams(const std::string& address);
[[nodiscard]] Socket ConnectDatagrams(const std::string& address);

// Shuts down both directions, which ends any blocking call of a thread on this descriptor. The
// descriptor must not be closed at the same time.
void ShutDown(int fd);

// Writes the log line that each connection gets when it ends; docs/logging.md lists the values. An
// empty `peer` is omitted.
void LogConnectionEnd(std::string_view side, std::string_view peer, std::string_view reason,
                      std::size_t exchanges);

}  // namespace brassfront

#endif  // BRASSFRONT_NET_SOCKET_HPP_
