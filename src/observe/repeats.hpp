// Limits how many events of each name are logged per second, and counts those that are suppressed.
// Time is passed in by the caller. Not thread-safe: the owner guards it with a lock.
#ifndef BRASSFRONT_OBSERVE_REPEATS_HPP_
#define BRASSFRONT_OBSERVE_REPEATS_HPP_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace brassfront::observe {

class RepeatLimiter {
 public:
  using Time = std::chrono::nanoseconds;

  explicit RepeatLimiter(std::size_t max_per_window) : max_per_window_(max_per_window) {}

  // Returns nullopt if the event must be suppressed; otherwise the number of events that were
  // suppressed since the last admitted one.
  std::optional<std::uint64_t> Admit(std::string_view name, Time now) {
    auto it = events_.find(name);
    if (it == events_.end()) {
      // Names are literals in the code. The limit bounds memory if one is generated at run time.
      if (events_.size() >= kMaxNames) return 0;
      it = events_.emplace(std::string(name), EventState{.window_start = now}).first;
    }
    EventState& state = it->second;
    if (now - state.window_start >= kWindow) {
      state.window_start = now;
      state.admitted = 0;
    }
    if (state.admitted >= max_per_window_) {
      ++state.suppressed;
      return std::nullopt;
    }
    ++state.admitted;
    return std::exchange(state.suppressed, 0);
  }

 private:
  static constexpr Time kWindow = std::chrono::seconds(1);
  static constexpr std::size_t kMaxNames = 256;

  struct EventState {
    Time window_start{};
    std::size_t admitted = 0;  // in the window
    std::uint64_t suppressed = 0;
  };

  const std::size_t max_per_window_;
  std::map<std::string, EventState, std::less<>> events_;
};

}  // namespace brassfront::observe

#endif  // BRASSFRONT_OBSERVE_REPEATS_HPP_
