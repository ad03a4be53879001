#include "policy/endpoint_registry.hpp"

#include <algorithm>
#include <utility>

namespace dispatch_policy {

const Seconds kMessageRateMemory{10};  // s; longer than clumps and limit spans
const Seconds kCallRateMemory{3};      // s; a limit's span is one to two
namespace {

constexpr double kMaxListedRate = 1e6;  // calls a second: a listed rate above it is not meant

LogMessage InvalidRateText(const EndpointEntry& entry) {
  return {"endpoint " + std::to_string(entry.endpoint) + " listed at a rate of " +
          std::to_string(entry.weight) + " a second, taken for untold"};
}

}  // namespace

void EndpointRegistry::Subscribe() {
  if (settings_.subscribe_to_endpoint_list && !std::exchange(subscribed_, true)) {
    context_.actions.push_back(SubscribeToEndpointList{});
  }
}

void EndpointRegistry::ApplyList(const EndpointList& event) {
  if (event.form == ListForm::kFailed) {
    subscribed_ = false;
    return;
  }
  if (version_ && event.version < *version_) return;
  version_ = event.version;
  if (event.form == ListForm::kComplete) {
    for (auto& [id, endpoint] : endpoints_) endpoint.entry.state = EndpointState::kRemoved;
  }
  for (const EndpointEntry& entry : event.entries) {
    const auto [it, added] =
        endpoints_.try_emplace(entry.endpoint, entry, kCallRateMemory, *context_.started);
    if (added) FindOrAddDestination(entry.destination).endpoints.push_back(entry.endpoint);
    it->second.entry = entry;
    RateLimitScope& scope = FindScope(it->second);
    if (settings_.weights != WeightMeaning::kNone && !scope.limit_reported)
      scope.limit = ValidListedRate(entry);
  }
  ForgetRemovedEndpoints();
  for (const EndpointEntry& entry : event.entries) LogIfNoneListed(entry.destination);
}

Destination& EndpointRegistry::FindOrAddDestination(DestinationId id) {
  const Seconds memory = std::max<Seconds>(kMessageRateMemory, context_.max_deadline);
  return destinations_.try_emplace(id, memory, kCallRateMemory, *context_.started).first->second;
}

Endpoint* EndpointRegistry::FindEndpoint(EndpointId id) {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

RateLimitScope& EndpointRegistry::FindScope(Endpoint& endpoint) {
  return HasOwnRateLimit(endpoint) ? endpoint.own_scope
                                   : destinations_.at(endpoint.entry.destination).scope;
}

bool EndpointRegistry::HasOwnRateLimit(const Endpoint& endpoint) const {
  return endpoint.entry.kind < settings_.kinds.size() &&
         settings_.kinds[endpoint.entry.kind].per_endpoint_limits;
}

std::size_t EndpointRegistry::MaxBatch(const Endpoint& endpoint) const {
  if (endpoint.entry.kind >= settings_.kinds.size()) return 1;
  return std::max<std::size_t>(1, settings_.kinds[endpoint.entry.kind].max_batch);
}

double EndpointRegistry::ValidListedRate(const EndpointEntry& entry) {
  if (entry.weight >= 0 && entry.weight <= kMaxListedRate) return entry.weight;
  context_.actions.push_back(InvalidRateText(entry));
  return 0;
}

void EndpointRegistry::LogIfNoneListed(DestinationId id) {
  const auto it = destinations_.find(id);
  if (it == destinations_.end()) return;
  const auto listed = [this](EndpointId endpoint_id) {
    return endpoints_.at(endpoint_id).entry.state == EndpointState::kListed;
  };
  const bool none = std::none_of(it->second.endpoints.begin(), it->second.endpoints.end(), listed);
  if (none && !it->second.none_listed) {
    context_.actions.push_back(
        LogMessage{"destination " + std::to_string(id) + " has no endpoint that takes work"});
  }
  it->second.none_listed = none;
}

void EndpointRegistry::ForgetRemovedEndpoints() {
  const Duration kept = std::max(context_.max_deadline, settings_.slow_start_duration);
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    auto& [id, endpoint] = *it;
    if (endpoint.entry.state != EndpointState::kRemoved) {
      endpoint.removed_at.reset();
    } else if (!endpoint.removed_at) {
      endpoint.removed_at = now_;
    }
    const bool gone =
        endpoint.removed_at && now_ - *endpoint.removed_at > kept && endpoint.calls_in_flight == 0;
    if (gone) std::erase(destinations_.at(endpoint.entry.destination).endpoints, id);
    it = gone ? endpoints_.erase(it) : std::next(it);
  }
}

}  // namespace dispatch_policy
