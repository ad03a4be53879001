// Threads with small stacks; std::thread has no option for the stack size.
#ifndef BRASSFRONT_CONCURRENCY_THREAD_HPP_
#define BRASSFRONT_CONCURRENCY_THREAD_HPP_

#include <pthread.h>

#include <cerrno>
#include <cstddef>
#include <functional>
#include <memory>
#include <stdexcept>
#include <utility>

#include "system/retry.hpp"

namespace brassfront {

// Owns a running thread and joins it in the destructor. Not thread-safe.
class Thread {
 public:
  // 32 KiB are enough for the network and integration tests in a Release build; the sanitizers need
  // more. The deepest call path is the JSON parser on a discovery list, and its nesting depth is
  // limited; large data is on the heap or in pooled buffers. With the usual 8 MiB, 300 threads
  // would reserve 2.4 GB.
  static constexpr std::size_t kStackBytes = std::size_t{128} * 1024;

  // Constructs an object without a thread.
  Thread() = default;
  // Starts a thread that the process cannot work without. Retries while the system is short of
  // threads, for as long as a start may take, and then throws std::runtime_error.
  [[nodiscard]] static Thread Require(const char* name, const std::function<void()>& body) {
    Thread thread;
    const bool started = RetryAtStart(SystemCall::kStartThread, [&] {
      thread = Thread(name, body);
      return thread.started();
    });
    if (!started) throw std::runtime_error("the system can't start a thread");
    return thread;
  }
  // Starts a thread that runs `body`; if the system can't start it, started() is false and errno is
  // set. System tools show the first 15 bytes of the name.
  Thread(const char* name, std::function<void()> body) {
    auto owned_body = std::make_unique<std::function<void()>>(std::move(body));
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, kStackBytes);
    const int error = pthread_create(&thread_, &attributes, Run, owned_body.get());
    started_ = error == 0;
    if (started_) {
      static_cast<void>(owned_body.release());  // the thread owns it now
      pthread_setname_np(thread_, name);
    }
    pthread_attr_destroy(&attributes);
    if (!started_) errno = error;
  }
  ~Thread() { Join(); }
  Thread(Thread&& other) noexcept { *this = std::move(other); }
  Thread& operator=(Thread&& other) noexcept {
    std::swap(thread_, other.thread_);
    std::swap(started_, other.started_);
    return *this;
  }

  // False if there is no thread: the system could not start it, or it has been joined.
  [[nodiscard]] bool started() const { return started_; }
  // Waits until the body has returned. Returns immediately if there is no thread.
  void Join() {
    if (std::exchange(started_, false)) pthread_join(thread_, nullptr);
  }

 private:
  static void* Run(void* argument) {
    const std::unique_ptr<std::function<void()>> body(
        static_cast<std::function<void()>*>(argument));
    (*body)();
    return nullptr;
  }

  pthread_t thread_{};
  bool started_ = false;
};

}  // namespace brassfront

#endif  // BRASSFRONT_CONCURRENCY_THREAD_HPP_
