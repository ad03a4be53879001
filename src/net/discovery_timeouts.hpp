// When the discovery watcher gives a request up, and when it makes the next one. No I/O, no clock.
//
// A change of the endpoint list must be known kNoticeLimit after discovery had it and was
// reachable, whatever became of the requests before. The longest time from that moment to the next
// request, on each path:
//
//   5 s:   the connection is silent, stops in the middle of a chunk, sends bytes that complete no
//          list, or does not come up. It is given up kSilenceTimeout after the last complete list
//          or empty line or the start of the request, and the delay ends kPollInterval after that
//          moment.
//   5 s:   the request is refused, rejected or cut off, or discovery is back after being down: the
//          delay is the same.
//   2.5 s: discovery has moved to another address, where changes must be known within 4 s.
//
// A start is another matter: what the agent on this machine has counts as known from the first
// moment of a process, so the first request is made at once, by all forwarders of a group, for the
// whole list; and no call is made by the list of the configuration until it is answered, or
// discovery has not answered for KnownListHold::kMaxHold (forwarder/known_list_hold.hpp).
//
// The request is answered at once then; the remaining time is for a busy machine.
#ifndef BRASSFRONT_NET_DISCOVERY_TIMEOUTS_HPP_
#define BRASSFRONT_NET_DISCOVERY_TIMEOUTS_HPP_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "net/backoff.hpp"

namespace brassfront {

class DiscoveryTimeouts {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::milliseconds;

  static constexpr Duration kNoticeLimit{6000};
  static constexpr Duration kSilenceTimeout{3000};  // discovery sends an empty line every 2 s
  static constexpr Duration kPollInterval{5000};    // between requests, at most
  static constexpr Duration kMaxDelayAfterMove{2500};
  static_assert(kSilenceTimeout < kPollInterval && kPollInterval + Duration(1000) <= kNoticeLimit);

  // `group_size`: the forwarders that poll the same discovery, this one among them; `seed`: of the
  // delays' spread.
  DiscoveryTimeouts(std::size_t group_size, std::uint64_t seed)
      : backoff_(MakeBackoff(group_size, seed)) {}

  // A request starts.
  void OnPollStarted(Time now) { last_progress_ = now; }
  // A complete list or an empty line has come.
  void OnProgress(Time now) {
    last_progress_ = now;
    backoff_.Reset();
  }
  // When a request that makes no progress is to be given up.
  [[nodiscard]] Time GiveUpAt() const { return last_progress_ + kSilenceTimeout; }
  // After a request has ended, however it did.
  Duration DelayAfter(Time now) {
    const auto left = std::chrono::floor<Duration>(last_progress_ + kPollInterval - now);
    return backoff_.NextDelay(std::max(left, Duration(0)));
  }
  // After discovery has moved to another address, in place of what is left of the delay.
  Duration DelayAfterMove() { return backoff_.NextDelay(kMaxDelayAfterMove); }

 private:
  // A hundred forwarders make at most some hundred requests a second, fewer with each failure.
  static constexpr Duration kInitialDelayPerForwarder{10};
  static constexpr Duration kMinInitialDelay{100};
  static constexpr Duration kMaxDelayPerForwarder{40};
  static constexpr Duration kMaxDelayLowerBound{500};
  static constexpr Duration kMaxDelayUpperBound{4000};
  static constexpr std::size_t kMaxCountedGroupSize = 1000;

  static Backoff MakeBackoff(std::size_t group_size, std::uint64_t seed) {
    const auto size = static_cast<Duration::rep>(std::min(group_size, kMaxCountedGroupSize));
    const Duration max_delay =
        std::clamp(size * kMaxDelayPerForwarder, kMaxDelayLowerBound, kMaxDelayUpperBound);
    return Backoff(std::max(kMinInitialDelay, size * kInitialDelayPerForwarder), max_delay, seed);
  }

  Backoff backoff_;
  Time last_progress_{};  // the start of the request, its last list or empty line
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_DISCOVERY_TIMEOUTS_HPP_
