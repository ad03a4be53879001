// A bounded queue of events for a thread that waits in poll.
#ifndef BRASSFRONT_FLEET_EVENT_INBOX_HPP_
#define BRASSFRONT_FLEET_EVENT_INBOX_HPP_

#include <sys/eventfd.h>

#include <chrono>
#include <cstddef>
#include <stdexcept>
#include <utility>

#include "concurrency/bounded_queue.hpp"
#include "net/socket.hpp"

namespace brassfront::fleet {

// Any thread may push; one thread polls the descriptor and handles.
template <typename Event>
class EventInbox {
 public:
  explicit EventInbox(std::size_t capacity) : queue_(capacity) {}

  // Makes the descriptor. Throws std::runtime_error if the system has none left.
  void Open() {
    wakeup_ = Socket(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
    if (!wakeup_.is_open()) throw std::runtime_error("no room for a descriptor");
  }
  // Readable when there are events.
  [[nodiscard]] int fd() const { return wakeup_.fd(); }

  // Waits while the inbox is full. Once it is closed, the event is destroyed.
  void Push(Event event) {
    if (queue_.Push(std::move(event))) eventfd_write(wakeup_.fd(), 1);
  }
  // Hands over all events that are there; does not wait.
  template <typename Handler>
  void HandleAll(const Handler& handler) {
    eventfd_t count = 0;
    eventfd_read(wakeup_.fd(), &count);
    while (auto event = queue_.PopUntil(std::chrono::steady_clock::time_point::min())) {
      handler(*event);
    }
  }
  // Destroys what is there, and from now on all that is pushed.
  void Close() {
    queue_.Close();
    while (queue_.Pop()) {
    }
  }

 private:
  BoundedQueue<Event> queue_;
  Socket wakeup_;  // eventfd
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_EVENT_INBOX_HPP_
