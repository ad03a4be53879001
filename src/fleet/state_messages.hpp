// Codec of the frames of kind kReplicatedState. With them, a member that does not replicate the log
// receives the committed state, and the leader learns how many messages each member has in flight.
//
//   request: 1 u8 | revision u64 | messages in flight u64
//   update:  2 u8 | revision u64 | leader: name | state: text
//
// No I/O.
#ifndef BRASSFRONT_FLEET_STATE_MESSAGES_HPP_
#define BRASSFRONT_FLEET_STATE_MESSAGES_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace brassfront::fleet {

struct StateRequest {
  std::uint64_t revision = 0;  // of the newest state that the sender knows
  std::uint64_t messages_in_flight = 0;
};

struct StateUpdate {
  std::uint64_t revision = 0;
  std::string leader;  // empty if the sender knows of none
  std::string state;  // from MaintenanceState::Save; empty if not newer than the request's revision
};

using StateMessage = std::variant<StateRequest, StateUpdate>;

[[nodiscard]] std::string Encode(const StateRequest& request);
[[nodiscard]] std::string Encode(const StateUpdate& update);
// Returns nothing if the bytes are not a valid message.
[[nodiscard]] std::optional<StateMessage> DecodeStateMessage(std::string_view bytes);

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_STATE_MESSAGES_HPP_
