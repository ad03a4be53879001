// Health reports on endpoints between this member's calls, the report table and the frames of its
// peers.
//
// A core: no I/O, no clock, no threads. Sharing owns it and guards it by its mutex.
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

  // What a call of this member's shows of its endpoint.
  void OnCallCompleted(const CallCompleted& call, Time now);

  // A frame of kind kHealthReports.
  void Receive(const peers::Frame& frame, Time now);
  // Members that are heard, this one too.
  void SetPresent(std::vector<std::string> present) { table_.SetPresent(std::move(present)); }
  // Drops reports that are too old, and sends this member's own ones if they are due.
  void Tick(Time now, std::vector<OutgoingFrame>& out);
  [[nodiscard]] Time Next() const;

  // For the policy: what other members' reports come to since the last call.
  [[nodiscard]] std::vector<EndpointUpdate> TakeEndpointUpdates();

  [[nodiscard]] const verdicts::HealthReportTable& table() const { return table_; }

 private:
  verdicts::HealthReportTable table_;
  PeriodicTimer table_timer_;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_HEALTH_TRAFFIC_HPP_
