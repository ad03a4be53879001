// When a task that is done at an interval is due next. No clock: it is told the time.
#ifndef BRASSFRONT_FLEET_PERIODIC_TIMER_HPP_
#define BRASSFRONT_FLEET_PERIODIC_TIMER_HPP_

#include <algorithm>

#include "peers/roster.hpp"

namespace brassfront::fleet {

// Due at once, then each interval after it was last started. For one thread.
class PeriodicTimer {
 public:
  explicit PeriodicTimer(peers::Time interval) : interval_(interval) {}

  // True if the task is due; the next time is then an interval from now.
  [[nodiscard]] bool StartIfDue(peers::Time now) {
    if (now < next_) return false;
    next_ = now + interval_;
    return true;
  }
  // The task is due now, whatever the interval.
  void MakeDue() { next_ = peers::Time{}; }
  // The task is due at that time at the latest.
  void BringForwardTo(peers::Time time) { next_ = std::min(next_, time); }
  [[nodiscard]] peers::Time next() const { return next_; }

 private:
  const peers::Time interval_;
  peers::Time next_{};
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_PERIODIC_TIMER_HPP_
