// Stores the conditions that the policy observes in the ConditionStore, and passes them to the
// policy of the next process, or to the policy of this process when a forgotten endpoint is listed
// again. Does no I/O itself.
#ifndef BRASSFRONT_FORWARDER_CONDITION_RECORDER_HPP_
#define BRASSFRONT_FORWARDER_CONDITION_RECORDER_HPP_

#include <map>
#include <set>
#include <vector>

#include "dispatch_policy/dispatch_policy.hpp"
#include "forwarder/endpoint_registry.hpp"
#include "snapshot/condition_store.hpp"

namespace brassfront {

// Used only by the engine's thread.
class ConditionRecorder {
 public:
  using Time = dispatch_policy::Time;
  using Event = dispatch_policy::Event;

  // The endpoints must outlive the recorder.
  explicit ConditionRecorder(const EndpointRegistry& endpoints) : endpoints_(endpoints) {}

  // If it is called at all, it must be called before all other methods. Without a store nothing is
  // recorded. The store must outlive the recorder.
  void SetStore(ConditionStore& store) { store_ = &store; }

  // Returns the events that must follow the list's event: the stored conditions of its endpoints
  // that the policy does not know yet, and in the first call those of all destinations.
  [[nodiscard]] std::vector<Event> RestoredConditionEvents(
      const dispatch_policy::EndpointList& list);

  // Stores the conditions that would change the policy's decisions, and erases the others.
  void Record(const std::vector<dispatch_policy::ConditionChange>& changes, Time now);

  // Must be called when a message of an earlier process was restored: the condition of its
  // destination is needed.
  void OnMessageRestored(dispatch_policy::DestinationId destination);
  // Returns an event for each destination of restored messages whose condition an earlier process
  // may have known and this one does not. Each destination is returned once.
  [[nodiscard]] std::vector<Event> TakeLostConditions();

  // Must be called when the policy forgets the endpoint.
  void OnEndpointForgotten(dispatch_policy::EndpointId endpoint) {
    restored_endpoints_.erase(endpoint);
  }

  // Retries failed operations on the folder. Returns true if there may be more to restore;
  // RestoredConditionEvents must then be called for the listed endpoints.
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
  // Endpoints with a stored condition, by destination.
  std::map<dispatch_policy::DestinationId, std::set<dispatch_policy::EndpointId>>
      endpoints_with_conditions_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_CONDITION_RECORDER_HPP_
