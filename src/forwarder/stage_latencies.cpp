#include "forwarder/stage_latencies.hpp"

#include <ctime>
#include <utility>

namespace brassfront {

using observe::Concern;

void StageLatencies::LogAndReset(observe::Level level, std::size_t in_flight, std::size_t calls) {
  if (!observe::Logs(Concern::kEngine, level)) return;
  const auto cpu = [](clockid_t clock) {
    timespec time{};
    clock_gettime(clock, &time);
    return time.tv_sec * 1000 + time.tv_nsec / 1'000'000;
  };
  observe::Log(Concern::kEngine, level, "load",
               {{"in_flight", in_flight},
                {"calls", calls},
                {"cpu_ms", cpu(CLOCK_PROCESS_CPUTIME_ID)},
                {"engine_cpu_ms", cpu(CLOCK_THREAD_CPUTIME_ID)}});
  const std::pair<const char*, const observe::Histogram*> all[] = {{"submit", &submit},
                                                                   {"accept", &accept},
                                                                   {"start", &start},
                                                                   {"notify", &notify},
                                                                   {"decide", &decide}};
  for (const auto& [name, times] : all) {
    if (times->count() == 0) continue;
    observe::Log(Concern::kEngine, level, "stage latency",
                 {{"stage", name},
                  {"count", times->count()},
                  {"p50_us", times->Quantile(0.5).count()},
                  {"p99_us", times->Quantile(0.99).count()},
                  {"max_us", times->max().count()}});
  }
  *this = {};
}

}  // namespace brassfront
