// Zone transfers, full (AXFR, RFC 5936) and incremental (IXFR, RFC 1995): the messages that a
// primary sends, and the state machine with which a secondary receives them. The result is returned
// only at the end of the transfer: an incomplete transfer has no effect.
#ifndef BRASSFRONT_DNS_TRANSFER_HPP_
#define BRASSFRONT_DNS_TRANSFER_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dns/message.hpp"
#include "dns/tsig.hpp"
#include "dns/zone.hpp"

namespace brassfront::dns {

// Returns the client's serial from the SOA in the authority section of an IXFR request; nullopt if
// there is none.
std::optional<std::uint32_t> ClientSerial(const Message& request);

// Returns all messages of the answer, signed if a session is given. An AXFR, and an IXFR from a
// serial whose changes are no longer stored, are answered with the full zone. `stream` is false for
// UDP, where an answer that does not fit into `limit` bytes is replaced by the SOA alone: the
// client then retries over TCP (RFC 1995 §2).
std::vector<std::string> TransferAnswer(const Zone& zone, const Message& request, bool stream,
                                        std::size_t limit, TsigSession* session, std::uint64_t now);

// Returns the request for a transfer: an IXFR if the client has a SOA, else an AXFR.
Message TransferRequest(const Name& zone, const std::optional<Record>& have, std::uint16_t id);

// Outcomes of a transfer.
struct FullZone {
  Zone zone;
};
struct Changes {
  std::vector<Change> changes;  // in order; the first starts at the client's serial
};
struct UpToDate {};
struct ValidationError {
  std::string why;
  bool ixfr_unsupported = false;  // the primary does not support IXFR; an AXFR may succeed
};
using TransferResult = std::variant<FullZone, Changes, UpToDate, ValidationError>;

class TransferReader {
 public:
  // `have` is the SOA that the request was made with; `max_records` bounds the memory used.
  TransferReader(Name zone, const std::optional<Record>& have, std::uint16_t id,
                 std::optional<TsigSession> session, std::size_t max_records = 10'000'000);

  // Processes the next message of the answer. Returns the result when the transfer has succeeded or
  // failed; nullopt while more messages are needed.
  std::optional<TransferResult> Take(std::string_view bytes, std::uint64_t now);
  // Returns the failure for a transfer that the peer ended early or that timed out.
  [[nodiscard]] TransferResult Interrupted(std::string why) const;

 private:
  enum class State { kFirst, kSecond, kFullZone, kRemoving, kAdding, kDone };

  std::optional<ValidationError> TakeRecord(Record record);
  [[nodiscard]] bool IsNewestSoa(const Record& record) const;
  std::optional<ValidationError> TakeSecondRecord(Record record);
  std::optional<ValidationError> TakeZoneRecord(const Record& record);
  std::optional<ValidationError> TakeRemoved(Record record);
  std::optional<ValidationError> TakeAdded(Record record);
  std::optional<TransferResult> End(const Message& message);
  [[nodiscard]] ValidationError Bad(std::string why) const { return {std::move(why), false}; }

  const Name zone_;
  const std::optional<std::uint32_t> have_;
  const std::uint16_t id_;
  std::optional<TsigSession> session_;
  const std::size_t max_records_;
  State state_ = State::kFirst;
  std::size_t records_ = 0;
  std::size_t messages_ = 0;
  Record soa_;  // the newest SOA, which begins and ends the transfer
  Zone full_zone_;
  std::vector<Change> changes_;
};

}  // namespace brassfront::dns

#endif  // BRASSFRONT_DNS_TRANSFER_HPP_
