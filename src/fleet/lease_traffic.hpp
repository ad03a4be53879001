// Connects this member's calls and the frames of its peers to the holder and the grantor of quota
// leases.
//
// No I/O, no clock, no threads. Sharing owns this object and guards it with its mutex.
#ifndef BRASSFRONT_FLEET_LEASE_TRAFFIC_HPP_
#define BRASSFRONT_FLEET_LEASE_TRAFFIC_HPP_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/outgoing_frame.hpp"
#include "forwarder/call_observer.hpp"
#include "peers/frame.hpp"
#include "peers/roster.hpp"
#include "protocol/discovery.hpp"
#include "quota/lease_grantor.hpp"
#include "quota/lease_holder.hpp"

namespace brassfront::fleet {

class LeaseTraffic {
 public:
  using Time = peers::Time;

  LeaseTraffic(const peers::Roster& roster, std::string self);

  // ---- this member's calls ----
  void OnEndpointList(const MemberList& list);
  void OnDemand(std::uint64_t destination, Time now);
  [[nodiscard]] bool AllowsCall(const CallTarget& target, Time now);
  // Assigns the endpoint to its own limit, or else to that of its destination, so that it receives
  // updates about that limit.
  void RecordEndpoint(const CallTarget& target);
  void OnLimitReported(const CallTarget& target, double limit, Time now);

  // ---- peers ----
  // `leads`: this member leads the replicated log and therefore grants leases. A leader that was
  // suspended for longer than the election timeout may have lost leadership without noticing. It
  // starts over as a new grantor, which at first grants nothing.
  void SetLeadership(bool leads, Time now);
  // Handles a frame of kind kLeaseRequest or kLeaseGrant. A grant is accepted only from the member
  // that the last request was sent to.
  void Receive(const peers::Frame& frame, Time now, std::vector<OutgoingFrame>& out);
  // Sends a request for leases if one is due. `leader` is empty if no leader is known.
  void RequestLeases(const std::string& leader, Time now, std::vector<OutgoingFrame>& out);
  // At least a minimum interval after the last SetLeadership.
  [[nodiscard]] Time Next() const;
  void SetRoster(const peers::Roster& roster, Time now);

  // Returns updates for the policy: the rates that have changed since the last call, for each
  // endpoint concerned.
  [[nodiscard]] std::vector<EndpointUpdate> TakeEndpointUpdates(Time now);

  [[nodiscard]] const quota::LeaseHolder& holder() const { return holder_; }
  [[nodiscard]] const quota::LeaseGrantor& grantor() const { return grantor_; }
  [[nodiscard]] bool leads() const { return leads_; }

 private:
  void RecordEndpoint(const std::string& key, const CallTarget& target);
  void GrantLeases(const std::string& holder, const quota::LeaseRequestBatch& request, Time now,
                   std::vector<OutgoingFrame>& out);

  const std::string self_;
  const Time election_timeout_;
  quota::LeaseHolder holder_;
  quota::LeaseGrantor grantor_;
  std::map<std::string, std::set<std::string>> endpoints_by_key_;
  bool leads_ = false;
  std::string requested_from_;
  Time leadership_checked_at_{};
};

// Returns the lease settings that result from a roster.
[[nodiscard]] quota::LeaseSettings LeaseSettingsFrom(const peers::Roster& roster);

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_LEASE_TRAFFIC_HPP_
