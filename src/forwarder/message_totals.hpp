// Counts how the messages of one process ended. The message table keeps these counts independently
// of the spool's count of open messages. If the two do not agree, a message was lost.
#ifndef BRASSFRONT_FORWARDER_MESSAGE_TOTALS_HPP_
#define BRASSFRONT_FORWARDER_MESSAGE_TOTALS_HPP_

#include <cstdint>

#include "forwarder/message_trace.hpp"
#include "spool/spool.hpp"

namespace brassfront {

struct MessageTotals {
  std::uint64_t accepted = 0;  // recorded in the spool by this process
  std::uint64_t restored = 0;  // from the spool
  std::uint64_t delivered = 0;
  std::uint64_t notified = 0;   // given up, and the platform has confirmed the notification
  std::uint64_t cancelled = 0;  // the client disconnected before it received the reply

  // Counts the end of a message. `final_step` must be one of the final steps.
  void CountEnd(TraceStep final_step);

  [[nodiscard]] std::uint64_t finished() const { return delivered + notified + cancelled; }
  // Whether `open` is the number of messages that were accepted or restored and have not ended.
  [[nodiscard]] bool Balances(std::uint64_t open) const {
    return accepted + restored == finished() + open;
  }
};

// Logs the totals at the end of the process. If they do not agree with the spool file, logs an
// error and counts it in `message_accounting_errors_total`.
void LogFinalTotals(const MessageTotals& totals, const Spool& spool);

// Does the same check at the start of a process: compares the spool's open messages with the number
// that its previous owner recorded.
void CheckAgainstPredecessor(const OwnerNote& predecessor, const Spool& spool);

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_MESSAGE_TOTALS_HPP_
