// A pool of threads with small stacks that grows with the work and shrinks when threads are idle.
#ifndef BRASSFRONT_CONCURRENCY_THREAD_POOL_HPP_
#define BRASSFRONT_CONCURRENCY_THREAD_POOL_HPP_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <stdexcept>
#include <utility>

#include "concurrency/thread.hpp"

namespace brassfront {

// Passes each value to one of its threads. The number of threads follows the amount of work: some
// platforms limit a process to its share of a core by stopping and resuming it, and each idle
// thread makes that take longer, at the expense of the busy threads.
template <typename T>
class ThreadPool {
 public:
  struct Size {
    std::size_t min_threads = 1;  // kept even when idle
    std::size_t max_threads = 1;
    // How long a thread beyond the minimum may be idle before it ends.
    std::chrono::milliseconds idle_timeout{2000};
  };

  // The threads call `handler` concurrently. Throws std::runtime_error if the system can't start
  // even one thread.
  ThreadPool(const char* name, const Size& size, std::function<void(T)> handler)
      : name_(name), size_(size), handler_(std::move(handler)) {
    const std::lock_guard lock(mutex_);
    const bool started = RetryAtStart(SystemCall::kStartThread, [this] { return StartThread(); });
    if (!started) throw std::runtime_error("the system can't start a thread");
    while (workers_.size() < size_.min_threads && StartThread()) {
    }
  }
  // Waits until all values have been handled.
  ~ThreadPool() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    not_empty_.notify_all();
    for (Worker& worker : workers_) worker.thread.Join();
  }

  // Any thread may call this. Never waits. If the system can't start another thread, the existing
  // ones do the work.
  void Submit(T value) {
    {
      const std::lock_guard lock(mutex_);
      workers_.remove_if([](const Worker& worker) { return worker.finished; });
      queue_.push_back(std::move(value));
      if (queue_.size() > idle_threads_ && workers_.size() < size_.max_threads) StartThread();
    }
    not_empty_.notify_one();
  }

  // Returns the number of threads that are running now.
  [[nodiscard]] std::size_t threads() const {
    const std::lock_guard lock(mutex_);
    return RunningThreads();
  }

 private:
  struct Worker {
    Thread thread;
    bool finished = false;  // to be joined by the next Submit
  };

  // The caller must hold the mutex.
  bool StartThread() {
    Worker& worker = workers_.emplace_back();
    worker.thread = Thread(name_, [this, &worker] { Serve(worker); });
    if (worker.thread.started()) return true;
    const int error = errno;
    workers_.pop_back();
    errno = error;
    return false;
  }

  // The body of a thread; it locks the mutex itself.
  void Serve(Worker& worker) {
    std::unique_lock lock(mutex_);
    while (true) {
      ++idle_threads_;
      const auto should_wake = [this] { return closed_ || !queue_.empty(); };
      const bool has_work = not_empty_.wait_for(lock, size_.idle_timeout, should_wake);
      --idle_threads_;
      if (!queue_.empty()) {
        T value = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        handler_(std::move(value));
        lock.lock();
        continue;
      }
      if (closed_) return;
      if (!has_work && RunningThreads() > size_.min_threads) {
        worker.finished = true;
        return;
      }
    }
  }

  // The caller must hold the mutex.
  std::size_t RunningThreads() const {
    std::size_t count = 0;
    for (const Worker& worker : workers_) count += worker.finished ? 0 : 1;
    return count;
  }

  const char* const name_;
  const Size size_;
  const std::function<void(T)> handler_;
  mutable std::mutex mutex_;  // guards the members below
  std::condition_variable not_empty_;
  std::deque<T> queue_;
  std::list<Worker> workers_;
  std::size_t idle_threads_ = 0;
  bool closed_ = false;
};

}  // namespace brassfront

#endif  // BRASSFRONT_CONCURRENCY_THREAD_POOL_HPP_
