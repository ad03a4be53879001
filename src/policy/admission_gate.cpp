#include "policy/admission_gate.hpp"

#include <algorithm>

namespace dispatch_policy {
namespace {

constexpr double kOnsetShare = 0.9;            // H, share of R; the paper's ratio
constexpr double kAbatementShare = 0.78;       // L, share of R; the paper's ratio
constexpr double kOverloadRejectShare = 0.6;   // q; the paper's value
constexpr double kMinDiscardThreshold = 8;     // messages; below it one clump would flap the gate
constexpr double kDrainShareOfDeadline = 1.0;  // of the shortest deadline: what R may take to clear
constexpr double kMaxShareOfCapacityLeft =
    2;  // of the room left in the hold: the most for a backlog
constexpr Duration kInitialRetryAfter = std::chrono::seconds(1);  // until a fall was measured

}  // namespace

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
  const auto n = static_cast<double>(destination.waiting.size());
  AdmissionState& admission = destination.admission;
  if (n >= thresholds.onset) admission.last_at_onset = now_;
  if (n >= thresholds.discard) {
    admission.mode = AdmissionMode::kDiscard;
  } else if (admission.mode == AdmissionMode::kDiscard && n < thresholds.onset) {
    admission.mode = AdmissionMode::kOverload;
  } else if (admission.mode == AdmissionMode::kNormal && n >= thresholds.onset) {
    admission.mode = AdmissionMode::kOverload;
  }
  if (admission.mode == AdmissionMode::kOverload && n < thresholds.abatement) {
    admission.mode = AdmissionMode::kNormal;
    admission.time_to_abate = now_ - admission.last_at_onset;
  }
}

AdmissionThresholds AdmissionGate::ComputeThresholds(const Destination& destination) {
  const double rate = std::max(destination.sends.Rate(now_), EvenShareOfRate(destination));
  double discard = rate * kDrainShareOfDeadline * ToSeconds(context_.min_deadline);
  discard = std::max(discard, kMinDiscardThreshold);
  if (settings_.max_in_flight > 0) {
    const double room =
        static_cast<double>(settings_.max_in_flight) - static_cast<double>(in_flight_);
    discard = std::max(std::min(discard, kMaxShareOfCapacityLeft * room), 1.0);
  }
  return {kAbatementShare * discard, kOnsetShare * discard, discard};
}

double AdmissionGate::EvenShareOfRate(const Destination& destination) {
  double share = 0;
  for (EndpointId id : destination.endpoints) {
    Endpoint& endpoint = registry_.EndpointAt(id);
    if (endpoint.entry.state != EndpointState::kListed) continue;
    if (endpoint.health != Health::kClosed) return 0;
    const auto batch = static_cast<double>(registry_.MaxBatch(endpoint));
    share = std::max(share, registry_.FindScope(endpoint).limit * batch /
                                static_cast<double>(settings_.group_size));
  }
  return share;
}

}  // namespace dispatch_policy
