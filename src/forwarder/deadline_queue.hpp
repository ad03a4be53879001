// The engine's deadlines, sorted by time. A deadline is never removed before it is due: its handler
// ignores it if its call or timer no longer matters. Reads no clock; used by one thread.
#ifndef BRASSFRONT_FORWARDER_DEADLINE_QUEUE_HPP_
#define BRASSFRONT_FORWARDER_DEADLINE_QUEUE_HPP_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace brassfront {

enum class DeadlineKind {
  kPolicyTimer,
  kCallTimeout,
  kIdleConnectionExpiry,
  kHousekeeping,
  kSpoolRetry,
  kShutdown  // wakes the loop, which checks whether the shutdown is over
};

struct Deadline {
  DeadlineKind kind = DeadlineKind::kPolicyTimer;
  std::uint64_t id = 0;  // the token of a policy timer, or the id of a call
};

class DeadlineQueue {
 public:
  using Time = std::chrono::nanoseconds;

  void Set(Time at, Deadline deadline) { sorted_.emplace(at, deadline); }
  // Returns the time of the earliest deadline; Time::max() if there is none.
  [[nodiscard]] Time Next() const { return sorted_.empty() ? Time::max() : sorted_.begin()->first; }
  // Removes and returns the earliest deadline that is due at `now`. Returns nothing if none is due.
  [[nodiscard]] std::optional<Deadline> PopDue(Time now) {
    if (sorted_.empty() || sorted_.begin()->first > now) return std::nullopt;
    return sorted_.extract(sorted_.begin()).mapped();
  }

 private:
  std::multimap<Time, Deadline> sorted_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_DEADLINE_QUEUE_HPP_
