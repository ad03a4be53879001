// What a spool's file says of one message, record by record: accepted by one process, tried and
// ended by the next.
#ifndef BRASSFRONT_SPOOL_MESSAGE_HISTORY_HPP_
#define BRASSFRONT_SPOOL_MESSAGE_HISTORY_HPP_

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "spool/file.hpp"
#include "spool/spool_record.hpp"

namespace brassfront::spool {

// A place in which records of the message may have been lost.
struct DamagedPlace {
  std::size_t bytes = 0;
};

struct HistoryStep {
  std::size_t offset = 0;
  std::variant<MessageAccepted, AttemptStarted, AttemptNotRun, MessageGivenUp, MessageFinished,
               DamagedPlace>
      what;
};

// The records of the messages with this client's id, in the order of the file, and the damaged
// places behind the first. Those that a compaction has left out are not there any more. A file that
// can't be read to its end gives what could be read.
[[nodiscard]] std::vector<HistoryStep> ReadHistory(const File& file, const std::string& client_id);

// One line for people, without its end.
[[nodiscard]] std::string Describe(const HistoryStep& step);

}  // namespace brassfront::spool

#endif  // BRASSFRONT_SPOOL_MESSAGE_HISTORY_HPP_
