// Threads with small stacks, as std::thread offers no choice of their size.
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

// Owns a running thread and joins it at its end. For one thread at a time.
class Thread {
 public:
  // The network and integration tests pass with 32 KiB in a Release build; the sanitizers need
  // more. The deepest path is a discovery line through the JSON reader, which is bounded; large
  // data is on the heap or in pooled buffers. With the usual 8 MiB, 300 threads would reserve 2.4
  // GB.
  static constexpr std::size_t kStackBytes = std::size_t{128} * 1024;

  // No thread.
  Thread() = default;
  // Starts a thread without which the process is of no use: waits out a shortage of threads for as
  // long as a start may take. Throws std::runtime_error then.
  [[nodiscard]] static Thread Require(const char* name, const std::function<void()>& body) {
    Thread thread;
    const bool started = RetryAtStart(SystemCall::kStartThread, [&] {
      thread = Thread(name, body);
      return thread.started();
    });
    if (!started) throw std::runtime_error("no room for a thread");
    return thread;
  }
  // Starts a thread that runs the body; if the system can't start it, errno tells why. The system's
  // tools show the name, up to 15 bytes of it.
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

  // False if the system could not start it, and once it has been joined.
  [[nodiscard]] bool started() const { return started_; }
  // Waits until the body has returned; at once if there is no thread.
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
