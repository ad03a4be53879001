// Records of messages, calls, endpoints and destinations. They hold state only; the components make
// the decisions.
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
  std::uint64_t call = 0;  // id of the Call that the attempt is part of
  bool in_flight = true;   // whether the attempt has no outcome yet
  bool cancelled = false;  // whether CancelAttempt was requested
};

// A message that was accepted. The record is kept after the final answer while attempts are in
// flight.
struct Message {
  // Accepted at `now`. `class_deadline` is the deadline of its class, from the first submission.
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
  Time not_before{};  // earliest start of the next attempt
  std::vector<Attempt> attempts;
  std::size_t earlier_attempts = 0;        // by earlier processes
  std::optional<Time> may_have_run;        // send time of the first attempt that may have run
  std::optional<std::size_t> ran_in_zone;  // zone of that attempt's endpoint
  int attempts_in_flight = 0;
  bool finished = false;  // whether the final answer was given
};

// The messages of one ordering key.
struct OrderingQueue {
  std::deque<MessageId> messages;  // in order of acceptance; the first is the next to be sent
  Time cooldown_until{};           // an attempt may still be running until then
};

// kOverload rejects a share of new messages, kDiscard all of them.
enum class AdmissionMode { kNormal, kOverload, kDiscard };

// State of the admission gate of one destination.
struct AdmissionState {
  AdmissionMode mode = AdmissionMode::kNormal;
  Time last_at_onset{};
  std::optional<Duration> time_to_abate;  // last time from onset to abatement; nullopt: unknown
};

// State of what shares one rate limit, one Retry-After and one trial call: a destination, or an
// endpoint with its own limit.
struct RateLimitScope : RateLimitCondition {
  RateLimitScope(Seconds time_constant, Time start) : accepted_calls(time_constant, start) {}

  std::optional<double> allowance_left;  // remaining share of the reported limit, 0 to 1
  std::optional<double> leased_rate;     // for this dispatcher, calls per second; nullopt: no lease
  RateEstimator accepted_calls;
};

// An endpoint, listed or removed, and its observed condition.
struct Endpoint : EndpointCondition {
  Endpoint(EndpointEntry listed, Seconds call_rate_time_constant, Time start)
      : entry(listed), own_scope(call_rate_time_constant, start) {}

  EndpointEntry entry;
  std::vector<double> class_failures;  // failure share of each message class; empty: no failure yet
  int overdue_in_row = 0;              // overdue calls since the last answer
  double latency = 0;                  // seconds; 0: unknown
  double deviation = 0;                // mean deviation of the latency, seconds
  int calls_in_flight = 0;
  int calls_not_overdue = 0;  // calls in flight that are not overdue
  bool health_check_in_flight = false;
  std::optional<Time> removed_at;
  RateLimitScope own_scope;  // used if the endpoint has its own limit
};

// A destination: a set of endpoints that are equivalent for clients.
struct Destination {
  Destination(Seconds message_rate_time_constant, Seconds call_rate_time_constant, Time start)
      : scope(call_rate_time_constant, start),
        arrivals(message_rate_time_constant, start),
        sends(message_rate_time_constant, start) {}

  std::vector<EndpointId> endpoints;
  std::vector<MessageId> waiting;  // messages that are not in flight, in order of acceptance
  AdmissionState admission;
  RateLimitScope scope;
  int calls_in_flight = 0;
  bool none_listed = false;  // no endpoint takes work, and this was logged
  Time last_answer{};        // send time of the last call that was delivered, at any endpoint
  RateEstimator arrivals;    // messages submitted
  RateEstimator sends;       // messages sent
};

// A call in flight: one or more messages sent to one endpoint together, which share one outcome.
struct Call {
  std::uint64_t id = 0;
  Time sent{};
  std::size_t messages_in_flight = 0;  // messages without an outcome
  std::size_t message_class = 0;       // of its first message; SIZE_MAX for a health check
  bool endpoint_unhealthy = false;     // the endpoint's previous call had failed
  bool overdue = false;                // counted as a failure because the answer is overdue
  bool outcome_recorded = false;       // the outcome of its first message was recorded for the call
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_POLICY_STATE_HPP_
