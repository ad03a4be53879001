// Actions that the dispatch policy asks its caller to carry out. Actions are plain values; the
// caller owns them.
#ifndef DISPATCH_POLICY_ACTIONS_HPP_
#define DISPATCH_POLICY_ACTIONS_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "dispatch_policy/settings.hpp"

namespace dispatch_policy {

// Begin an attempt to deliver the message. Attempts of one message are numbered from 0 in the order
// of these actions. The caller reports the end of each with one AttemptCompleted.
struct SendAttempt {
  MessageId message = 0;
  EndpointId endpoint = 0;
  // Measured from the start of the attempt; always above 0.
  Duration timeout{};
  // No attempt may begin later than this.
  Time start_by{};
};

// Why a message ended without a delivery. Used only in logs: the type of the action determines what
// the client may do.
enum class GiveUpReason {
  kNotAdmitted,          // the admission gate rejected it at its arrival
  kUnknownClass,         // the settings do not have its class
  kDeadline,             // its deadline has passed
  kAttemptsExhausted,    // no further attempt is allowed
  kDedupWindowExpired,   // its receiver may have forgotten its idempotency key
  kEndpointsUnavailable  // a Retry-After of every endpoint extends past its deadline
};

// The message has ended without a delivery. Submitting it again is safe: it cannot duplicate an
// effect.
struct RejectMessage {
  MessageId message = 0;
  // Time that the client is asked to wait before it submits the message again; 0: no Retry-After is
  // sent.
  Duration retry_after{};
  GiveUpReason reason = GiveUpReason::kNotAdmitted;
};

// The message has ended without a delivery, but may have taken effect: submitting it again may
// duplicate the effect.
struct FailMessage {
  MessageId message = 0;
  GiveUpReason reason = GiveUpReason::kUnknownClass;
};

// Stop the attempt. The caller must still report its end with an AttemptCompleted.
struct CancelAttempt {
  MessageId message = 0;
  std::size_t attempt = 0;  // as numbered by SendAttempt
};

// Call Decide with TimerFired at time `at`. The timer replaces an earlier one with the same token.
struct SetTimer {
  std::uint64_t token = 0;
  Time at{};
};

// Check the endpoint's health without sending a message. The caller reports the result with one
// HealthCheckCompleted.
struct StartHealthCheck {
  EndpointId endpoint = 0;
};

// Report endpoint lists from now on (see Settings::subscribe_to_endpoint_list).
struct SubscribeToEndpointList {};

// A line for the log. The text is meant for operators; its wording is not part of the programming
// interface.
struct LogMessage {
  std::string text;
};

// Any action of the policy.
using Action = std::variant<SendAttempt, RejectMessage, FailMessage, CancelAttempt, SetTimer,
                            StartHealthCheck, SubscribeToEndpointList, LogMessage>;

// Returns the name that logs use for the reason.
[[nodiscard]] const char* ToString(GiveUpReason reason);

}  // namespace dispatch_policy

#endif  // DISPATCH_POLICY_ACTIONS_HPP_
