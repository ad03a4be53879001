// The endpoints that the forwarder knows: their ids, their states in the last list, and the set of
// known destinations, which other threads read.
#ifndef BRASSFRONT_FORWARDER_ENDPOINT_REGISTRY_HPP_
#define BRASSFRONT_FORWARDER_ENDPOINT_REGISTRY_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <shared_mutex>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/config.hpp"
#include "dispatch_policy/dispatch_policy.hpp"
#include "forwarder/call_observer.hpp"
#include "protocol/discovery.hpp"

namespace brassfront {

struct Endpoint {
  std::string name;       // the endpoint's id in the list
  std::string address;    // host:port
  bool excluded = false;  // excluded by an operator or the fleet, whatever the list's state is
  dispatch_policy::EndpointEntry entry;
  std::optional<dispatch_policy::Time> removed_at;  // empty unless the endpoint is removed
};

// Used by the engine's thread, except for KnowsDestination, which any thread may call.
class EndpointRegistry {
 public:
  using EndpointId = dispatch_policy::EndpointId;
  using Time = dispatch_policy::Time;

  // The configuration must outlive the registry.
  explicit EndpointRegistry(const Config& config);

  // Applies a list, complete or of changes, and returns it in the policy's terms.
  [[nodiscard]] dispatch_policy::EndpointList Apply(const MemberList& list, Time now);
  // Returns all known endpoints as a list of changes.
  [[nodiscard]] dispatch_policy::EndpointList Listing() const;
  // Whether the list is older than the last one applied.
  [[nodiscard]] bool IsStale(const MemberList& list) const { return list.revision < revision_; }

  // Returns the numeric id of the endpoint with this name, and assigns one if it has none. The name
  // need not be in a list: a restored message may have been sent to an endpoint that is gone.
  EndpointId FindOrAddId(const std::string& name);
  [[nodiscard]] std::optional<EndpointId> FindId(const std::string& name) const;
  // The endpoint must be known: it was in a list, and has not been forgotten.
  [[nodiscard]] const Endpoint& At(EndpointId endpoint) const { return endpoints_.at(endpoint); }
  // Returns null if the endpoint is not known.
  [[nodiscard]] const Endpoint* Find(EndpointId endpoint) const;
  // Whether the endpoint is listed, and neither draining nor removed.
  [[nodiscard]] bool IsServing(EndpointId endpoint) const;
  [[nodiscard]] std::vector<EndpointId> NotServing() const;
  // Maximum number of messages that the endpoint accepts in one call.
  [[nodiscard]] std::size_t MaxBatch(EndpointId endpoint) const;
  [[nodiscard]] CallTarget Target(EndpointId endpoint) const;
  // Whether a Retry-After from `limited` also applies to calls to `endpoint`.
  [[nodiscard]] bool SharesRateLimit(EndpointId limited, EndpointId endpoint) const;

  // Forgets the endpoints that were removed longer ago than the longest deadline of a message,
  // except for those in use, and returns their ids. Until then their destinations stay known,
  // because a list that names them again may be late.
  [[nodiscard]] std::vector<EndpointId> ForgetRemoved(Time now, const std::set<EndpointId>& in_use);

  // Whether an endpoint of the destination is listed, or was removed and is not forgotten yet. Any
  // thread may call this.
  [[nodiscard]] bool KnowsDestination(dispatch_policy::DestinationId destination) const;

 private:
  void Store(const Member& member, EndpointId endpoint);
  void UpdateRemovalTimes(Time now);
  void PublishStateCounts() const;
  void PublishKnownDestinations();

  const Config& config_;
  dispatch_policy::Duration longest_deadline_{};  // longest deadline of all classes
  std::map<EndpointId, Endpoint> endpoints_;
  std::unordered_map<std::string, EndpointId> ids_;
  EndpointId next_id_ = 0;
  std::uint64_t revision_ = 0;

  mutable std::shared_mutex known_destinations_mutex_;
  std::unordered_set<dispatch_policy::DestinationId> known_destinations_;  // guarded by the mutex
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_ENDPOINT_REGISTRY_HPP_
