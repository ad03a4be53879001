// A health report: what one member (the witness) observed of one endpoint in its own calls, and the
// bytes of reports in peer frames. The bytes are fixed: members of two versions exchange them.
#ifndef BRASSFRONT_VERDICTS_HEALTH_REPORT_HPP_
#define BRASSFRONT_VERDICTS_HEALTH_REPORT_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace brassfront::verdicts {

using Time = std::chrono::nanoseconds;  // on the member's own monotonic clock

// kDown: calls failed in a row. kWait: a Retry-After was received. kCold: it answers again and is
// warming up. kFine retracts what the witness reported before.
enum class ObservedState : std::uint8_t { kFine = 1, kDown, kWait, kCold };
[[nodiscard]] const char* ToString(ObservedState seen);

struct HealthReport {
  std::string endpoint;
  std::string witness;
  // Orders the reports of one witness: its process incarnation, then a count.
  std::uint64_t number = 0;
  ObservedState seen = ObservedState::kFine;
  Time at{};                // when it was observed; frames carry the age
  Time wait_duration{};     // duration of a Retry-After, from `at` on
  std::uint32_t times = 1;  // consecutive calls that showed it
};

inline constexpr std::size_t kMaxReportsPerFrame = 64;
// A longer Retry-After is taken for this: no report binds an endpoint for longer.
inline constexpr Time kMaxWaitDuration = std::chrono::minutes(10);

// The bytes of one frame, with ages as of `now`. At most kMaxReportsPerFrame reports.
[[nodiscard]] std::string EncodeReports(const std::vector<HealthReport>& reports, Time now);
// The reports in a frame of the member `from`; nothing if any of it is invalid.
[[nodiscard]] std::optional<std::vector<HealthReport>> DecodeReports(const std::string& from,
                                                                     std::string_view bytes,
                                                                     Time now);

}  // namespace brassfront::verdicts

#endif  // BRASSFRONT_VERDICTS_HEALTH_REPORT_HPP_
