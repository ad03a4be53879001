// Why a connection ended, as the log tells it. docs/logging.md lists the words for operators.
#ifndef BRASSFRONT_NET_CLOSE_REASON_HPP_
#define BRASSFRONT_NET_CLOSE_REASON_HPP_

#include <string_view>

namespace brassfront {

enum class CloseReason {
  kCancelled,        // the engine stopped the call
  kClientGone,       // the client closed before it was told that its message was accepted
  kConnectFailed,    // the connection did not come up
  kConnectionLimit,  // a new connection that no other one could make way for
  kDraining,         // between two commands, in a graceful shutdown or in standby
  kEndpointRemoved,  // its endpoint is no longer listed
  kEvicted,          // idle, closed in favour of others
  kIdle,             // idle for the longest time allowed
  kIdleLimit,        // one idle connection more than are kept
  kIncomplete,       // the response did not come whole in time
  kInvalid,          // the response cannot be used
  kKeepAliveOff,     // the peer asked for the end after its response
  kMalformed,        // the bytes break the protocol
  kMoved,            // the peer's address has changed
  kPeerClosed,       // the peer closed it
  kQuit,             // the client asked for it
  kReset,            // an error on the connection
  kShutdown,         // the process ends
  kSilent,           // nothing came in time
  kStale,            // the peer closed it, or sent something, while it was idle
  kTimedOut,         // the call's time was over
  kTooManyErrors,    // too many invalid commands in a row
  kTooSlow,          // a command did not come whole in time
  kWithdrawn,        // the engine withdrew the call before it was sent
  kWriteFailed,      // the request could not be written
};

// The word in the log.
std::string_view ToString(CloseReason reason);

}  // namespace brassfront

#endif  // BRASSFRONT_NET_CLOSE_REASON_HPP_
