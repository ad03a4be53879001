// Counters and gauges of the process, in the text form that Prometheus reads.
//
// A series is a name and at most one label. Series are few and their labels come from the program,
// never from what a client or an endpoint sent. Any thread may call any function.
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
// A system call has failed with this errno. Counts it as `syscall_failures_total`, labelled with
// both; errno stays as it is.
void CountSystemCallFailure(std::string_view call, int error);
// Sets a gauge.
void SetGauge(std::string_view name, const Label& label, std::int64_t value);

// All series, a line each, in the order of their names: `brassfront_NAME{label="value"} 3`.
[[nodiscard]] std::string FormatMetrics();
// The same as one line of the log, without what is 0.
void LogMetrics();

}  // namespace brassfront::observe

#endif  // BRASSFRONT_OBSERVE_METRICS_HPP_
