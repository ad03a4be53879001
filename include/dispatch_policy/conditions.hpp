// What the policy has observed of endpoints and destinations and has to keep to: Retry-After,
// outages, slow starts, learned limits. A caller whose messages outlast the process stores it
// (DispatchPolicy::TakeConditionChanges) and hands it to the next one (EndpointConditionRestored,
// DestinationConditionRestored). Plain values.
#ifndef DISPATCH_POLICY_CONDITIONS_HPP_
#define DISPATCH_POLICY_CONDITIONS_HPP_

#include <variant>

#include "dispatch_policy/settings.hpp"

namespace dispatch_policy {

// State of an endpoint's circuit breaker.
enum class Health { kClosed, kOpen, kRecovering };

// Of what shares one rate limit, one Retry-After and one trial call: a destination, or an endpoint
// with a limit of its own.
struct RateLimitCondition {
  Time wait_until{};             // end of the Retry-After
  Time next_call{};              // no call before this
  Time next_trial{};             // no trial call before this
  double rate = 0;               // learned, calls a second; 0: no limit seen
  bool from_even_share = false;  // `rate` follows from the even share of the limit
  double limit = 0;              // of all dispatchers, calls a second; 0: unknown
  bool limit_reported = false;   // else `limit` is the listed one
  Time rate_changed{};
  int rejections = 0;      // in a row
  Time first_rejection{};  // of those in a row
  Time last_rejection{};

  friend bool operator==(const RateLimitCondition&, const RateLimitCondition&) = default;
};

// Of one endpoint.
struct EndpointCondition {
  Health health = Health::kClosed;
  Time health_since{};
  bool closed_by_endpoint = false;  // open because it rejects or asked to wait
  double failure_share = 0;         // of recent calls
  int failures = 0;                 // in a row
  Time first_failure{};             // send of the first of those in a row
  bool connect_failed = false;      // the last failure was a connection that never came up
  Time last_answer{};               // send of the last call that was delivered
  int connection_limit = 0;  // calls in flight that its connections allowed; 0: no limit seen
  Time limit_seen{};         // when the connection limit was reached last
  Time next_call{};          // no call before this

  friend bool operator==(const EndpointCondition&, const EndpointCondition&) = default;
};

// Of one destination.
struct DestinationCondition {
  Time last_answer{};       // send of the last call that was delivered, at any endpoint
  double arrival_rate = 0;  // of messages, a second
  double send_rate = 0;     // of messages, a second

  friend bool operator==(const DestinationCondition&, const DestinationCondition&) = default;
};

// The condition of an endpoint, and of its limit where that is its own.
struct EndpointConditionChange {
  EndpointId endpoint = 0;
  EndpointCondition condition;
  RateLimitCondition own_limit;
};

// The condition of a destination, and of the limit that its endpoints share.
struct DestinationConditionChange {
  DestinationId destination = 0;
  DestinationCondition condition;
  RateLimitCondition shared_limit;
};

using ConditionChange = std::variant<EndpointConditionChange, DestinationConditionChange>;

// Whether nothing of it would decide differently from `now` on than what is not known would, but
// for latencies and rates of its own calls. Such a condition need not be stored.
[[nodiscard]] bool IsOrdinary(const RateLimitCondition& limit, Time now);
[[nodiscard]] bool IsOrdinary(const EndpointCondition& condition, Time now);

}  // namespace dispatch_policy

#endif  // DISPATCH_POLICY_CONDITIONS_HPP_
