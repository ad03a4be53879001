#include "net/close_reason.hpp"

namespace brassfront {

std::string_view ToString(CloseReason reason) {
  switch (reason) {
    case CloseReason::kCancelled:
      return "cancelled";
    case CloseReason::kClientGone:
      return "client-gone";
    case CloseReason::kConnectFailed:
      return "connect-failed";
    case CloseReason::kConnectionLimit:
      return "connection-limit";
    case CloseReason::kDoubtful:
      return "doubtful-answer";
    case CloseReason::kDraining:
      return "draining";
    case CloseReason::kEndpointRemoved:
      return "endpoint-removed";
    case CloseReason::kEvicted:
      return "evicted";
    case CloseReason::kIdle:
      return "idle";
    case CloseReason::kIdleLimit:
      return "idle-limit";
    case CloseReason::kIncomplete:
      return "incomplete";
    case CloseReason::kInvalid:
      return "invalid";
    case CloseReason::kKeepAliveOff:
      return "keep-alive-off";
    case CloseReason::kMalformed:
      return "malformed";
    case CloseReason::kMoved:
      return "moved";
    case CloseReason::kPeerClosed:
      return "peer-closed";
    case CloseReason::kQuit:
      return "quit";
    case CloseReason::kReset:
      return "reset";
    case CloseReason::kShutdown:
      return "shutdown";
    case CloseReason::kSilent:
      return "silent";
    case CloseReason::kStale:
      return "stale";
    case CloseReason::kTimedOut:
      return "timed-out";
    case CloseReason::kTooManyErrors:
      return "too-many-errors";
    case CloseReason::kTooSlow:
      return "too-slow";
    case CloseReason::kWithdrawn:
      return "withdrawn";
    case CloseReason::kWriteFailed:
      return "write-failed";
  }
  return "unknown";
}

}  // namespace brassfront
