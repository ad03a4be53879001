// Chooses the commands that the leader proposes for the replicated log: they update the committed
// state to what the leader observes, enforce deadlines and grant slots. No I/O; the caller passes
// its monotonic time.
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

// After this many grants to later requests, a request counts as one urgency higher. A request thus
// waits for at most 2 x kGrantsPerUrgencyStep grants in addition to those of the requests before
// it.
inline constexpr std::uint32_t kGrantsPerUrgencyStep = 8;

// Used only by the leader's fleet thread.
class MaintenanceScheduler {
 public:
  // Returns the next command to propose, or nullopt. Must be called again once that command was
  // committed or lost. A leader grants nothing until it has led for SettlingTime, because it may
  // not have detected all dead members yet.
  [[nodiscard]] std::optional<Command> Next(const MaintenanceState& state_machine,
                                            const peers::Roster& roster,
                                            const std::map<std::string, ObservedMember>& seen,
                                            Time time_as_leader, Time now);
  // The time in which a connected fleet detects any dead member: two suspicion periods and six
  // probes.
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

  // When this leader first saw a request in its current state. A new leader starts measuring again,
  // so that each change of leader extends a deadline at most once.
  struct ObservedRequestState {
    State state{};
    Time since{};
  };
  std::map<std::uint64_t, ObservedRequestState> observed_states_;
};

}  // namespace brassfront::maintenance

#endif  // BRASSFRONT_MAINTENANCE_MAINTENANCE_SCHEDULER_HPP_
