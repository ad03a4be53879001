#include "policy/rate_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace dispatch_policy {

void Meter::Add(Time now) {
  value_ = value_ * Left(now - last_) + 1 / memory_;
  last_ = now;
}

double Meter::Rate(Time now) const {
  if (value_ <= 0) return 0;
  const Duration seen = std::max<Duration>(now - first_, std::chrono::seconds(1));
  return value_ * Left(now - last_) / (1 - Left(seen));
}

double Meter::Left(Duration age) const { return std::exp(-ToSeconds(age) / memory_); }

}  // namespace dispatch_policy
