// What one member knows about another: its state, the link to it, and its incarnation.
//
//   kUnknown --frame or update--> kAlive <--frame, refutation--> kSuspect --timeout--> kDead
//   kUnknown, kAlive, kSuspect --leave message--> kLeft
//   kDead, kLeft --higher incarnation--> kAlive
//
// docs/design/peers.md has the complete diagram.
#ifndef BRASSFRONT_PEERS_MEMBER_STATE_HPP_
#define BRASSFRONT_PEERS_MEMBER_STATE_HPP_

#include <cstdint>

namespace brassfront::peers {

// The values are those on the wire. kUnknown: neither a frame nor an update was received since our
// start; this state is never sent. kLeft: the member announced that its process ends. kDead: the
// member did not answer; it may still be alive but unreachable, which nobody can distinguish.
enum class State : std::uint8_t { kUnknown, kAlive, kSuspect, kDead, kLeft };
[[nodiscard]] const char* ToString(State state);

// The link between this member and one peer, according to our own probes. kOneWay: we receive the
// peer's frames, but our probes are answered only by way of proxies. kIndirect: neither side
// receives the other's frames, but other members reach the peer.
enum class Link : std::uint8_t { kTwoWay, kOneWay, kIndirect };
[[nodiscard]] const char* ToString(Link link);

// An incarnation orders the updates about a member. Its high bits are the process incarnation, the
// number of starts that is stored in the member's folder. Its low bits count how often the process
// has refuted reports that it is suspect or dead. Of two updates about a member, the one with the
// higher incarnation is newer, which distinguishes a restart from a stale update.
inline constexpr std::uint64_t kRefutationBits = 20;

[[nodiscard]] constexpr std::uint64_t FirstIncarnation(std::uint64_t process_incarnation) {
  return process_incarnation << kRefutationBits;
}
[[nodiscard]] constexpr std::uint64_t ProcessIncarnationOf(std::uint64_t incarnation) {
  return incarnation >> kRefutationBits;
}

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_MEMBER_STATE_HPP_
