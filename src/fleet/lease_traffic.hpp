// Quota leases between this member's calls, the lease cores and the frames of its peers.
//
// A core: no I/O, no clock, no threads. Sharing owns it and guards it by its mutex.
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
  // The endpoint counts for the limit of its destination, or for its own one. Updates about that
  // limit go to it.
  void RecordEndpoint(const CallTarget& target);
  void OnLimitReported(const CallTarget& target, double limit, Time now);

  // ---- peers ----
  // `leads`: this member leads the replicated log, so that it grants. A leader that was suspended
  // for as long as an election takes may have lost the lead without knowing: it starts over, and
  // grants nothing at first.
  void SetLeadership(bool leads, Time now);
  // A frame of kind kLeaseRequest or kLeaseGrant. A grant counts only from the member that was
  // asked.
  void Receive(const peers::Frame& frame, Time now, std::vector<OutgoingFrame>& out);
  // Sends a request for leases if one is due. An empty leader: none is known.
  void RequestLeases(const std::string& leader, Time now, std::vector<OutgoingFrame>& out);
  // No earlier than shortly after the last SetLeadership.
  [[nodiscard]] Time Next() const;
  void SetRoster(const peers::Roster& roster, Time now);

  // For the policy: the rates that have changed since the last call, for each endpoint concerned.
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

// The lease settings that a roster comes to.
[[nodiscard]] quota::LeaseSettings LeaseSettingsFrom(const peers::Roster& roster);

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_LEASE_TRAFFIC_HPP_
