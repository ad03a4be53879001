#include "system/retry.hpp"

#include <thread>

namespace brassfront {

void Pause(std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }

std::chrono::steady_clock::time_point StartupDeadline() {
  static const auto kDeadline = std::chrono::steady_clock::now() + kStartupRetryLimit;
  return kDeadline;
}

}  // namespace brassfront
