// What members share about their calls: quota leases and health reports. Between the engine's
// threads, which report calls, and the fleet's thread, which exchanges frames.
#ifndef BRASSFRONT_FLEET_SHARING_HPP_
#define BRASSFRONT_FLEET_SHARING_HPP_

#include <cstdint>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "fleet/health_traffic.hpp"
#include "fleet/lease_traffic.hpp"
#include "fleet/outgoing_frame.hpp"
#include "forwarder/call_observer.hpp"
#include "peers/frame.hpp"
#include "peers/roster.hpp"
#include "protocol/discovery.hpp"

namespace brassfront::fleet {

// Guarded by a mutex under which nobody waits or does I/O.
class Sharing : public CallObserver {
 public:
  using Time = peers::Time;

  Sharing(const peers::Roster& roster, std::string self, std::uint64_t process_incarnation);

  // ---- the engine's threads; the methods of CallObserver ----
  void OnMessageArrived(std::uint64_t destination) override;
  bool AllowsCall(const CallTarget& target) override;
  void OnCallCompleted(const CallCompleted& call) override;

  // ---- any thread ----
  // A list on its way to the engine: these endpoints will be called.
  void OnEndpointList(const MemberList& list);

  // ---- the fleet's thread ----
  // First in each turn, before frames are received: `leads` tells whether this member leads the
  // replicated log.
  void Tick(bool leads, Time now);
  // A frame of kind kLeaseRequest, kLeaseGrant or kHealthReports.
  void Receive(const peers::Frame& frame, Time now);
  // Requests leases and sends reports as they are due. `leader` is empty if none is known;
  // `present`: members that are heard, this one too.
  void Update(const std::string& leader, std::vector<std::string> present, Time now);
  [[nodiscard]] Time Next() const;
  void SetRoster(const peers::Roster& roster, Time now);
  std::vector<OutgoingFrame> TakeFrames() { return std::exchange(outgoing_frames_, {}); }
  [[nodiscard]] std::vector<EndpointUpdate> TakeEndpointUpdates();
  [[nodiscard]] std::string LimitsJson(Time now) const;
  [[nodiscard]] std::string VerdictsJson(Time now) const;

 private:
  mutable std::mutex mutex_;  // guards the three that follow
  peers::Sharing settings_;
  LeaseTraffic leases_;
  HealthTraffic health_;
  std::vector<OutgoingFrame> outgoing_frames_;  // the fleet's thread's own
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_SHARING_HPP_
