// Estimates the rate of events from when they were seen. Implemented in limits.cpp.
#ifndef BRASSFRONT_POLICY_RATE_ESTIMATOR_HPP_
#define BRASSFRONT_POLICY_RATE_ESTIMATOR_HPP_

#include "policy/seconds.hpp"

namespace dispatch_policy {

// An exponentially weighted moving rate. The weights of what was seen since `first` are scaled up
// to those of the whole memory, so that a dispatcher that has just started does not underestimate
// its rates, and the rates of all dispatchers add up to that of the group.
class RateEstimator {
 public:
  // `memory`: time constant of the weights, above 0. `first`: when events can first be seen.
  RateEstimator(Seconds memory, Time first) : memory_(memory.count()), first_(first) {}

  // Counts one event; `now` never falls from call to call.
  void Add(Time now);

  // Goes on from a rate that an earlier estimator had, in events a second.
  void Resume(double rate, Time now);

  // Events a second; 0 before the first one.
  [[nodiscard]] double Rate(Time now) const;

 private:
  // Weight of what was seen `age` ago, 0 to 1.
  [[nodiscard]] double Weight(Duration age) const;

  double memory_;
  double value_ = 0;
  Time first_{};
  Time last_{};
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_RATE_ESTIMATOR_HPP_
