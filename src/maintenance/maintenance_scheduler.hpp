// What is to be proposed for the settled log: by the leader, who brings the settled state up to
// what it sees and gives out turns, and by each member, who does what the settled state asks of it.
// No I/O, no clock; time is the caller's own.
#ifndef BRASSFRONT_MAINTENANCE_MAINTENANCE_SCHEDULER_HPP_
#define BRASSFRONT_MAINTENANCE_MAINTENANCE_SCHEDULER_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "maintenance/maintenance_state.hpp"
#include "peers/failure_detector.hpp"
#include "peers/roster.hpp"

namespace brassfront::maintenance {

using peers::Time;

// What the leader sees of one member.
struct ObservedMember {
  peers::State state = peers::State::kUnknown;
  std::uint64_t process_incarnation = 0;
  std::uint64_t load = 0;  // messages held, as it says
};

// After so many grants to later ones a request is as urgent as the next urgency, and so on. So none
// waits for more than 2 x kGrantsPerUrgencyStep grants more than the requests before it.
inline constexpr std::uint32_t kGrantsPerUrgencyStep = 8;

class MaintenanceScheduler {
 public:
  // The next command, or none. To be asked again once that one is settled or lost. A leader that
  // has led for less than `settle` gives out no turn: it may not have noticed yet who is dead.
  std::optional<Command> Next(const MaintenanceState& state_machine, const peers::Roster& roster,
                              const std::map<std::string, ObservedMember>& seen,
                              Time time_as_leader, Time now);
  // How long it takes at most, in a whole fleet, until a death that nobody has noticed is noticed.
  static Time SettlingTime(const peers::Timings& timings) {
    return 2 * timings.suspicion + 6 * timings.probe;
  }

 private:
  static std::optional<Command> ProposeRosterChange(const MaintenanceState& state_machine,
                                                    const peers::Roster& roster);
  static std::optional<Command> ProposeMemberState(
      const MaintenanceState& state_machine, const std::map<std::string, ObservedMember>& seen);
  std::optional<Command> ProposeFailure(const MaintenanceState& state_machine,
                                        const peers::Timings& timings, Time now);
  static std::optional<Command> ProposeGrant(const MaintenanceState& state_machine,
                                             const std::map<std::string, ObservedMember>& seen);

  // Since when we have seen a request in its state. A new leader counts anew, so a deadline is at
  // most once longer for each change of leaders.
  std::map<std::uint64_t, std::pair<State, Time>> observed_states_;
};

// A member's own part.
struct LocalMember {
  bool standing_by = false;      // clients are sent away
  bool drained = false;          // and nothing is held
  bool serving = false;          // clients are taken
  std::set<std::string> banned;  // endpoints at which nothing more is begun, as the engine says
};

struct Duty {
  bool stand_by = false;
  std::set<std::string> ban;
  std::vector<Command> say;  // until the settled state shows it
};
Duty ComputeDuty(const MaintenanceState& state_machine, const std::string& self,
                 std::uint64_t process_incarnation, const LocalMember& own);

}  // namespace brassfront::maintenance

#endif  // BRASSFRONT_MAINTENANCE_MAINTENANCE_SCHEDULER_HPP_
