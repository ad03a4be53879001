// The first step of `brassfront serve`: becoming the only one who serves. A predecessor may still
// be there, serving or in its graceful shutdown.
//
// Two things have one owner: the state folder (spool/folder_owner.hpp) and the listening address.
// Nothing in the folder is touched before both are this process's, not even the owner's note, so
// that a predecessor of a version that knows no lock is waited for as well.
#ifndef BRASSFRONT_CLI_STATE_TAKEOVER_HPP_
#define BRASSFRONT_CLI_STATE_TAKEOVER_HPP_

#include <chrono>
#include <string>

#include "net/socket.hpp"
#include "spool/folder_owner.hpp"

namespace brassfront {

enum class TakeoverOutcome {
  kDone,      // the folder too, unless it can't be locked for now: whoever uses it tries again
  kTimedOut,  // another process has owned the folder or the address all the time
  kStopped,   // a signal asked this process to end before that
  kFailed     // the address can't be listened on
};

struct Takeover {
  TakeoverOutcome outcome = TakeoverOutcome::kFailed;
  Socket listener{};
  int error = 0;  // the errno of the last try to listen
};

// How long a predecessor may take. One that is replaced is told to end 6 s after the start of its
// successor and killed 3.7 s later; a start counts as failed after 30 s.
inline constexpr std::chrono::seconds kTakeoverLimit{25};

// Waits for both, within `limit` together. The signals that end a forwarder must be blocked; a
// pending one ends the wait and stays pending.
[[nodiscard]] Takeover TakeOver(FolderOwner& owner, const std::string& listen,
                                std::chrono::milliseconds limit);

}  // namespace brassfront

#endif  // BRASSFRONT_CLI_STATE_TAKEOVER_HPP_
