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

// Time constant of arrival and send rates, at least: longer than clumps of messages and spans of
// limits.
extern const Seconds kMessageRateMemory;
// Time constant of rates of accepted calls: the span of a limit is one to two seconds.
extern const Seconds kCallRateMemory;

// Owns all Endpoint and Destination records. References to endpoints are valid until the next
// ApplyList, references to destinations as long as the registry.
class EndpointRegistry {
 public:
  explicit EndpointRegistry(DecisionContext& context)
      : settings_(context.settings), now_(context.now), context_(context) {}

  // Asks for the endpoint list where settings say so, once and again after the source has failed.
  void Subscribe();

  // Applies an endpoint list or changes of it; one older than the last is ignored.
  void ApplyList(const EndpointList& event);

  // The destination of that id, added if it is not known.
  Destination& FindOrAddDestination(DestinationId id);

  // Null if the endpoint is unknown.
  Endpoint* FindEndpoint(EndpointId id);

  // What the endpoint shares its limit with: its own scope, or its destination's.
  RateLimitScope& FindScope(Endpoint& endpoint);

  // Whether the endpoint's kind has rate limits and outages of its own.
  [[nodiscard]] bool HasOwnRateLimit(const Endpoint& endpoint) const;

  // Messages that one call to the endpoint takes, 1 at least.
  [[nodiscard]] std::size_t MaxBatch(const Endpoint& endpoint) const;

  // The endpoint must be known.
  Endpoint& EndpointAt(EndpointId id) { return endpoints_.at(id); }

  // The destination must be known: some message or list has named it.
  Destination& DestinationAt(DestinationId id) { return destinations_.at(id); }

  // The condition of the endpoint, or of its limit, may have changed.
  void MarkChanged(const Endpoint& endpoint) { changed_.insert(endpoint.entry.endpoint); }

  // The endpoints that were marked since the last call.
  std::set<EndpointId> TakeChanged() { return std::exchange(changed_, {}); }

  // Destinations that hold messages or whose gate is not in normal mode, in ascending order.
  std::set<DestinationId>& active() { return active_; }

 private:
  // Adds or updates one endpoint.
  void ApplyEntry(const EndpointEntry& entry);

  // The listed rate of the entry, in calls a second; 0, with a line in the log, if it is out of
  // range: a huge rate would make the admission gate let all messages in.
  double ValidListedRate(const EndpointEntry& entry);

  // Logs, once, that no endpoint of the destination takes work; its messages wait for endpoints to
  // come, as when all of them drain at once during a deployment.
  void LogIfNoneListed(DestinationId id);

  // Drops endpoints that were removed long ago and have no call in flight, so that memory stays
  // bounded when endpoints are replaced for years. What is known of one that is listed again soon
  // is kept.
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
