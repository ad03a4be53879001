// What the dispatch policy asks its caller to do.
#ifndef DISPATCH_POLICY_ACTIONS_HPP_
#define DISPATCH_POLICY_ACTIONS_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "dispatch_policy/settings.hpp"

namespace dispatch_policy {

// Begin an attempt to deliver the message. Attempts of one message are numbered from 0 in the order
// of these actions, and each is answered by one AttemptCompleted.
struct SendAttempt {
  MessageId message = 0;
  EndpointId endpoint = 0;
  // Always above 0.
  Duration timeout{};
  // No attempt may begin later than this.
  Time start_by{};
};

// The message is over: submitting it again does no harm.
struct RejectMessage {
  MessageId message = 0;
  // 0: the client is not told when to come back.
  Duration retry_after{};
};

// The message is over: it has failed, and may have taken effect.
struct FailMessage {
  MessageId message = 0;
};

// Stop the attempt. It is still answered by an AttemptCompleted.
struct CancelAttempt {
  MessageId message = 0;
  std::size_t attempt = 0;
};

// Call Decide with TimerFired at that time. It replaces an earlier timer with the same token.
struct SetTimer {
  std::uint64_t token = 0;
  Time at{};
};

// Check the endpoint without a message; answered by one HealthCheckCompleted.
struct StartHealthCheck {
  EndpointId endpoint = 0;
};

// Send endpoint lists from now on (Settings::subscribe_to_endpoint_list).
struct SubscribeToEndpointList {};

// A line of the log, for people.
struct LogMessage {
  std::string text;
};

using Action = std::variant<SendAttempt, RejectMessage, FailMessage, CancelAttempt, SetTimer,
                            StartHealthCheck, SubscribeToEndpointList, LogMessage>;

}  // namespace dispatch_policy

#endif  // DISPATCH_POLICY_ACTIONS_HPP_
