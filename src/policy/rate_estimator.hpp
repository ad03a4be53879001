// Estimates the rate of events from their times. Implemented in limits.cpp.
#ifndef BRASSFRONT_POLICY_RATE_ESTIMATOR_HPP_
#define BRASSFRONT_POLICY_RATE_ESTIMATOR_HPP_

#include "policy/seconds.hpp"

namespace dispatch_policy {

// An exponentially weighted moving rate. The weights of events since `first` are normalized to a
// sum of 1, so that a dispatcher that has just started does not underestimate its rates, and the
// rates of all dispatchers add up to that of the group.
class RateEstimator {
 public:
  // `time_constant` is the time constant of the weights, above 0. `first` is the earliest time at
  // which events can be observed.
  RateEstimator(Seconds time_constant, Time first)
      : time_constant_(time_constant.count()), first_(first) {}

  // Counts one event. `now` must not decrease from call to call.
  void Add(Time now);

  // Continues from the rate of an earlier estimator, in events per second.
  void Resume(double rate, Time now);

  // Returns the rate in events per second; 0 before the first event.
  [[nodiscard]] double Rate(Time now) const;

 private:
  // Returns the weight, 0 to 1, of an event that was observed `age` ago.
  [[nodiscard]] double Weight(Duration age) const;

  double time_constant_;
  double value_ = 0;
  Time first_{};
  Time last_{};
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_RATE_ESTIMATOR_HPP_
