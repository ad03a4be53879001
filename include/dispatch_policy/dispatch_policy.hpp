// The dispatch policy decides which messages a dispatcher accepts, which endpoint gets each of them
// and when, which attempts are retried, and which messages are rejected or failed. It does no I/O,
// reads no clock and starts no thread: events and the time go in, actions come out, and the same
// input gives the same output.
//
// Requirements on the caller:
//  * Each running dispatcher has one DispatchPolicy, used by one thread at a time. The policy owns
//    all its state, keeps no reference to its arguments, and is destroyed with the dispatcher.
//  * The caller provides the time: any steady clock, in nanoseconds since an epoch of the caller's
//    choice, never negative. A clock that runs backwards is treated as standing still.
//  * Decide gets all events of one moment in their order of arrival. The caller carries out the
//    actions in the order given. Attempts that one call of Decide sends to one endpoint may share a
//    call to that endpoint, up to the batch size of the endpoint's kind.
//  * The caller chooses ids and never reuses them: a message id or endpoint id permanently names
//    one message or endpoint.
//  * A message that outlives the process is passed to the next DispatchPolicy as MessageRestored,
//    after the first endpoint list; its attempts are numbered from 0 again.
//  * Conditions of endpoints remain in force for the lifetime of the dispatcher, which may span
//    several processes: such callers store what TakeConditionChanges returns, and pass it to the
//    next DispatchPolicy before the messages.
#ifndef DISPATCH_POLICY_DISPATCH_POLICY_HPP_
#define DISPATCH_POLICY_DISPATCH_POLICY_HPP_

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "dispatch_policy/actions.hpp"
#include "dispatch_policy/conditions.hpp"
#include "dispatch_policy/events.hpp"
#include "dispatch_policy/settings.hpp"

namespace dispatch_policy {

// The policy of one dispatcher. Movable, not copyable; a policy that was moved from may only be
// destroyed or assigned to. Not safe for use by several threads at once.
class DispatchPolicy {
 public:
  // Settings are not validated: 0 and missing values mean no limit. `seed` initializes the
  // generator of all random numbers of the policy.
  DispatchPolicy(Settings settings, std::uint64_t seed);
  ~DispatchPolicy();
  DispatchPolicy(DispatchPolicy&&) noexcept;
  DispatchPolicy& operator=(DispatchPolicy&&) noexcept;

  // Applies the events that have occurred by `now` and returns the actions to carry out, in order.
  // Events may be empty; the policy copies them and keeps no reference. May throw std::bad_alloc;
  // the policy must not be used after that.
  [[nodiscard]] std::vector<Action> Decide(Time now, std::span<const Event> events);

  // Returns the conditions that may have changed since the last call, for callers that pass them to
  // the next process. Times in the conditions are of the caller's clock.
  [[nodiscard]] std::vector<ConditionChange> TakeConditionChanges();

 private:
  struct Impl;  // the components; see src/policy/policy_components.hpp
  std::unique_ptr<Impl> impl_;
};

}  // namespace dispatch_policy

#endif  // DISPATCH_POLICY_DISPATCH_POLICY_HPP_
