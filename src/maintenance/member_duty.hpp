// The duty of a member in maintenance: to enter standby, exclude endpoints and report progress. It
// is a pure function of the committed state and the member's own state; no I/O, no clock.
#ifndef BRASSFRONT_MAINTENANCE_MEMBER_DUTY_HPP_
#define BRASSFRONT_MAINTENANCE_MEMBER_DUTY_HPP_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "maintenance/maintenance_state.hpp"

namespace brassfront::maintenance {

// The local state of one member.
struct LocalMember {
  bool standing_by = false;                  // clients are sent to other members
  bool drained = false;                      // and no message is in flight
  bool serving = false;                      // clients are accepted
  std::set<std::string> excluded_endpoints;  // endpoints to which the engine starts no more calls
};

// What the committed state requires of one member.
struct Duty {
  bool stand_by = false;                     // stop accepting clients
  std::set<std::string> excluded_endpoints;  // endpoints to start no more calls to
  std::vector<Command> commands;             // commands to propose until the state shows them
};

// Derives the duty of the member `self` from the newest committed state.
[[nodiscard]] Duty ComputeDuty(const MaintenanceState& state_machine, const std::string& self,
                               std::uint64_t process_incarnation, const LocalMember& own);

}  // namespace brassfront::maintenance

#endif  // BRASSFRONT_MAINTENANCE_MEMBER_DUTY_HPP_
