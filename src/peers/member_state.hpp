// What one member believes of another: its state, the link to it, and the incarnation that the
// belief is about.
//
//   kUnknown --frame or update--> kAlive <--frame, refutation--> kSuspect --timeout--> kDead
//   kUnknown, kAlive, kSuspect --good-bye--> kLeft; kDead, kLeft --higher incarnation--> kAlive
//
// docs/design/peers.md has the whole diagram.
#ifndef BRASSFRONT_PEERS_MEMBER_STATE_HPP_
#define BRASSFRONT_PEERS_MEMBER_STATE_HPP_

#include <cstdint>

namespace brassfront::peers {

// The values are those on the wire. kUnknown: not heard of since our start, never sent. kLeft: it
// announced that it ends. kDead: it may be alive and cut off; nobody can tell.
enum class State : std::uint8_t { kUnknown, kAlive, kSuspect, kDead, kLeft };
[[nodiscard]] const char* ToString(State state);

// Between us and one peer, by our own probes. kOneWay: we receive its frames, but our probes are
// answered by way of others alone. kIndirect: neither receives the other's, and others reach it.
enum class Link : std::uint8_t { kTwoWay, kOneWay, kIndirect };
[[nodiscard]] const char* ToString(Link link);

// An incarnation orders what is said about a member. Its high bits are the process incarnation, the
// number of starts that is kept in the member's folder; its low bits count the times that the
// process has refuted its own suspicion or death. Of two updates about a member the one of the
// higher incarnation is newer, so a restart is told from a stale update.
inline constexpr std::uint64_t kRefutationBits = 20;

[[nodiscard]] constexpr std::uint64_t FirstIncarnation(std::uint64_t process_incarnation) {
  return process_incarnation << kRefutationBits;
}
[[nodiscard]] constexpr std::uint64_t ProcessIncarnationOf(std::uint64_t incarnation) {
  return incarnation >> kRefutationBits;
}

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_MEMBER_STATE_HPP_
