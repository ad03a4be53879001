// Codec of the failure detector's frame bodies: SWIM's ping, ack and ping-req, each followed by
// gossip updates.
//
//   ping      sequence u32                  | updates
//   ack       sequence u32 | subject name   | updates
//   ping-req  sequence u32 | target name    | updates
//   updates   count u8 | for each: member name, state u8, incarnation u64
//
// Numbers are in network byte order, and each name is preceded by its length (peers/bytes.hpp). The
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

// Limits a frame with the longest names (32 bytes) to 530 bytes, which is below any path's MTU.
inline constexpr std::size_t kMaxUpdatesPerFrame = 8;

// The state of one member as known to the sender: a third member, the sender or the receiver.
struct GossipUpdate {
  std::string name;
  State state{};
  std::uint64_t incarnation = 0;
};

// Requests an ack with the same sequence number.
struct Ping {
  std::uint32_t sequence = 0;
};

// Acknowledges a ping or a ping-req. `subject` is empty when the sender answers a ping itself, the
// target's name when a proxy forwards the target's ack, and the sender's own name when a proxy
// confirms that it accepted a ping-req.
struct Ack {
  std::uint32_t sequence = 0;
  std::string subject;
};

// Requests the receiver, a proxy, to probe the target.
struct PingRequest {
  std::uint32_t sequence = 0;
  std::string target;
};

using SwimMessage = std::variant<Ping, Ack, PingRequest>;

struct DecodedSwimMessage {
  SwimMessage message;
  std::vector<GossipUpdate> updates;  // only those with a valid state
};

// The kind of a frame determines the type of its message.
[[nodiscard]] bool IsSwimKind(Kind kind);
[[nodiscard]] Kind GetKind(const SwimMessage& message);

[[nodiscard]] std::string EncodeSwimMessage(const SwimMessage& message,
                                            const std::vector<GossipUpdate>& updates);
// Returns nullopt if the body is not exactly one message of `kind`, which must be a SWIM kind.
[[nodiscard]] std::optional<DecodedSwimMessage> DecodeSwimMessage(Kind kind, std::string_view body);

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_SWIM_MESSAGES_HPP_
