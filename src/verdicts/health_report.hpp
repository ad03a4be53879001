// Health reports: what one member (the witness) observed of one endpoint in its own calls, and the
// encoding of reports in peer frames. The encoding must not change, because members of different
// versions exchange it.
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

// kDown: consecutive calls failed. kWait: a Retry-After was received. kCold: the endpoint answers
// again and is warming up. kFine: retracts the witness's previous report.
enum class ObservedState : std::uint8_t { kFine = 1, kDown, kWait, kCold };
[[nodiscard]] const char* ToString(ObservedState seen);

struct HealthReport {
  std::string endpoint;
  std::string witness;
  // Orders the reports of one witness. The high bits are its process incarnation, the low bits a
  // counter.
  std::uint64_t number = 0;
  ObservedState seen = ObservedState::kFine;
  Time at{};                // when it was observed; frames contain the age instead
  Time wait_duration{};     // duration of a Retry-After, from `at` on
  std::uint32_t times = 1;  // consecutive calls that showed it
};

inline constexpr std::size_t kMaxReportsPerFrame = 64;
// A longer Retry-After is reduced to this, so that no report blocks an endpoint for longer.
inline constexpr Time kMaxWaitDuration = std::chrono::minutes(10);

// Encodes at most kMaxReportsPerFrame reports as the body of one frame, with ages as of `now`.
[[nodiscard]] std::string EncodeReports(const std::vector<HealthReport>& reports, Time now);
// Decodes the reports in a frame from the member `from`; nullopt if any part is invalid.
[[nodiscard]] std::optional<std::vector<HealthReport>> DecodeReports(const std::string& from,
                                                                     std::string_view bytes,
                                                                     Time now);

}  // namespace brassfront::verdicts

#endif  // BRASSFRONT_VERDICTS_HEALTH_REPORT_HPP_
