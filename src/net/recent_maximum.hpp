// The maximum of the durations that were added lately.
#ifndef BRASSFRONT_NET_RECENT_MAXIMUM_HPP_
#define BRASSFRONT_NET_RECENT_MAXIMUM_HPP_

#include <algorithm>
#include <chrono>

namespace brassfront {

// A duration counts for at least kWindow and at most twice that. Reads no clock: the caller passes
// the times, which must not decrease.
class RecentMaximum {
 public:
  using Clock = std::chrono::steady_clock;
  static constexpr std::chrono::seconds kWindow{30};

  void Add(Clock::duration value, Clock::time_point now) {
    AdvanceTo(now);
    current_ = std::max(current_, value);
  }
  // Returns zero if nothing was added lately.
  [[nodiscard]] Clock::duration Get(Clock::time_point now) {
    AdvanceTo(now);
    return std::max(current_, previous_);
  }

 private:
  void AdvanceTo(Clock::time_point now) {
    if (now - window_begin_ < kWindow) return;
    const bool adjacent = now - window_begin_ < 2 * kWindow;
    previous_ = adjacent ? current_ : Clock::duration::zero();
    current_ = Clock::duration::zero();
    window_begin_ = now;
  }

  Clock::time_point window_begin_{};
  Clock::duration current_{};
  Clock::duration previous_{};
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_RECENT_MAXIMUM_HPP_
