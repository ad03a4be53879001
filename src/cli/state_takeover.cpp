#include "cli/state_takeover.hpp"

#include <cerrno>
#include <cstring>
#include <string>
#include <utility>

#include "observe/log.hpp"
#include "observe/metrics.hpp"
#include "system/retry.hpp"

namespace brassfront {
namespace {

using observe::Concern;
using observe::Level;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

bool IsAskedToEnd() {
  sigset_t pending;
  sigemptyset(&pending);
  sigpending(&pending);
  return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1 ||
         sigismember(&pending, SIGQUIT) == 1;
}

void LogWaiting(const FolderOwner& owner, milliseconds limit) {
  observe::Log(Concern::kService, Level::kWarning, "waiting for the state folder",
               {{"state", owner.folder()},
                {"holder", owner.ReadHolder().process_id},
                {"limit_ms", limit.count()}});
}

void LogOwned(const FolderOwner& owner, milliseconds waited) {
  const OwnerNote predecessor = owner.predecessor();
  observe::SetGauge("state_folder_wait_ms", {}, waited.count());
  observe::Log(
      Concern::kService, Level::kInfo, "state folder owned",
      {{"waited_ms", waited.count()},
       {"predecessor", predecessor.process_id},
       {"predecessor_open",
        predecessor.open_messages ? std::to_string(*predecessor.open_messages) : "unknown"}});
}

}  // namespace

Takeover TakeOverStateFolder(FolderOwner& owner, milliseconds limit) {
  const auto start = steady_clock::now();
  const auto waited = [&] {
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - start);
  };
  bool logged = false;
  while (true) {
    const FileLock::Outcome outcome = owner.Acquire();
    if (outcome == FileLock::Outcome::kHeld) {
      LogOwned(owner, waited());
      return Takeover::kOwned;
    }
    if (outcome == FileLock::Outcome::kFailed) {
      observe::CountSystemCallFailure("flock", errno);
      observe::Log(Concern::kService, Level::kError, "state folder cannot be locked yet",
                   {{"state", owner.folder()}, {"error", std::strerror(errno)}});
      return Takeover::kFolderFails;
    }
    if (IsAskedToEnd()) return Takeover::kStopped;
    if (waited() >= limit) return Takeover::kTimedOut;
    if (!std::exchange(logged, true)) LogWaiting(owner, limit);
    Pause(kTransientPause);
  }
}

}  // namespace brassfront
