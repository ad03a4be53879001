// Keeps what the policy observes of endpoints in the ConditionStore, and hands it to the policy of
// the next process, or of this one where a forgotten endpoint is listed again. No I/O of its own.
#ifndef BRASSFRONT_FORWARDER_CONDITION_RECORDER_HPP_
#define BRASSFRONT_FORWARDER_CONDITION_RECORDER_HPP_

#include <map>
#include <set>
#include <vector>

#include "dispatch_policy/dispatch_policy.hpp"
#include "forwarder/endpoint_registry.hpp"
#include "snapshot/condition_store.hpp"

namespace brassfront {

// Used by the engine's thread alone.
class ConditionRecorder {
 public:
  using Time = dispatch_policy::Time;
  using Event = dispatch_policy::Event;

  // The endpoints outlive the recorder.
  explicit ConditionRecorder(const EndpointRegistry& endpoints) : endpoints_(endpoints) {}

  // To be called before anything else, if at all: nothing is kept without a store, which outlives
  // the recorder.
  void SetStore(ConditionStore& store) { store_ = &store; }

  // The events that belong behind the list's: what is known of its endpoints that were not known to
  // the policy, and once of all destinations.
  [[nodiscard]] std::vector<Event> RestoredConditionEvents(
      const dispatch_policy::EndpointList& list);

  // Keeps what binds.
  void Record(const std::vector<dispatch_policy::ConditionChange>& changes, Time now);

  // A message of an earlier process was restored: its destination's condition is needed.
  void OnMessageRestored(dispatch_policy::DestinationId destination);
  // The destinations of restored messages whose conditions an earlier process may have known and
  // this one does not, once each.
  [[nodiscard]] std::vector<Event> TakeLostConditions();

  // The policy forgets the endpoint.
  void OnEndpointForgotten(dispatch_policy::EndpointId endpoint) {
    restored_endpoints_.erase(endpoint);
  }

  // Tries again what failed on the folder. True if there may be more to restore: RestoredConditionEvents is to
  // be called for the endpoints that are listed.
  [[nodiscard]] bool Retry(Time now);

 private:
  void UpdateStore(const ConditionRecord& record, bool is_ordinary);
  void Record(const dispatch_policy::EndpointConditionChange& change, Time now);
  void Record(const dispatch_policy::DestinationConditionChange& change, Time now);
  void AddDestinations(std::vector<Event>& events);

  const EndpointRegistry& endpoints_;
  ConditionStore* store_ = nullptr;
  std::set<dispatch_policy::EndpointId> restored_endpoints_;  // known to the policy
  bool destinations_restored_ = false;
  std::set<dispatch_policy::DestinationId> restored_destinations_;
  // Endpoints of which something binds, by destination.
  std::map<dispatch_policy::DestinationId, std::set<dispatch_policy::EndpointId>>
      endpoints_with_conditions_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_CONDITION_RECORDER_HPP_
