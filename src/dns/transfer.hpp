// Zone transfers, whole (AXFR, RFC 5936) and by changes (IXFR, RFC 1995): the messages that a
// primary sends, and the state machine that takes them. What was taken is handed over at its end
// alone: half a transfer comes to nothing.
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

// The asker's serial in an IXFR request (its SOA in the authority section); nothing if none.
std::optional<std::uint32_t> ClientSerial(const Message& request);

// All messages of the answer, signed if a session is given. An IXFR from a serial that is not
// remembered, and an AXFR, get the whole zone. `stream` is false for UDP, where what does not fit
// into `limit` bytes is answered by the SOA alone: the asker comes again by TCP (RFC 1995 §2).
std::vector<std::string> TransferAnswer(const Zone& zone, const Message& request, bool stream,
                                        std::size_t limit, TsigSession* session, std::uint64_t now);

// The request for a transfer: for IXFR with the SOA that the asker has.
Message TransferRequest(const Name& zone, const std::optional<Record>& have, std::uint16_t id);

// What a transfer came to.
struct FullZone {
  Zone zone;
};
struct Changes {
  std::vector<Change> changes;  // in order; the first starts at the asker's serial
};
struct UpToDate {};
struct ValidationError {
  std::string why;
  bool ixfr_unsupported = false;  // the primary cannot do IXFR: an AXFR may do
};
using TransferResult = std::variant<FullZone, Changes, UpToDate, ValidationError>;

class TransferReader {
 public:
  // `have` is what the request was made with; `max_records` bounds what is kept.
  TransferReader(Name zone, const std::optional<Record>& have, std::uint16_t id,
                 std::optional<TsigSession> session, std::size_t max_records = 10'000'000);

  // Takes the answer's next message. Something once it is over, for good or bad.
  std::optional<TransferResult> Take(std::string_view bytes, std::uint64_t now);
  // The peer has ended, or nothing came in time.
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
  Record soa_;  // the newest, which begins and ends it
  Zone full_zone_;
  std::vector<Change> changes_;
};

}  // namespace brassfront::dns

#endif  // BRASSFRONT_DNS_TRANSFER_HPP_
