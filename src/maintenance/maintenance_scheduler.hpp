// What the leader proposes for the replicated log: it brings the committed state up to what it
// observes, enforces deadlines and grants slots. No I/O; the time is the caller's monotonic clock.
#ifndef BRASSFRONT_MAINTENANCE_MAINTENANCE_SCHEDULER_HPP_
#define BRASSFRONT_MAINTENANCE_MAINTENANCE_SCHEDULER_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "maintenance/maintenance_state.hpp"
#include "maintenance/member_duty.hpp"
#include "peers/failure_detector.hpp"
#include "peers/roster.hpp"

namespace brassfront::maintenance {

using peers::Time;

// What the leader observes of one member.
struct ObservedMember {
  peers::State state = peers::State::kUnknown;
  std::uint64_t process_incarnation = 0;
  std::uint64_t load = 0;  // messages in flight, as the member reports
};

// After this many grants to later requests a request counts as one urgency higher, so that none
// waits for more than 2 x kGrantsPerUrgencyStep grants more than the requests before it.
inline constexpr std::uint32_t kGrantsPerUrgencyStep = 8;

// Chooses the next command. Used by the leader's fleet thread alone.
class MaintenanceScheduler {
 public:
  // The next command to propose, or none; to be called again once that one is committed or lost. A
  // leader of less than SettlingTime grants nothing: it may not have noticed yet who is dead.
  [[nodiscard]] std::optional<Command> Next(const MaintenanceState& state_machine,
                                            const peers::Roster& roster,
                                            const std::map<std::string, ObservedMember>& seen,
                                            Time time_as_leader, Time now);
  // The time in which a connected fleet detects any death: two suspicion periods and six probes.
  [[nodiscard]] static Time SettlingTime(const peers::Timings& timings) {
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

  // When this leader first saw a request in its state. A new leader counts anew, so that each
  // change of leaders extends a deadline once at most.
  struct ObservedRequestState {
    State state{};
    Time since{};
  };
  std::map<std::uint64_t, ObservedRequestState> observed_states_;
};

}  // namespace brassfront::maintenance

#endif  // BRASSFRONT_MAINTENANCE_MAINTENANCE_SCHEDULER_HPP_
