// The event loop of one thread. Any thread may push events; the loop's own thread sets deadlines.
// Until the next deadline the loop waits for events.
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

  // `inbox_capacity` limits the waiting events; threads that push to a full inbox block. `clock` is
  // read by the loop's thread. It must agree with the steady clock if the loop is to wait.
  EventLoop(std::size_t inbox_capacity, Clock clock)
      : inbox_(inbox_capacity), clock_(std::move(clock)) {}

  // ---- any thread ----

  // Returns false if the loop is closed; the event is dropped then.
  bool Push(Event event) { return inbox_.Push(std::move(event)); }

  // Like Push, but never blocks: adds the event even if the inbox is full. For a few urgent events.
  bool PushUrgent(Event event) { return inbox_.PushBeyondCapacity(std::move(event)); }

  // Accepts no more events and drops the waiting ones. Threads blocked in Push return.
  void Close() {
    inbox_.Close();
    while (inbox_.Pop()) {
    }
  }

  // ---- the loop's thread ----

  void SetDeadline(Time at, Deadline deadline) { deadlines_.Set(at, deadline); }

  // Runs one round: passes events to `on_event` until the next deadline or `wake_up()`, whichever
  // is earlier, or until the inbox is empty after at least one event. Then passes all due deadlines
  // to `on_deadline`. Returns the time up to which deadlines were due.
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
