// A bounded queue between threads.
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

// First in, first out. Writers wait while it is full, readers while it is empty. Any thread may
// call any method.
template <typename T>
class BoundedQueue {
 public:
  explicit BoundedQueue(std::size_t capacity) : capacity_(capacity) {}

  // Waits while the queue is full. False if it is closed: the value is dropped.
  bool Push(T value) {
    std::unique_lock lock(mutex_);
    not_full_.wait(lock, [this] { return closed_ || values_.size() < capacity_; });
    if (closed_) return false;
    values_.push_back(std::move(value));
    lock.unlock();
    not_empty_.notify_one();
    return true;
  }

  // Never waits: a few urgent values may go beyond the capacity. False if the queue is closed.
  bool PushBeyondCapacity(T value) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_) return false;
      values_.push_back(std::move(value));
    }
    not_empty_.notify_one();
    return true;
  }

  // Nothing if the time came first, or if the queue is closed and empty.
  std::optional<T> PopUntil(std::chrono::steady_clock::time_point time) {
    std::unique_lock lock(mutex_);
    not_empty_.wait_until(lock, time, [this] { return closed_ || !values_.empty(); });
    return PopFront(lock);
  }

  // Waits for as long as it takes. Nothing if the queue is closed and empty.
  std::optional<T> Pop() {
    std::unique_lock lock(mutex_);
    not_empty_.wait(lock, [this] { return closed_ || !values_.empty(); });
    return PopFront(lock);
  }

  // From now on nothing is pushed; what the queue holds can still be popped.
  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    not_full_.notify_all();
    not_empty_.notify_all();
  }

 private:
  // Releases the lock.
  std::optional<T> PopFront(std::unique_lock<std::mutex>& lock) {
    if (values_.empty()) return std::nullopt;
    std::optional<T> value(std::move(values_.front()));
    values_.pop_front();
    lock.unlock();
    not_full_.notify_one();
    return value;
  }

  const std::size_t capacity_;
  std::mutex mutex_;  // guards what follows
  std::condition_variable not_full_;
  std::condition_variable not_empty_;
  std::deque<T> values_;
  bool closed_ = false;
};

// Waits for a value until `due()`, then handles what the queue holds, until it is empty or `due()`
// has come. `due` is called anew after each value, which may bring that time forward. The bound
// lets the caller do its other work though the queue is filled as fast as it is emptied.
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
