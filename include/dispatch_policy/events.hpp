// What the caller tells the dispatch policy. Events about unknown messages, attempts or endpoints
// are ignored.
#ifndef DISPATCH_POLICY_EVENTS_HPP_
#define DISPATCH_POLICY_EVENTS_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dispatch_policy/settings.hpp"

namespace dispatch_policy {

// How an attempt or a health check ended.
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

// What an endpoint says of its load with an answer.
struct LoadReport {
  // Share of the limit that is left, 0 to 1.
  std::optional<double> allowance_left;
  // Calls a second, of all dispatchers together; 0: unlimited.
  std::optional<double> limit;
};

// A client has submitted a message.
struct MessageArrived {
  MessageId message = 0;
  DestinationId destination = 0;
  std::size_t message_class = 0;
  std::size_t tenant = 0;
  Duration time_left{};
  // Of the order among messages; empty: none.
  std::string key;
};

// A message that an earlier process of this dispatcher had accepted. It passes the admission gate.
struct MessageRestored {
  MessageId message = 0;
  DestinationId destination = 0;
  std::size_t message_class = 0;
  // Below 0: its deadline has passed.
  Duration time_left{};
  // As in MessageArrived.
  std::string key;
  std::size_t attempts_used = 0;
  // Send of the first attempt that may have run, and where that was.
  std::optional<Time> may_have_run;
  EndpointId ran_on_endpoint = 0;
};

// The end of an attempt that SendAttempt asked for.
struct AttemptCompleted {
  MessageId message = 0;
  std::size_t attempt = 0;
  EndpointId endpoint = 0;
  Outcome outcome = Outcome::kError;
  Duration elapsed{};
  // The message is over, by this outcome or before it.
  bool finished = false;
  // No further attempt of the message would be taken.
  bool exhausted = false;
  // Retry-After of the answer; 0: none.
  Duration retry_after{};
  LoadReport report;
};

// The client has gone before it was told that its message was accepted.
struct MessageCancelled {
  MessageId message = 0;
};

// The timer of SetTimer.
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

enum class EndpointState { kListed, kDraining, kRemoved };

struct EndpointEntry {
  EndpointId endpoint = 0;
  DestinationId destination = 0;
  std::size_t kind = 0;
  std::size_t zone = 0;
  EndpointState state = EndpointState::kListed;
  // See Settings::weights.
  double weight = 1;
};

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
// For callers whose dispatchers share what they know. Where they share nothing, none of these
// comes, and nothing is decided otherwise because they exist.

// This dispatcher's present part of a limit that all dispatchers keep together, on whatever shares
// the endpoint's limit: its destination, or the endpoint alone where limits are per endpoint. It
// holds until the next one.
struct QuotaLeased {
  EndpointId endpoint = 0;
  // Calls a second; none: the limit is not shared any longer.
  std::optional<double> rate;
};

enum class PeerHealth {
  kFailing,     // calls there fail
  kRetryAfter,  // it has asked to wait
  kWarmingUp,   // it is back from an outage, or from maintenance
  kServing,     // it answered a trial call
  kBeingTested  // another dispatcher tries it at present
};

// What other dispatchers have seen of an endpoint. It makes the policy more careful at once, and
// less careful only by two witnesses or by calls of its own.
struct PeerHealthReport {
  EndpointId endpoint = 0;
  PeerHealth health = PeerHealth::kFailing;
  // Since it was seen.
  Duration age{};
  // Of the Retry-After, or of the trial that is under way.
  Duration duration{};
  // Dispatchers that saw it themselves, as far as none of them was found wrong.
  std::size_t witnesses = 1;
};

using Event =
    std::variant<MessageArrived, MessageRestored, AttemptCompleted, MessageCancelled, TimerFired,
                 HealthCheckCompleted, EndpointList, QuotaLeased, PeerHealthReport>;

}  // namespace dispatch_policy

#endif  // DISPATCH_POLICY_EVENTS_HPP_
