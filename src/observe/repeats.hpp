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

  explicit RepeatLimiter(std::size_t most) : most_(most) {}

  // Returns nullopt if the event must be suppressed; otherwise the number of events that were
  // suppressed since the last admitted one.
  std::optional<std::uint64_t> Admit(std::string_view name, Time now) {
    auto it = seen_.find(name);
    if (it == seen_.end()) {
      // Names are literals in the code. The limit bounds memory if one is generated at run time.
      if (seen_.size() >= kMaxNames) return 0;
      it = seen_.emplace(std::string(name), Seen{.from = now}).first;
    }
    Seen& seen = it->second;
    if (now - seen.from >= kWindow) {
      seen.from = now;
      seen.told = 0;
    }
    if (seen.told >= most_) {
      ++seen.left_out;
      return std::nullopt;
    }
    ++seen.told;
    return std::exchange(seen.left_out, 0);
  }

 private:
  static constexpr Time kWindow = std::chrono::seconds(1);
  static constexpr std::size_t kMaxNames = 256;

  struct Seen {
    Time from{};
    std::size_t told = 0;  // in the window
    std::uint64_t left_out = 0;
  };

  const std::size_t most_;
  std::map<std::string, Seen, std::less<>> seen_;
};

}  // namespace brassfront::observe

#endif  // BRASSFRONT_OBSERVE_REPEATS_HPP_
