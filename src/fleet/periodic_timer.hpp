// Computes when a periodic task is next due. It has no clock; the caller passes the time.
#ifndef BRASSFRONT_FLEET_PERIODIC_TIMER_HPP_
#define BRASSFRONT_FLEET_PERIODIC_TIMER_HPP_

#include <algorithm>

#include "peers/roster.hpp"

namespace brassfront::fleet {

// The task is due at once, and then an interval after each start. Not thread-safe.
class PeriodicTimer {
 public:
  explicit PeriodicTimer(peers::Time interval) : interval_(interval) {}

  // Returns whether the task is due; if so, it is next due an interval from now.
  [[nodiscard]] bool StartIfDue(peers::Time now) {
    if (now < next_) return false;
    next_ = now + interval_;
    return true;
  }
  // Makes the task due at once, regardless of the interval.
  void MakeDue() { next_ = peers::Time{}; }
  // Makes the task due at the given time at the latest.
  void BringForwardTo(peers::Time time) { next_ = std::min(next_, time); }
  [[nodiscard]] peers::Time next() const { return next_; }

 private:
  const peers::Time interval_;
  peers::Time next_{};
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_PERIODIC_TIMER_HPP_
