// Tests that the threads of a pool start and end with the amount of work.
#include "concurrency/thread_pool.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <future>
#include <thread>

namespace brassfront {
namespace {

using Task = std::function<void()>;
constexpr std::chrono::milliseconds kNever = std::chrono::hours(1);

TEST_CASE("a thread pool grows with the concurrent work up to its maximum and does all of it") {
  std::promise<void> go;
  const std::shared_future<void> gone(go.get_future());
  std::atomic<int> done{0};
  {
    ThreadPool<Task> pool("test", {.min_threads = 1, .max_threads = 3, .idle_timeout = kNever},
                          [](const Task& task) { task(); });
    CHECK(pool.threads() == 1);
    for (int i = 0; i < 100; ++i) {
      pool.Submit([&] {
        gone.wait();
        ++done;
      });
    }
    CHECK(pool.threads() == 3);
    go.set_value();
  }
  CHECK(done == 100);  // the destructor waits for all of the work
}

TEST_CASE("threads beyond the minimum end when idle and start again with new work") {
  ThreadPool<Task> pool(
      "test", {.min_threads = 1, .max_threads = 8, .idle_timeout = std::chrono::milliseconds(1)},
      [](const Task& task) { task(); });
  for (int round = 0; round < 20; ++round) {
    std::promise<void> go;
    const std::shared_future<void> gone(go.get_future());
    for (int i = 0; i < 8; ++i) pool.Submit([gone] { gone.wait(); });
    CHECK(pool.threads() == 8);
    go.set_value();
    while (pool.threads() > 1) std::this_thread::yield();
  }
}

}  // namespace
}  // namespace brassfront
