// The dispatch policy decides which messages a dispatcher accepts, which endpoint gets each of them
// and when, which attempts are retried, and which messages are rejected or failed. It does no I/O,
// reads no clock and starts no thread: events and the time go in, actions come out, and the same
// input gives the same output.
//
// What the caller promises:
//  * Each running dispatcher has one DispatchPolicy, used by one thread at a time. It owns all its
//    state, keeps no reference to anything handed in, and ends with the dispatcher.
//  * Time is the caller's: any steady clock, as nanoseconds since an epoch of its choice, never
//    negative. A clock that runs backwards is treated as standing still.
//  * Decide gets all events of one moment in their order of arrival. Its actions are carried out in
//    the order given. Attempts that one call of Decide sends to one endpoint may share a call to
//    it, up to the batch size of the endpoint's kind.
//  * Ids are the caller's and are not used again: a message id or endpoint id names one thing for
//    good.
//  * A message that outlasts the process is passed to the next DispatchPolicy as MessageRestored,
//    not before the first endpoint list; its attempts are numbered from 0 again.
//  * What was observed of endpoints binds for as long as the dispatcher lives, which may be several
//    processes: such callers store what TakeConditionChanges returns, and pass it to the next
//    DispatchPolicy before the messages.
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
  // Settings are taken as they are: 0 and missing values mean no limit. `seed` is that of all
  // random numbers of the policy.
  DispatchPolicy(Settings settings, std::uint64_t seed);
  ~DispatchPolicy();
  DispatchPolicy(DispatchPolicy&&) noexcept;
  DispatchPolicy& operator=(DispatchPolicy&&) noexcept;

  // Applies what has happened by `now` and returns what is to be done, in order. Events may be
  // empty; they are copied, not kept. May throw std::bad_alloc; the
  // policy can't be used further then.
  [[nodiscard]] std::vector<Action> Decide(Time now, std::span<const Event> events);

  // The conditions that may have changed since the last call: for callers that hand them to the
  // next process. Times in them are of the caller's clock.
  [[nodiscard]] std::vector<ConditionChange> TakeConditionChanges();

 private:
  struct Impl;  // the components; see src/policy/policy_components.hpp
  std::unique_ptr<Impl> impl_;
};

}  // namespace dispatch_policy

#endif  // DISPATCH_POLICY_DISPATCH_POLICY_HPP_
