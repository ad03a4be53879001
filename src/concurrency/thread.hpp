// Threads with small stacks, for the standard library offers no size.
//
// 128 KiB: the network and integration tests pass with 32 KiB in a Release build, and the
// sanitizers need more. The deepest path is a discovery line through the JSON reader, which is
// bounded; large data is on the heap or in pooled buffers. With the usual 8 MiB, 300 threads would
// reserve 2.4 GB.
#ifndef BRASSFRONT_CONCURRENCY_THREAD_HPP_
#define BRASSFRONT_CONCURRENCY_THREAD_HPP_

#include <pthread.h>

#include <functional>
#include <memory>
#include <utility>

namespace brassfront {

class Thread {
 public:
  static constexpr std::size_t kStackBytes = 128 * 1024;

  Thread() = default;
  // The name is what the system's tools show of it, up to 15 bytes.
  Thread(const char* name, std::function<void()> body) {
    auto held = std::make_unique<std::function<void()>>(std::move(body));
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, kStackBytes);
    const auto run = [](void* given) -> void* {
      const std::unique_ptr<std::function<void()>> own(static_cast<std::function<void()>*>(given));
      (*own)();
      return nullptr;
    };
    started_ = pthread_create(&thread_, &attributes, run, held.get()) == 0;
    if (started_) {
      held.release();
      pthread_setname_np(thread_, name);
    }
    pthread_attr_destroy(&attributes);
  }
  ~Thread() { Join(); }
  Thread(Thread&& other) noexcept { *this = std::move(other); }
  Thread& operator=(Thread&& other) noexcept {
    std::swap(thread_, other.thread_);
    std::swap(started_, other.started_);
    return *this;
  }

  [[nodiscard]] bool started() const {
    return started_;
  }  // false where the system had no room for one
  void Join() {
    if (std::exchange(started_, false)) pthread_join(thread_, nullptr);
  }

 private:
  pthread_t thread_{};
  bool started_ = false;
};

}  // namespace brassfront

#endif  // BRASSFRONT_CONCURRENCY_THREAD_HPP_
