// Conditions: what the policy has observed of endpoints and destinations and must respect, such as
// Retry-After, outages, slow starts and learned limits. A caller whose messages outlive the process
// stores the conditions (DispatchPolicy::TakeConditionChanges) and passes them to the policy of the
// next process (EndpointConditionRestored, DestinationConditionRestored). All are plain values.
#ifndef DISPATCH_POLICY_CONDITIONS_HPP_
#define DISPATCH_POLICY_CONDITIONS_HPP_

#include <variant>

#include "dispatch_policy/settings.hpp"

namespace dispatch_policy {

// State of an endpoint's circuit breaker.
enum class Health { kClosed, kOpen, kRecovering };

// The condition of a rate limit scope, that is, of what shares one rate limit, one Retry-After and
// one trial call: a destination, or an endpoint with its own limit.
struct RateLimitCondition {
  Time wait_until{};             // end of the Retry-After
  Time next_call{};              // earliest start of the next call
  Time next_trial{};             // earliest start of the next trial call
  double rate = 0;               // learned, calls per second; 0: no limit was observed
  bool from_even_share = false;  // `rate` was derived from the even share of the limit
  double limit = 0;              // for all dispatchers together, calls per second; 0: unknown
  bool limit_reported = false;   // by the endpoint; if false, `limit` is from the endpoint list
  Time rate_changed{};
  int rejections = 0;      // consecutive rejected calls
  Time first_rejection{};  // first of the consecutive rejections
  Time last_rejection{};

  friend bool operator==(const RateLimitCondition&, const RateLimitCondition&) = default;
};

// The condition of one endpoint.
struct EndpointCondition {
  Health health = Health::kClosed;
  Time health_since{};
  bool closed_by_endpoint = false;  // open because of rejections or a Retry-After
  double failure_share = 0;         // of recent calls, 0 to 1
  int failures = 0;                 // consecutive failed calls
  Time first_failure{};             // send time of the first of the consecutive failures
  bool connect_failed = false;      // the last failure was a failed connection attempt
  Time last_answer{};               // send time of the last call that was delivered
  int connection_limit = 0;         // calls in flight that its connections allowed; 0: unknown
  Time limit_seen{};                // when the connection limit was reached last
  Time next_call{};                 // earliest start of the next call

  friend bool operator==(const EndpointCondition&, const EndpointCondition&) = default;
};

// The condition of one destination.
struct DestinationCondition {
  Time last_answer{};       // send time of the last call that was delivered, at any endpoint
  double arrival_rate = 0;  // messages per second
  double send_rate = 0;     // messages per second

  friend bool operator==(const DestinationCondition&, const DestinationCondition&) = default;
};

// The condition of an endpoint, and of its own rate limit if it has one.
struct EndpointConditionChange {
  EndpointId endpoint = 0;
  EndpointCondition condition;
  RateLimitCondition own_limit;
};

// The condition of a destination, and of the rate limit that its endpoints share.
struct DestinationConditionChange {
  DestinationId destination = 0;
  DestinationCondition condition;
  RateLimitCondition shared_limit;
};

using ConditionChange = std::variant<EndpointConditionChange, DestinationConditionChange>;

// Returns whether a policy without this condition would make the same decisions from `now` on,
// apart from differences in latencies and in the rates of its own calls. Such a condition need not
// be stored.
[[nodiscard]] bool IsOrdinary(const RateLimitCondition& limit, Time now);
[[nodiscard]] bool IsOrdinary(const EndpointCondition& condition, Time now);

}  // namespace dispatch_policy

#endif  // DISPATCH_POLICY_CONDITIONS_HPP_
