// What became of the messages of one process, counted by the message table on its own. The spool
// has its own count of the messages it holds: the two must agree, or a message was lost.
#ifndef BRASSFRONT_FORWARDER_MESSAGE_TOTALS_HPP_
#define BRASSFRONT_FORWARDER_MESSAGE_TOTALS_HPP_

#include <cstdint>

#include "forwarder/message_trace.hpp"
#include "spool/spool.hpp"

namespace brassfront {

struct MessageTotals {
  std::uint64_t accepted = 0;  // recorded in the spool by this process
  std::uint64_t restored = 0;  // taken over from the spool
  std::uint64_t delivered = 0;
  std::uint64_t notified = 0;   // given up, and the platform has confirmed the notification
  std::uint64_t cancelled = 0;  // the client left before it was told

  // Counts the end of a message; `final_step` is one of the final steps.
  void CountEnd(TraceStep final_step);

  [[nodiscard]] std::uint64_t finished() const { return delivered + notified + cancelled; }
  // Whether as many messages are open as were accepted or restored and have not ended.
  [[nodiscard]] bool Balances(std::uint64_t open) const {
    return accepted + restored == finished() + open;
  }
};

// Writes the totals to the log at the end of the process. Where they do not agree with what the
// file holds by now, that is an error line and counted as `message_accounting_errors_total`.
void LogFinalTotals(const MessageTotals& totals, const Spool& spool);

// The same for what the spool holds at a start, against what the previous owner says it has left.
void CheckAgainstPredecessor(const OwnerNote& predecessor, const Spool& spool);

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_MESSAGE_TOTALS_HPP_
