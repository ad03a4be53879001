#include "policy/condition_transfer.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace dispatch_policy {

constexpr double kFewFailures = 0.05;  // share of recent calls that is negligible

bool IsOrdinary(const RateLimitCondition& limit, Time now) {
  const bool free_now = std::max(limit.wait_until, limit.next_call) <= now;
  return free_now && limit.rate <= 0 && limit.rejections == 0 && !limit.limit_reported;
}

bool IsOrdinary(const EndpointCondition& condition, Time now) {
  return condition.health == Health::kClosed && condition.failures == 0 &&
         condition.failure_share < kFewFailures && condition.connection_limit == 0 &&
         condition.next_call <= now;
}

void ConditionTransfer::Restore(const EndpointConditionRestored& event) {
  Endpoint* endpoint = registry_.FindEndpoint(event.endpoint);
  if (endpoint == nullptr) return;
  EndpointCondition& condition = *endpoint;
  condition = event.condition;
  for (Time* past : {&condition.health_since, &condition.first_failure, &condition.last_answer,
                     &condition.limit_seen}) {
    *past = std::min(*past, now_);
  }
  RateLimitCondition& own_limit = endpoint->own_scope;
  own_limit = Sanitized(event.own_limit, own_limit);
  if (condition.health == Health::kClosed) return;
  context_.AddAction(LogMessage{"breaker " + std::string(ToString(condition.health)) +
                                " as an earlier process left it, destination " +
                                std::to_string(endpoint->entry.destination) + " endpoint " +
                                std::to_string(event.endpoint)});
}

void ConditionTransfer::Restore(const DestinationConditionRestored& event) {
  Destination& destination = registry_.FindOrAddDestination(event.destination);
  destination.last_answer = std::min(event.condition.last_answer, now_);
  destination.arrivals.Resume(event.condition.arrival_rate, now_);
  destination.sends.Resume(event.condition.send_rate, now_);
  RateLimitCondition& shared_limit = destination.scope;
  shared_limit = Sanitized(event.shared_limit, shared_limit);
}

void ConditionTransfer::OnLost(const DestinationConditionLost& event) {
  for (const EndpointId id : registry_.FindOrAddDestination(event.destination).endpoints) {
    breaker_.RequireTrial(registry_.EndpointAt(id));
  }
}

std::vector<ConditionChange> ConditionTransfer::TakeChanges() {
  std::vector<ConditionChange> changes;
  std::set<DestinationId> destinations;
  for (const EndpointId id : registry_.TakeChanged()) {
    const Endpoint* endpoint = registry_.FindEndpoint(id);
    if (endpoint == nullptr) continue;
    destinations.insert(endpoint->entry.destination);
    changes.emplace_back(EndpointConditionChange{id, *endpoint, endpoint->own_scope});
  }
  for (const DestinationId id : destinations) {
    const Destination& destination = registry_.DestinationAt(id);
    const DestinationCondition condition{.last_answer = destination.last_answer,
                                         .arrival_rate = destination.arrivals.Rate(now_),
                                         .send_rate = destination.sends.Rate(now_)};
    changes.emplace_back(DestinationConditionChange{id, condition, destination.scope});
  }
  return changes;
}

RateLimitCondition ConditionTransfer::Sanitized(RateLimitCondition stored,
                                                const RateLimitCondition& present) const {
  for (Time* past : {&stored.rate_changed, &stored.first_rejection, &stored.last_rejection}) {
    *past = std::min(*past, now_);
  }
  if (!stored.limit_reported) stored.limit = present.limit;
  return stored;
}

}  // namespace dispatch_policy
