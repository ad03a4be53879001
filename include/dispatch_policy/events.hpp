// Events that the caller reports to the dispatch policy. Events about unknown messages, attempts or
// endpoints are ignored. All are plain values; the policy keeps no reference to them.
#ifndef DISPATCH_POLICY_EVENTS_HPP_
#define DISPATCH_POLICY_EVENTS_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dispatch_policy/conditions.hpp"
#include "dispatch_policy/settings.hpp"

namespace dispatch_policy {

// How an attempt or a health check ended. The comments state whether the message may have taken
// effect.
enum class Outcome {
  kDelivered,
  kError,                  // answered with an error; the message may have run
  kRejected,               // rejected by the endpoint; never ran
  kTimeout,                // may have run, or may still be running
  kConnectFailed,          // never ran
  kReset,                  // may have run, or may still be running
  kCancelled,              // may have run, or may still be running
  kNotSent,                // never left the dispatcher
  kConnectionLimitReached  // the endpoint works, but accepts no further connection; never ran
};

// The load report that an endpoint sends with an answer.
struct LoadReport {
  // Remaining share of the rate limit, 0 to 1; nullopt: not reported.
  std::optional<double> allowance_left;
  // Rate limit for all dispatchers together, in calls per second; 0: unlimited; nullopt: not
  // reported.
  std::optional<double> limit;
};

// A client has submitted a message.
struct MessageArrived {
  MessageId message = 0;
  DestinationId destination = 0;
  std::size_t message_class = 0;  // index in Settings::classes
  std::size_t tenant = 0;         // index in Settings::tenants
  Duration time_left{};           // until its deadline
  // Ordering key: messages of an ordered class that have the same key are sent one at a time;
  // empty: not ordered.
  std::string key;
};

// A message that an earlier process of this dispatcher accepted. The admission gate does not reject
// the message.
struct MessageRestored {
  MessageId message = 0;
  DestinationId destination = 0;
  std::size_t message_class = 0;
  // Time until its deadline; below 0: the deadline has passed.
  Duration time_left{};
  // Ordering key, as in MessageArrived.
  std::string key;
  std::size_t attempts_used = 0;  // by earlier processes
  // Send time and endpoint of the first attempt that may have run; nullopt: no attempt has run.
  std::optional<Time> may_have_run;
  EndpointId ran_on_endpoint = 0;
};

// The condition of an endpoint as observed by an earlier process of this dispatcher, or by this
// process before it dropped the removed endpoint. To be passed after the first endpoint list that
// names the endpoint.
struct EndpointConditionRestored {
  EndpointId endpoint = 0;
  EndpointCondition condition;
  RateLimitCondition own_limit;
};

// The condition of a destination as observed by an earlier process of this dispatcher.
struct DestinationConditionRestored {
  DestinationId destination = 0;
  DestinationCondition condition;
  RateLimitCondition shared_limit;
};

// An earlier process of this dispatcher has left messages for a destination, but the condition of
// the destination is not known: its endpoints are first tested with single calls. To be passed
// after the endpoint list.
struct DestinationConditionLost {
  DestinationId destination = 0;
};

// An attempt that was requested by SendAttempt has ended.
struct AttemptCompleted {
  MessageId message = 0;
  std::size_t attempt = 0;
  EndpointId endpoint = 0;
  Outcome outcome = Outcome::kError;
  Duration elapsed{};  // from start to end; 0: unknown
  // The message has ended, with this attempt or earlier.
  bool finished = false;
  // The caller accepts no further attempt of the message.
  bool exhausted = false;
  // The message may have run, or may still be running, even if the outcome says that it never ran:
  // the caller does not know whether the outcome is that of this attempt.
  bool may_have_run = false;
  // Retry-After of the answer; 0: the answer has none.
  Duration retry_after{};
  LoadReport report;
};

// The client has disconnected before its message was acknowledged.
struct MessageCancelled {
  MessageId message = 0;
};

// The timer of SetTimer has fired.
struct TimerFired {
  std::uint64_t token = 0;
};

// A health check that was requested by StartHealthCheck has ended.
struct HealthCheckCompleted {
  EndpointId endpoint = 0;
  Outcome outcome = Outcome::kError;
  Duration elapsed{};
  LoadReport report;
};

// State of an endpoint in the endpoint list: takes work, takes no new work, or removed.
enum class EndpointState { kListed, kDraining, kRemoved };

// One endpoint of an endpoint list.
struct EndpointEntry {
  EndpointId endpoint = 0;
  DestinationId destination = 0;
  std::size_t kind = 0;  // index in Settings::kinds
  std::size_t zone = 0;  // index in Settings::zone_penalty
  EndpointState state = EndpointState::kListed;
  // See Settings::weights.
  double weight = 1;
};

// How an endpoint list treats endpoints that it does not name.
enum class ListForm {
  kChanges,   // endpoints that are not named stay as they are
  kComplete,  // endpoints that are not named are removed
  kFailed     // the source of the list has failed; the list has no information
};

// The endpoint list, or changes to it. A list with a lower version than the last one is ignored.
struct EndpointList {
  std::uint64_t version = 0;
  ListForm form = ListForm::kChanges;
  std::vector<EndpointEntry> entries;
};

// ---- from other dispatchers ----
//
// These events are for callers whose dispatchers share their observations. Without them every
// decision is based on this dispatcher's own observations.

// This dispatcher's lease on a part of a rate limit that all dispatchers share. The lease applies
// to the scope of the endpoint's limit: its destination, or the endpoint alone where limits are per
// endpoint. It is in force until the next lease for that scope.
struct QuotaLeased {
  EndpointId endpoint = 0;
  // Calls per second; nullopt: the limit is no longer shared.
  std::optional<double> rate;
};

// State of an endpoint as another dispatcher observed it.
enum class PeerHealth {
  kFailing,     // calls there fail
  kRetryAfter,  // the endpoint sent a Retry-After
  kWarmingUp,   // the endpoint is back from an outage or from maintenance
  kServing,     // the endpoint answered a trial call
  kBeingTested  // another dispatcher is making a trial call
};

// What other dispatchers have observed of an endpoint. A report of one witness makes the policy
// send one call at a time; a report of two changes the circuit breaker as the policy's own calls
// would.
struct PeerHealthReport {
  EndpointId endpoint = 0;
  PeerHealth health = PeerHealth::kFailing;
  // Time since the observation.
  Duration age{};
  // Remaining time of the Retry-After, or of the trial call that is in progress.
  Duration duration{};
  // Number of dispatchers that observed this themselves, except those whose reports were found to
  // be wrong.
  std::size_t witnesses = 1;
};

// Any event.
using Event =
    std::variant<MessageArrived, MessageRestored, AttemptCompleted, MessageCancelled, TimerFired,
                 HealthCheckCompleted, EndpointList, QuotaLeased, PeerHealthReport,
                 EndpointConditionRestored, DestinationConditionRestored, DestinationConditionLost>;

}  // namespace dispatch_policy

#endif  // DISPATCH_POLICY_EVENTS_HPP_
