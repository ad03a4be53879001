// Keeps a new process from calling endpoints of the configured list, which may be outdated, before
// discovery has answered. Does no I/O and reads no clock.
#ifndef BRASSFRONT_FORWARDER_KNOWN_LIST_HOLD_HPP_
#define BRASSFRONT_FORWARDER_KNOWN_LIST_HOLD_HPP_

#include <algorithm>
#include <chrono>

#include "dispatch_policy/settings.hpp"

namespace brassfront {

// The policy receives the configured list and the restored messages once discovery's first list has
// arrived, which an agent on this machine sends within milliseconds. Without that list they are
// passed on after kMaxHold, or after a quarter of the least time that a message may have left.
// kMaxHold leaves time for four requests that are refused or cut off (the mean delays between them
// are 100, 200 and 400 ms). If discovery has not answered by then, it is down, and the agent learns
// of no changes either. Changes that it learns of later are received within
// DiscoveryTimeouts::kNoticeLimit, as at any other time.
class KnownListHold {
 public:
  using Time = dispatch_policy::Time;
  using Duration = dispatch_policy::Duration;

  static constexpr std::chrono::milliseconds kMaxHold{1000};
  static constexpr int kTimeLeftDivisor = 4;  // a quarter of the time left

  explicit KnownListHold(Time started) : ends_at_(started + kMaxHold) {}

  // Must be called when discovery's list has arrived.
  void End() { ends_at_ = Time{}; }
  // Limits the hold to a share of the time that a message may have left from now on.
  void LimitBy(Time now, Duration time_left) {
    ends_at_ = std::min(ends_at_, now + std::max(time_left, Duration{}) / kTimeLeftDivisor);
  }
  [[nodiscard]] bool IsActive(Time now) const { return now < ends_at_; }

 private:
  Time ends_at_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_KNOWN_LIST_HOLD_HPP_
