// Exponential backoff with jitter. No I/O, no clock.
#ifndef BRASSFRONT_NET_BACKOFF_HPP_
#define BRASSFRONT_NET_BACKOFF_HPP_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace brassfront {

// The delay doubles with each failure in a row and is spread over half to one and a half of its
// length, so that many clients that failed at one moment return one after the other. Without the
// spread, all of them would return to an overloaded service at once, again and again.
class Backoff {
 public:
  using Duration = std::chrono::milliseconds;

  // `initial` and `max_delay` are means; a maximum below the initial delay counts as equal to it.
  Backoff(Duration initial, Duration max_delay, std::uint64_t seed)
      : initial_(initial), max_(std::max(initial, max_delay)), next_(initial), random_(seed) {}

  // After a failure: how long to wait, spread included, and never longer than `limit`.
  Duration NextDelay(Duration limit = Duration::max()) {
    // Two thirds of the limit, as the spread adds up to a half.
    const Duration mean = std::min(next_, limit - limit / 3);
    next_ = std::min(max_, 2 * next_);
    return mean / 2 + RandomUpTo(mean);
  }
  // After a success: the next failure counts as the first one again.
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
