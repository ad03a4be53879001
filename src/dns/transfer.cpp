#include "dns/transfer.hpp"

#include <algorithm>
#include <utility>

#include "dns/serial.hpp"

namespace brassfront::dns {
namespace {

// Maximum uncompressed size of the records in one message: small enough to be processed at once,
// large enough to compress well.
constexpr std::size_t kMaxTransferMessageBytes = std::size_t{16} * 1024;

// Splits a sequence of records into messages.
class MessageWriter {
 public:
  MessageWriter(const Message& request, TsigSession* session, std::uint64_t now)
      : request_(request), session_(session), now_(now), message_(Start()) {}

  void Add(const Record& record) {
    constexpr std::size_t kHead = 10;
    const std::size_t size = record.name.wire().size() + kHead + record.rdata.size();
    if (bytes_ > 0 && bytes_ + size > kMaxTransferMessageBytes) End();
    bytes_ += size;
    message_.answer.push_back(record);
  }

  std::vector<std::string> Take() {
    End();
    return std::move(messages_);
  }

 private:
  [[nodiscard]] Message Start() const {
    Message message = ReplyTo(request_, Rcode::kNoError);
    message.authoritative = true;
    return message;
  }

  void End() {
    std::string bytes = Encode(message_);
    messages_.push_back(session_ != nullptr ? session_->Sign(std::move(bytes), now_)
                                            : std::move(bytes));
    message_ = Start();
    bytes_ = 0;
  }

