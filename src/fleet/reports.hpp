// JSON of the control socket's replies: the fleet as one member knows it, and the results of
// commands. Operators' scripts rely on the field names, which must not change. No I/O.
#ifndef BRASSFRONT_FLEET_REPORTS_HPP_
#define BRASSFRONT_FLEET_REPORTS_HPP_

#include <cstdint>
#include <string>

#include "maintenance/maintenance_scheduler.hpp"
#include "peers/failure_detector.hpp"
#include "peers/roster.hpp"

namespace brassfront::fleet {

// The fleet as one member knows it. Valid while one reply is composed.
struct MemberView {
  const std::string& self;
  std::string leader;      // empty if none is known
  std::uint64_t term = 0;  // of the replicated log; 0 if this member is not a voter
  const maintenance::MaintenanceState& known_state;
  const peers::Roster& roster;
  const peers::FailureDetector& failure_detector;
  const maintenance::LocalMember& local_member;
  std::uint64_t process_incarnation = 0;
  bool votes = false;  // whether the log lists the folder's current identity as a voter
};

[[nodiscard]] std::string StatusJson(const MemberView& view);
[[nodiscard]] std::string MembersJson(const MemberView& view);
// Requests for maintenance, both open and finished.
[[nodiscard]] std::string RequestsJson(const maintenance::MaintenanceState& state);
[[nodiscard]] std::string RequestResultJson(const maintenance::RequestResult& result,
                                            std::uint64_t token);
// Explains why no command can be committed, and what still works. Plain text.
[[nodiscard]] std::string NoQuorumMessage(const MemberView& view);

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_REPORTS_HPP_
