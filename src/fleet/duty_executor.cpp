#include "fleet/duty_executor.hpp"

#include <chrono>
#include <utility>

#include "observe/log.hpp"

namespace brassfront::fleet {
namespace {

using observe::Concern;
using observe::Level;
using std::chrono::milliseconds;

// Interval of the checks of the forwarder's state, and so the maximum delay before the completion
// of a duty is reported.
constexpr peers::Time kDutyInterval = milliseconds(100);
// Minimum time in standby before the forwarder counts as drained. Clients learn of the standby in
// the reply to their next PING and have moved to another forwarder by then.
constexpr peers::Time kMinStandbyDuration = milliseconds(1500);
// Number of witnesses in the report to the policy that an endpoint is back in service. The fleet
// has committed this state, so it counts like reports of two members.
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
  // A process that is about to exit accepts no more clients. If its machine is brought back in the
  // meantime, only the next process may report that it is serving.
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
  // Until the engine has applied the new set, only endpoints in both sets are certainly excluded.
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
