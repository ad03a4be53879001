// How long to wait before asking again for what was not to be had. No I/O, no clock.
//
// Doubled with each failure in a row, and spread: each pause is half to one and a half of its
// length, so that many that failed at one moment come back apart. Guards against a service that is
// asked by a whole group at once, turns most of them away, and is asked by all of those again
// before it has served the rest.
#ifndef BRASSFRONT_NET_BACKOFF_HPP_
#define BRASSFRONT_NET_BACKOFF_HPP_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace brassfront {

class Backoff {
 public:
  using Duration = std::chrono::milliseconds;

  // The first pause and the longest one, in the mean; a longest one below the first is taken for
  // it.
  Backoff(Duration initial, Duration max_delay, std::uint64_t seed)
      : initial_(initial), max_(std::max(initial, max_delay)), next_(initial), random_(seed) {}

  // The pause after a failure, `most` at the most.
  Duration NextDelay(Duration limit = Duration::max()) {
    const Duration pause = std::min(next_, limit - limit / 3);
    next_ = std::min(max_, 2 * next_);
    return pause / 2 + RandomUpTo(pause);
  }
  // It was to be had: the next failure is the first again.
  void Reset() { next_ = initial_; }

 private:
  Duration RandomUpTo(Duration span) {
    return Duration(std::uniform_int_distribution<Duration::rep>(0, span.count())(random_));
  }

  const Duration initial_, max_;
  Duration next_;
  std::mt19937_64 random_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_BACKOFF_HPP_
