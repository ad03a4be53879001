// The codec of stored conditions, and the only place that knows their stored form.
//
// A record is a frame (the payload's length and its CRC-32, 4 bytes each) and the payload: numbers,
// low byte first. Fields may be added behind the last one, never changed: a payload that is longer
// than this version's is read as far as it is known, a shorter one is not read. No I/O.
#ifndef BRASSFRONT_SNAPSHOT_CONDITION_RECORD_HPP_
#define BRASSFRONT_SNAPSHOT_CONDITION_RECORD_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "dispatch_policy/conditions.hpp"

namespace brassfront {

// What a condition is of. The numbers are stored: never change one.
enum class ConditionKind : std::uint8_t { kEndpoint = 1, kDestination = 2 };

// Names an endpoint or destination over all processes.
struct ConditionKey {
  ConditionKind kind = ConditionKind::kEndpoint;
  std::uint64_t id = 0;

  friend bool operator==(const ConditionKey&, const ConditionKey&) = default;
  friend bool operator<(const ConditionKey& left, const ConditionKey& right) {
    return std::pair(left.kind, left.id) < std::pair(right.kind, right.id);
  }
};

// By a 64-bit hash (FNV-1a) of the endpoint's id in the list.
[[nodiscard]] ConditionKey EndpointKey(std::string_view name);
[[nodiscard]] ConditionKey DestinationKey(dispatch_policy::DestinationId destination);

struct ConditionRecord {
  ConditionKey key;
  dispatch_policy::Time recorded_at{};
  dispatch_policy::EndpointCondition endpoint{};        // of kEndpoint
  dispatch_policy::DestinationCondition destination{};  // of kDestination
  dispatch_policy::RateLimitCondition limit{};

  // Whether they say the same, whenever they were recorded.
  [[nodiscard]] bool Equals(const ConditionRecord& other) const;
};

// Who wrote the records of a file, and in which start of the machine: times are of its monotonic
// clock.
struct ConditionHeader {
  std::string boot_id;
  std::int64_t process_id = 0;
  // False if something that the process observed could not be stored.
  bool is_complete = true;
  // In the file, at least.
  std::uint64_t records = 0;
};

// Bytes of a record at most, its frame included.
inline constexpr std::size_t kMaxConditionRecordBytes = 256;

[[nodiscard]] std::string Encode(const ConditionRecord& record);
[[nodiscard]] std::string Encode(const ConditionHeader& header);

enum class SlotState { kFree, kUsed, kDamaged };

// From the bytes of a whole slot.
struct DecodedSlot {
  SlotState state = SlotState::kFree;
  ConditionRecord record{};  // of kUsed
};

// Never fails on any bytes: what is not understood is damaged.
[[nodiscard]] DecodedSlot DecodeSlot(std::string_view slot);
// None if it is damaged or not there.
[[nodiscard]] std::optional<ConditionHeader> DecodeHeader(std::string_view bytes);

}  // namespace brassfront

#endif  // BRASSFRONT_SNAPSHOT_CONDITION_RECORD_HPP_
