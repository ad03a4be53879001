// How long messages and decisions wait in each stage of the engine, for the log.
#ifndef BRASSFRONT_FORWARDER_STAGE_LATENCIES_HPP_
#define BRASSFRONT_FORWARDER_STAGE_LATENCIES_HPP_

#include <cstddef>

#include "observe/histogram.hpp"
#include "observe/log.hpp"

namespace brassfront {

// Used only by the engine's thread.
struct StageLatencies {
  observe::Histogram submit;  // from the client's thread to the engine's thread
  observe::Histogram accept;  // from the client's thread to its reply
  observe::Histogram start;   // from a decision to send to the call's thread
  observe::Histogram notify;  // from giving a message up to the platform's 204
  observe::Histogram decide;  // one decision, with the actions applied

  // Logs one line on the engine's load and one for each stage with values, then resets all stages.
  // Must be called by the engine's thread, because the load line contains the calling thread's CPU
  // time.
  void LogAndReset(observe::Level level, std::size_t messages_in_flight, std::size_t calls);
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_STAGE_LATENCIES_HPP_
