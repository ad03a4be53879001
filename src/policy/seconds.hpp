// Durations as floating-point seconds, in which the policy computes all rates.
#ifndef BRASSFRONT_POLICY_SECONDS_HPP_
#define BRASSFRONT_POLICY_SECONDS_HPP_

#include <chrono>

#include "dispatch_policy/settings.hpp"

namespace dispatch_policy {

using Seconds = std::chrono::duration<double>;

inline double ToSeconds(Duration duration) {
  return std::chrono::duration_cast<Seconds>(duration).count();
}

// Rounded towards zero, to whole nanoseconds.
inline Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_SECONDS_HPP_
