// Lists the records of one message in a spool file. They may come from several processes: one
// process may accept the message and a later one attempt and finish it.
#ifndef BRASSFRONT_SPOOL_MESSAGE_HISTORY_HPP_
#define BRASSFRONT_SPOOL_MESSAGE_HISTORY_HPP_

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "spool/file.hpp"
#include "spool/spool_record.hpp"

namespace brassfront::spool {

// A damaged part of the file, in which records of the message may have been lost.
struct DamagedPlace {
  std::size_t bytes = 0;
};

struct HistoryStep {
  std::size_t offset = 0;
  std::variant<MessageAccepted, AttemptStarted, AttemptNotRun, MessageGivenUp, MessageFinished,
               DamagedPlace>
      what;
};

// Returns the records of the messages with this client-assigned id, in file order, and the damaged
// parts of the file after the first of them. Records that a compaction removed are missing. If a
// read fails, returns the records before the failure.
[[nodiscard]] std::vector<HistoryStep> ReadHistory(const File& file, const std::string& client_id);

// Returns one human-readable line, without a line end.
[[nodiscard]] std::string Describe(const HistoryStep& step);

}  // namespace brassfront::spool

#endif  // BRASSFRONT_SPOOL_MESSAGE_HISTORY_HPP_
