// Waiting out transient failures of system calls.
#ifndef BRASSFRONT_SYSTEM_RETRY_HPP_
#define BRASSFRONT_SYSTEM_RETRY_HPP_

#include <cerrno>
#include <chrono>

#include "system/error_class.hpp"

namespace brassfront {

// A start has to be over 10 s after the process began; what fails at a start is tried again up to
// this age of the process, by all of its parts together, and then ends it.
inline constexpr std::chrono::seconds kStartupRetryLimit{8};

// The pause before a call that failed by a transient error is made again.
inline constexpr std::chrono::milliseconds kTransientPause{10};

// Blocks the calling thread; an interruption does not shorten it.
void Pause(std::chrono::milliseconds time);

// A start begins now; without it, one begins with the first call of StartupDeadline.
void BeginStartup();

// When a start has to be over.
[[nodiscard]] std::chrono::steady_clock::time_point StartupDeadline();

// For the parts of a start: calls `attempt` until it returns true, fails by an error that is not
// transient for this call, or the start has to be over. False if it failed; errno is that of the
// last attempt.
template <typename Attempt>
[[nodiscard]] bool RetryAtStart(SystemCall call, Attempt attempt) {
  while (!attempt()) {
    const int error = errno;
    const bool over = std::chrono::steady_clock::now() >= StartupDeadline();
    if (over || !IsTransient(call, error)) {
      errno = error;
      return false;
    }
    Pause(kTransientPause);
  }
  return true;
}

}  // namespace brassfront

#endif  // BRASSFRONT_SYSTEM_RETRY_HPP_
