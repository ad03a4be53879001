#include "forwarder/endpoint_registry.hpp"

#include <algorithm>
#include <mutex>
#include <string>

#include "forwarder/endpoint_protocol.hpp"
#include "forwarder/index_of.hpp"
#include "observe/log.hpp"
#include "observe/metrics.hpp"

namespace brassfront {

using dispatch_policy::EndpointState;
using dispatch_policy::ListForm;

namespace {

using observe::Concern;
using observe::Level;

const char* ToString(EndpointState state) {
  switch (state) {
    case EndpointState::kListed:
      return "ready";
    case EndpointState::kDraining:
      return "draining";
    case EndpointState::kRemoved:
      return "removed";
  }
  return "unknown";
}

// The policy's log lines use this numeric id for the endpoint.
void LogEndpointListed(const Member& member, dispatch_policy::EndpointId id,
                       const MemberList& list) {
  observe::Log(Concern::kEngine, Level::kInfo, "endpoint listed",
               {{"id", member.id},
                {"endpoint", id},
                {"destination", member.destination},
                {"address", member.address},
                {"weight", std::to_string(member.weight)},
                {"state", ToString(ToEndpointState(member.phase))},
                {"revision", list.revision},
                {"source", member.excluded ? "operator" : ToString(list.source)}});
}

void LogStateChanged(const Endpoint& endpoint, EndpointState before, const MemberList& list) {
  observe::Log(Concern::kEngine, Level::kInfo, "endpoint state changed",
               {{"id", endpoint.name},
                {"endpoint", endpoint.entry.endpoint},
                {"from", ToString(before)},
                {"to", ToString(endpoint.entry.state)},
                {"revision", list.revision},
                {"source", endpoint.excluded ? "operator" : ToString(list.source)}});
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
  std::map<EndpointId, EndpointState> states_before;
  for (const auto& [id, endpoint] : endpoints_) states_before[id] = endpoint.entry.state;
  if (list.complete) {
    for (auto& [id, endpoint] : endpoints_) endpoint.entry.state = EndpointState::kRemoved;
  }
  for (const Member& member : list.members) {
    const EndpointId id = FindOrAddId(member.id);
    if (endpoints_.count(id) == 0) LogEndpointListed(member, id, list);
    Store(member, id);
    result.entries.push_back(endpoints_.at(id).entry);
  }
  for (const auto& [id, before] : states_before) {
    const Endpoint& endpoint = endpoints_.at(id);
    if (endpoint.entry.state != before) LogStateChanged(endpoint, before, list);
  }
  UpdateRemovalTimes(now);
  PublishStateCounts();
  PublishKnownDestinations();
  return result;
}

dispatch_policy::EndpointList EndpointRegistry::Listing() const {
  dispatch_policy::EndpointList result;
  result.version = revision_;
  for (const auto& [id, endpoint] : endpoints_) result.entries.push_back(endpoint.entry);
  return result;
}

void EndpointRegistry::Store(const Member& member, EndpointId id) {
  Endpoint& endpoint = endpoints_[id];
  endpoint.name = member.id;
  endpoint.address = member.address;
  endpoint.excluded = member.excluded;
  endpoint.entry = {.endpoint = id,
                    .destination = member.destination,
                    .kind = IndexOf(config_.kind_names, member.kind),
                    .zone = IndexOf(config_.zone_names, member.zone),
                    .state = ToEndpointState(member.phase),
                    .weight = member.weight};
}

void EndpointRegistry::PublishStateCounts() const {
  std::map<EndpointState, std::int64_t> counts;
  for (const auto& [id, endpoint] : endpoints_) ++counts[endpoint.entry.state];
  for (const EndpointState state :
       {EndpointState::kListed, EndpointState::kDraining, EndpointState::kRemoved}) {
    observe::SetGauge("endpoints", {"state", ToString(state)}, counts[state]);
  }
  observe::SetGauge("endpoint_list_revision", {}, static_cast<std::int64_t>(revision_));
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

const Endpoint* EndpointRegistry::Find(EndpointId endpoint) const {
  const auto it = endpoints_.find(endpoint);
  return it == endpoints_.end() ? nullptr : &it->second;
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
