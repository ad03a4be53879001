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

// A FIFO queue. Writers wait while it is full, readers while it is empty. Any thread may call any
// method.
template <typename T>
class BoundedQueue {
 public:
  explicit BoundedQueue(std::size_t capacity) : capacity_(capacity) {}

  // Waits while the queue is full. Returns false, and drops the value, if the queue is closed.
  bool Push(T value) {
    std::unique_lock lock(mutex_);
    not_full_.wait(lock, [this] { return closed_ || values_.size() < capacity_; });
    if (closed_) return false;
    values_.push_back(std::move(value));
    lock.unlock();
    not_empty_.notify_one();
    return true;
  }

  // Never waits, and ignores the capacity; for a few urgent values. Returns false if the queue is
  // closed.
  bool PushBeyondCapacity(T value) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_) return false;
      values_.push_back(std::move(value));
    }
    not_empty_.notify_one();
    return true;
  }

  // Waits for a value until `time`. Returns nothing on a timeout, or if the queue is closed and
  // empty.
  std::optional<T> PopUntil(std::chrono::steady_clock::time_point time) {
    std::unique_lock lock(mutex_);
    not_empty_.wait_until(lock, time, [this] { return closed_ || !values_.empty(); });
    return PopFront(lock);
  }

  // Waits without a time limit. Returns nothing if the queue is closed and empty.
  std::optional<T> Pop() {
    std::unique_lock lock(mutex_);
    not_empty_.wait(lock, [this] { return closed_ || !values_.empty(); });
    return PopFront(lock);
  }

  // Rejects further pushes; the values that are already queued can still be popped.
  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    not_full_.notify_all();
    not_empty_.notify_all();
  }

 private:
  // The caller must hold the lock, which this releases if it returns a value.
  std::optional<T> PopFront(std::unique_lock<std::mutex>& lock) {
    if (values_.empty()) return std::nullopt;
    std::optional<T> value(std::move(values_.front()));
    values_.pop_front();
    lock.unlock();
    not_full_.notify_one();
    return value;
  }

  const std::size_t capacity_;
  std::mutex mutex_;  // guards the members below
  std::condition_variable not_full_;
  std::condition_variable not_empty_;
  std::deque<T> values_;
  bool closed_ = false;
};

// Waits for a value until the time `due()`, then handles the queued values until the queue is empty
// or that time has passed. `due` is called again after each value, because handling a value may
// make that time earlier. The time limit lets the caller do its other work even if the queue is
// filled as fast as it is emptied.
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
