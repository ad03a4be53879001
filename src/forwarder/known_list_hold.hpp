// Keeps a new process from calling endpoints by the list of its configuration, which may be old,
// before discovery has been asked. No I/O, no clock.
#ifndef BRASSFRONT_FORWARDER_KNOWN_LIST_HOLD_HPP_
#define BRASSFRONT_FORWARDER_KNOWN_LIST_HOLD_HPP_

#include <algorithm>
#include <chrono>

#include "dispatch_policy/settings.hpp"

namespace brassfront {

// The policy gets the configured list and the restored messages once discovery's first list has
// come, which an agent on this machine sends within milliseconds. Where it does not come they are
// passed on all the same: after kMaxHold, in which four requests fit that are refused or cut off
// (their delays are 100, 200 and 400 ms in the mean), or after a quarter of the least time that a
// message may have. A discovery that has not answered by then is down, and while it is down the
// agent knows no change either; what it gets later is known within DiscoveryTimeouts::kNoticeLimit,
// as at any other time.
class KnownListHold {
 public:
  using Time = dispatch_policy::Time;
  using Duration = dispatch_policy::Duration;

  static constexpr std::chrono::milliseconds kMaxHold{1000};
  static constexpr int kTimeLeftDivisor = 4;  // one in so many

  explicit KnownListHold(Time started) : ends_at_(started + kMaxHold) {}

  // Discovery's list has come.
  void End() { ends_at_ = Time{}; }
  // A message may have so much time from now on.
  void LimitBy(Time now, Duration time_left) {
    ends_at_ = std::min(ends_at_, now + std::max(time_left, Duration{}) / kTimeLeftDivisor);
  }
  [[nodiscard]] bool IsActive(Time now) const { return now < ends_at_; }

 private:
  Time ends_at_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_KNOWN_LIST_HOLD_HPP_
