#include "forwarder/stage_latencies.hpp"

#include <array>
#include <chrono>
#include <ctime>

namespace brassfront {
namespace {

using observe::Concern;

struct Stage {
  const char* name;
  const observe::Histogram* latency;
};

std::chrono::milliseconds CpuTime(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return std::chrono::floor<std::chrono::milliseconds>(std::chrono::seconds(time.tv_sec) +
                                                       std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace

void StageLatencies::LogAndReset(observe::Level level, std::size_t messages_in_flight,
                                 std::size_t calls) {
  if (!observe::ShouldLog(Concern::kEngine, level)) return;
  observe::Log(Concern::kEngine, level, "load",
               {{"in_flight", messages_in_flight},
                {"calls", calls},
                {"cpu_ms", CpuTime(CLOCK_PROCESS_CPUTIME_ID).count()},
                {"engine_cpu_ms", CpuTime(CLOCK_THREAD_CPUTIME_ID).count()}});
  const std::array<Stage, 5> stages = {{{"submit", &submit},
                                        {"accept", &accept},
                                        {"start", &start},
                                        {"notify", &notify},
                                        {"decide", &decide}}};
  for (const auto& [name, latency] : stages) {
    if (latency->count() == 0) continue;
    observe::Log(Concern::kEngine, level, "stage latency",
                 {{"stage", name},
                  {"count", latency->count()},
                  {"p50_us", latency->Quantile(0.5).count()},
                  {"p99_us", latency->Quantile(0.99).count()},
                  {"max_us", latency->max().count()}});
  }
  *this = {};
}

}  // namespace brassfront
