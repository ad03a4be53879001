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

// Any thread may push events; one thread polls the descriptor and handles them.
template <typename Event>
class EventInbox {
 public:
  explicit EventInbox(std::size_t capacity) : queue_(capacity) {}

  // Creates the descriptor. Throws std::runtime_error if the system has none left.
  void Open() {
    wakeup_ = Socket(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
    if (!wakeup_.is_open()) throw std::runtime_error("cannot create an event descriptor");
  }
  // Readable when the inbox contains events.
  [[nodiscard]] int fd() const { return wakeup_.fd(); }

  // Waits while the inbox is full. An event pushed after Close is destroyed.
  void Push(Event event) {
    if (queue_.Push(std::move(event))) eventfd_write(wakeup_.fd(), 1);
  }
  // Passes all queued events to the handler; does not wait for further ones.
  template <typename Handler>
  void HandleAll(const Handler& handler) {
    eventfd_t count = 0;
    eventfd_read(wakeup_.fd(), &count);
    while (auto event = queue_.PopUntil(std::chrono::steady_clock::time_point::min())) {
      handler(*event);
    }
  }
  // Destroys all queued events and any that are pushed later.
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
