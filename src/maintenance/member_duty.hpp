// What a member does for maintenance: stands by, excludes endpoints, and reports progress. A pure
// function of the committed state and of the member's own situation; no I/O, no clock.
#ifndef BRASSFRONT_MAINTENANCE_MEMBER_DUTY_HPP_
#define BRASSFRONT_MAINTENANCE_MEMBER_DUTY_HPP_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "maintenance/maintenance_state.hpp"

namespace brassfront::maintenance {

// What one member knows of itself.
struct LocalMember {
  bool standing_by = false;                  // clients are sent to other members
  bool drained = false;                      // and no message is in flight
  bool serving = false;                      // clients are accepted
  std::set<std::string> excluded_endpoints;  // endpoints to which the engine starts no more calls
};

// What the committed state asks of one member.
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
