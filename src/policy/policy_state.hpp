// What the policy remembers of messages, calls, endpoints and destinations. Records only: the
// components decide on them.
#ifndef BRASSFRONT_POLICY_POLICY_STATE_HPP_
#define BRASSFRONT_POLICY_POLICY_STATE_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "dispatch_policy/conditions.hpp"
#include "dispatch_policy/events.hpp"
#include "policy/rate_estimator.hpp"
#include "policy/seconds.hpp"

namespace dispatch_policy {

// One attempt to deliver a message.
struct Attempt {
  EndpointId endpoint = 0;
  Time sent{};
  std::uint64_t call = 0;  // the Call that carries it
  bool in_flight = true;   // has no outcome yet
  bool cancelled = false;  // CancelAttempt was asked for
};

// A message that was accepted. The record outlives the answer while attempts are in flight.
struct Message {
  // Accepted at `now`; `class_deadline` is the whole time that its class allows.
  Message(MessageId message, std::size_t class_index, Time now, Duration time_left,
          Duration class_deadline)
      : id(message),
        message_class(class_index),
        first_submitted(now + time_left - class_deadline),
        deadline(now + time_left),
        accepted(now) {}

  MessageId id;
  DestinationId destination = 0;
  std::size_t message_class;
  std::string key;       // ordering key; empty: not ordered
  Time first_submitted;  // by the client, perhaps to another dispatcher
  Time deadline;
  Time accepted;
  Time not_before{};  // no retry before this
  std::vector<Attempt> attempts;
  std::size_t earlier_attempts = 0;        // by an earlier process
  std::optional<Time> may_have_run;        // send of the first attempt that may have run
  std::optional<std::size_t> ran_in_zone;  // zone of that attempt's endpoint
  int attempts_in_flight = 0;
  bool finished = false;  // its final answer was given
};

// The messages of one ordering key.
struct OrderingQueue {
  std::deque<MessageId> messages;  // in order of acceptance; the first is the next to be sent
  Time cooldown_until{};           // an attempt may still be running until then
};

// kOverload rejects a share of new messages, kDiscard all of them.
enum class AdmissionMode { kNormal, kOverload, kDiscard };

// State of one destination's admission gate.
struct AdmissionState {
  AdmissionMode mode = AdmissionMode::kNormal;
  Time last_at_onset{};
  std::optional<Duration> time_to_abate;  // last time from onset to abatement; none: unmeasured
};

// What shares one rate limit, one Retry-After and one trial call: a destination, or an endpoint
// with a limit of its own.
struct RateLimitScope : RateLimitCondition {
  RateLimitScope(Seconds memory, Time start) : accepted_calls(memory, start) {}

  std::optional<double> allowance_left;  // share of the reported limit, 0 to 1
  std::optional<double> leased_rate;     // this dispatcher's, calls a second; none: not leased
  RateEstimator accepted_calls;
};

// An endpoint, listed or removed, and what was observed of it.
struct Endpoint : EndpointCondition {
  Endpoint(EndpointEntry listed, Seconds call_rate_memory, Time start)
      : entry(listed), own_scope(call_rate_memory, start) {}

  EndpointEntry entry;
  std::vector<double> class_failures;  // by message class; empty: no failure yet
  int overdue_in_row = 0;              // calls without an answer in time since the last answer
  double latency = 0;                  // seconds; 0: unknown
  double deviation = 0;                // mean deviation, seconds
  int calls_in_flight = 0;
  int calls_not_overdue = 0;  // of those in flight
  bool checking = false;
  std::optional<Time> removed_at;
  RateLimitScope own_scope;  // used where it has a limit of its own
};

// A destination: a set of endpoints that are equivalent to clients.
struct Destination {
  Destination(Seconds message_rate_memory, Seconds call_rate_memory, Time start)
      : scope(call_rate_memory, start),
        arrivals(message_rate_memory, start),
        sends(message_rate_memory, start) {}

  std::vector<EndpointId> endpoints;
  std::vector<MessageId> waiting;  // accepted and not in flight, in order of acceptance
  AdmissionState admission;
  RateLimitScope scope;
  int calls_in_flight = 0;
  bool none_listed = false;  // no endpoint takes work, and that was logged
  Time last_answer{};        // send of the last call that was delivered, at any endpoint
  RateEstimator arrivals;    // messages that were submitted
  RateEstimator sends;       // messages that were sent
};

// A call in flight: one or more messages to one endpoint, which share its fate.
struct Call {
  std::uint64_t id = 0;
  Time sent{};
  std::size_t messages_in_flight = 0;  // without an outcome
  std::size_t message_class = 0;       // of its first message; SIZE_MAX for a health check
  bool endpoint_unhealthy = false;     // the endpoint's last call before it had failed
  bool overdue = false;                // was counted as a failure for its silence
  bool outcome_recorded = false;       // the first message's outcome speaks for all
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_POLICY_STATE_HPP_
