// What operators ask and are told: requests read from calls, and JSON of what is known. No I/O.
#ifndef BRASSFRONT_FLEET_REPORTS_HPP_
#define BRASSFRONT_FLEET_REPORTS_HPP_

#include <map>
#include <string>

#include "maintenance/maintenance_scheduler.hpp"
#include "peers/failure_detector.hpp"
#include "peers/roster.hpp"

namespace brassfront::fleet {

// False, with the fault, if the call asks for nothing that there is.
bool ParseCommand(const std::string& path, const std::map<std::string, std::string>& query,
                  maintenance::Command& command, std::string& error);

struct MemberView {
  const std::string& self;
  std::string leader;
  std::uint64_t term;
  const maintenance::MaintenanceState& known_state;
  const peers::Roster& roster;
  const peers::FailureDetector& detector;
  const maintenance::LocalMember& local;
  std::uint64_t process_incarnation;
  bool votes;  // is a voter of the settled log, under the id that its folder has now
};
std::string StatusJson(const MemberView& view);
std::string MembersJson(const MemberView& view);
std::string RequestsJson(const maintenance::MaintenanceState& state);
std::string RequestResultJson(const maintenance::RequestResult& result, std::uint64_t token);
// Why nothing can be settled, and what still works.
std::string NoQuorumMessage(const std::string& leader, const peers::Roster& roster,
                            const peers::FailureDetector& detector);

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_REPORTS_HPP_
