// The roster: the members of the fleet and its settings. Operators write it as a file of typed
// records, which is the same for all members. docs/fleet.md describes each field. The file calls a
// zone `hall`.
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

inline constexpr std::size_t kMaxMembers = 300;  // the bounds are tested up to this size
// Three is the smallest number of voters that tolerates the loss of one. With more than seven, each
// command waits for more disks, and the additional failures tolerated are unlikely ones.
inline constexpr std::size_t kMinVoters = 3, kMaxVoters = 7;
inline constexpr std::size_t kMinSecretBytes = 16;  // of the fleet's HMAC key

struct Member {
  std::string name;
  std::string zone;
  std::string address;  // IPv4:PORT that receives its datagrams
  bool voter = false;   // of the replicated log

  bool operator==(const Member&) const = default;
};

struct Timings {
  Time probe{};      // period of the failure detector
  Time answer{};     // time without an ack after which proxies are requested to probe
  Time suspicion{};  // time from suspect to dead, unless the member refutes it
  Time heartbeat{};  // interval of the Raft leader's heartbeats
  Time election{};   // minimum time without a heartbeat before a voter starts an election
  Time drain{};      // deadline for a machine to drain, after which its maintenance has failed
  Time back{};       // deadline for a returning machine to serve again

  bool operator==(const Timings&) const = default;
};

// Settings for rate limits and health reports that forwarders share.
struct Sharing {
  bool limits = false, verdicts = false;
  Time term{};                             // duration of a lease
  double drift{};                          // maximum relative drift between two members' clocks
  double floor{};                          // share of a limit that is reserved evenly for members
  Time burst{};                            // a member may start this time's worth of calls at once
  bool told{};                             // whether limits that endpoints report are shared too
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

  // Returns nullptr if there is no such member.
  [[nodiscard]] const Member* Find(std::string_view name) const;
  // The names of the voters, in the order of the file.
  [[nodiscard]] std::vector<std::string> Voters() const;
};

// The schema of the roster file (src/records).
[[nodiscard]] std::string_view RosterSchema();

// Reads the roster file and the key file that it names. The path of the key file is relative to the
// roster's folder, and only its owner may have access to it. Throws records::BadRecords with all
// faults found.
[[nodiscard]] Roster LoadRoster(const std::string& path);

// Explains why a running fleet cannot adopt the next roster; empty if it can. Either one member may
// be added, removed or changed, or only limits and timings may change.
[[nodiscard]] std::string ChangeFault(const Roster& now, const Roster& next);

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_ROSTER_HPP_
