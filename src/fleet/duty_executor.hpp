// Carries out the duties of this forwarder that follow from the committed maintenance state: it
// puts the forwarder in standby while its machine is in maintenance, and excludes endpoints in
// maintenance from the engine's list.
#ifndef BRASSFRONT_FLEET_DUTY_EXECUTOR_HPP_
#define BRASSFRONT_FLEET_DUTY_EXECUTOR_HPP_

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "exclusions/endpoint_exclusions.hpp"
#include "fleet/local_identity.hpp"
#include "fleet/periodic_timer.hpp"
#include "forwarder/forwarder_control.hpp"
#include "maintenance/maintenance_scheduler.hpp"

namespace brassfront::fleet {

// Used only by the fleet's thread once that thread is running.
class DutyExecutor {
 public:
  using Time = peers::Time;
  // Called on the engine's thread once no more calls are started to these endpoints. The function
  // must pass them to the fleet's thread, which calls ConfirmExclusions.
  using OnExclusionsApplied = std::function<void(std::set<std::string> endpoints)>;

  // The references must outlive this object. `forwarder` is first used by Execute.
  DutyExecutor(std::string self, const LocalIdentity& identity, const ForwarderControl& forwarder,
               EndpointExclusions& exclusions, OnExclusionsApplied on_exclusions_applied);

  // Excludes the endpoints that are in maintenance according to the state that an earlier process
  // stored. To be called before the engine receives its first list.
  void RestoreExclusions(const maintenance::MaintenanceState& state);

  // Carries out the duties that follow from the state, at an interval and at once after MakeDue.
  // Returns the commands that this member has to submit to the leader; each is returned repeatedly
  // until the state reflects it.
  [[nodiscard]] std::vector<maintenance::Command> Execute(
      const maintenance::MaintenanceState& state, Time now);
  // To be called when the state has changed.
  void MakeDue() { timer_.MakeDue(); }
  [[nodiscard]] Time Next() const { return timer_.next(); }

  void ConfirmExclusions(std::set<std::string> endpoints) {
    local_.excluded_endpoints = std::move(endpoints);
  }
  [[nodiscard]] const maintenance::LocalMember& local_member() const { return local_; }

 private:
  [[nodiscard]] maintenance::Duty ComputeDutyFrom(const maintenance::MaintenanceState& state) const;
  void ObserveForwarder(Time now);
  void SetStandby(bool standby, Time now);
  void SetExclusions(const std::set<std::string>& endpoints);

  const std::string self_;
  const LocalIdentity& identity_;
  const ForwarderControl& forwarder_;
  EndpointExclusions& exclusions_;
  const OnExclusionsApplied on_exclusions_applied_;
  PeriodicTimer timer_;
  maintenance::LocalMember local_;
  Time standby_since_{};
  std::set<std::string> requested_exclusions_;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_DUTY_EXECUTOR_HPP_
