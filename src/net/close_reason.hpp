// The reasons why a connection ended, as logged. docs/logging.md lists the words for operators.
#ifndef BRASSFRONT_NET_CLOSE_REASON_HPP_
#define BRASSFRONT_NET_CLOSE_REASON_HPP_

#include <string_view>

namespace brassfront {

// The reason why a connection ended.
enum class CloseReason {
  kCancelled,        // the engine stopped the call
  kClientGone,       // the client closed before the reply that its message is accepted
  kConnectFailed,    // the connection could not be established
  kConnectionLimit,  // a new connection, rejected because no other one could be evicted
  kDoubtful,         // its last answer may belong to an earlier call
  kDraining,         // between two commands, in a graceful shutdown or in standby
  kEndpointRemoved,  // its endpoint is no longer listed
  kEvicted,          // idle, closed to make room for others
  kIdle,             // idle for the maximum time
  kIdleLimit,        // it exceeded the maximum number of idle connections
  kIncomplete,       // the response was not complete in time
  kInvalid,          // the response cannot be used
  kKeepAliveOff,     // the peer does not keep the connection open after its response
  kMalformed,        // the bytes violate the protocol
  kMoved,            // the peer's address has changed
  kPeerClosed,       // the peer closed it
  kQuit,             // the client sent QUIT
  kReset,            // an error on the connection
  kShutdown,         // the process is shutting down
  kSilent,           // nothing was received in time
  kStale,            // the peer closed it, or sent something, while it was idle
  kTimedOut,         // the call timed out
  kTooManyErrors,    // too many consecutive invalid commands
  kTooSlow,          // a command was not complete in time
  kWithdrawn,        // the engine withdrew the call before it was sent
  kWriteFailed,      // the request could not be written
};

// Returns the word in the log.
std::string_view ToString(CloseReason reason);

}  // namespace brassfront

#endif  // BRASSFRONT_NET_CLOSE_REASON_HPP_
