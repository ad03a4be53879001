// What the dispatch policy asks its caller to do. Actions are values; the caller owns them.
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
  // From the start of the attempt; always above 0.
  Duration timeout{};
  // No attempt may begin later than this.
  Time start_by{};
};

// Why a message is over without a delivery. For logs alone: the action says what follows from it.
enum class GiveUpReason {
  kNotAdmitted,          // the admission gate rejected it at its arrival
  kUnknownClass,         // the settings do not have its class
  kDeadline,             // its time is up
  kAttemptsExhausted,    // no further attempt is allowed
  kDedupWindowExpired,   // its receiver may have forgotten its idempotency key
  kEndpointsUnavailable  // all of its endpoints have asked to wait beyond its deadline
};

// The message is over, and no attempt of it has had an effect that a further submission would
// double.
struct RejectMessage {
  MessageId message = 0;
  // What the client is told to wait before it submits the message again; 0: it is told nothing.
  Duration retry_after{};
  GiveUpReason reason = GiveUpReason::kNotAdmitted;
};

// The message is over without a delivery, and may have taken effect: submitting it again may double
// the effect.
struct FailMessage {
  MessageId message = 0;
  GiveUpReason reason = GiveUpReason::kUnknownClass;
};

// Stop the attempt. It is still answered by an AttemptCompleted.
struct CancelAttempt {
  MessageId message = 0;
  std::size_t attempt = 0;  // as numbered by SendAttempt
};

// Call Decide with TimerFired at that time. It replaces an earlier timer with the same token.
struct SetTimer {
  std::uint64_t token = 0;
  Time at{};
};

// Check the endpoint's health without a message; answered by one HealthCheckCompleted.
struct StartHealthCheck {
  EndpointId endpoint = 0;
};

// Send endpoint lists from now on (Settings::subscribe_to_endpoint_list).
struct SubscribeToEndpointList {};

// A line for the log. Its text is for operators; its wording is part of no interface but the log.
struct LogMessage {
  std::string text;
};

// One thing to do.
using Action = std::variant<SendAttempt, RejectMessage, FailMessage, CancelAttempt, SetTimer,
                            StartHealthCheck, SubscribeToEndpointList, LogMessage>;

// The name in the log.
[[nodiscard]] const char* ToString(GiveUpReason reason);

}  // namespace dispatch_policy

#endif  // DISPATCH_POLICY_ACTIONS_HPP_
