// Frames between forwarders. Each frame is one datagram, signed with the fleet's key.
//
//   length u32 | version u8 | kind u8 | fleet, from, to: names | identity u64 | incarnation u64 |
//   body | HMAC-SHA256 of all preceding bytes, 32 bytes
//
// Numbers are in network byte order. Each name is preceded by its length (u8). The length field
// counts the complete frame. The functions keep no state; any thread may call them.
#ifndef BRASSFRONT_PEERS_FRAME_HPP_
#define BRASSFRONT_PEERS_FRAME_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace brassfront::peers {

inline constexpr std::uint8_t kFrameVersion = 1;
// A UDP datagram over IPv4 holds at most 65507 bytes.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{60} * 1024;

// The kind of a frame's body. The values are those on the wire.
enum class Kind : std::uint8_t {
  kPing = 1,  // a message of the failure detector, like the next two (swim_messages.hpp)
  kAck,
  kPingReq,
  kRaftMessage,      // a Raft message between voters
  kBootstrap,        // a bootstrap message of the Raft cluster
  kCommand,          // a command for the leader
  kCommandReply,     // the result of a command
  kReplicatedState,  // a request for the replicated state, or the reply to it
  kLeaseRequest,     // a request to the grantor of leases on fleet-wide limits
  kLeaseGrant,       // the reply to a lease request
  kHealthReports,    // health reports on endpoints from a member's own calls
};
inline constexpr std::uint8_t kLastKind = static_cast<std::uint8_t>(Kind::kHealthReports);

struct Frame {
  Kind kind = Kind::kPing;
  std::string from, to;           // names of members
  std::uint64_t identity = 0;     // id of the sender's folder
  std::uint64_t incarnation = 0;  // incarnation of the sender (member_state.hpp)
  std::string body;
};

// Why a frame is dropped. A wrong version is reported before a wrong signature, so that a member
// with an older version can be distinguished from one with another key.
enum class Drop { kNone, kShort, kVersion, kKind, kSignature, kFleet, kNotForUs };
[[nodiscard]] const char* ToString(Drop drop);

// Signs the frame with the fleet's secret (bytes).
[[nodiscard]] std::string Encode(const Frame& frame, std::string_view fleet,
                                 std::string_view secret);
// Decodes a frame that is addressed to the member `self`. `frame` may be used only if the result is
// kNone; otherwise `from` may be set, for the log, but is not authenticated.
[[nodiscard]] Drop Decode(std::string_view bytes, std::string_view fleet, std::string_view secret,
                          std::string_view self, Frame& frame);

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_FRAME_HPP_
