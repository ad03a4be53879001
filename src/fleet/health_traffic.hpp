// Connects this member's calls and the frames of its peers to the table of health reports on
// endpoints.
//
// No I/O, no clock, no threads. Sharing owns this object and guards it with its mutex.
#ifndef BRASSFRONT_FLEET_HEALTH_TRAFFIC_HPP_
#define BRASSFRONT_FLEET_HEALTH_TRAFFIC_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/outgoing_frame.hpp"
#include "fleet/periodic_timer.hpp"
#include "forwarder/call_observer.hpp"
#include "peers/frame.hpp"
#include "peers/roster.hpp"
#include "verdicts/health_report_table.hpp"

namespace brassfront::fleet {

class HealthTraffic {
 public:
  using Time = peers::Time;

  HealthTraffic(const peers::Roster& roster, std::string self, std::uint64_t process_incarnation);

  // Records the evidence that one of this member's calls gives about its endpoint.
  void OnCallCompleted(const CallCompleted& call, Time now);

  // Handles a frame of kind kHealthReports.
  void Receive(const peers::Frame& frame, Time now);
  // Sets the members that are alive or suspect, including this one.
  void SetPresent(std::vector<std::string> present) { table_.SetPresent(std::move(present)); }
  // Drops expired reports, and sends this member's own reports if they are due.
  void Tick(Time now, std::vector<OutgoingFrame>& out);
  [[nodiscard]] Time Next() const;

  // Returns updates for the policy that result from other members' reports since the last call.
  [[nodiscard]] std::vector<EndpointUpdate> TakeEndpointUpdates();

  [[nodiscard]] const verdicts::HealthReportTable& table() const { return table_; }

 private:
  verdicts::HealthReportTable table_;
  PeriodicTimer table_timer_;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_HEALTH_TRAFFIC_HPP_
