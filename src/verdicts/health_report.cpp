#include "verdicts/health_report.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "peers/bytes.hpp"

namespace brassfront::verdicts {
namespace {

using std::chrono::milliseconds;

std::uint64_t ToMilliseconds(Time time) {
  return static_cast<std::uint64_t>(std::max<Time::rep>(0, time / milliseconds(1)));
}

bool IsKnownState(std::uint8_t state) {
  return state >= static_cast<std::uint8_t>(ObservedState::kFine) &&
         state <= static_cast<std::uint8_t>(ObservedState::kCold);
}

}  // namespace

const char* ToString(ObservedState seen) {
  constexpr std::array<const char*, 4> kNames = {"fine", "down", "wait", "cold"};
  return kNames[static_cast<std::size_t>(seen) - 1];
}

std::string EncodeReports(const std::vector<HealthReport>& reports, Time now) {
  peers::Writer out;
  out.U16(reports.size());
  for (const HealthReport& report : reports) {
    out.Name(report.endpoint).U64(report.number).U8(static_cast<std::uint64_t>(report.seen));
    out.U32(ToMilliseconds(now - report.at))
        .U32(ToMilliseconds(report.wait_duration))
        .U32(report.times);
  }
  return out.Take();
}

std::optional<std::vector<HealthReport>> DecodeReports(const std::string& from,
                                                       std::string_view bytes, Time now) {
  peers::Reader in(bytes);
  std::vector<HealthReport> reports;
  const std::size_t count = in.U16();
  for (std::size_t i = 0; i < count && !in.broken(); ++i) {
    HealthReport report;
    report.endpoint = in.Name();
    report.witness = from;
    report.number = in.U64();
    const std::uint8_t seen = in.U8();
    report.at = now - milliseconds(in.U32());
    report.wait_duration = std::min<Time>(milliseconds(in.U32()), kMaxWaitDuration);
    report.times = in.U32();
    if (!IsKnownState(seen)) return std::nullopt;
    report.seen = static_cast<ObservedState>(seen);
    reports.push_back(std::move(report));
  }
  if (!in.done() || count > kMaxReportsPerFrame) return std::nullopt;
  return reports;
}

}  // namespace brassfront::verdicts
