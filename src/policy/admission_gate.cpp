#include "policy/admission_gate.hpp"

#include <algorithm>

namespace dispatch_policy {

constexpr double kOnsetShare = 0.9;           // of the discard threshold; the paper's H
constexpr double kAbatementShare = 0.78;      // of the discard threshold; the paper's L
constexpr double kOverloadRejectShare = 0.6;  // of new messages; the paper's q
constexpr double kMinDiscardThreshold = 8;    // messages; below it one burst flaps the gate
constexpr double kMaxCapacityMultiple = 2;    // backlog per message that may still be accepted
constexpr Duration kInitialRetryAfter = std::chrono::seconds(1);  // until a time was measured

bool AdmissionGate::Admit(Destination& destination) {
  Update(destination);
  if (destination.admission.mode == AdmissionMode::kDiscard) return false;
  if (destination.admission.mode == AdmissionMode::kNormal) return true;
  return static_cast<double>(context_.random()) >=
         kOverloadRejectShare * static_cast<double>(context_.random.max());
}

void AdmissionGate::UpdateAll() {
  for (DestinationId id : registry_.active()) Update(registry_.DestinationAt(id));
  std::erase_if(registry_.active(), [this](DestinationId id) {
    const Destination& destination = registry_.DestinationAt(id);
    return destination.waiting.empty() && destination.admission.mode == AdmissionMode::kNormal;
  });
}

Duration AdmissionGate::RetryAfter(const Destination& destination, const Message& message) const {
  if (!settings_.clients_honor_retry_after) return Duration{};
  Duration after = std::min(destination.admission.time_to_abate.value_or(kInitialRetryAfter),
                            std::max(message.deadline - now_, Duration{}));
  if (settings_.max_retry_after > Duration{}) after = std::min(after, settings_.max_retry_after);
  return after;
}

bool AdmissionGate::HalfOfCapacityUsed() const {
  return settings_.max_in_flight > 0 && 2 * in_flight_ >= settings_.max_in_flight;
}

void AdmissionGate::Update(Destination& destination) {
  const AdmissionThresholds thresholds = ComputeThresholds(destination);
  const auto unsent = static_cast<double>(destination.waiting.size());
  AdmissionState& state = destination.admission;
  if (unsent >= thresholds.onset) state.last_at_onset = now_;
  if (unsent >= thresholds.discard) {
    state.mode = AdmissionMode::kDiscard;
  } else if (state.mode == AdmissionMode::kDiscard && unsent < thresholds.onset) {
    state.mode = AdmissionMode::kOverload;
  } else if (state.mode == AdmissionMode::kNormal && unsent >= thresholds.onset) {
    state.mode = AdmissionMode::kOverload;
  }
  if (state.mode == AdmissionMode::kOverload && unsent < thresholds.abatement) {
    state.mode = AdmissionMode::kNormal;
    state.time_to_abate = now_ - state.last_at_onset;
  }
}

AdmissionThresholds AdmissionGate::ComputeThresholds(const Destination& destination) {
  const double rate = std::max(destination.sends.Rate(now_), EvenShareOfRate(destination));
  double discard = rate * ToSeconds(context_.min_deadline);
  discard = std::max(discard, kMinDiscardThreshold);
  if (settings_.max_in_flight > 0) {
    const auto capacity = static_cast<double>(settings_.max_in_flight);
    const double left = capacity - static_cast<double>(in_flight_);
    discard = std::max(std::min(discard, kMaxCapacityMultiple * left), 1.0);
  }
  return {kAbatementShare * discard, kOnsetShare * discard, discard};
}

double AdmissionGate::EvenShareOfRate(const Destination& destination) {
  const auto group_size = static_cast<double>(settings_.group_size);
  double share = 0;
  for (EndpointId id : destination.endpoints) {
    Endpoint& endpoint = registry_.EndpointAt(id);
    if (endpoint.entry.state != EndpointState::kListed) continue;
    if (endpoint.health != Health::kClosed) return 0;
    const auto batch = static_cast<double>(registry_.MaxBatch(endpoint));
    share = std::max(share, registry_.FindScope(endpoint).limit * batch / group_size);
  }
  return share;
}

}  // namespace dispatch_policy
