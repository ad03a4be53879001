// Carries out on this forwarder what the committed maintenance state asks of it: standing by while
// the machine is in maintenance, and keeping endpoints in maintenance out of the engine's list.
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

// For the fleet's thread, once that runs.
class DutyExecutor {
 public:
  using Time = peers::Time;
  // Called by the engine's thread once it starts nothing more at these endpoints; must bring them
  // to the fleet's thread, which calls ConfirmExclusions.
  using OnExclusionsApplied = std::function<void(std::set<std::string> endpoints)>;

  // The references must outlive this object. `forwarder` is used from the first Execute on.
  DutyExecutor(std::string self, const LocalIdentity& identity, const ForwarderControl& forwarder,
               EndpointExclusions& exclusions, OnExclusionsApplied on_exclusions_applied);

  // Excludes what an earlier process knew to be in maintenance, before the engine gets its first
  // list.
  void RestoreExclusions(const maintenance::MaintenanceState& state);

  // At an interval, and at once after MakeDue: does what the state asks for, and returns what this
  // member has to submit to the leader, again and again until the state shows it.
  [[nodiscard]] std::vector<maintenance::Command> Execute(
      const maintenance::MaintenanceState& state, Time now);
  // The state has changed.
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
