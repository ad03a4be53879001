// Owners of the two kernel objects of a poll loop: the epoll instance that tells which descriptors
// are ready, and the eventfd by which other threads wake the loop up.
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

// Waits until one of many descriptors can be read. It doesn't own the descriptors; closing one ends
// its watch. Wait is for one thread; the other methods may be called by any thread meanwhile.
class Poller {
 public:
  // Chosen by the caller, and given back when the descriptor is ready.
  using Token = std::uint64_t;

  // Throws std::runtime_error if the system has no descriptor left.
  Poller();

  // Reports the descriptor each time it has input. Throws std::runtime_error if the system can't
  // watch a further descriptor.
  void Watch(int fd, Token token);
  // Reports the descriptor once when it has input, then not until RearmOneShot. False if the system
  // refused.
  bool WatchOneShot(int fd, Token token);
  bool RearmOneShot(int fd, Token token);

  // Waits until a descriptor is ready or the time has passed; no time: waits for as long as it
  // takes. The tokens of the ready ones are valid until the next call; none after a signal.
  std::span<const Token> Wait(std::optional<std::chrono::milliseconds> timeout);

 private:
  // More are reported by the next call.
  static constexpr std::size_t kMaxReadyPerWait = 64;

  Socket epoll_;
  std::array<Token, kMaxReadyPerWait> ready_{};
};

// Makes a descriptor readable, from any thread, until it is cleared.
class WakeupEvent {
 public:
  // Throws std::runtime_error if the system has no descriptor left.
  WakeupEvent();

  [[nodiscard]] int fd() const { return event_.fd(); }
  // Never waits.
  void Signal();
  // For the thread that polls it, and only after it was reported as ready: waits for a signal
  // otherwise.
  void Clear();

 private:
  Socket event_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_POLLER_HPP_
