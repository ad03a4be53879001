// The first step of `brassfront serve`: becoming the only process that serves. A predecessor may
// still be running, either serving or in its graceful shutdown.
//
// Two resources have one owner at a time: the state folder (spool/folder_owner.hpp) and the
// listening address. Before this process owns both, it changes nothing in the folder, not even the
// owner's note. So it also waits for a predecessor of a version that does not use the lock.
#ifndef BRASSFRONT_CLI_STATE_TAKEOVER_HPP_
#define BRASSFRONT_CLI_STATE_TAKEOVER_HPP_

#include <chrono>
#include <string>

#include "net/socket.hpp"
#include "spool/folder_owner.hpp"

namespace brassfront {

enum class TakeoverOutcome {
  kDone,      // owns the address, and the folder unless it can't be locked now: its users retry
  kTimedOut,  // another process owned the folder or the address for the whole time limit
  kStopped,   // a signal asked this process to end during the wait
  kFailed     // listening on the address failed
};

struct Takeover {
  TakeoverOutcome outcome = TakeoverOutcome::kFailed;
  Socket listener{};
  int error = 0;  // errno of the last attempt to listen
};

// Time limit for the wait for a predecessor. A predecessor that is replaced receives SIGTERM 6 s
// after the start of its successor and SIGKILL 3.7 s later; the start of the successor counts as
// failed after 30 s.
inline constexpr std::chrono::seconds kTakeoverLimit{25};

// Waits for the folder and the address; `limit` applies to both waits together. The signals that
// end a forwarder must be blocked. A pending one ends the wait and stays pending.
[[nodiscard]] Takeover TakeOver(FolderOwner& owner, const std::string& listen,
                                std::chrono::milliseconds limit);

}  // namespace brassfront

#endif  // BRASSFRONT_CLI_STATE_TAKEOVER_HPP_
