// The loop of one thread: events that any thread may push, and deadlines that the loop's own thread
// sets. Between two deadlines it waits for events.
#ifndef BRASSFRONT_FORWARDER_EVENT_LOOP_HPP_
#define BRASSFRONT_FORWARDER_EVENT_LOOP_HPP_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <utility>

#include "concurrency/bounded_queue.hpp"
#include "forwarder/clock.hpp"
#include "forwarder/deadline_queue.hpp"

namespace brassfront {

template <typename Event>
class EventLoop {
 public:
  using Time = DeadlineQueue::Time;
  using Clock = std::function<Time()>;

  // `inbox_capacity`: events that may wait; writers to a full inbox wait as well. `clock` is read
  // by the loop's thread and must agree with the steady clock wherever the loop is to wait.
  EventLoop(std::size_t inbox_capacity, Clock clock)
      : inbox_(inbox_capacity), clock_(std::move(clock)) {}

  // ---- any thread ----

  // False if the loop is closed: the event is dropped.
  bool Push(Event event) { return inbox_.Push(std::move(event)); }

  // The same without a wait, for a few urgent events.
  bool PushUrgent(Event event) { return inbox_.PushBeyondCapacity(std::move(event)); }

  // Takes no more events and drops those that wait. Writers that wait return.
  void Close() {
    inbox_.Close();
    while (inbox_.Pop()) {
    }
  }

  // ---- the loop's thread ----

  void SetDeadline(Time at, Deadline deadline) { deadlines_.Set(at, deadline); }

  // One round: passes events to `on_event` until the earlier of the next deadline and `wake_up()`,
  // or until the inbox is empty after at least one event; then passes all due deadlines to
  // `on_deadline`. Returns the time by which these were due.
  template <typename WakeUp, typename OnEvent, typename OnDeadline>
  Time RunOnce(WakeUp wake_up, OnEvent on_event, OnDeadline on_deadline) {
    DrainUntil(
        inbox_, [&] { return ToTimePoint(std::min<Time>(deadlines_.Next(), wake_up())); },
        [this] { return ToTimePoint(clock_()); }, on_event);
    const Time now = clock_();
    while (const auto due = deadlines_.PopDue(now)) on_deadline(*due);
    return now;
  }

 private:
  BoundedQueue<Event> inbox_;
  const Clock clock_;
  DeadlineQueue deadlines_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_EVENT_LOOP_HPP_
