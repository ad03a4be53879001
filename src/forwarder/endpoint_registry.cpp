#include "forwarder/endpoint_registry.hpp"

#include <algorithm>
#include <mutex>
#include <string>

#include "forwarder/endpoint_protocol.hpp"
#include "forwarder/index_of.hpp"
#include "observe/log.hpp"

namespace brassfront {

using dispatch_policy::EndpointState;
using dispatch_policy::ListForm;

namespace {

// The policy's lines of the log name the endpoint by this id.
void LogEndpointListed(const Member& member, dispatch_policy::EndpointId id) {
  observe::Log(observe::Concern::kEngine, observe::Level::kInfo, "endpoint listed",
               {{"id", member.id},
                {"endpoint", id},
                {"destination", member.destination},
                {"address", member.address},
                {"weight", std::to_string(member.weight)}});
}

}  // namespace

EndpointRegistry::EndpointRegistry(const Config& config) : config_(config) {
  for (const dispatch_policy::ClassSettings& settings : config.policy_settings.classes) {
    longest_deadline_ = std::max(longest_deadline_, settings.deadline);
  }
}

dispatch_policy::EndpointList EndpointRegistry::Apply(const MemberList& list, Time now) {
  dispatch_policy::EndpointList result;
  result.version = revision_ = list.revision;
  result.form = list.complete ? ListForm::kComplete : ListForm::kChanges;
  if (list.complete) {
    for (auto& [id, endpoint] : endpoints_) endpoint.entry.state = EndpointState::kRemoved;
  }
  for (const Member& member : list.members) {
    const EndpointId id = FindOrAddId(member.id);
    Store(member, id);
    result.entries.push_back(endpoints_.at(id).entry);
  }
  UpdateRemovalTimes(now);
  PublishKnownDestinations();
  return result;
}

void EndpointRegistry::Store(const Member& member, EndpointId id) {
  if (endpoints_.count(id) == 0) LogEndpointListed(member, id);
  Endpoint& endpoint = endpoints_[id];
  endpoint.name = member.id;
  endpoint.address = member.address;
  endpoint.entry = {.endpoint = id,
                    .destination = member.destination,
                    .kind = IndexOf(config_.kind_names, member.kind),
                    .zone = IndexOf(config_.zone_names, member.zone),
                    .state = ToEndpointState(member.phase),
                    .weight = member.weight};
}

void EndpointRegistry::UpdateRemovalTimes(Time now) {
  for (auto& [id, endpoint] : endpoints_) {
    if (endpoint.entry.state != EndpointState::kRemoved) {
      endpoint.removed_at.reset();
    } else if (!endpoint.removed_at) {
      endpoint.removed_at = now;
    }
  }
}

EndpointRegistry::EndpointId EndpointRegistry::FindOrAddId(const std::string& name) {
  const auto [it, added] = ids_.try_emplace(name, next_id_);
  if (added) ++next_id_;
  return it->second;
}

std::optional<EndpointRegistry::EndpointId> EndpointRegistry::FindId(
    const std::string& name) const {
  const auto it = ids_.find(name);
  if (it == ids_.end()) return std::nullopt;
  return it->second;
}

bool EndpointRegistry::IsServing(EndpointId endpoint) const {
  return At(endpoint).entry.state == EndpointState::kListed;
}

std::vector<EndpointRegistry::EndpointId> EndpointRegistry::NotServing() const {
  std::vector<EndpointId> result;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.entry.state != EndpointState::kListed) result.push_back(id);
  }
  return result;
}

std::size_t EndpointRegistry::MaxBatch(EndpointId endpoint) const {
  const auto& kinds = config_.policy_settings.kinds;
  const std::size_t kind = At(endpoint).entry.kind;
  return kind < kinds.size() ? kinds[kind].max_batch : 1;
}

CallTarget EndpointRegistry::Target(EndpointId endpoint) const {
  const auto& kinds = config_.policy_settings.kinds;
  const Endpoint& known = At(endpoint);
  const std::size_t kind = known.entry.kind;
  return {known.name, known.entry.destination,
          kind < kinds.size() && kinds[kind].per_endpoint_limits};
}

bool EndpointRegistry::SharesRateLimit(EndpointId limited, EndpointId endpoint) const {
  const CallTarget target = Target(limited);
  if (target.has_own_rate_limit) return endpoint == limited;
  return At(endpoint).entry.destination == target.destination;
}

std::vector<EndpointRegistry::EndpointId> EndpointRegistry::ForgetRemoved(
    Time now, const std::set<EndpointId>& in_use) {
  std::vector<EndpointId> forgotten;
  for (const auto& [id, endpoint] : endpoints_) {
    const bool expired = endpoint.removed_at && now - *endpoint.removed_at > longest_deadline_;
    if (expired && in_use.count(id) == 0) forgotten.push_back(id);
  }
  for (const EndpointId id : forgotten) {
    ids_.erase(endpoints_.at(id).name);
    endpoints_.erase(id);
  }
  if (!forgotten.empty()) PublishKnownDestinations();
  return forgotten;
}

bool EndpointRegistry::KnowsDestination(dispatch_policy::DestinationId destination) const {
  const std::shared_lock lock(known_destinations_mutex_);
  return known_destinations_.count(destination) != 0;
}

void EndpointRegistry::PublishKnownDestinations() {
  std::unordered_set<dispatch_policy::DestinationId> known;
  for (const auto& [id, endpoint] : endpoints_) known.insert(endpoint.entry.destination);
  const std::unique_lock lock(known_destinations_mutex_);
  known_destinations_.swap(known);
}

}  // namespace brassfront
