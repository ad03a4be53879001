// Counters and gauges of the process, in the Prometheus text format.
//
// A series is a name and at most one label. There are few series: labels are defined by the program
// and never contain input from a client or an endpoint. All functions are thread-safe.
#ifndef BRASSFRONT_OBSERVE_METRICS_HPP_
#define BRASSFRONT_OBSERVE_METRICS_HPP_

#include <cstdint>
#include <string>
#include <string_view>

namespace brassfront::observe {

struct Label {
  std::string_view name;
  std::string_view value;
};

// Adds to a counter.
void Count(std::string_view name, const Label& label = {}, std::uint64_t by = 1);
// Counts a failed system call in `syscall_failures_total`, labelled with the call and the errno.
// Leaves errno unchanged.
void CountSystemCallFailure(std::string_view call, int error);
// Sets a gauge.
void SetGauge(std::string_view name, const Label& label, std::int64_t value);

// Returns all series sorted by name, one per line: `brassfront_NAME{label="value"} 3`.
[[nodiscard]] std::string FormatMetrics();
// Logs all series that are not 0 in one line.
void LogMetrics();

}  // namespace brassfront::observe

#endif  // BRASSFRONT_OBSERVE_METRICS_HPP_
