// A scenario: the participants, the faults with their times, and the expectations. It is read from
// typed records; docs/rehearsal.md describes each field. Nothing here does I/O.
#ifndef BRASSFRONT_REHEARSAL_SCENARIO_HPP_
#define BRASSFRONT_REHEARSAL_SCENARIO_HPP_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "records/records.hpp"

namespace brassfront::rehearsal {

using Time = std::chrono::nanoseconds;  // since the start of the rehearsal

inline double SecondsOf(Time time) { return std::chrono::duration<double>(time).count(); }
inline Time FromSeconds(double seconds) {
  return std::chrono::duration_cast<Time>(std::chrono::duration<double>(seconds));
}

enum class Effect { kPure, kKeyed, kOnce };

struct MessageClass {
  std::string name;
  Effect effect = Effect::kKeyed;
  Time goal{};      // latency objective
  Time deadline{};  // delivery is given up after this time
  double late_weight_share = 0;
};

struct Merchant {
  std::string name;
  double share = 0;  // share of the traffic; the shares of all merchants add up to 1
};

struct Limit {
  bool window = false;  // true: a number of calls in each span; false: a rate
  double calls = 0;     // calls per second
  Time span{};          // length of a window
  bool counts_refused = false;
  double told = 0;  // share of refusals that carry a wait
};

struct Partner {
  std::string name;
  std::uint64_t destination = 0;
  std::string kind;
  std::size_t batch = 1;      // messages in one call
  std::size_t endpoints = 1;  // number at the start
  double weight = 1;          // share of the traffic, relative to the other partners
  Time pace{};                // median time of a call
  double spread = 0;          // coefficient of variation of the call time
  double capacity = 0;        // calls with one message per second, over all endpoints
  std::optional<Limit> limit;
  // Minimum wait that a refusal by the rate limit or a full queue carries.
  Time wait{};
  Time queue{};                 // maximum time that a call may wait in the queue
  std::size_t connections = 0;  // maximum for each endpoint, including idle connections
  Time handshake{};
  Time dedup{};
};

// After an outage a partner starts with a share of its capacity and warms up. It collapses if too
// much load reaches it during the warm-up.
struct WarmUp {
  double share = 0;  // share of the capacity at the end of the outage
  Time warm{};       // duration of the warm-up
  double multiple = 0;
  // The partner collapses if its load exceeds `multiple` times its current capacity for this long.
  Time fall{};
};

struct Clients {
  double rate = 0;    // messages per second
  double clumps = 0;  // share of them that is sent in clumps to one partner
  Time clump{};       // size of a clump, as time that the partner needs at full capacity
  std::size_t retries = 0;
  Time pause{};  // delay before a retry without a wait, or if waits are not heeded
  bool heed_waits = true;
  Time answer_within{};
  std::size_t body = 0;  // bytes
  double skew = 0;       // share sent to the first forwarder in addition to its part of the rest
};

struct Forwarders {
  std::size_t count = 1;
  std::size_t memory = 0, sockets = 0, disk = 0;
  std::size_t slots = 0, held = 0;
};

enum class FaultKind {
  kSlow,
  kFull,
  kShut,
  kSilent,
  kRefuse,
  kReset,
  kGarble,
  kDrain,
  kChurn,
  kVanish,
  kReplace,
  kStale,
  kMoveDiscovery,
  kTerminate,
  kKill,
  kRoll,
  kLoseMachine,
  kBurst,
  kClump,
  kNameServer,
  kPause,
  kCut,
  kLossy,
  kSlowLink,
  kFlap,
  kWork,
  kFullDisk,
  kRoster,
  kLimit,
  kWrongPeer,
  kDouble
};

// False claims of the malicious peer, which has a valid key.
enum class FalseReport { kDead, kHealthy, kWaits, kNoLimit, kHugeLimit, kAll };

// Faults of the name server during an action.
enum class NameServerFault { kQuiet, kRefuse, kGarbage, kHalfTransfers, kLostNotices };

struct FaultAction {
  FaultKind kind = FaultKind::kSlow;
  Time at{};
  Time lasts{};                         // duration; 0: until the end of the rehearsal
  std::vector<std::size_t> partners;    // affected partners
  std::optional<std::size_t> endpoint;  // index among the partner's endpoints; unset: all
  std::vector<std::size_t> forwarders;  // affected forwarders
  std::optional<std::size_t> merchant;
  double factor = 1;
  std::optional<Time> wait;  // wait that each refusal carries, if any
  Time down{};               // time until a killed or terminated forwarder starts again
  NameServerFault fault = NameServerFault::kQuiet;
  // For kWork: the machine (or "all" or "hall:NAME"), or empty for an endpoint of the partner; how
  // long operators keep it out; and whether they restart the process while it is out.
  std::string machine;
  Time stay{};
  bool restart = false;
  // For links: from each member of one group to each member of the other, and back if both_ways.
  std::vector<std::size_t> from, to;
  bool both_ways = true;
  double loss = 0, duplicate_share = 0;  // shares of frames that are lost or duplicated
  Time delay{}, jitter{};                // delay of each frame; jitter may reorder frames
  double rate = 0;                       // bytes per second; 0: no limit
  // Period of a flapping link, which is down for the first half of each period.
  Time period{};
  // For kRoster: how many members may be out in total and in each hall; 0: unchanged. If `machine`
  // is set, that machine is removed from the roster instead.
  std::size_t places = 0;
  FalseReport lie = FalseReport::kAll;
};

// Settings of a fleet, in which forwarders share state.
struct FleetSettings {
  bool on = false;
  std::vector<std::string> zones;  // members are assigned to them in turn
  // Number of members, from the first, that vote; 0: default of the roster.
  std::size_t voters = 0;
  std::size_t out_in_all = 1, out_in_hall = 1;
  std::string timings;  // lines in the format of a roster
  // Sharing of limits and of verdicts on endpoints.
  bool limits = false, verdicts = false;
  Time term{}, burst{}, kept{}, election{};
  double drift = 0, floor = 0;
  bool malicious_peer = false;  // the roster has one more member, which is scripted
};

inline std::size_t NumberOfMachine(const std::string& name) {
  return std::stoul("0" + name.substr(1));
}

enum class Comparison { kAtLeast, kAtMost, kEqual };

struct Expectation {
  std::string text;
  std::string metric;
  Comparison comparison = Comparison::kAtLeast;
  double limit = 0;
  records::Place at;
};

struct Scenario {
  std::string name;
  std::string about;
  Time duration{};
  MessageClass message_class;
  std::vector<Merchant> merchants;
  std::vector<Partner> partners;
  WarmUp warm_up;
  Clients clients;
  Forwarders forwarders;
  FleetSettings fleet;
  Time notice{};           // time until the front notices that a forwarder is dead
  Time discovery_delay{};  // time until a change of the list is announced
  // A name server announces changes at once; the platform's list follows later.
  bool by_zones = false;
  double late_share = 0;  // share of late actions above which a run is void
  Time late_by{};
  std::vector<FaultAction> actions;
  std::vector<Expectation> expectations;
};

// Returns the metrics that an expectation may name.
const std::vector<std::string>& MetricNames();

const char* ToString(FaultKind kind);

// Parses a scenario. Throws records::BadRecords with all faults.
Scenario ReadScenario(std::string_view text, const std::string& file);

// Returns the schema that a scenario is checked against, for readers and for check-records.
std::string_view ScenarioSchema();

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_SCENARIO_HPP_
