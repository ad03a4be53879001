// When the watch on discovery gives up, and when it asks again. No I/O, no clock.
//
// A change counts as told 6 s after discovery had it and could be reached, whatever became of the
// asks before. The worst case of each path, from that moment on:
//
//   5 s: silence, half a chunk, bytes without a line's end, a connection that does not come up. It
//        is given up kSilenceTimeout after the last whole line or the ask's beginning, and the
//        pause ends kPollInterval after that moment.
//   5 s: refused, turned away, given up, back after being down. The pause is the same.
//   5 s: a start with an old list.
//   2.5 s: another address, which counts after 4 s; but a move within the pause at the start waits
//        for its end.
//
// and then an ask that is answered at once. What is left is for a busy machine.
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
  static constexpr Duration kSilenceTimeout{3000};  // an empty line comes every 2 s
  static constexpr Duration kPollInterval{5000};
  static constexpr Duration kMaxDelayAfterMove{2500};
  static_assert(kSilenceTimeout < kPollInterval && kPollInterval + Duration(1000) <= kNoticeLimit);

  // `group`: the forwarders that ask the same discovery, this one among them; `seed`: of the
  // spread.
  DiscoveryTimeouts(std::size_t group_size, std::uint64_t seed)
      : group_size_(group_size), backoff_(MakeBackoff(group_size, seed)) {}

  // Before the first ask. A few forwarders that start at one moment may ask at once.
  Duration InitialDelay() {
    return group_size_ > kMaxImmediateGroup ? backoff_.NextDelay(kPollInterval) : Duration(0);
  }
  void OnPollStarted(Time now) { last_line_ = now; }
  void OnLine(Time now) {
    last_line_ = now;
    backoff_.Reset();
  }
  [[nodiscard]] Time GiveUpAt() const { return last_line_ + kSilenceTimeout; }
  // After an ask or a watch has ended.
  Duration DelayAfter(Time now) {
    const auto left = std::chrono::floor<Duration>(last_line_ + kPollInterval - now);
    return backoff_.NextDelay(std::max(left, Duration(0)));
  }
  Duration DelayAfterMove() { return backoff_.NextDelay(kMaxDelayAfterMove); }

 private:
  // A hundred ask some hundred times a second at the most, and fewer with each failure.
  static constexpr Duration kDelayPerForwarder{10};  // for each forwarder that may be asking
  static constexpr Duration kMinDelay{100};
  static constexpr Duration kMaxDelayPerForwarder{40};  // the longest, for each of them
  static constexpr Duration kMinMaxDelay{500};
  static constexpr Duration kMaxMaxDelay{4000};
  static constexpr std::size_t kMaxImmediateGroup = 4;

  static Backoff MakeBackoff(std::size_t group_size, std::uint64_t seed) {
    const auto size = static_cast<Duration::rep>(std::min<std::size_t>(group_size, 1000));
    return Backoff(std::max(kMinDelay, size * kDelayPerForwarder),
                   std::clamp(size * kMaxDelayPerForwarder, kMinMaxDelay, kMaxMaxDelay), seed);
  }

  const std::size_t group_size_;
  Backoff backoff_;
  Time last_line_{};  // the beginning of the ask, or the last whole line
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_DISCOVERY_TIMEOUTS_HPP_
