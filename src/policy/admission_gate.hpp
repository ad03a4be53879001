// Admission control: rejects new messages before too many messages wait for their destination.
// Implemented in limits.cpp.
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

// Each destination has one of three modes, with hysteresis on the number of its unsent messages.
// The algorithm follows Abaev et al., "Simulation of Overload Control in SIP Server Networks";
// docs/design.md describes which parts were adopted.
class AdmissionGate {
 public:
  AdmissionGate(DecisionContext& context, EndpointRegistry& registry)
      : settings_(context.settings), now_(context.now), context_(context), registry_(registry) {}

  // Returns whether a new message for the destination is accepted. May draw a random number.
  bool Admit(Destination& destination);

  // Updates the modes of all active destinations, and removes those with nothing to do from the
  // active ones.
  void UpdateAll();

  // Returns the Retry-After for a rejection of the message, 0 if none is to be sent. It is the time
  // that the destination last took from onset to abatement, limited to the message's remaining time
  // and to the longest Retry-After that clients honor.
  [[nodiscard]] Duration RetryAfter(const Destination& destination, const Message& message) const;

  // Called when a message was admitted or restored: it counts as in flight.
  void OnMessageAccepted() { ++in_flight_; }

  // Called when an accepted message has ended.
  void OnMessageFinished() { --in_flight_; }

  // Returns whether at least half of max_in_flight is in use.
  [[nodiscard]] bool HalfOfCapacityUsed() const;

 private:
  // Updates the mode of the gate from the number of unsent messages.
  void Update(Destination& destination);

  // Returns the thresholds of the destination. The discard threshold is the number of messages that
  // can be sent within the shortest deadline, at the send rate or at this instance's share of the
  // limit, whichever is higher: just after a start nothing has been sent yet. The threshold also
  // leaves room below max_in_flight, so that the backlog of a failing destination does not use up
  // the capacity for healthy ones.
  AdmissionThresholds ComputeThresholds(const Destination& destination);

  // Returns this instance's even share of the destination's listed or reported rate, in messages
  // per second; 0 if the rate is unknown or any of its endpoints is not healthy.
  double EvenShareOfRate(const Destination& destination);

  const Settings& settings_;
  const Time& now_;
  DecisionContext& context_;
  EndpointRegistry& registry_;
  std::size_t in_flight_ = 0;
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_ADMISSION_GATE_HPP_
