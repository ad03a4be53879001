// What the caller reports to the dispatch policy. Events about unknown messages, attempts or
// endpoints are ignored. All are values; the policy keeps no reference to them.
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

// How an attempt or a health check ended. Comments say whether the message may have taken effect.
enum class Outcome {
  kDelivered,
  kError,                  // answered with an error; may have run
  kRejected,               // rejected by the endpoint; never ran
  kTimeout,                // may have run, or still run
  kConnectFailed,          // never ran
  kReset,                  // may have run, or still run
  kCancelled,              // may have run, or still run
  kNotSent,                // never left the dispatcher
  kConnectionLimitReached  // the endpoint works, but takes no further connection; never ran
};

// The load that an endpoint reports with an answer.
struct LoadReport {
  // Share of the limit that is left, 0 to 1; none: not reported.
  std::optional<double> allowance_left;
  // Rate limit in calls a second, of all dispatchers together; 0: unlimited; none: not reported.
  std::optional<double> limit;
};

// A client has submitted a message.
struct MessageArrived {
  MessageId message = 0;
  DestinationId destination = 0;
  std::size_t message_class = 0;  // index in Settings::classes
  std::size_t tenant = 0;         // index in Settings::tenants
  Duration time_left{};           // until its deadline
  // Ordering key: messages with one key of an ordered class go one at a time; empty: none.
  std::string key;
};

// A message that an earlier process of this dispatcher had accepted. The admission gate does not
// reject it.
struct MessageRestored {
  MessageId message = 0;
  DestinationId destination = 0;
  std::size_t message_class = 0;
  // Until its deadline; below 0: the deadline has passed.
  Duration time_left{};
  // As in MessageArrived.
  std::string key;
  std::size_t attempts_used = 0;  // by earlier processes
  // When the first attempt that may have run was sent, and to which endpoint; none: none has run.
  std::optional<Time> may_have_run;
  EndpointId ran_on_endpoint = 0;
};

// What an earlier process of this dispatcher, or this one before it forgot a removed endpoint, had
// observed of an endpoint. To be passed behind the first endpoint list that names it.
struct EndpointConditionRestored {
  EndpointId endpoint = 0;
  EndpointCondition condition;
  RateLimitCondition own_limit;
};

// What an earlier process of this dispatcher had observed of a destination.
struct DestinationConditionRestored {
  DestinationId destination = 0;
  DestinationCondition condition;
  RateLimitCondition shared_limit;
};

// An earlier process of this dispatcher has left messages for a destination, and what it had
// observed there is not known: its endpoints are tried by single calls first. To be passed behind
// the endpoint list.
struct DestinationConditionLost {
  DestinationId destination = 0;
};

// The end of an attempt that SendAttempt asked for.
struct AttemptCompleted {
  MessageId message = 0;
  std::size_t attempt = 0;
  EndpointId endpoint = 0;
  Outcome outcome = Outcome::kError;
  Duration elapsed{};  // from start to end; 0: unknown
  // The message is over, by this outcome or before it.
  bool finished = false;
  // The caller takes no further attempt of the message.
  bool exhausted = false;
  // Retry-After of the answer; 0: none.
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

// The end of a health check that StartHealthCheck asked for.
struct HealthCheckCompleted {
  EndpointId endpoint = 0;
  Outcome outcome = Outcome::kError;
  Duration elapsed{};
  LoadReport report;
};

// What the endpoint list says of an endpoint: it takes work, it takes no new work, or it is gone.
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

// What an endpoint list means for endpoints that it does not name.
enum class ListForm {
  kChanges,   // what is not named stays as it is
  kComplete,  // what is not named is removed
  kFailed     // the source has failed; nothing is known
};

// The endpoint list, or changes of it. A list older than the last one is ignored.
struct EndpointList {
  std::uint64_t version = 0;
  ListForm form = ListForm::kChanges;
  std::vector<EndpointEntry> entries;
};

// ---- from other dispatchers ----
//
// For callers whose dispatchers share what they know. Without these events every decision is made
// from this dispatcher's own observations.

// This dispatcher's lease on a part of a rate limit that all dispatchers share. It is for the scope
// of the endpoint's limit: its destination, or the endpoint alone where limits are per endpoint. It
// holds until the next one.
struct QuotaLeased {
  EndpointId endpoint = 0;
  // Calls a second; none: the limit is not shared any longer.
  std::optional<double> rate;
};

// What another dispatcher has seen of an endpoint.
enum class PeerHealth {
  kFailing,     // calls there fail
  kRetryAfter,  // it has asked to wait
  kWarmingUp,   // it is back from an outage, or from maintenance
  kServing,     // it answered a trial call
  kBeingTested  // another dispatcher tries it at present
};

// What other dispatchers have seen of an endpoint. One witness makes the policy send one call at a
// time; two move the circuit breaker as its own calls would.
struct PeerHealthReport {
  EndpointId endpoint = 0;
  PeerHealth health = PeerHealth::kFailing;
  // Time since it was seen.
  Duration age{};
  // What is left of the Retry-After, or of the trial call that is under way.
  Duration duration{};
  // Dispatchers that saw it themselves, without those whose reports were found wrong.
  std::size_t witnesses = 1;
};

// One thing that has happened.
using Event =
    std::variant<MessageArrived, MessageRestored, AttemptCompleted, MessageCancelled, TimerFired,
                 HealthCheckCompleted, EndpointList, QuotaLeased, PeerHealthReport,
                 EndpointConditionRestored, DestinationConditionRestored, DestinationConditionLost>;

}  // namespace dispatch_policy

#endif  // DISPATCH_POLICY_EVENTS_HPP_
