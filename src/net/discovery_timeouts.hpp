// When the watch on discovery gives up, and when it asks again. No I/O, no clock.
//
// A change counts as told 6 s after discovery had it and could be reached, whatever became of the
// asks before. The worst case of each path, from that moment on:
//
//   5 s: silence, half a chunk, bytes without a line's end, a connection that does not come up. It
//        is given up kSilence after the last whole line or the ask's beginning, and the pause ends
//        kAskAgain after that moment.
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

  static constexpr Duration kToldAfter{6000};
  static constexpr Duration kSilence{3000};  // an empty line comes every 2 s
  static constexpr Duration kAskAgain{5000};
  static constexpr Duration kAfterMove{2500};
  static_assert(kSilence < kAskAgain && kAskAgain + Duration(1000) <= kToldAfter);

  // `group`: the forwarders that ask the same discovery, this one among them; `seed`: of the
  // spread.
  DiscoveryTimeouts(std::size_t group, std::uint64_t seed)
      : group_(group), pauses_(PausesOf(group, seed)) {}

  // Before the first ask. A few forwarders that start at one moment may ask at once.
  Duration PauseAtStart() { return group_ > kFew ? pauses_.Failed(kAskAgain) : Duration(0); }
  void Asked(Time now) { heard_ = now; }
  void HeardLine(Time now) {
    heard_ = now;
    pauses_.Succeeded();
  }
  [[nodiscard]] Time GiveUpAt() const { return heard_ + kSilence; }
  // After an ask or a watch has ended.
  Duration PauseAfter(Time now) {
    const auto left = std::chrono::floor<Duration>(heard_ + kAskAgain - now);
    return pauses_.Failed(std::max(left, Duration(0)));
  }
  Duration PauseAfterMove() { return pauses_.Failed(kAfterMove); }

 private:
  // A hundred ask some hundred times a second at the most, and fewer with each failure.
  static constexpr Duration kPause{10};  // for each forwarder that may be asking
  static constexpr Duration kLeastPause{100};
  static constexpr Duration kLongestPause{40};  // the longest, for each of them
  static constexpr Duration kLeastLongestPause{500};
  static constexpr Duration kMostLongestPause{4000};
  static constexpr std::size_t kFew = 4;

  static Backoff PausesOf(std::size_t group, std::uint64_t seed) {
    const auto size = static_cast<Duration::rep>(std::min<std::size_t>(group, 1000));
    return Backoff(std::max(kLeastPause, size * kPause),
                   std::clamp(size * kLongestPause, kLeastLongestPause, kMostLongestPause), seed);
  }

  const std::size_t group_;
  Backoff pauses_;
  Time heard_{};  // the beginning of the ask, or the last whole line
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_DISCOVERY_TIMEOUTS_HPP_
