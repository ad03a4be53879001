// All deadlines of the engine in one sorted structure, swept each turn. None is taken back: what
// has come to nothing by then is passed over.
#ifndef BRASSFRONT_FORWARDER_DEADLINES_HPP_
#define BRASSFRONT_FORWARDER_DEADLINES_HPP_

#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>

namespace brassfront {

enum class Due {
  kPolicyTimer,
  kCallTimeout,
  kCloseIdle,
  kEverySecond,
  kMayShutDown,
  kMustShutDown
};

struct Deadline {
  Due due = Due::kPolicyTimer;
  std::uint64_t number = 0;  // of the timer or delivery
};

class Deadlines {
 public:
  using Time = std::chrono::nanoseconds;

  void Set(Time at, Deadline deadline) { sorted_.emplace(at, deadline); }
  [[nodiscard]] Time Next() const { return sorted_.empty() ? Time::max() : sorted_.begin()->first; }
  // The earliest one that has come, taken out.
  std::optional<Deadline> TakeDue(Time now) {
    if (sorted_.empty() || sorted_.begin()->first > now) return std::nullopt;
    return sorted_.extract(sorted_.begin()).mapped();
  }

 private:
  std::multimap<Time, Deadline> sorted_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_DEADLINES_HPP_
