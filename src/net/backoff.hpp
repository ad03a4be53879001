// Exponential backoff with jitter. No I/O, no clock.
#ifndef BRASSFRONT_NET_BACKOFF_HPP_
#define BRASSFRONT_NET_BACKOFF_HPP_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace brassfront {

// The delay doubles with each consecutive failure. Jitter spreads it over 0.5 to 1.5 times its
// length, so that many clients that failed at the same moment retry at different times. Without
// jitter, all of them would repeatedly retry an overloaded service at once.
class Backoff {
 public:
  using Duration = std::chrono::milliseconds;

  // `initial` and `max_delay` are mean delays, before jitter. A maximum below the initial delay is
  // raised to it.
  Backoff(Duration initial, Duration max_delay, std::uint64_t seed)
      : initial_(initial), max_(std::max(initial, max_delay)), next_(initial), random_(seed) {}

  // Called after a failure. Returns the delay with jitter, never longer than `limit`.
  Duration NextDelay(Duration limit = Duration::max()) {
    // At most two thirds of the limit, because jitter adds up to one half.
    const Duration mean = std::min(next_, limit - limit / 3);
    next_ = std::min(max_, 2 * next_);
    return mean / 2 + RandomUpTo(mean);
  }
  // Called after a success: the next failure counts as the first one again.
  void Reset() { next_ = initial_; }

 private:
  Duration RandomUpTo(Duration span) {
    return Duration(std::uniform_int_distribution<Duration::rep>(0, span.count())(random_));
  }

  const Duration initial_;
  const Duration max_;
  Duration next_;
  std::mt19937_64 random_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_BACKOFF_HPP_
