#include "policy/admission_gate.hpp"

#include <algorithm>

namespace dispatch_policy {
namespace {

constexpr double kOnset = 0.9;           // H, share of R; the paper's ratio
constexpr double kAbatement = 0.78;      // L, share of R; the paper's ratio
constexpr double kRefusedShare = 0.6;    // q; the paper's value
constexpr double kLeastDiscardMark = 8;  // messages; below it one clump would flap the gate
constexpr double kDeadlineShare = 1.0;   // of the shortest deadline: what R may take to clear
constexpr double kRoomMultiple = 2;      // of the room left in the hold: the most for a backlog
constexpr Duration kFirstRetryAfter = std::chrono::seconds(1);  // until a fall was measured

}  // namespace

bool AdmissionGate::Admit(Destination& d) {
  UpdateGate(d);
  if (d.gate.mode == Mode::kDiscard) return false;
  if (d.gate.mode == Mode::kNormal) return true;
  return static_cast<double>(context_.random()) >=
         kRefusedShare * static_cast<double>(context_.random.max());
}

void AdmissionGate::UpdateGates() {
  for (DestinationId id : registry_.active_destinations()) UpdateGate(registry_.DestinationAt(id));
  std::erase_if(registry_.active_destinations(), [this](DestinationId id) {
    const Destination& d = registry_.DestinationAt(id);
    return d.waiting.empty() && d.gate.mode == Mode::kNormal;
  });
}

Duration AdmissionGate::RetryAfter(const Destination& d, const Message& m) const {
  if (!settings_.clients_honor_retry_after) return Duration{};
  Duration after = std::min(d.gate.last_fall.value_or(kFirstRetryAfter),
                            std::max(m.deadline - now_, Duration{}));
  if (settings_.max_retry_after > Duration{}) after = std::min(after, settings_.max_retry_after);
  return after;
}

bool AdmissionGate::HalfFull() const {
  return settings_.max_in_flight > 0 && 2 * held_ >= settings_.max_in_flight;
}

void AdmissionGate::UpdateGate(Destination& d) {
  const Marks marks = MarksOf(d);
  const auto n = static_cast<double>(d.waiting.size());
  Gate& gate = d.gate;
  if (n >= marks.onset) gate.last_at_onset = now_;
  if (n >= marks.discard) {
    gate.mode = Mode::kDiscard;
  } else if (gate.mode == Mode::kDiscard && n < marks.onset) {
    gate.mode = Mode::kOverload;
  } else if (gate.mode == Mode::kNormal && n >= marks.onset) {
    gate.mode = Mode::kOverload;
  }
  if (gate.mode == Mode::kOverload && n < marks.abatement) {
    gate.mode = Mode::kNormal;
    gate.last_fall = now_ - gate.last_at_onset;
  }
}

Marks AdmissionGate::MarksOf(const Destination& d) {
  const double rate = std::max(d.sends.Rate(now_), ShareOf(d));
  double discard = rate * kDeadlineShare * ToSeconds(context_.shortest_deadline);
  discard = std::max(discard, kLeastDiscardMark);
  if (settings_.max_in_flight > 0) {
    const double room = static_cast<double>(settings_.max_in_flight) - static_cast<double>(held_);
    discard = std::max(std::min(discard, kRoomMultiple * room), 1.0);
  }
  return {kAbatement * discard, kOnset * discard, discard};
}

double AdmissionGate::ShareOf(const Destination& d) {
  double share = 0;
  for (EndpointId id : d.endpoints) {
    Endpoint& e = registry_.EndpointAt(id);
    if (e.entry.state != EndpointState::kListed) continue;
    if (e.health != Health::kClosed) return 0;
    const auto batch = static_cast<double>(registry_.BatchOf(e));
    share = std::max(share,
                     registry_.LaneOf(e).limit * batch / static_cast<double>(settings_.group_size));
  }
  return share;
}

}  // namespace dispatch_policy
