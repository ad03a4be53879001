#include "cli/state_takeover.hpp"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <optional>
#include <utility>

#include "observe/log.hpp"
#include "observe/metrics.hpp"
#include "system/error_class.hpp"
#include "system/retry.hpp"

namespace brassfront {
namespace {

using observe::Concern;
using observe::Level;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

bool IsTerminationPending() {
  sigset_t pending;
  sigemptyset(&pending);
  sigpending(&pending);
  return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1 ||
         sigismember(&pending, SIGQUIT) == 1;
}

// The time limit that all waits of one takeover share.
class Wait {
 public:
  explicit Wait(milliseconds limit) : limit_(limit) {}

  [[nodiscard]] milliseconds limit() const { return limit_; }
  [[nodiscard]] milliseconds elapsed() const {
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - start_);
  }
  // Pauses before the next attempt. Returns an outcome if there must not be another attempt.
  [[nodiscard]] std::optional<TakeoverOutcome> Continue() const {
    if (IsTerminationPending()) return TakeoverOutcome::kStopped;
    if (elapsed() >= limit_) return TakeoverOutcome::kTimedOut;
    Pause(kTransientPause);
    return std::nullopt;
  }

 private:
  const steady_clock::time_point start_ = steady_clock::now();
  const milliseconds limit_;
};

void LogWaitingForFolder(const FolderOwner& owner, milliseconds limit) {
  observe::Log(Concern::kService, Level::kWarning, "waiting for the state folder",
               {{"state", owner.folder()},
                {"holder", owner.ReadHolder().process_id},
                {"limit_ms", limit.count()}});
}

void LogFolderOwned(const FolderOwner& owner, milliseconds waited) {
  const OwnerNote predecessor = owner.predecessor();
  observe::SetGauge("state_folder_wait_ms", {}, waited.count());
  observe::Log(
      Concern::kService, Level::kInfo, "state folder owned",
      {{"waited_ms", waited.count()},
       {"predecessor", predecessor.process_id},
       {"predecessor_open",
        predecessor.open_messages ? std::to_string(*predecessor.open_messages) : "unknown"}});
}

// Locks the folder. Returns kDone also if the lock attempt fails for now. Does not change the
// owner's note.
TakeoverOutcome LockFolder(FolderOwner& owner, const Wait& wait) {
  bool logged = false;
  while (true) {
    const FileLock::Outcome outcome = owner.Lock();
    if (outcome == FileLock::Outcome::kUnsupported) {
      observe::Log(Concern::kService, Level::kError, "state folder has no locks",
                   {{"state", owner.folder()}});
    }
    if (FolderOwner::IsOwned(outcome)) return TakeoverOutcome::kDone;
    if (outcome == FileLock::Outcome::kFailed) {
      observe::CountSystemCallFailure("flock", errno);
      observe::Log(Concern::kService, Level::kError, "state folder cannot be locked yet",
                   {{"state", owner.folder()}, {"error", std::strerror(errno)}});
      return TakeoverOutcome::kDone;
    }
    if (!std::exchange(logged, true)) LogWaitingForFolder(owner, wait.limit());
    if (const auto over = wait.Continue()) return *over;
  }
}

// Waits for an address that another process uses, up to the limit of the takeover. Retries other
// transient failures until the startup deadline.
Takeover TakeOverAddress(const std::string& listen, const Wait& wait) {
  const auto startup_deadline = steady_clock::now() + kStartupRetryLimit;
  bool logged = false;
  while (true) {
    Socket listener = Listen(listen, AcceptMode::kNonBlocking);
    if (listener.is_open()) {
      return {.outcome = TakeoverOutcome::kDone, .listener = std::move(listener)};
    }
    const int error = errno;
    const bool taken = error == EADDRINUSE;
    const bool late = !taken && steady_clock::now() >= startup_deadline;
    if (late || !IsTransient(SystemCall::kBind, error)) {
      return {.outcome = TakeoverOutcome::kFailed, .error = error};
    }
    if (taken && !std::exchange(logged, true)) {
      observe::Log(Concern::kService, Level::kWarning, "waiting for the address",
                   {{"listen", listen}, {"limit_ms", wait.limit().count()}});
    }
    if (const auto over = wait.Continue()) return {.outcome = *over, .error = error};
  }
}

}  // namespace

Takeover TakeOver(FolderOwner& owner, const std::string& listen, milliseconds limit) {
  const Wait wait(limit);
  const TakeoverOutcome folder = LockFolder(owner, wait);
  if (folder != TakeoverOutcome::kDone) return {.outcome = folder};
  const milliseconds waited_for_folder = wait.elapsed();
  Takeover takeover = TakeOverAddress(listen, wait);
  if (takeover.outcome == TakeoverOutcome::kDone && owner.Owns()) {
    LogFolderOwned(owner, waited_for_folder);
  }
  return takeover;
}

}  // namespace brassfront
