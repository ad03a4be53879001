// Who is in the fleet, and its settings: an operator file (typed records), the same for all
// members. docs/fleet.md says what each field does. In it a zone is called `hall`.
#ifndef BRASSFRONT_PEERS_ROSTER_HPP_
#define BRASSFRONT_PEERS_ROSTER_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace brassfront::peers {

using Time = std::chrono::nanoseconds;  // on the member's own monotonic clock

inline constexpr std::size_t kMaxMembers = 300;  // what the bounds are measured with
// Three voters are the fewest that survive the loss of one; with more than seven each command waits
// for more disks and tolerates no failure that is likely.
inline constexpr std::size_t kMinVoters = 3, kMaxVoters = 7;
inline constexpr std::size_t kMinSecretBytes = 16;  // of the fleet's HMAC key

struct Member {
  std::string name;
  std::string zone;
  std::string address;  // IPv4:PORT, of its datagrams
  bool voter = false;   // of the replicated log

  bool operator==(const Member&) const = default;
};

struct Timings {
  Time probe{};      // a period of the failure detector
  Time answer{};     // without an ack, until proxies are asked to probe
  Time suspicion{};  // from suspect to dead, unless that is refuted
  Time heartbeat{};  // of the Raft leader
  Time election{};   // without a heartbeat until a voter starts an election, at least
  Time drain{};      // of a machine, until its maintenance counts as failed
  Time back{};       // of a machine that returns, likewise

  bool operator==(const Timings&) const = default;
};

// What forwarders share of rate limits and endpoint health.
struct Sharing {
  bool limits = false, verdicts = false;
  Time term{};                             // of a lease
  double drift{};                          // relative, of two members' clocks
  double floor{};                          // share of a limit that is reserved in even parts
  Time burst{};                            // of a member's rate, what may come at once
  bool told{};                             // limits that endpoints report are shared as well
  Time kept{};                             // lifetime of a health report
  std::map<std::uint64_t, double> listed;  // limits in calls a second, by destination

  bool operator==(const Sharing&) const = default;
};

struct Roster {
  std::string fleet;
  std::string secret;  // bytes, from the key file
  std::vector<Member> members;
  std::size_t max_out_total = 0, max_out_per_zone = 0;  // machines in maintenance or dead at once
  Timings timings;
  Sharing sharing;

  // Null if there is no such member.
  [[nodiscard]] const Member* Find(std::string_view name) const;
  // Their names, in the order of the file.
  [[nodiscard]] std::vector<std::string> Voters() const;
};

// The grammar of the file (src/records).
[[nodiscard]] std::string_view RosterSchema();

// Throws records::BadRecords with all that is wrong. The key file is read as well; its path starts
// at the roster's folder, and nobody but its owner may be able to read it.
[[nodiscard]] Roster LoadRoster(const std::string& path);

// Why a running fleet cannot take up the next roster; empty if it can. Allowed is one member added,
// removed or changed, or a change of limits and timings alone.
[[nodiscard]] std::string ChangeFault(const Roster& now, const Roster& next);

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_ROSTER_HPP_
