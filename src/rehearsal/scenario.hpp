// A scenario: who plays, what goes wrong when, and what must hold. Read from typed records; see
// docs/rehearsal.md for each field. Nothing here does I/O.
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

using Time = std::chrono::nanoseconds;  // since the rehearsal's start

inline double SecondsOf(Time time) { return std::chrono::duration<double>(time).count(); }
inline Time FromSeconds(double seconds) {
  return std::chrono::duration_cast<Time>(std::chrono::duration<double>(seconds));
}

enum class Effect { kPure, kKeyed, kOnce };

struct MessageClass {
  std::string name;
  Effect effect = Effect::kKeyed;
  Time goal{};      // wanted within
  Time deadline{};  // given up then
  double late_weight_share = 0;
};

struct Merchant {
  std::string name;
  double share = 0;  // of the traffic, all of them together 1
};

struct Limit {
  bool window = false;  // a count in each span, else a plain rate
  double calls = 0;     // a second
  Time span{};          // of the window
  bool counts_refused = false;
  double told = 0;  // share of refusals that tell how long to wait
};

struct Partner {
  std::string name;
  std::uint64_t destination = 0;
  std::string kind;
  std::size_t batch = 1;      // messages in one call
  std::size_t endpoints = 1;  // at the start
  double weight = 1;          // of the traffic
  Time pace{};                // median time of a call
  double spread = 0;          // coefficient of variation of it
  double capacity = 0;        // calls with one message a second, of all its endpoints
  std::optional<Limit> limit;
  Time wait{};                  // told by a refusal of a rate limit or a full queue
  Time queue{};                 // in time of the capacity
  std::size_t connections = 0;  // of each endpoint, idle ones counted
  Time handshake{};
  Time dedup{};
};

// After an outage a partner is warm_up, warms up, and falls over where too much reaches it
// meanwhile.
struct WarmUp {
  double share = 0;  // of the capacity, at the return
  Time warm{};       // until all of it is back
  double multiple = 0;
  Time fall{};  // sent more than the multiple of what it can do for so long, it falls over
};

struct Clients {
  double rate = 0;    // messages a second
  double clumps = 0;  // share of them that comes in clumps for one partner
  Time clump{};       // a clump's size, in time of the partner's capacity
  std::size_t retries = 0;
  Time pause{};  // before a retry, where no wait is told or heeded
  bool heed_waits = true;
  Time answer_within{};
  std::size_t body = 0;  // bytes
  double skew = 0;       // share that comes to the first forwarder, beside its part of the rest
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
  kWrongPeer
};

// What a scripted peer with a valid key claims.
enum class FalseReport { kDead, kHealthy, kWaits, kNoLimit, kHugeLimit, kAll };

// What the name server of a rehearsal does wrong meanwhile.
enum class NameServerFault { kQuiet, kRefuse, kGarbage, kHalfTransfers, kLostNotices };

struct FaultAction {
  FaultKind kind = FaultKind::kSlow;
  Time at{};
  Time lasts{};                         // until it ends by itself; 0: for good
  std::vector<std::size_t> partners;    // that it strikes
  std::optional<std::size_t> endpoint;  // of the partner: only this one
  std::vector<std::size_t> forwarders;  // that it strikes
  std::optional<std::size_t> merchant;
  double factor = 1;
  std::optional<Time> wait;  // told with each refusal; none: none is told
  Time down{};               // of a killed or restarted forwarder
  NameServerFault fault = NameServerFault::kQuiet;
  // Of work: which machine (or "all", "hall:NAME"), else an endpoint of the partner; how long staff
  // keep it once it is out, and whether they start the process anew meanwhile.
  std::string machine;
  Time stay{};
  bool restart = false;
  // Of links: from each of one group to each of the other, and back if both ways.
  std::vector<std::size_t> from, to;
  bool both_ways = true;
  double loss = 0, duplicate_share = 0;  // shares of frames
  Time delay{}, jitter{};                // of each frame; jitter reorders
  double rate = 0;                       // bytes a second; 0: no bound
  Time period{};                         // of a flapping link: down for the first half of each
  // Of a roster that staff change: places in all and in each hall; 0: as they were. With a machine:
  // it is accepted out of the roster.
  std::size_t places = 0;
  FalseReport lie = FalseReport::kAll;
};

// Forwarders that share what they know, if there is a fleet.
struct FleetSettings {
  bool on = false;
  std::vector<std::string> zones;  // members are dealt out over them in turn
  std::size_t voters = 0;          // the first so many; 0: as the roster's reader has it
  std::size_t out_in_all = 1, out_in_hall = 1;
  std::string timings;  // as in a roster
  // What they share of limits and endpoints.
  bool limits = false, verdicts = false;
  Time term{}, burst{}, kept{}, election{};
  double drift = 0, floor = 0;
  bool malicious_peer = false;  // the roster has a member more, which an action plays
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
  Time notice{};           // after which the front knows that a forwarder is dead
  Time discovery_delay{};  // until a change of the list is told
  bool by_zones = false;   // changes are told by a name server, and by the platform's list later
  double late_share = 0;   // of actions, by which a run is void
  Time late_by{};
  std::vector<FaultAction> actions;
  std::vector<Expectation> expectations;
};

// The metrics that an expectation may name.
const std::vector<std::string>& MetricNames();

const char* ToString(FaultKind kind);

// Throws records::BadRecords, with every fault.
Scenario ReadScenario(std::string_view text, const std::string& file);

// The definitions that a scenario is held against, for people and for check-records.
std::string_view ScenarioSchema();

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_SCENARIO_HPP_