  const Message& request_;
  TsigSession* session_;
  std::uint64_t now_;
  Message message_;
  std::size_t bytes_ = 0;
  std::vector<std::string> messages_;
};

// What a transfer contains in addition to the SOA: nothing, the changes since a serial, or the full
// zone.
struct TransferContent {
  bool soa_only = false;
  std::optional<std::vector<const Change*>> changes;
};

TransferContent ContentFor(const Zone& zone, const Message& request) {
  if (request.question[0].type != type::kIxfr) return {};
  const auto from = ClientSerial(request);
  if (!from) return {};
  return {*from == zone.serial() || IsNewer(*from, zone.serial()), zone.ChangesSince(*from)};
}

std::vector<std::string> WriteTransfer(const Zone& zone, const Message& request,
                                       const TransferContent& content, TsigSession* session,
                                       std::uint64_t now) {
  const Record soa = zone.Soa();
  MessageWriter writer(request, session, now);
  writer.Add(soa);
  if (content.soa_only) return writer.Take();
  if (content.changes) {
    for (const Change* change : *content.changes) {
      for (const Record& record : change->removed) writer.Add(record);
      for (const Record& record : change->added) writer.Add(record);
    }
  } else {
    zone.EachRecord([&writer](const Record& record) { writer.Add(record); });
  }
  writer.Add(soa);
  return writer.Take();
}

}  // namespace

std::optional<std::uint32_t> ClientSerial(const Message& request) {
  if (request.authority.size() != 1 || request.authority[0].type != type::kSoa) return std::nullopt;
  return SerialOf(request.authority[0].rdata);
}

std::vector<std::string> TransferAnswer(const Zone& zone, const Message& request, bool stream,
                                        std::size_t limit, TsigSession* session,
                                        std::uint64_t now) {
  const TransferContent content = ContentFor(zone, request);
  if (stream) return WriteTransfer(zone, request, content, session, now);
  const std::size_t room =
      limit - std::min(limit, session != nullptr ? session->MaxTsigBytes() : 0);
  // A full zone is never sent in a datagram.
  if (!content.soa_only && content.changes) {
    auto tried = WriteTransfer(zone, request, content, nullptr, now);
    if (tried.size() == 1 && tried[0].size() <= room) {
      if (session != nullptr) tried[0] = session->Sign(std::move(tried[0]), now);
      return tried;
    }
  }
  return WriteTransfer(zone, request, {.soa_only = true, .changes = {}}, session, now);
}

Message TransferRequest(const Name& zone, const std::optional<Record>& have, std::uint16_t id) {
  Message request;
  request.id = id;
  request.question = {{zone, have ? type::kIxfr : type::kAxfr, klass::kIn}};
  if (have) request.authority = {*have};
  return request;
}

TransferReader::TransferReader(Name zone, const std::optional<Record>& have, std::uint16_t id,
                               std::optional<TsigSession> session, std::size_t max_records)
    : zone_(std::move(zone)),
      have_(have ? std::optional(SerialOf(have->rdata)) : std::nullopt),
      id_(id),
      session_(std::move(session)),
      max_records_(max_records),
      full_zone_(zone_) {}

std::optional<TransferResult> TransferReader::Take(std::string_view bytes, std::uint64_t now) {
  Decoded decoded = Decode(bytes);
  if (!decoded.message) return Bad("a message that cannot be read: " + decoded.why);
  Message& message = *decoded.message;
  if (!message.response || message.opcode != Opcode::kQuery || message.id != id_) {
    return Bad("an answer to something else");
  }
  if (session_) {
    const TsigError error = session_->Check(bytes, message, now);
    const TsigError told = error == TsigError::kNone ? TsigErrorOf(message) : error;
    if (told != TsigError::kNone) {
      return Bad("the signature does not hold: " + RcodeText(static_cast<std::uint16_t>(told)));
    }
  }
  if (message.rcode != Rcode::kNoError) {
    const bool first = messages_ == 0 && have_;
    const bool unknown = message.rcode == Rcode::kNotImp || message.rcode == Rcode::kFormErr;
    return ValidationError{"the primary answers " + RcodeText(message.rcode), first && unknown};
  }
  for (const Question& question : message.question) {
    if (!(question.name == zone_)) return Bad("an answer about " + question.name.ToText());
  }
  ++messages_;
  for (Record& record : message.answer) {
    if (auto unfit = TakeRecord(std::move(record))) return *std::move(unfit);
  }
  return End(message);
}

std::optional<ValidationError> TransferReader::TakeRecord(Record record) {
  if (++records_ > max_records_) return Bad("more records than are kept");
  if (record.klass != klass::kIn || !IsDataType(record.type) || !record.name.IsAtOrBelow(zone_)) {
    return Bad("a record that is none of the zone's: " + record.ToText());
  }
  const bool soa = record.type == type::kSoa;
  if (soa && !(record.name == zone_)) return Bad("a SOA at " + record.name.ToText());
  switch (state_) {
    case State::kFirst:
      if (!soa) return Bad("it does not begin with the SOA");
      soa_ = std::move(record);
      state_ = State::kSecond;
      return std::nullopt;
    case State::kSecond:
      return TakeSecondRecord(std::move(record));
    case State::kFullZone:
      return TakeZoneRecord(record);
    case State::kRemoving:
      return TakeRemoved(std::move(record));
    case State::kAdding:
      return TakeAdded(std::move(record));
    case State::kDone:
      return Bad("records after its end");
  }
  return std::nullopt;
}

bool TransferReader::IsNewestSoa(const Record& record) const {
  return SerialOf(record.rdata) == SerialOf(soa_.rdata);
}

// The second record distinguishes an incremental transfer from a full one (RFC 1995 §4).
std::optional<ValidationError> TransferReader::TakeSecondRecord(Record record) {
  if (record.type == type::kSoa && have_ && !IsNewestSoa(record)) {
    if (SerialOf(record.rdata) != *have_) return Bad("its changes begin at another serial");
    changes_.push_back({{std::move(record)}, {}});
    state_ = State::kRemoving;
    return std::nullopt;
  }
  full_zone_.Add(soa_);
  state_ = State::kFullZone;
  return TakeZoneRecord(record);
}

std::optional<ValidationError> TransferReader::TakeZoneRecord(const Record& record) {
  if (record.type != type::kSoa) {
    full_zone_.Add(record);
    return std::nullopt;
  }
  if (!IsNewestSoa(record)) return Bad("the zone changed during the transfer");
  state_ = State::kDone;
  return std::nullopt;
}

std::optional<ValidationError> TransferReader::TakeRemoved(Record record) {
  if (record.type != type::kSoa) {
    changes_.back().removed.push_back(std::move(record));
    return std::nullopt;
  }
  if (!IsNewer(SerialOf(record.rdata), changes_.back().from())) {
    return Bad("its changes lead to an older serial");
  }
  state_ = State::kAdding;
  changes_.back().added.push_back(std::move(record));
  return std::nullopt;
}

std::optional<ValidationError> TransferReader::TakeAdded(Record record) {
  if (record.type != type::kSoa) {
    changes_.back().added.push_back(std::move(record));
    return std::nullopt;
  }
  if (changes_.back().to() == SerialOf(soa_.rdata)) {
    if (!IsNewestSoa(record)) return Bad("changes beyond the newest serial");
    state_ = State::kDone;
    return std::nullopt;
  }
  if (SerialOf(record.rdata) != changes_.back().to()) {
    return Bad("a change that does not start where the last one ended");
  }
  changes_.push_back({{std::move(record)}, {}});
  state_ = State::kRemoving;
  return std::nullopt;
}

std::optional<TransferResult> TransferReader::End(const Message& message) {
  if (state_ == State::kSecond && have_ &&
      (SerialOf(soa_.rdata) == *have_ || IsNewer(*have_, SerialOf(soa_.rdata)))) {
    return UpToDate{};
  }
  // A SOA alone means "retry over TCP" if it was received by UDP. On a stream nothing follows it.
  if (state_ != State::kDone) return std::nullopt;
  if (session_ && !message.tsig) return Bad("its last message is not signed");
  if (!changes_.empty()) return Changes{std::move(changes_)};
  if (have_ && !IsNewer(full_zone_.serial(), *have_)) {
    return Bad("a whole zone of serial " + std::to_string(full_zone_.serial()) +
               ", not newer than " + std::to_string(*have_));
  }
  const auto faults = FindZoneErrors(full_zone_);
  if (!faults.empty()) return Bad("no whole zone: " + faults[0]);
  return FullZone{std::move(full_zone_)};
}

TransferResult TransferReader::Interrupted(std::string why) const {
  return Bad("cut short after " + std::to_string(records_) + " records: " + std::move(why));
}

}  // namespace brassfront::dns
