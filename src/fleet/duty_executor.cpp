#include "fleet/duty_executor.hpp"

#include <chrono>
#include <utility>

#include "observe/log.hpp"

namespace brassfront::fleet {
namespace {

using observe::Concern;
using observe::Level;
using std::chrono::milliseconds;

// Between two looks at what the forwarder does; a duty is reported to be done with this delay at
// most.
constexpr peers::Time kDutyInterval = milliseconds(100);
// Counts as drained after so long in standby at the earliest: clients that are told so with their
// next PING have gone elsewhere by then.
constexpr peers::Time kMinStandbyDuration = milliseconds(1500);
// With which the policy is told that an endpoint serves again: the fleet has committed it, so it is
// to bind like the word of two members.
constexpr std::size_t kWitnessesOfCommittedState = 2;

}  // namespace

DutyExecutor::DutyExecutor(std::string self, const LocalIdentity& identity,
                           const ForwarderControl& forwarder, EndpointExclusions& exclusions,
                           OnExclusionsApplied on_exclusions_applied)
    : self_(std::move(self)),
      identity_(identity),
      forwarder_(forwarder),
      exclusions_(exclusions),
      on_exclusions_applied_(std::move(on_exclusions_applied)),
      timer_(kDutyInterval) {}

maintenance::Duty DutyExecutor::ComputeDutyFrom(const maintenance::MaintenanceState& state) const {
  return ComputeDuty(state, self_, identity_.process_incarnation(), local_);
}

void DutyExecutor::RestoreExclusions(const maintenance::MaintenanceState& state) {
  exclusions_.SetExcluded(ExclusionSource::kFleet, ComputeDutyFrom(state).excluded_endpoints,
                          [](const MemberList&) {});
}

std::vector<maintenance::Command> DutyExecutor::Execute(const maintenance::MaintenanceState& state,
                                                        Time now) {
  if (!timer_.StartIfDue(now)) return {};
  ObserveForwarder(now);
  maintenance::Duty duty = ComputeDutyFrom(state);
  if (duty.stand_by != local_.standing_by) SetStandby(duty.stand_by, now);
  if (duty.excluded_endpoints != requested_exclusions_) SetExclusions(duty.excluded_endpoints);
  return std::move(duty.commands);
}

void DutyExecutor::ObserveForwarder(Time now) {
  local_.drained = local_.standing_by && now - standby_since_ >= kMinStandbyDuration &&
                   forwarder_.messages_in_flight() == 0;
  // A process that is about to end takes no more clients: if its machine is brought back meanwhile,
  // only the next process may report that it serves.
  local_.serving = !local_.standing_by && forwarder_.keeps_running();
}

void DutyExecutor::SetStandby(bool standby, Time now) {
  local_.standing_by = standby;
  standby_since_ = now;
  forwarder_.set_standby(standby);
  observe::Log(Concern::kFleet, Level::kInfo, standby ? "standby" : "active");
}

void DutyExecutor::SetExclusions(const std::set<std::string>& endpoints) {
  std::vector<std::string> readmitted;
  for (const std::string& endpoint : requested_exclusions_) {
    if (!endpoints.contains(endpoint)) readmitted.push_back(endpoint);
  }
  requested_exclusions_ = endpoints;
  // Until the engine has taken up the new set, only what both sets have is certain.
  std::erase_if(local_.excluded_endpoints,
                [&](const std::string& endpoint) { return !endpoints.contains(endpoint); });
  exclusions_.SetExcluded(ExclusionSource::kFleet, endpoints, forwarder_.set_endpoints);
  for (std::string& endpoint : readmitted) {
    const dispatch_policy::PeerHealthReport report{
        .health = dispatch_policy::PeerHealth::kWarmingUp, .witnesses = kWitnessesOfCommittedState};
    forwarder_.update_endpoint({std::move(endpoint), report});
  }
  forwarder_.post([this, endpoints] { on_exclusions_applied_(endpoints); });
}

}  // namespace brassfront::fleet
