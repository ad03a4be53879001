#include "forwarder/condition_recorder.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "observe/log.hpp"

namespace brassfront {
namespace {

using dispatch_policy::DestinationConditionChange;
using dispatch_policy::DestinationConditionLost;
using dispatch_policy::DestinationConditionRestored;
using dispatch_policy::EndpointConditionChange;
using dispatch_policy::EndpointConditionRestored;

constexpr const char* kRestoredEvent = "condition restored";

std::chrono::milliseconds TimeUntil(dispatch_policy::Time at, dispatch_policy::Time now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(at - now, dispatch_policy::Duration{}));
}

void LogRestored(const ConditionRecord& record, std::string_view field, std::string_view name) {
  const dispatch_policy::Time now = std::chrono::steady_clock::now().time_since_epoch();
  observe::Log(observe::Concern::kEngine, observe::Level::kInfo, kRestoredEvent,
               {{field, name},
                {"age_ms", TimeUntil(now, record.recorded_at).count()},
                {"wait_ms", TimeUntil(record.limit.wait_until, now).count()}});
}

}  // namespace

std::vector<ConditionRecorder::Event> ConditionRecorder::RestoredConditionEvents(
    const dispatch_policy::EndpointList& list) {
  std::vector<Event> events;
  if (store_ == nullptr) return events;
  if (!std::exchange(destinations_restored_, true)) AddDestinations(events);
  for (const dispatch_policy::EndpointEntry& entry : list.entries) {
    if (!restored_endpoints_.insert(entry.endpoint).second) continue;
    const std::string& name = endpoints_.At(entry.endpoint).name;
    const auto record = store_->Find(EndpointKey(name));
    if (!record) continue;
    LogRestored(*record, "endpoint", name);
    endpoints_with_conditions_[entry.destination].insert(entry.endpoint);
    events.emplace_back(EndpointConditionRestored{entry.endpoint, record->endpoint, record->limit});
  }
  return events;
}

void ConditionRecorder::AddDestinations(std::vector<Event>& events) {
  for (const ConditionRecord& record : store_->Destinations()) {
    LogRestored(record, "destination", std::to_string(record.key.id));
    events.emplace_back(
        DestinationConditionRestored{record.key.id, record.destination, record.limit});
  }
}

void ConditionRecorder::Record(const std::vector<dispatch_policy::ConditionChange>& changes,
                               Time now) {
  if (store_ == nullptr) return;
  for (const dispatch_policy::ConditionChange& change : changes) {
    std::visit([&](const auto& alternative) { Record(alternative, now); }, change);
  }
}

void ConditionRecorder::Record(const EndpointConditionChange& change, Time now) {
  const Endpoint* endpoint = endpoints_.Find(change.endpoint);
  if (endpoint == nullptr) return;  // the policy remembers removed endpoints for longer
  std::set<dispatch_policy::EndpointId>& with_conditions =
      endpoints_with_conditions_[endpoint->entry.destination];
  const bool is_ordinary = IsOrdinary(change.condition, now) && IsOrdinary(change.own_limit, now);
  if (is_ordinary && with_conditions.erase(change.endpoint) == 0) return;  // nothing is stored
  if (!is_ordinary) with_conditions.insert(change.endpoint);
  UpdateStore({.key = EndpointKey(endpoint->name),
               .recorded_at = now,
               .endpoint = change.condition,
               .limit = change.own_limit},
              is_ordinary);
}

void ConditionRecorder::Record(const DestinationConditionChange& change, Time now) {
  const bool is_ordinary = IsOrdinary(change.shared_limit, now) &&
                           endpoints_with_conditions_[change.destination].empty();
  UpdateStore({.key = DestinationKey(change.destination),
               .recorded_at = now,
               .destination = change.condition,
               .limit = change.shared_limit},
              is_ordinary);
}

void ConditionRecorder::UpdateStore(const ConditionRecord& record, bool is_ordinary) {
  if (is_ordinary) {
    store_->Erase(record.key);
  } else {
    store_->Put(record);
  }
}

void ConditionRecorder::OnMessageRestored(dispatch_policy::DestinationId destination) {
  if (store_ != nullptr && !store_->is_complete()) restored_destinations_.insert(destination);
}

std::vector<ConditionRecorder::Event> ConditionRecorder::TakeLostConditions() {
  std::vector<Event> events;
  for (const auto destination : std::exchange(restored_destinations_, {})) {
    events.emplace_back(DestinationConditionLost{destination});
  }
  return events;
}

bool ConditionRecorder::Retry(Time now) {
  if (store_ == nullptr || !store_->Retry(now)) return false;
  restored_endpoints_.clear();
  destinations_restored_ = false;
  return true;
}

}  // namespace brassfront
