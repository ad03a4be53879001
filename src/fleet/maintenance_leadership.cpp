#include "fleet/maintenance_leadership.hpp"

#include "observe/log.hpp"

namespace brassfront::fleet {

using observe::Concern;
using observe::Level;

void MaintenanceLeadership::Update(ReplicatedLog& log, const peers::Roster& roster,
                                   const peers::FailureDetector& failure_detector, const Self& self,
                                   Time now) {
  if (!log.is_leader()) {
    if (leader_since_) observe::Log(Concern::kFleet, Level::kInfo, "leads no longer");
    leader_since_.reset();
    proposal_in_flight_ = false;
    return;
  }
  if (!leader_since_) {
    leader_since_ = now;
    scheduler_ = {};
    proposal_in_flight_ = false;
    observe::Log(Concern::kFleet, Level::kInfo, "leads", {{"term", log.term()}});
  }
  if (proposal_in_flight_) return;
  const auto observed = ObserveMembers(failure_detector, self);
  const auto command = scheduler_.Next(*log.state(), roster, observed, now - *leader_since_, now);
  if (!command) return;
  proposal_in_flight_ = true;
  log.Propose(command->Encode(),
              [this](consensus::RaftNode::Outcome) { proposal_in_flight_ = false; });
}

std::map<std::string, maintenance::ObservedMember> MaintenanceLeadership::ObserveMembers(
    const peers::FailureDetector& failure_detector, const Self& self) const {
  std::map<std::string, maintenance::ObservedMember> observed;
  for (const auto& [name, peer] : failure_detector.peers()) {
    const auto load = reported_loads_.find(name);
    observed[name] = {.state = peer.state,
                      .process_incarnation = peers::ProcessIncarnationOf(peer.incarnation),
                      .load = load == reported_loads_.end() ? 0 : load->second};
  }
  observed[self.name] = {.state = peers::State::kAlive,
                         .process_incarnation = self.process_incarnation,
                         .load = self.messages_in_flight};
  return observed;
}

}  // namespace brassfront::fleet
