#include "snapshot/condition_record.hpp"

#include <zlib.h>

#include <bit>
#include <cmath>

namespace brassfront {
namespace {

using dispatch_policy::DestinationCondition;
using dispatch_policy::EndpointCondition;
using dispatch_policy::Health;
using dispatch_policy::RateLimitCondition;
using dispatch_policy::Time;

constexpr std::size_t kNumberBytes = 8;
constexpr std::size_t kFrameFieldBytes = 4;
constexpr std::size_t kFrameBytes = 2 * kFrameFieldBytes;

std::uint32_t Checksum(std::string_view bytes) {
  const auto* data = reinterpret_cast<const Bytef*>(bytes.data());
  return static_cast<std::uint32_t>(crc32(0, data, static_cast<uInt>(bytes.size())));
}

void AppendNumber(std::string& out, std::uint64_t value, std::size_t bytes) {
  for (std::size_t i = 0; i < bytes; ++i) out += static_cast<char>(value >> (8 * i) & 0xFF);
}

std::uint64_t ReadNumber(std::string_view bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    value |= std::uint64_t{static_cast<unsigned char>(bytes[i])} << (8 * i);
  }
  return value;
}

class FieldWriter {
 public:
  void operator()(std::uint64_t value) { AppendNumber(payload_, value, kNumberBytes); }
  void operator()(std::int64_t value) { (*this)(static_cast<std::uint64_t>(value)); }
  void operator()(int value) { (*this)(std::int64_t{value}); }
  void operator()(double value) { (*this)(std::bit_cast<std::uint64_t>(value)); }
  void operator()(Time value) { (*this)(std::int64_t{value.count()}); }
  void operator()(bool value) { payload_ += static_cast<char>(value); }
  void operator()(Health value) { payload_ += static_cast<char>(value); }
  void operator()(ConditionKind value) { payload_ += static_cast<char>(value); }
  void operator()(const std::string& text) {
    (*this)(std::uint64_t{text.size()});
    payload_ += text;
  }

  [[nodiscard]] std::string Framed() const {
    std::string record;
    AppendNumber(record, payload_.size(), kFrameFieldBytes);
    AppendNumber(record, Checksum(payload_), kFrameFieldBytes);
    return record + payload_;
  }

 private:
  std::string payload_;
};

// A missing field or an out-of-range value makes the whole payload invalid.
class FieldReader {
 public:
  explicit FieldReader(std::string_view payload) : rest_(payload) {}

  [[nodiscard]] bool is_valid() const { return is_valid_; }

  void operator()(std::uint64_t& value) { value = ReadNumber(Take(kNumberBytes)); }
  void operator()(std::int64_t& value) {
    std::uint64_t number = 0;
    (*this)(number);
    value = static_cast<std::int64_t>(number);
  }
  void operator()(int& value) {
    std::int64_t number = 0;
    (*this)(number);
    value = static_cast<int>(number);
    is_valid_ = is_valid_ && value == number && value >= 0;
  }
  void operator()(double& value) {
    std::uint64_t number = 0;
    (*this)(number);
    value = std::bit_cast<double>(number);
    is_valid_ = is_valid_ && std::isfinite(value) && value >= 0;
  }
  void operator()(Time& value) {
    std::int64_t number = 0;
    (*this)(number);
    value = Time(number);
    is_valid_ = is_valid_ && number >= 0;
  }
  void operator()(bool& value) { value = TakeByte(1) != 0; }
  void operator()(Health& value) {
    value = static_cast<Health>(TakeByte(static_cast<int>(Health::kRecovering)));
  }
  void operator()(ConditionKind& value) {
    value = static_cast<ConditionKind>(TakeByte(static_cast<int>(ConditionKind::kDestination)));
    is_valid_ =
        is_valid_ && (value == ConditionKind::kEndpoint || value == ConditionKind::kDestination);
  }
  void operator()(std::string& text) {
    std::uint64_t size = 0;
    (*this)(size);
    text = Take(size);
  }

 private:
  std::string_view Take(std::size_t bytes) {
    if (bytes > rest_.size()) {
      is_valid_ = false;
      return {};
    }
    const std::string_view taken = rest_.substr(0, bytes);
    rest_.remove_prefix(bytes);
    return taken;
  }
  int TakeByte(int max) {
    const auto value = static_cast<int>(ReadNumber(Take(1)));
    is_valid_ = is_valid_ && value <= max;
    return is_valid_ ? value : 0;
  }

