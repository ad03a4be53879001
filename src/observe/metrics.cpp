#include "observe/metrics.hpp"

#include <cerrno>
#include <cstring>
#include <map>
#include <mutex>

#include "observe/log.hpp"

namespace brassfront::observe {
namespace {

struct Registry {
  std::mutex mutex;  // guards `series`
  std::map<std::string, std::int64_t, std::less<>> series;
};

// Never destroyed: threads may count while the process exits.
Registry& GetRegistry() {
  static auto* registry = new Registry;
  return *registry;
}

std::string SeriesName(std::string_view name, const Label& label) {
  std::string series(name);
  if (label.name.empty()) return series;
  series.append("{").append(label.name).append("=\"").append(label.value).append("\"}");
  return series;
}

std::map<std::string, std::int64_t, std::less<>> Snapshot() {
  Registry& registry = GetRegistry();
  const std::lock_guard lock(registry.mutex);
  return registry.series;
}

}  // namespace

void Count(std::string_view name, const Label& label, std::uint64_t by) {
  const std::string series = SeriesName(name, label);
  Registry& registry = GetRegistry();
  const std::lock_guard lock(registry.mutex);
  registry.series[series] += static_cast<std::int64_t>(by);
}

void CountSystemCallFailure(std::string_view call, int error) {
  const int kept_errno = errno;
  const char* const name = strerrorname_np(error);
  std::string what(call);
  what.append(":").append(name == nullptr ? std::to_string(error) : name);
  Count("syscall_failures_total", {"call", what});
  errno = kept_errno;
}

void SetGauge(std::string_view name, const Label& label, std::int64_t value) {
  const std::string series = SeriesName(name, label);
  Registry& registry = GetRegistry();
  const std::lock_guard lock(registry.mutex);
  registry.series[series] = value;
}

std::string FormatMetrics() {
  std::string text;
  for (const auto& [series, value] : Snapshot()) {
    text.append("brassfront_").append(series).append(" ").append(std::to_string(value));
    text += '\n';
  }
  return text;
}

void LogMetrics() {
  std::string text;
  for (const auto& [series, value] : Snapshot()) {
    if (value == 0) continue;
    if (!text.empty()) text += ' ';
    text.append(series).append("=").append(std::to_string(value));
  }
  Log(Concern::kService, Level::kInfo, "metrics", {{"series", text}});
}

}  // namespace brassfront::observe
