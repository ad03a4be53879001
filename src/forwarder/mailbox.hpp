// A bounded queue between threads. A full one makes its writers wait; a closed one takes nothing.
#ifndef BRASSFRONT_FORWARDER_MAILBOX_HPP_
#define BRASSFRONT_FORWARDER_MAILBOX_HPP_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace brassfront {

template <typename T>
class Mailbox {
 public:
  explicit Mailbox(std::size_t most) : most_(most) {}

  // False if the box is closed: the value is dropped.
  bool Put(T value) {
    std::unique_lock lock(mutex_);
    room_.wait(lock, [this] { return closed_ || values_.size() < most_; });
    if (closed_) return false;
    values_.push_back(std::move(value));
    lock.unlock();
    filled_.notify_one();
    return true;
  }

  // Nothing if the time came first or the box is closed and empty.
  std::optional<T> TakeUntil(std::chrono::steady_clock::time_point time) {
    std::unique_lock lock(mutex_);
    filled_.wait_until(lock, time, [this] { return closed_ || !values_.empty(); });
    return TakeLocked(lock);
  }

  // Waits as long as it takes; nothing if the box is closed and empty.
  std::optional<T> Take() {
    std::unique_lock lock(mutex_);
    filled_.wait(lock, [this] { return closed_ || !values_.empty(); });
    return TakeLocked(lock);
  }

  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    room_.notify_all();
    filled_.notify_all();
  }

 private:
  std::optional<T> TakeLocked(std::unique_lock<std::mutex>& lock) {
    if (values_.empty()) return std::nullopt;
    std::optional<T> value(std::move(values_.front()));
    values_.pop_front();
    lock.unlock();
    room_.notify_one();
    return value;
  }

  const std::size_t most_;
  std::mutex mutex_;
  std::condition_variable room_, filled_;
  std::deque<T> values_;
  bool closed_ = false;
};

// Hands over what the box holds until the time has come, or until it is empty and then one more or
// the time. `due` gives that time anew after each value, for a value may bring it forward. Guards
// against a box that is filled as fast as it is emptied, before which nothing else would get a
// turn.
template <typename T, typename Due, typename Clock, typename Handle>
void DrainUntil(Mailbox<T>& box, Due due, Clock now, Handle handle) {
  auto value = box.TakeUntil(due());
  while (value) {
    handle(std::move(*value));
    if (now() >= due()) return;
    value = box.TakeUntil(std::chrono::steady_clock::time_point::min());
  }
}

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_MAILBOX_HPP_
