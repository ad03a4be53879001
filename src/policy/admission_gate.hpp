// Admission control: rejects new messages before too many wait for their destination. Implemented
// in limits.cpp.
#ifndef BRASSFRONT_POLICY_ADMISSION_GATE_HPP_
#define BRASSFRONT_POLICY_ADMISSION_GATE_HPP_

#include <cstddef>

#include "policy/decision_context.hpp"
#include "policy/endpoint_registry.hpp"
#include "policy/policy_state.hpp"

namespace dispatch_policy {

// Numbers of unsent messages at which an admission gate changes its mode.
struct AdmissionThresholds {
  double abatement, onset, discard;
};

// Three modes for each destination, with hysteresis on the number of its unsent messages, after
// Abaev et al., "Simulation of Overload Control in SIP Server Networks"; docs/design.md says what
// was kept.
class AdmissionGate {
 public:
  AdmissionGate(DecisionContext& context, EndpointRegistry& registry)
      : settings_(context.settings), now_(context.now), context_(context), registry_(registry) {}

  // Whether a new message for the destination is accepted. May draw a random number.
  bool Admit(Destination& destination);

  // Updates the modes of all active destinations; those with nothing to do are active no longer.
  void UpdateAll();

  // The Retry-After of a rejection of the message, 0 if none is to be sent: the time that the
  // destination last took from onset to abatement, within the message's time and the longest wait
  // that clients honour.
  [[nodiscard]] Duration RetryAfter(const Destination& destination, const Message& message) const;

  // A message was admitted or restored: it counts as in flight.
  void OnMessageAccepted() { ++in_flight_; }

  // A message that was accepted is over.
  void OnMessageFinished() { --in_flight_; }

  // Whether half of the messages that may be in flight are.
  [[nodiscard]] bool HalfOfCapacityUsed() const;

 private:
  // Moves the gate from mode to mode by the number of unsent messages.
  void Update(Destination& destination);

  // The thresholds of the destination. Discard is what clears within the shortest deadline at the
  // rate of sends, or at this instance's share of the limit if that is more: just after a start
  // nothing was sent yet. A backlog also leaves room below max_in_flight, so that a failing
  // destination does not take it all from healthy ones.
  AdmissionThresholds ComputeThresholds(const Destination& destination);

  // This instance's even share of what the destination is said to take, in messages a second; 0 if
  // that is unknown or any of its endpoints is not healthy.
  double EvenShareOfRate(const Destination& destination);

  const Settings& settings_;
  const Time& now_;
  DecisionContext& context_;
  EndpointRegistry& registry_;
  std::size_t in_flight_ = 0;
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_ADMISSION_GATE_HPP_
