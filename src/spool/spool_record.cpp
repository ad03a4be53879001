#include "spool/spool_record.hpp"

#include <zlib.h>

#include <algorithm>
#include <utility>

namespace brassfront::spool {
namespace {

// The values are stored in files and must never change.
enum class Tag : char {
  kMessageAccepted = 'A',
  kAttemptStarted = 'B',
  kAttemptNotRun = 'N',
  kMessageFinished = 'E',
  kClockAnchor = 'C',
};

// A give-up is stored as an AttemptNotRun record with an attempt index that no message has, because
// earlier versions ignore such a record. These bits of the index encode the decision.
constexpr std::uint64_t kGiveUpMark = std::uint64_t{1} << 63;
constexpr std::uint64_t kRetryAllowedMark = std::uint64_t{1} << 62;
constexpr std::uint64_t kRetryAfterMask = 0xFFFF'FFFF;  // in milliseconds

constexpr int kNumberBytes = 8;
constexpr int kLengthBytes = 4;

void AppendNumber(std::string& out, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) out += static_cast<char>(value >> (8 * i) & 0xFF);
}

std::uint32_t Checksum(std::string_view bytes) {
  const auto* data = reinterpret_cast<const Bytef*>(bytes.data());
  return static_cast<std::uint32_t>(crc32(0, data, static_cast<uInt>(bytes.size())));
}

class PayloadWriter {
 public:
  explicit PayloadWriter(Tag tag) { payload_ += static_cast<char>(tag); }

  PayloadWriter& Number(std::uint64_t value) {
    AppendNumber(payload_, value, kNumberBytes);
    return *this;
  }
  PayloadWriter& Time(UnixMs time) { return Number(static_cast<std::uint64_t>(time.count())); }
  PayloadWriter& Text(std::string_view text) {
    AppendNumber(payload_, text.size(), kLengthBytes);
    payload_.append(text);
    return *this;
  }
  // Returns the frame followed by the payload.
  [[nodiscard]] std::string Framed() const {
    std::string record;
    AppendNumber(record, payload_.size(), kLengthBytes);
    AppendNumber(record, Checksum(payload_), kLengthBytes);
    return record + payload_;
  }

 private:
  std::string payload_;
};

// Reading past the end returns zeros and empty texts; AtEnd() is false after that.
class PayloadReader {
 public:
  explicit PayloadReader(std::string_view bytes) : rest_(bytes) {}

  std::uint64_t Number(int bytes = kNumberBytes) {
    std::uint64_t value = 0;
    const std::string_view stored = Next(static_cast<std::size_t>(bytes));
    for (std::size_t i = 0; i < stored.size(); ++i) {
      value |= static_cast<std::uint64_t>(static_cast<unsigned char>(stored[i])) << (8 * i);
    }
    return value;
  }
  UnixMs Time() { return UnixMs(static_cast<std::int64_t>(Number())); }
  std::string Text() { return std::string(Next(Number(kLengthBytes))); }
  // Returns whether all bytes were read and no read went past the end.
  [[nodiscard]] bool AtEnd() const { return !overrun_ && rest_.empty(); }

 private:
  std::string_view Next(std::size_t length) {
    if (overrun_ || length > rest_.size()) {
      overrun_ = true;
      return {};
    }
    const std::string_view part = rest_.substr(0, length);
    rest_.remove_prefix(length);
    return part;
  }

