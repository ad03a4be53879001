// When the discovery watcher gives up a request, and when it makes the next one. No I/O, no clock.
//
// The forwarder must know a change of the endpoint list within kNoticeLimit of the moment at which
// discovery has the change and is reachable, whatever happened to the previous requests. The
// longest time from that moment to the next request, in each case:
//
//   5 s:   the connection is silent, stops in the middle of a chunk, sends bytes that complete no
//          list, or cannot be established. The request is given up kSilenceTimeout after the last
//          complete list or empty line or the start of the request, and the delay ends
//          kPollInterval after that moment.
//   5 s:   the request is refused, rejected or cut off, or discovery is back after being down: the
//          delay is the same.
//   2.5 s: discovery has moved to another address, where changes must be known within 4 s.
//
// Discovery answers the next request immediately; the remaining time is for a busy machine.
//
// The start of a process is different: it is expected to know the list of the agent on this machine
// from its first moment. So all forwarders of a group make their first request immediately, for the
// complete list, and no call is made from the list of the configuration until discovery has
// answered, or has not answered for KnownListHold::kMaxHold (forwarder/known_list_hold.hpp).
#ifndef BRASSFRONT_NET_DISCOVERY_TIMEOUTS_HPP_
#define BRASSFRONT_NET_DISCOVERY_TIMEOUTS_HPP_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "net/backoff.hpp"

namespace brassfront {

// The timeouts and delays of one discovery watcher. Not thread-safe.
class DiscoveryTimeouts {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::milliseconds;

  static constexpr Duration kNoticeLimit{6000};
  static constexpr Duration kSilenceTimeout{3000};  // discovery sends an empty line every 2 s
  static constexpr Duration kPollInterval{5000};    // maximum time between requests
  static constexpr Duration kMaxDelayAfterMove{2500};
  static_assert(kSilenceTimeout < kPollInterval && kPollInterval + Duration(1000) <= kNoticeLimit);

  // `group_size`: number of forwarders that poll the same discovery, including this one; `seed`:
  // for the jitter of the delays.
  DiscoveryTimeouts(std::size_t group_size, std::uint64_t seed)
      : backoff_(MakeBackoff(group_size, seed)) {}

  // A request starts.
  void OnPollStarted(Time now) { last_progress_ = now; }
  // A complete list or an empty line was received.
  void OnProgress(Time now) {
    last_progress_ = now;
    backoff_.Reset();
  }
  // Returns when a request that makes no progress is to be given up.
  [[nodiscard]] Time GiveUpAt() const { return last_progress_ + kSilenceTimeout; }
  // Returns the delay before the next request, after a request has ended in any way.
  Duration DelayAfter(Time now) {
    const auto left = std::chrono::floor<Duration>(last_progress_ + kPollInterval - now);
    return backoff_.NextDelay(std::max(left, Duration(0)));
  }
  // Returns the delay after discovery has moved to another address; it replaces the rest of the
  // previous delay.
  Duration DelayAfterMove() { return backoff_.NextDelay(kMaxDelayAfterMove); }

 private:
  // With these delays, a hundred forwarders make at most about a hundred requests per second, and
  // fewer with each failure.
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
  Time last_progress_{};  // start of the request, or its last list or empty line
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_DISCOVERY_TIMEOUTS_HPP_
