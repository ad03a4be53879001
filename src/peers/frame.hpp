// What one forwarder sends another: a frame in one datagram, signed with the fleet's key.
//
//   length u32 | version u8 | kind u8 | fleet, from, to: names | identity u64 | incarnation u64 |
//   body | HMAC-SHA256 of all before it, 32 bytes
//
// All numbers in network order; the length counts the whole frame.
#ifndef BRASSFRONT_PEERS_FRAME_HPP_
#define BRASSFRONT_PEERS_FRAME_HPP_

#include <cstdint>
#include <string>
#include <string_view>

namespace brassfront::peers {

inline constexpr std::uint8_t kFrameVersion = 1;
inline constexpr std::size_t kMostFrame = 60 * 1024;  // bytes; a datagram holds 65507

enum class Kind : std::uint8_t {
  kPing = 1,  // the detector's, as are the next two
  kAck,
  kPingReq,
  kSettled,  // the settled log's, between voters
  kFound,    // the first configuration of the settled log
  kAsk,      // a command for the leader
  kReply,    // what became of it
  kNews,     // the settled state, asked for and told
  kWant,     // for the grantor of limits: what a member wants of each
  kGrant,    // its answer
  kWords,    // what a member's own calls have shown of endpoints
};
inline constexpr std::uint8_t kLastKind = static_cast<std::uint8_t>(Kind::kWords);

struct Frame {
  Kind kind = Kind::kPing;
  std::string from, to;           // members' names
  std::uint64_t identity = 0;     // of the sender's folder
  std::uint64_t incarnation = 0;  // of the sender: its starts, and its denials since then
  std::string body;
};

// Why a frame is dropped. A wrong version is told before a wrong signature, for an old member.
enum class Drop { kNone, kShort, kVersion, kKind, kSignature, kFleet, kNotForUs };
const char* ToString(Drop drop);

std::string Encode(const Frame& frame, std::string_view fleet, std::string_view secret);
// The frame is whole only with kNone; `from` may be filled in else, for the log, and be a lie.
Drop Decode(std::string_view bytes, std::string_view fleet, std::string_view secret,
            std::string_view self, Frame& frame);

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_FRAME_HPP_
