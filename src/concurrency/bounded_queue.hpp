// A bounded queue between threads. A full one makes its writers wait; a closed one takes nothing.
#ifndef BRASSFRONT_CONCURRENCY_BOUNDED_QUEUE_HPP_
#define BRASSFRONT_CONCURRENCY_BOUNDED_QUEUE_HPP_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace brassfront {

template <typename T>
class BoundedQueue {
 public:
  explicit BoundedQueue(std::size_t capacity) : capacity_(capacity) {}

  // False if the queue is closed: the value is dropped.
  bool Push(T value) {
    std::unique_lock lock(mutex_);
    not_full_.wait(lock, [this] { return closed_ || values_.size() < capacity_; });
    if (closed_) return false;
    values_.push_back(std::move(value));
    lock.unlock();
    not_empty_.notify_one();
    return true;
  }

  // Nothing if the time came first or the queue is closed and empty.
  std::optional<T> PopUntil(std::chrono::steady_clock::time_point time) {
    std::unique_lock lock(mutex_);
    not_empty_.wait_until(lock, time, [this] { return closed_ || !values_.empty(); });
    return PopFront(lock);
  }

  // Waits as long as it takes; nothing if the queue is closed and empty.
  std::optional<T> Pop() {
    std::unique_lock lock(mutex_);
    not_empty_.wait(lock, [this] { return closed_ || !values_.empty(); });
    return PopFront(lock);
  }

  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    not_full_.notify_all();
    not_empty_.notify_all();
  }

 private:
  std::optional<T> PopFront(std::unique_lock<std::mutex>& lock) {
    if (values_.empty()) return std::nullopt;
    std::optional<T> value(std::move(values_.front()));
    values_.pop_front();
    lock.unlock();
    not_full_.notify_one();
    return value;
  }

  const std::size_t capacity_;
  std::mutex mutex_;
  std::condition_variable not_full_, not_empty_;
  std::deque<T> values_;
  bool closed_ = false;
};

// Hands over what the queue holds until the time has come, or until it is empty and then one more
// or the time. `due` gives that time anew after each value, for a value may bring it forward.
// Guards against a queue that is filled as fast as it is emptied, before which nothing else would
// get a turn.
template <typename T, typename Due, typename Clock, typename Handle>
void DrainUntil(BoundedQueue<T>& queue, Due due, Clock now, Handle handle) {
  auto value = queue.PopUntil(due());
  while (value) {
    handle(std::move(*value));
    if (now() >= due()) return;
    value = queue.PopUntil(std::chrono::steady_clock::time_point::min());
  }
}

}  // namespace brassfront

#endif  // BRASSFRONT_CONCURRENCY_BOUNDED_QUEUE_HPP_
