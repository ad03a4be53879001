#include "forwarder/message_totals.hpp"

#include "observe/log.hpp"
#include "observe/metrics.hpp"

namespace brassfront {

using observe::Concern;
using observe::Level;

void MessageTotals::CountEnd(TraceStep final_step) {
  switch (final_step) {
    case TraceStep::kDelivered:
      ++delivered;
      return;
    case TraceStep::kNotified:
      ++notified;
      return;
    default:
      ++cancelled;
  }
}

void LogFinalTotals(const MessageTotals& totals, const Spool& spool) {
  const auto open = spool.CountStoredOpenMessages();
  observe::Log(Concern::kEngine, Level::kInfo, "message totals",
               {{"accepted", totals.accepted},
                {"restored", totals.restored},
                {"delivered", totals.delivered},
                {"notified", totals.notified},
                {"cancelled", totals.cancelled},
                {"open", open ? std::to_string(*open) : "unknown"},
                {"spool_bytes", spool.file_bytes()}});
  if (!open || totals.Balances(*open)) return;
  observe::Count("message_accounting_errors_total", {"at", "exit"});
  observe::Log(
      Concern::kEngine, Level::kError, "message totals do not agree with the spool",
      {{"expected_open", totals.accepted + totals.restored - totals.finished()}, {"open", *open}});
}

void CheckAgainstPredecessor(const OwnerNote& predecessor, const Spool& spool) {
  observe::Log(Concern::kEngine, Level::kInfo, "spool read",
               {{"open", spool.open_messages()}, {"bytes", spool.file_bytes()}});
  if (!predecessor.open_messages || *predecessor.open_messages == spool.open_messages()) return;
  observe::Count("message_accounting_errors_total", {"at", "start"});
  observe::Log(Concern::kEngine, Level::kError, "the spool differs from what its last owner left",
               {{"predecessor", predecessor.process_id},
                {"expected_open", *predecessor.open_messages},
                {"open", spool.open_messages()}});
}

}  // namespace brassfront
