// Whether the forwarder is in standby: it keeps running while its clients are sent elsewhere.
#ifndef BRASSFRONT_NET_STANDBY_SWITCH_HPP_
#define BRASSFRONT_NET_STANDBY_SWITCH_HPP_

#include <chrono>
#include <mutex>
#include <optional>

#include "net/socket.hpp"

namespace brassfront {

// Thread-safe.
class StandbySwitch {
 public:
  // Returns false if the switch already had this value.
  bool Set(bool standing_by, SteadyTime now) {
    const std::lock_guard lock(mutex_);
    if (since_.has_value() == standing_by) return false;
    since_ = standing_by ? std::optional(now) : std::nullopt;
    return true;
  }
  [[nodiscard]] bool is_on() const {
    const std::lock_guard lock(mutex_);
    return since_.has_value();
  }
  // True if standby has been on without interruption for at least this long.
  [[nodiscard]] bool HasBeenOnFor(std::chrono::milliseconds duration, SteadyTime now) const {
    const std::lock_guard lock(mutex_);
    return since_ && now - *since_ >= duration;
  }

 private:
  mutable std::mutex mutex_;
  std::optional<SteadyTime> since_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_STANDBY_SWITCH_HPP_
