// Keeps a new process from calling endpoints by the list of its configuration, which may be old,
// before discovery has been asked. No I/O, no clock.
#ifndef BRASSFRONT_FORWARDER_KNOWN_LIST_HOLD_HPP_
#define BRASSFRONT_FORWARDER_KNOWN_LIST_HOLD_HPP_

#include <algorithm>
#include <chrono>

#include "dispatch_policy/settings.hpp"

namespace brassfront {

// Calls wait until discovery's first list, which an agent on this machine sends within
// milliseconds. Where it does not come they are made all the same: after kMaxHold, in which four
// requests fit that are refused or cut off (their delays are 100, 200 and 400 ms in the mean), or
// after a quarter of the time in which the call may begin, for messages with little time. A
// discovery that has not answered by then is down, and while it is down the agent knows no change
// either; what it gets later is known within DiscoveryTimeouts::kNoticeLimit, as at any other time.
class KnownListHold {
 public:
  using Time = dispatch_policy::Time;

  static constexpr std::chrono::milliseconds kMaxHold{1000};
  static constexpr int kMaxShareOfTime = 4;  // one in so many

  explicit KnownListHold(Time started) : ends_at_(started + kMaxHold) {}

  // Discovery's list is in use.
  void End() { ends_at_ = Time{}; }
  [[nodiscard]] bool IsActive(Time now) const { return now < ends_at_; }
  // Whether a call that was decided then and may begin up to `start_by` has to wait.
  [[nodiscard]] bool Holds(Time decided_at, Time start_by, Time now) const {
    const Time patience = (start_by - decided_at) / kMaxShareOfTime;
    return now < std::min(ends_at_, decided_at + patience);
  }

 private:
  Time ends_at_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_KNOWN_LIST_HOLD_HPP_
