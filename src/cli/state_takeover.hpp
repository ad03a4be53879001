// The first step of `brassfront serve`: owning the state folder, which a predecessor may still do.
#ifndef BRASSFRONT_CLI_STATE_TAKEOVER_HPP_
#define BRASSFRONT_CLI_STATE_TAKEOVER_HPP_

#include <chrono>
#include <csignal>

#include "spool/folder_owner.hpp"

namespace brassfront {

enum class Takeover {
  kOwned,
  kFolderFails,  // it can't be locked for now; whoever uses it tries again
  kTimedOut,     // another process has owned it all the time
  kStopped       // a signal asked this process to end before it owned anything
};

// How long a predecessor may take. One that is replaced is told to end 6 s after the start of its
// successor and killed 3.7 s later; a start counts as failed after 30 s.
inline constexpr std::chrono::seconds kTakeoverLimit{25};

// Waits until the folder is owned, `limit` is over, or a signal that ends a forwarder is pending:
// these must be blocked, and stay pending.
[[nodiscard]] Takeover TakeOverStateFolder(FolderOwner& owner, std::chrono::milliseconds limit);

}  // namespace brassfront

#endif  // BRASSFRONT_CLI_STATE_TAKEOVER_HPP_
