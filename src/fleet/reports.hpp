// The JSON of the control socket's replies: what a member knows of the fleet, and what became of
// commands. Field names are for operators' scripts and stay as they are. No I/O.
#ifndef BRASSFRONT_FLEET_REPORTS_HPP_
#define BRASSFRONT_FLEET_REPORTS_HPP_

#include <cstdint>
#include <string>

#include "maintenance/maintenance_scheduler.hpp"
#include "peers/failure_detector.hpp"
#include "peers/roster.hpp"

namespace brassfront::fleet {

// What one member knows, for the time of one reply.
struct MemberView {
  const std::string& self;
  std::string leader;      // empty: none is known
  std::uint64_t term = 0;  // of the replicated log; 0: this member is no voter
  const maintenance::MaintenanceState& known_state;
  const peers::Roster& roster;
  const peers::FailureDetector& failure_detector;
  const maintenance::LocalMember& local_member;
  std::uint64_t process_incarnation = 0;
  bool votes = false;  // under the identity that its folder has now
};

[[nodiscard]] std::string StatusJson(const MemberView& view);
[[nodiscard]] std::string MembersJson(const MemberView& view);
// Requests for maintenance, open ones and those that are over.
[[nodiscard]] std::string RequestsJson(const maintenance::MaintenanceState& state);
[[nodiscard]] std::string RequestResultJson(const maintenance::RequestResult& result,
                                            std::uint64_t token);
// Why no command can be committed, and what still works. Plain text.
[[nodiscard]] std::string NoQuorumMessage(const MemberView& view);

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_REPORTS_HPP_
