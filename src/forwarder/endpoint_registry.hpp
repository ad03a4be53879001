// The endpoints that the forwarder knows: their ids, their state in the last list, and the set of
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
  std::string name;       // its id in the list
  std::string address;    // host:port
  bool excluded = false;  // taken out, whatever the list says
  dispatch_policy::EndpointEntry entry;
  std::optional<dispatch_policy::Time> removed_at;  // none while it is not removed
};

// Owned and changed by the engine's thread; KnowsDestination alone is for any thread.
class EndpointRegistry {
 public:
  using EndpointId = dispatch_policy::EndpointId;
  using Time = dispatch_policy::Time;

  // The configuration outlives the registry.
  explicit EndpointRegistry(const Config& config);

  // Takes over a list, complete or of changes, and returns it in the policy's terms.
  [[nodiscard]] dispatch_policy::EndpointList Apply(const MemberList& list, Time now);
  // All endpoints that are known, as a list of changes.
  [[nodiscard]] dispatch_policy::EndpointList Listing() const;
  // An older list than the last one applied.
  [[nodiscard]] bool IsStale(const MemberList& list) const { return list.revision < revision_; }

  // The id of the name, a new one if it has none. The name need not be in a list: a restored
  // message may have been sent to an endpoint that is gone.
  EndpointId FindOrAddId(const std::string& name);
  [[nodiscard]] std::optional<EndpointId> FindId(const std::string& name) const;
  // The endpoint must be known: it was in a list, and has not been forgotten.
  [[nodiscard]] const Endpoint& At(EndpointId endpoint) const { return endpoints_.at(endpoint); }
  // Null if it is not known.
  [[nodiscard]] const Endpoint* Find(EndpointId endpoint) const;
  // Listed, and neither draining nor removed.
  [[nodiscard]] bool IsServing(EndpointId endpoint) const;
  [[nodiscard]] std::vector<EndpointId> NotServing() const;
  // Messages that the endpoint takes in one call, at most.
  [[nodiscard]] std::size_t MaxBatch(EndpointId endpoint) const;
  [[nodiscard]] CallTarget Target(EndpointId endpoint) const;
  // Whether a Retry-After of `limited` binds calls to `endpoint` as well.
  [[nodiscard]] bool SharesRateLimit(EndpointId limited, EndpointId endpoint) const;

  // Forgets endpoints that have been removed for longer than any message may live, except for those
  // in use, and returns their ids. Until then their destinations stay known, because a list that
  // names them again may be late.
  [[nodiscard]] std::vector<EndpointId> ForgetRemoved(Time now, const std::set<EndpointId>& in_use);

  // Any thread: some endpoint of the destination is listed, or was until lately.
  [[nodiscard]] bool KnowsDestination(dispatch_policy::DestinationId destination) const;

 private:
  void Store(const Member& member, EndpointId endpoint);
  void UpdateRemovalTimes(Time now);
  void PublishStateCounts() const;
  void PublishKnownDestinations();

  const Config& config_;
  dispatch_policy::Duration longest_deadline_{};  // of all classes
  std::map<EndpointId, Endpoint> endpoints_;
  std::unordered_map<std::string, EndpointId> ids_;
  EndpointId next_id_ = 0;
  std::uint64_t revision_ = 0;

  mutable std::shared_mutex known_destinations_mutex_;
  std::unordered_set<dispatch_policy::DestinationId> known_destinations_;  // guarded by the mutex
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_ENDPOINT_REGISTRY_HPP_
