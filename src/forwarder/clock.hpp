// The engine's clock and its conversions. The dispatch policy counts nanoseconds of the steady
// clock. Stored times are times of the spool's clock (spool/spool_clock.hpp), never of the wall
// clock.
#ifndef BRASSFRONT_FORWARDER_CLOCK_HPP_
#define BRASSFRONT_FORWARDER_CLOCK_HPP_

#include <chrono>

#include "dispatch_policy/settings.hpp"

namespace brassfront {

inline dispatch_policy::Time Now() { return std::chrono::steady_clock::now().time_since_epoch(); }

inline std::chrono::steady_clock::time_point ToTimePoint(dispatch_policy::Time time) {
  return std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(time));
}

inline std::chrono::milliseconds CeilToMs(dispatch_policy::Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_CLOCK_HPP_
