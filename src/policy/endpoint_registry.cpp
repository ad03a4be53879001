#include "policy/endpoint_registry.hpp"

#include <algorithm>
#include <utility>

namespace dispatch_policy {

const Seconds kRateMemory{10};  // s; longer than clumps and limit spans
const Seconds kPaceMemory{3};   // s; a limit's span is one to two
namespace {

constexpr double kMostRate = 1e6;  // calls a second: a listed rate above it is not meant

LogMessage OddRateText(const EndpointEntry& e) {
  return {"endpoint " + std::to_string(e.endpoint) + " listed at a rate of " +
          std::to_string(e.weight) + " a second, taken for untold"};
}

}  // namespace

void EndpointRegistry::Subscribe() {
  if (settings_.subscribe_to_endpoint_list && !std::exchange(subscribed_, true)) {
    context_.actions.push_back(SubscribeToEndpointList{});
  }
}

void EndpointRegistry::ApplyList(const EndpointList& e) {
  if (e.form == ListForm::kFailed) {
    subscribed_ = false;
    return;
  }
  if (version_ && e.version < *version_) return;
  version_ = e.version;
  if (e.form == ListForm::kComplete) {
    for (auto& [id, endpoint] : endpoints_) endpoint.entry.state = EndpointState::kRemoved;
  }
  for (const EndpointEntry& entry : e.entries) {
    const auto [it, added] =
        endpoints_.try_emplace(entry.endpoint, entry, kPaceMemory, *context_.started);
    if (added) DestinationOf(entry.destination).endpoints.push_back(entry.endpoint);
    it->second.entry = entry;
    Lane& lane = LaneOf(it->second);
    if (settings_.weights != WeightMeaning::kNone && !lane.reported) lane.limit = Listed(entry);
  }
  ForgetRemoved();
  for (const EndpointEntry& entry : e.entries) NoteNoneListed(entry.destination);
}

Destination& EndpointRegistry::DestinationOf(DestinationId id) {
  const Seconds memory = std::max<Seconds>(kRateMemory, context_.longest_deadline);
  return destinations_.try_emplace(id, memory, kPaceMemory, *context_.started).first->second;
}

Endpoint* EndpointRegistry::FindEndpoint(EndpointId id) {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

Lane& EndpointRegistry::LaneOf(Endpoint& e) {
  return Apart(e) ? e.own_lane : destinations_.at(e.entry.destination).lane;
}

bool EndpointRegistry::Apart(const Endpoint& e) const {
  return e.entry.kind < settings_.kinds.size() && settings_.kinds[e.entry.kind].per_endpoint_limits;
}

std::size_t EndpointRegistry::BatchOf(const Endpoint& e) const {
  if (e.entry.kind >= settings_.kinds.size()) return 1;
  return std::max<std::size_t>(1, settings_.kinds[e.entry.kind].max_batch);
}

double EndpointRegistry::Listed(const EndpointEntry& entry) {
  if (entry.weight >= 0 && entry.weight <= kMostRate) return entry.weight;
  context_.actions.push_back(OddRateText(entry));
  return 0;
}

void EndpointRegistry::NoteNoneListed(DestinationId id) {
  const auto it = destinations_.find(id);
  if (it == destinations_.end()) return;
  const auto listed = [this](EndpointId e) {
    return endpoints_.at(e).entry.state == EndpointState::kListed;
  };
  const bool none = std::none_of(it->second.endpoints.begin(), it->second.endpoints.end(), listed);
  if (none && !it->second.none_listed) {
    context_.actions.push_back(
        LogMessage{"destination " + std::to_string(id) + " has no endpoint that takes work"});
  }
  it->second.none_listed = none;
}

void EndpointRegistry::ForgetRemoved() {
  const Duration kept = std::max(context_.longest_deadline, settings_.slow_start_duration);
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    auto& [id, e] = *it;
    if (e.entry.state != EndpointState::kRemoved) {
      e.removed.reset();
    } else if (!e.removed) {
      e.removed = now_;
    }
    const bool gone = e.removed && now_ - *e.removed > kept && e.calls_out == 0;
    if (gone) std::erase(destinations_.at(e.entry.destination).endpoints, id);
    it = gone ? endpoints_.erase(it) : std::next(it);
  }
}

}  // namespace dispatch_policy
