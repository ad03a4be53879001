// The endpoints and destinations that the policy knows, and the endpoint list. Implemented in
// policy_state.cpp.
#ifndef BRASSFRONT_POLICY_ENDPOINT_REGISTRY_HPP_
#define BRASSFRONT_POLICY_ENDPOINT_REGISTRY_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "policy/decision_context.hpp"
#include "policy/policy_state.hpp"

namespace dispatch_policy {

// Minimum time constant of arrival and send rates: longer than bursts of messages and than the
// windows of rate limits.
extern const Seconds kMessageRateTimeConstant;
// Time constant of the rates of accepted calls: the window of a rate limit is 1 to 2 seconds.
extern const Seconds kCallRateTimeConstant;

// Owns all Endpoint and Destination records. References to endpoints are valid until the next
// ApplyList, references to destinations as long as the registry.
class EndpointRegistry {
 public:
  explicit EndpointRegistry(DecisionContext& context)
      : settings_(context.settings), now_(context.now), context_(context) {}

  // Subscribes to the endpoint list if the settings require it: once, and again after the source of
  // the list has failed.
  void Subscribe();

  // Applies an endpoint list or changes to it; a list older than the last one is ignored.
  void ApplyList(const EndpointList& event);

  // Returns the destination with that id, and adds it if it is unknown.
  Destination& FindOrAddDestination(DestinationId id);

  // Returns null if the endpoint is unknown.
  Endpoint* FindEndpoint(EndpointId id);

  // Returns the scope of the endpoint's rate limit: its own scope, or that of its destination.
  RateLimitScope& FindScope(Endpoint& endpoint);

  // Returns whether endpoints of this kind have their own rate limits and outages.
  [[nodiscard]] bool HasOwnRateLimit(const Endpoint& endpoint) const;

  // Returns the maximum number of messages in one call to the endpoint, at least 1.
  [[nodiscard]] std::size_t MaxBatch(const Endpoint& endpoint) const;

  // Returns the endpoint, which must be known.
  Endpoint& EndpointAt(EndpointId id) { return endpoints_.at(id); }

  // Returns the destination, which must be known: a message or an endpoint list has named it.
  Destination& DestinationAt(DestinationId id) { return destinations_.at(id); }

  // Marks that the condition of the endpoint, or of its rate limit, may have changed.
  void MarkChanged(const Endpoint& endpoint) { changed_.insert(endpoint.entry.endpoint); }

  // Returns the endpoints that were marked since the last call.
  std::set<EndpointId> TakeChanged() { return std::exchange(changed_, {}); }

  // Destinations with waiting messages or whose admission gate is not in normal mode, in ascending
  // order.
  std::set<DestinationId>& active() { return active_; }

 private:
  // Adds or updates one endpoint.
  void ApplyEntry(const EndpointEntry& entry);

  // Returns the listed rate of the entry, in calls per second. If the rate is out of range, logs
  // this and returns 0: a huge rate would make the admission gate accept all messages.
  double ValidListedRate(const EndpointEntry& entry);

  // Logs once if no endpoint of the destination takes work. The messages wait until endpoints are
  // listed again; for example, all endpoints may drain at once during a deployment.
  void LogIfNoneListed(DestinationId id);

  // Drops endpoints that were removed long ago and have no call in flight, so that memory stays
  // bounded when endpoints are replaced for years. The state of an endpoint that is listed again
  // soon is kept.
  void ForgetRemovedEndpoints();

  const Settings& settings_;
  const Time& now_;
  DecisionContext& context_;
  std::optional<std::uint64_t> version_;
  bool subscribed_ = false;
  std::map<EndpointId, Endpoint> endpoints_;
  std::map<DestinationId, Destination> destinations_;
  std::set<DestinationId> active_;
  std::set<EndpointId> changed_;
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_ENDPOINT_REGISTRY_HPP_
