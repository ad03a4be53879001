// Work of the member that leads the replicated log: it passes its observations to the maintenance
// scheduler and proposes the scheduler's commands, one at a time.
#ifndef BRASSFRONT_FLEET_MAINTENANCE_LEADERSHIP_HPP_
#define BRASSFRONT_FLEET_MAINTENANCE_LEADERSHIP_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "fleet/replicated_log.hpp"
#include "maintenance/maintenance_scheduler.hpp"
#include "peers/failure_detector.hpp"
#include "peers/roster.hpp"

namespace brassfront::fleet {

// Used only by the fleet's thread. Must outlive the log that it proposes to.
class MaintenanceLeadership {
 public:
  using Time = peers::Time;

  // This member, as its scheduler observes it.
  struct Self {
    std::string name;
    std::uint64_t process_incarnation = 0;
    std::uint64_t messages_in_flight = 0;
  };

  // Sets the number of messages in flight that another member reports.
  void SetReportedLoad(const std::string& member, std::uint64_t messages_in_flight) {
    reported_loads_[member] = messages_in_flight;
  }
  // Detects the start and end of leadership, and proposes the next command if none is in flight.
  void Update(ReplicatedLog& log, const peers::Roster& roster,
              const peers::FailureDetector& failure_detector, const Self& self, Time now);

 private:
  [[nodiscard]] std::map<std::string, maintenance::ObservedMember> ObserveMembers(
      const peers::FailureDetector& failure_detector, const Self& self) const;

  maintenance::MaintenanceScheduler scheduler_;
  std::map<std::string, std::uint64_t> reported_loads_;
  std::optional<Time> leader_since_;
  bool proposal_in_flight_ = false;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_MAINTENANCE_LEADERSHIP_HPP_
