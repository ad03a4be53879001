// What one forwarder sends another: a frame in one datagram, signed with the fleet's key.
//
//   length u32 | version u8 | kind u8 | fleet, from, to: names | identity u64 | incarnation u64 |
//   body | HMAC-SHA256 of all before it, 32 bytes
//
// All numbers in network order, each name with its length (u8) before it; the length counts the
// whole frame. The functions keep no state; any thread may call them.
#ifndef BRASSFRONT_PEERS_FRAME_HPP_
#define BRASSFRONT_PEERS_FRAME_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace brassfront::peers {

inline constexpr std::uint8_t kFrameVersion = 1;
// In bytes; a UDP datagram over IPv4 holds 65507.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{60} * 1024;

// What a frame's body is. The values are those on the wire.
enum class Kind : std::uint8_t {
  kPing = 1,  // the failure detector's, as are the next two (swim_messages.hpp)
  kAck,
  kPingReq,
  kRaftMessage,      // a Raft message between voters
  kBootstrap,        // a message of the Raft cluster's bootstrap
  kCommand,          // a command for the leader
  kCommandReply,     // what became of it
  kReplicatedState,  // a request for the replicated state, or its answer
  kLeaseRequest,     // a lease request for the grantor of limits
  kLeaseGrant,       // its answer
  kHealthReports,    // health reports on endpoints from a member's own calls
};
inline constexpr std::uint8_t kLastKind = static_cast<std::uint8_t>(Kind::kHealthReports);

struct Frame {
  Kind kind = Kind::kPing;
  std::string from, to;           // members' names
  std::uint64_t identity = 0;     // of the sender's folder
  std::uint64_t incarnation = 0;  // of the sender (member_state.hpp)
  std::string body;
};

// Why a frame is dropped. A wrong version is reported before a wrong signature, so that a member of
// an older version is told from one with another key.
enum class Drop { kNone, kShort, kVersion, kKind, kSignature, kFleet, kNotForUs };
[[nodiscard]] const char* ToString(Drop drop);

// Signs the frame with the fleet's secret (bytes).
[[nodiscard]] std::string Encode(const Frame& frame, std::string_view fleet,
                                 std::string_view secret);
// Fills `frame` for the member `self`. It may be used only with kNone; otherwise `from` may be set,
// for the log, but is not authenticated.
[[nodiscard]] Drop Decode(std::string_view bytes, std::string_view fleet, std::string_view secret,
                          std::string_view self, Frame& frame);

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_FRAME_HPP_
