#include "system/retry.hpp"

#include <atomic>
#include <thread>

namespace brassfront {
namespace {

using std::chrono::steady_clock;

std::atomic<steady_clock::time_point>& Deadline() {
  static std::atomic<steady_clock::time_point> deadline{steady_clock::now() + kStartupRetryLimit};
  return deadline;
}

}  // namespace

void Pause(std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }

void BeginStartup() { Deadline() = steady_clock::now() + kStartupRetryLimit; }

steady_clock::time_point StartupDeadline() { return Deadline(); }

}  // namespace brassfront