  std::string_view rest_;
  bool overrun_ = false;
};

MessageAccepted ReadMessageAccepted(PayloadReader& reader) {
  MessageAccepted record;
  record.number = reader.Number();
  record.message.id = reader.Text();
  record.message.key = reader.Text();
  record.message.class_name = reader.Text();
  record.message.tenant_name = reader.Text();
  record.message.destination = reader.Number();
  record.message.deadline = reader.Time();
  record.message.body = reader.Text();
  return record;
}

AttemptStarted ReadAttemptStarted(PayloadReader& reader) {
  AttemptStarted record;
  record.number = reader.Number();
  record.endpoint = reader.Text();
  record.started_at = reader.Time();
  return record;
}

std::uint64_t ToAttemptIndex(const SpooledGiveUp& give_up) {
  const auto retry_after = static_cast<std::uint64_t>(std::clamp<std::int64_t>(
      give_up.retry_after.count(), 0, static_cast<std::int64_t>(kRetryAfterMask)));
  return kGiveUpMark | (give_up.retry_allowed ? kRetryAllowedMark : 0) | retry_after;
}

SpooledGiveUp ToGiveUp(std::uint64_t attempt_index) {
  return {.retry_allowed = (attempt_index & kRetryAllowedMark) != 0,
          .retry_after = std::chrono::milliseconds(attempt_index & kRetryAfterMask)};
}

Record ReadAttemptNotRun(PayloadReader& reader) {
  const SpoolId number = reader.Number();
  const std::uint64_t attempt = reader.Number();
  if ((attempt & kGiveUpMark) != 0) return MessageGivenUp{number, ToGiveUp(attempt)};
  return AttemptNotRun{number, attempt};
}

ClockAnchor ReadClockAnchor(PayloadReader& reader) {
  ClockAnchor record;
  record.boot_id = reader.Text();
  record.monotonic = reader.Time();
  record.wall = reader.Time();
  return record;
}

std::optional<Record> ReadRecord(Tag tag, PayloadReader& reader) {
  switch (tag) {
    case Tag::kMessageAccepted:
      return ReadMessageAccepted(reader);
    case Tag::kAttemptStarted:
      return ReadAttemptStarted(reader);
    case Tag::kAttemptNotRun:
      return ReadAttemptNotRun(reader);
    case Tag::kMessageFinished:
      return MessageFinished{.number = reader.Number()};
    case Tag::kClockAnchor:
      return ReadClockAnchor(reader);
  }
  return std::nullopt;
}

}  // namespace

std::string Encode(const MessageAccepted& record) {
  return PayloadWriter(Tag::kMessageAccepted)
      .Number(record.number)
      .Text(record.message.id)
      .Text(record.message.key)
      .Text(record.message.class_name)
      .Text(record.message.tenant_name)
      .Number(record.message.destination)
      .Time(record.message.deadline)
      .Text(record.message.body)
      .Framed();
}

std::string Encode(const AttemptStarted& record) {
  return PayloadWriter(Tag::kAttemptStarted)
      .Number(record.number)
      .Text(record.endpoint)
      .Time(record.started_at)
      .Framed();
}

std::string Encode(const AttemptNotRun& record) {
  return PayloadWriter(Tag::kAttemptNotRun).Number(record.number).Number(record.attempt).Framed();
}

std::string Encode(const MessageGivenUp& record) {
  return PayloadWriter(Tag::kAttemptNotRun)
      .Number(record.number)
      .Number(ToAttemptIndex(record.give_up))
      .Framed();
}

std::string Encode(const MessageFinished& record) {
  return PayloadWriter(Tag::kMessageFinished).Number(record.number).Framed();
}

std::string Encode(const ClockAnchor& record) {
  return PayloadWriter(Tag::kClockAnchor)
      .Text(record.boot_id)
      .Time(record.monotonic)
      .Time(record.wall)
      .Framed();
}

FrameHeader DecodeFrameHeader(std::string_view bytes) {
  PayloadReader reader(bytes);
  FrameHeader header;
  header.payload_bytes = reader.Number(kLengthBytes);
  header.checksum = static_cast<std::uint32_t>(reader.Number(kLengthBytes));
  return header;
}

bool MayBeginPayload(const FrameHeader& header, char first) {
  if (header.payload_bytes == 0 || header.payload_bytes > kMaxPayloadBytes) return false;
  switch (static_cast<Tag>(first)) {
    case Tag::kMessageAccepted:
    case Tag::kAttemptStarted:
    case Tag::kAttemptNotRun:
    case Tag::kMessageFinished:
    case Tag::kClockAnchor:
      return true;
  }
  return false;
}

bool IsIntact(const FrameHeader& header, std::string_view payload) {
  return payload.size() == header.payload_bytes && Checksum(payload) == header.checksum;
}

std::optional<Record> DecodePayload(std::string_view payload) {
  if (payload.empty()) return std::nullopt;
  PayloadReader reader(payload.substr(1));
  std::optional<Record> record = ReadRecord(static_cast<Tag>(payload[0]), reader);
  if (!reader.AtEnd()) return std::nullopt;
  return record;
}

}  // namespace brassfront::spool
