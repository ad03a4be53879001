#include <algorithm>

#include "policy/decision_context.hpp"
#include "policy/endpoint_registry.hpp"
#include "policy/seconds.hpp"

namespace dispatch_policy {

DecisionContext::DecisionContext(Settings initial_settings, std::uint64_t seed)
    : settings(std::move(initial_settings)), random(seed) {
  settings.group_size = std::max<std::size_t>(settings.group_size, 1);
  min_deadline = min_objective = Duration::max();
  for (const ClassSettings& message_class : settings.classes) {
    max_deadline = std::max(max_deadline, message_class.deadline);
    min_deadline = std::min(min_deadline, message_class.deadline);
    min_objective = std::min(min_objective, message_class.latency_objective);
  }
  if (settings.classes.empty()) min_deadline = min_objective = std::chrono::seconds(1);
}

void DecisionContext::Begin(Time at) {
  if (!started) started = at;
  now = std::max(now, at);
  actions.clear();
}

Duration DecisionContext::AddJitter(Duration duration) {
  return duration / 2 + FromSeconds(ToSeconds(duration) * static_cast<double>(random()) /
                                    static_cast<double>(random.max()));
}

const Seconds kMessageRateTimeConstant{10};
const Seconds kCallRateTimeConstant{3};

constexpr double kMaxListedRate = 1e6;  // calls per second; a higher rate can only be a mistake

void EndpointRegistry::Subscribe() {
  if (!settings_.subscribe_to_endpoint_list || std::exchange(subscribed_, true)) return;
  context_.AddAction(SubscribeToEndpointList{});
}

void EndpointRegistry::ApplyList(const EndpointList& event) {
  subscribed_ = subscribed_ && event.form != ListForm::kFailed;
  if (event.form == ListForm::kFailed) return;
  if (version_ && event.version < *version_) return;
  version_ = event.version;
  if (event.form == ListForm::kComplete) {
    for (auto& [id, endpoint] : endpoints_) endpoint.entry.state = EndpointState::kRemoved;
  }
  for (const EndpointEntry& entry : event.entries) ApplyEntry(entry);
  ForgetRemovedEndpoints();
  for (const EndpointEntry& entry : event.entries) LogIfNoneListed(entry.destination);
}

void EndpointRegistry::ApplyEntry(const EndpointEntry& entry) {
  const auto [it, added] =
      endpoints_.try_emplace(entry.endpoint, entry, kCallRateTimeConstant, *context_.started);
  if (added) FindOrAddDestination(entry.destination).endpoints.push_back(entry.endpoint);
  it->second.entry = entry;
  RateLimitScope& scope = FindScope(it->second);
  if (settings_.weights == WeightMeaning::kNone || scope.limit_reported) return;
  scope.limit = ValidListedRate(entry);
}

Destination& EndpointRegistry::FindOrAddDestination(DestinationId id) {
  const Seconds time_constant = std::max<Seconds>(kMessageRateTimeConstant, context_.max_deadline);
  return destinations_.try_emplace(id, time_constant, kCallRateTimeConstant, *context_.started)
      .first->second;
}

Endpoint* EndpointRegistry::FindEndpoint(EndpointId id) {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

RateLimitScope& EndpointRegistry::FindScope(Endpoint& endpoint) {
  if (HasOwnRateLimit(endpoint)) return endpoint.own_scope;
  return destinations_.at(endpoint.entry.destination).scope;
}

bool EndpointRegistry::HasOwnRateLimit(const Endpoint& endpoint) const {
  const std::size_t kind = endpoint.entry.kind;
  return kind < settings_.kinds.size() && settings_.kinds[kind].per_endpoint_limits;
}

std::size_t EndpointRegistry::MaxBatch(const Endpoint& endpoint) const {
  if (endpoint.entry.kind >= settings_.kinds.size()) return 1;
  return std::max<std::size_t>(1, settings_.kinds[endpoint.entry.kind].max_batch);
}

double EndpointRegistry::ValidListedRate(const EndpointEntry& entry) {
  if (entry.weight >= 0 && entry.weight <= kMaxListedRate) return entry.weight;
  context_.AddAction(LogMessage{"endpoint " + std::to_string(entry.endpoint) +
                                " listed at a rate of " + std::to_string(entry.weight) +
                                " a second, taken for untold"});
  return 0;
}

void EndpointRegistry::LogIfNoneListed(DestinationId id) {
  const auto it = destinations_.find(id);
  if (it == destinations_.end()) return;
  Destination& destination = it->second;
  const bool logged = std::exchange(destination.none_listed, true);
  for (EndpointId endpoint : destination.endpoints) {
    if (endpoints_.at(endpoint).entry.state != EndpointState::kListed) continue;
    destination.none_listed = false;
    return;
  }
  if (logged) return;
  context_.AddAction(
      LogMessage{"destination " + std::to_string(id) + " has no endpoint that takes work"});
}

void EndpointRegistry::ForgetRemovedEndpoints() {
  const Duration retention = std::max(context_.max_deadline, settings_.slow_start_duration);
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    auto& [id, endpoint] = *it;
    std::optional<Time>& removed_at = endpoint.removed_at;
    if (endpoint.entry.state != EndpointState::kRemoved) {
      removed_at.reset();
    } else if (!removed_at) {
      removed_at = now_;
    }
    const bool expired =
        removed_at && now_ - *removed_at > retention && endpoint.calls_in_flight == 0;
    if (expired) std::erase(destinations_.at(endpoint.entry.destination).endpoints, id);
    it = expired ? endpoints_.erase(it) : std::next(it);
  }
}

}  // namespace dispatch_policy
