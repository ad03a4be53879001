// Small-stack threads that come as work does and go when there has been none for a while.
//
// Guards against hundreds of threads that wait for something: each of them costs the system time
// whenever the process is stopped and let go on, which is how some platforms hold it to its share
// of a core, and that time is taken from the threads that have work.
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

template <typename T>
class ThreadPool {
 public:
  struct Size {
    std::size_t least = 1;  // stay, whatever there is to do
    std::size_t most = 1;
    std::chrono::milliseconds idle{2000};  // after which one beyond the least goes
  };

  // Throws where the system has no room for the first of them.
  ThreadPool(const char* name, const Size& size, std::function<void(T)> work)
      : name_(name), size_(size), work_(std::move(work)) {
    const std::lock_guard lock(mutex_);
    while (members_.size() < size_.least && StartOne()) {
    }
    if (members_.empty()) throw std::runtime_error("no room for a thread");
  }
  // Does what is waiting, and returns once all of it is done.
  ~ThreadPool() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    filled_.notify_all();
    for (Member& member : members_) member.thread.Join();
  }

  // Never waits. Where the system has no room for a further thread, the others do the work.
  void Submit(T value) {
    {
      const std::lock_guard lock(mutex_);
      members_.remove_if([](const Member& member) { return member.gone; });
      waiting_.push_back(std::move(value));
      if (waiting_.size() > idle_ && members_.size() < size_.most) StartOne();
    }
    filled_.notify_one();
  }

  std::size_t threads() const {
    const std::lock_guard lock(mutex_);
    return Staying();
  }

 private:
  struct Member {
    Thread thread;
    bool gone = false;
  };

  bool StartOne() {
    Member& member = members_.emplace_back();
    member.thread = Thread(name_, [this, &member] { Serve(member); });
    if (member.thread.started()) return true;
    members_.pop_back();
    return false;
  }

  void Serve(Member& member) {
    std::unique_lock lock(mutex_);
    while (true) {
      ++idle_;
      const auto wanted = [this] { return closed_ || !waiting_.empty(); };
      const bool came = filled_.wait_for(lock, size_.idle, wanted);
      --idle_;
      if (!waiting_.empty()) {
        T value = std::move(waiting_.front());
        waiting_.pop_front();
        lock.unlock();
        work_(std::move(value));
        lock.lock();
        continue;
      }
      if (closed_) return;
      if (!came && Staying() > size_.least) {
        member.gone = true;
        return;
      }
    }
  }

  std::size_t Staying() const {
    std::size_t count = 0;
    for (const Member& member : members_) count += member.gone ? 0 : 1;
    return count;
  }

  const char* const name_;
  const Size size_;
  const std::function<void(T)> work_;
  mutable std::mutex mutex_;  // guards what follows
  std::condition_variable filled_;
  std::deque<T> waiting_;
  std::list<Member> members_;
  std::size_t idle_ = 0;
  bool closed_ = false;
};

}  // namespace brassfront

#endif  // BRASSFRONT_CONCURRENCY_THREAD_POOL_HPP_
