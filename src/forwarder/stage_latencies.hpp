// How long things wait inside the engine, told on its log by stage.
#ifndef BRASSFRONT_FORWARDER_STAGE_LATENCIES_HPP_
#define BRASSFRONT_FORWARDER_STAGE_LATENCIES_HPP_

#include <cstddef>

#include "observe/histogram.hpp"
#include "observe/log.hpp"

namespace brassfront {

// `submit` runs from Submit to the engine thread, `accept` to the reply,
// `start` from the decision to send to the call thread, `notify` to the platform's 204, `decide` is
// one decision.
struct StageLatencies {
  observe::Histogram submit, accept, start, notify, decide;

  // A line on what the engine holds and one for each stage in which anything waited; then begins
  // anew. To be called by the engine's thread, whose processor time is told.
  void LogAndReset(observe::Level level, std::size_t in_flight, std::size_t calls);
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_STAGE_LATENCIES_HPP_
