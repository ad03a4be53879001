// The dispatch policy decides which messages a dispatcher accepts, which endpoint gets each of them
// and when, what is tried again, and what is given up. It does no I/O, reads no clock and starts no
// thread: events and the time go in, actions come out, and the same input gives the same output.
//
// What the caller promises:
//  * Each running dispatcher has one DispatchPolicy, used by one thread at a time. It owns all its
//    state, keeps no reference to anything handed in, and ends with the dispatcher.
//  * Time is the caller's: any steady clock, as nanoseconds since an epoch of its choice, never
//  below
//    0. A clock that runs backwards is taken to stand still.
//  * Decide gets all events of one moment in their order of arrival. Its actions are carried out in
//    the order given. Attempts that one call of Decide sends to one endpoint may share a call to
//    it, up to the batch size of the endpoint's kind.
//  * Ids are the caller's and are not used again: a message id or endpoint id names one thing for
//    good.
//  * A message that outlasts the process is told to the next DispatchPolicy as MessageRestored,
//    before or in the first Decide after the endpoint list; its attempts are numbered from 0 again.
#ifndef DISPATCH_POLICY_DISPATCH_POLICY_HPP_
#define DISPATCH_POLICY_DISPATCH_POLICY_HPP_

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "dispatch_policy/actions.hpp"
#include "dispatch_policy/events.hpp"
#include "dispatch_policy/settings.hpp"

namespace dispatch_policy {

class DispatchPolicy {
 public:
  // `seed`: of all that the policy draws at random.
  DispatchPolicy(Settings settings, std::uint64_t seed);
  ~DispatchPolicy();
  DispatchPolicy(DispatchPolicy&&) noexcept;
  DispatchPolicy& operator=(DispatchPolicy&&) noexcept;

  // Takes up what has happened by `now` and returns what is to be done.
  [[nodiscard]] std::vector<Action> Decide(Time now, std::span<const Event> events);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dispatch_policy

#endif  // DISPATCH_POLICY_DISPATCH_POLICY_HPP_
