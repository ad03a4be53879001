// Who is in the fleet: an operator file (typed records), the same for all members. docs/fleet.md
// says what each field does.
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

inline constexpr std::size_t kMaxMembers = 300;
inline constexpr std::size_t kMinVoters = 3, kMaxVoters = 7;
inline constexpr std::size_t kMinSecretBytes = 16;

struct Member {
  std::string name;
  std::string zone;
  std::string address;  // IPv4:PORT, of its datagrams
  bool voter = false;

  bool operator==(const Member&) const = default;
};

struct Timings {
  Time probe{};      // between two probes of a member
  Time answer{};     // of a direct probe, before others are asked to try
  Time suspicion{};  // from suspected to dead, where no word of its process_incarnation comes
  Time heartbeat{};  // of the settled log's leader
  Time election{};   // without a leader's word, at least
  Time drain{};      // of a machine, before its turn is said to have failed
  Time back{};       // of a machine that returns, likewise

  bool operator==(const Timings&) const = default;
};

// What forwarders share of limits and endpoints, beside who is out for work.
struct Sharing {
  bool limits = false, verdicts = false;
  Time term{};                             // of a lease
  double drift{};                          // by which two clocks may run apart
  double floor{};                          // share of a limit that is set aside
  Time burst{};                            // of a member's rate, what may come at once
  bool told{};                             // limits that endpoints report hold as well
  Time kept{};                             // of a word on an endpoint
  std::map<std::uint64_t, double> listed;  // calls a second, by destination

  bool operator==(const Sharing&) const = default;
};

struct Roster {
  std::string fleet;
  std::string secret;  // bytes, from the key file
  std::vector<Member> members;
  std::size_t max_out_total = 0, max_out_per_zone = 0;  // machines out or dead at once, at most
  Timings timings;
  Sharing sharing;

  [[nodiscard]] const Member* Find(std::string_view name) const;
  [[nodiscard]] std::vector<std::string> Voters() const;
};

std::string_view RosterSchema();

// Throws records::BadRecords with all that is wrong. The key file is read as well; its path is from
// the roster's folder, and nobody but its owner may read it.
Roster LoadRoster(const std::string& path);

// What is not allowed in a change from one roster to the next; empty: it may be taken up. A change
// is one member added, taken away or changed, or limits and timings alone.
std::string ChangeFault(const Roster& now, const Roster& next);

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_ROSTER_HPP_
