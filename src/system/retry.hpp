// Retries after transient failures of system calls.
#ifndef BRASSFRONT_SYSTEM_RETRY_HPP_
#define BRASSFRONT_SYSTEM_RETRY_HPP_

#include <cerrno>
#include <chrono>

#include "system/error_class.hpp"

namespace brassfront {

// Startup must complete within 10 s of the start of the process. All operations that are retried
// during startup share this time limit, which begins with startup; after that the process ends.
inline constexpr std::chrono::seconds kStartupRetryLimit{8};

// The pause before a retry after a transient error.
inline constexpr std::chrono::milliseconds kTransientPause{10};

// Blocks the calling thread for the whole time, even if a signal interrupts it.
void Pause(std::chrono::milliseconds time);

// Starts the time limit of startup now. If it is not called, the first call of StartupDeadline
// starts it.
void BeginStartup();

// Returns the time at which startup must be complete.
[[nodiscard]] std::chrono::steady_clock::time_point StartupDeadline();

// For use during startup: calls `attempt` until it returns true, fails with an error that is not
// transient for `call`, or the startup deadline has passed. Returns false on failure, with the
// errno of the last attempt.
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
