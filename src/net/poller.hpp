// Wrappers of the two kernel objects of a poll loop: the epoll instance that reports which
// descriptors are ready, and the eventfd with which other threads wake up the loop.
#ifndef BRASSFRONT_NET_POLLER_HPP_
#define BRASSFRONT_NET_POLLER_HPP_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "net/socket.hpp"

namespace brassfront {

// Waits until one of many descriptors is readable. It doesn't own the descriptors; closing one
// unregisters it. Only one thread may call Wait; any thread may call the other methods at any time.
class Poller {
 public:
  // Chosen by the caller; Wait returns it when the descriptor is ready.
  using Token = std::uint64_t;

  // Throws std::runtime_error if the system has no descriptor left.
  Poller();

  // Reports the descriptor each time it has input. Throws std::runtime_error if the system can't
  // watch a further descriptor.
  void Watch(int fd, Token token);
  // Reports the descriptor once when it has input, and again only after RearmOneShot. Both return
  // false on a system error.
  bool WatchOneShot(int fd, Token token);
  bool RearmOneShot(int fd, Token token);

  // Waits until a descriptor is ready or the timeout has passed; without a timeout it waits without
  // a limit. Returns the tokens of the ready descriptors, valid until the next call; none if a
  // signal interrupted the call.
  std::span<const Token> Wait(std::optional<std::chrono::milliseconds> timeout);

 private:
  // Further ready descriptors are reported by the next call.
  static constexpr std::size_t kMaxReadyPerWait = 64;

  Socket epoll_;
  std::array<Token, kMaxReadyPerWait> ready_{};
};

// A descriptor that any thread can make readable, until it is cleared.
class WakeupEvent {
 public:
  // Throws std::runtime_error if the system has no descriptor left.
  WakeupEvent();

  [[nodiscard]] int fd() const { return event_.fd(); }
  // Never waits.
  void Signal();
  // To be called by the polling thread, after the descriptor was reported as ready. No effect
  // without a signal.
  void Clear();

 private:
  Socket event_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_POLLER_HPP_
