// Information that members share about their calls: quota leases and health reports. Connects the
// engine's threads, which report calls, to the fleet's thread, which exchanges frames.
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

// Thread-safe. No thread waits or does I/O while it holds the mutex.
class Sharing : public CallObserver {
 public:
  using Time = peers::Time;

  Sharing(const peers::Roster& roster, std::string self, std::uint64_t process_incarnation);

  // ---- the engine's threads; the methods of CallObserver ----
  void OnMessageArrived(std::uint64_t destination) override;
  bool AllowsCall(const CallTarget& target) override;
  void OnCallCompleted(const CallCompleted& call) override;

  // ---- any thread ----
  // To be called with each endpoint list that is passed to the engine.
  void OnEndpointList(const MemberList& list);

  // ---- the fleet's thread ----
  // To be called first in each iteration of the fleet's loop, before frames are received. `leads`:
  // whether this member leads the replicated log.
  void Tick(bool leads, Time now);
  // Handles a frame of kind kLeaseRequest, kLeaseGrant or kHealthReports.
  void Receive(const peers::Frame& frame, Time now);
  // Requests leases and sends reports when they are due. `leader` is empty if none is known;
  // `present` contains the members that are alive or suspect, including this one.
  void Update(const std::string& leader, std::vector<std::string> present, Time now);
  [[nodiscard]] Time Next() const;
  void SetRoster(const peers::Roster& roster, Time now);
  std::vector<OutgoingFrame> TakeFrames() { return std::exchange(outgoing_frames_, {}); }
  [[nodiscard]] std::vector<EndpointUpdate> TakeEndpointUpdates();
  [[nodiscard]] std::string LimitsJson(Time now) const;
  [[nodiscard]] std::string VerdictsJson(Time now) const;

 private:
  mutable std::mutex mutex_;  // guards settings_, leases_ and health_
  peers::Sharing settings_;
  LeaseTraffic leases_;
  HealthTraffic health_;
  std::vector<OutgoingFrame> outgoing_frames_;  // used only by the fleet's thread
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_SHARING_HPP_
