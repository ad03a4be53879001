// The bodies of the failure detector's frames: SWIM's ping, ack and ping-req, each with gossip
// updates behind it.
//
//   ping      sequence u32                  | updates
//   ack       sequence u32 | subject name   | updates
//   ping-req  sequence u32 | target name    | updates
//   updates   count u8 | of each: member name, state u8, incarnation u64
//
// Numbers are in network order, names have their length before them (peers/bytes.hpp). The
// functions keep no state; any thread may call them.
#ifndef BRASSFRONT_PEERS_SWIM_MESSAGES_HPP_
#define BRASSFRONT_PEERS_SWIM_MESSAGES_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "peers/frame.hpp"
#include "peers/member_state.hpp"

namespace brassfront::peers {

// Keeps a frame with the longest names (32 bytes) at 530 bytes, below any path's MTU.
inline constexpr std::size_t kMaxUpdatesPerFrame = 8;

// What one member tells another about a third, about itself, or about the receiver.
struct GossipUpdate {
  std::string name;
  State state{};
  std::uint64_t incarnation = 0;
};

// Asks the receiver for an ack with the same sequence number.
struct Ping {
  std::uint32_t sequence = 0;
};

// Answers a ping or a ping-req. `subject` is the member that has answered: empty for the sender's
// own answer to a ping; the target's name where a proxy passes its ack on; the sender's own name
// where a proxy confirms that it has taken a ping-req.
struct Ack {
  std::uint32_t sequence = 0;
  std::string subject;
};

// Asks the receiver, a proxy, to probe the target.
struct PingRequest {
  std::uint32_t sequence = 0;
  std::string target;
};

using SwimMessage = std::variant<Ping, Ack, PingRequest>;

struct DecodedSwimMessage {
  SwimMessage message;
  std::vector<GossipUpdate> updates;  // those with a state that there is
};

// The frame's kind says which message it holds.
[[nodiscard]] bool IsSwimKind(Kind kind);
[[nodiscard]] Kind GetKind(const SwimMessage& message);

[[nodiscard]] std::string EncodeSwimMessage(const SwimMessage& message,
                                            const std::vector<GossipUpdate>& updates);
// Nothing if the body is not exactly one message of that kind, which must be a SWIM kind.
[[nodiscard]] std::optional<DecodedSwimMessage> DecodeSwimMessage(Kind kind, std::string_view body);

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_SWIM_MESSAGES_HPP_
