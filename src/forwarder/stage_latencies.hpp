// How long things wait inside the engine, told on its log by stage.
#ifndef BRASSFRONT_FORWARDER_STAGE_LATENCIES_HPP_
#define BRASSFRONT_FORWARDER_STAGE_LATENCIES_HPP_

#include <cstddef>

#include "observe/histogram.hpp"
#include "observe/log.hpp"

namespace brassfront {

// Since it was last told. `put` is from a hand-in to its being seen, `answer` to its answer,
// `start` from the module's send to the thread, `notice` to the platform's 204.
struct StageLatencies {
  observe::Histogram put, answer, start, notice, turn;

  // A line on what the engine holds and one for each stage in which anything waited; then begins
  // anew. To be called by the engine's thread, whose processor time is told.
  void Tell(observe::Level level, std::size_t held, std::size_t out);
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_STAGE_LATENCIES_HPP_
