// The codec of stored conditions; their stored format is defined only here.
//
// A record is a frame (the payload's length and its CRC-32, 4 bytes each) and the payload. Numbers
// are little-endian. Fields may be added after the last one, never changed: if a payload is longer
// than this version's, the unknown fields at its end are ignored; a shorter payload is invalid. No
// I/O.
#ifndef BRASSFRONT_SNAPSHOT_CONDITION_RECORD_HPP_
#define BRASSFRONT_SNAPSHOT_CONDITION_RECORD_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "dispatch_policy/conditions.hpp"

namespace brassfront {

// The kind of object that a condition describes. The values are stored and must never change.
enum class ConditionKind : std::uint8_t { kEndpoint = 1, kDestination = 2 };

// Identifies an endpoint or destination across processes.
struct ConditionKey {
  ConditionKind kind = ConditionKind::kEndpoint;
  std::uint64_t id = 0;

  friend bool operator==(const ConditionKey&, const ConditionKey&) = default;
  friend bool operator<(const ConditionKey& left, const ConditionKey& right) {
    return std::pair(left.kind, left.id) < std::pair(right.kind, right.id);
  }
};

// The key is a 64-bit FNV-1a hash of `name`, the endpoint's id in the endpoint list.
[[nodiscard]] ConditionKey EndpointKey(std::string_view name);
[[nodiscard]] ConditionKey DestinationKey(dispatch_policy::DestinationId destination);

struct ConditionRecord {
  ConditionKey key;
  dispatch_policy::Time recorded_at{};
  dispatch_policy::EndpointCondition endpoint{};        // for kEndpoint
  dispatch_policy::DestinationCondition destination{};  // for kDestination
  dispatch_policy::RateLimitCondition limit{};

  // Compares everything except recorded_at.
  [[nodiscard]] bool Equals(const ConditionRecord& other) const;
};

// The process that wrote the records of a file, and the boot of the machine in which it ran. Times
// in the file are readings of that boot's monotonic clock.
struct ConditionHeader {
  std::string boot_id;
  std::int64_t process_id = 0;
  // False if something that the process observed could not be stored.
  bool is_complete = true;
  // Minimum number of records in the file.
  std::uint64_t records = 0;
};

// Maximum size of a record, including its frame.
inline constexpr std::size_t kMaxConditionRecordBytes = 256;

[[nodiscard]] std::string Encode(const ConditionRecord& record);
[[nodiscard]] std::string Encode(const ConditionHeader& header);

enum class SlotState { kFree, kUsed, kDamaged };

// The content of a slot.
struct DecodedSlot {
  SlotState state = SlotState::kFree;
  ConditionRecord record{};  // valid for kUsed
};

// Decodes all bytes of a slot. Accepts any bytes: a slot that can't be decoded is kDamaged.
[[nodiscard]] DecodedSlot DecodeSlot(std::string_view slot);
// Returns nullopt if the header is damaged or missing.
[[nodiscard]] std::optional<ConditionHeader> DecodeHeader(std::string_view bytes);

}  // namespace brassfront

#endif  // BRASSFRONT_SNAPSHOT_CONDITION_RECORD_HPP_