  std::string_view rest_;
  bool is_valid_ = true;
};

// ---- the fields in their stored order, for encoding and decoding ----

template <typename Fields, typename Record>
void VisitLimit(Fields& field, Record& limit) {
  field(limit.wait_until);
  field(limit.next_call);
  field(limit.next_trial);
  field(limit.rate);
  field(limit.from_even_share);
  field(limit.limit);
  field(limit.limit_reported);
  field(limit.rate_changed);
  field(limit.rejections);
  field(limit.first_rejection);
  field(limit.last_rejection);
}

template <typename Fields, typename Record>
void VisitEndpoint(Fields& field, Record& endpoint) {
  field(endpoint.health);
  field(endpoint.health_since);
  field(endpoint.closed_by_endpoint);
  field(endpoint.failure_share);
  field(endpoint.failures);
  field(endpoint.first_failure);
  field(endpoint.connect_failed);
  field(endpoint.last_answer);
  field(endpoint.connection_limit);
  field(endpoint.limit_seen);
  field(endpoint.next_call);
}

template <typename Fields, typename Record>
void VisitRecord(Fields& field, Record& record) {
  field(record.key.kind);
  field(record.key.id);
  field(record.recorded_at);
  VisitLimit(field, record.limit);
  VisitEndpoint(field, record.endpoint);
  field(record.destination.last_answer);
  field(record.destination.arrival_rate);
  field(record.destination.send_rate);
}

template <typename Fields, typename Record>
void VisitHeader(Fields& field, Record& header) {
  field(header.boot_id);
  field(header.process_id);
  field(header.is_complete);
  field(header.records);
}

// Returns the payload of the frame at the beginning of `bytes`, or nullopt if it is damaged.
std::optional<std::string_view> ReadPayload(std::string_view bytes) {
  if (bytes.size() < kFrameBytes) return std::nullopt;
  const std::uint64_t size = ReadNumber(bytes.substr(0, kFrameFieldBytes));
  const std::uint64_t checksum = ReadNumber(bytes.substr(kFrameFieldBytes, kFrameFieldBytes));
  bytes.remove_prefix(kFrameBytes);
  if (size == 0 || size > bytes.size()) return std::nullopt;
  const std::string_view payload = bytes.substr(0, size);
  if (Checksum(payload) != checksum) return std::nullopt;
  return payload;
}

}  // namespace

ConditionKey EndpointKey(std::string_view name) {
  constexpr std::uint64_t kOffsetBasis = 14695981039346656037U;
  constexpr std::uint64_t kPrime = 1099511628211U;
  std::uint64_t hash = kOffsetBasis;
  for (const char character : name) {
    hash = (hash ^ static_cast<unsigned char>(character)) * kPrime;
  }
  return {ConditionKind::kEndpoint, hash};
}

ConditionKey DestinationKey(dispatch_policy::DestinationId destination) {
  return {ConditionKind::kDestination, destination};
}

bool ConditionRecord::Equals(const ConditionRecord& other) const {
  return key == other.key && endpoint == other.endpoint && destination == other.destination &&
         limit == other.limit;
}

std::string Encode(const ConditionRecord& record) {
  FieldWriter writer;
  VisitRecord(writer, record);
  return writer.Framed();
}

std::string Encode(const ConditionHeader& header) {
  FieldWriter writer;
  VisitHeader(writer, header);
  return writer.Framed();
}

DecodedSlot DecodeSlot(std::string_view slot) {
  if (slot.find_first_not_of('\0') == std::string_view::npos) return {SlotState::kFree};
  const auto payload = ReadPayload(slot);
  if (!payload) return {SlotState::kDamaged};
  DecodedSlot decoded{SlotState::kUsed};
  FieldReader reader(*payload);
  VisitRecord(reader, decoded.record);
  if (!reader.is_valid()) return {SlotState::kDamaged};
  return decoded;
}

std::optional<ConditionHeader> DecodeHeader(std::string_view bytes) {
  const auto payload = ReadPayload(bytes);
  if (!payload) return std::nullopt;
  ConditionHeader header;
  FieldReader reader(*payload);
  VisitHeader(reader, header);
  if (!reader.is_valid()) return std::nullopt;
  return header;
}

}  // namespace brassfront
