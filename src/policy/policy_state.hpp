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

#include "dispatch_policy/events.hpp"
#include "policy/rate_estimator.hpp"
#include "policy/seconds.hpp"

namespace dispatch_policy {

// ---- state ----
struct Attempt {
  EndpointId endpoint = 0;
  Time sent{};
  std::uint64_t call = 0;
  bool out = true;
  bool cancelled = false;
};

struct Message {
  MessageId id = 0;
  DestinationId destination = 0;
  std::size_t message_class = 0;
  std::string key;
  Time first_handed_in{};
  Time deadline{};
  Time accepted{};
  Time not_before{};
  std::vector<Attempt> attempts;
  std::size_t attempts_before = 0;    // by an earlier process
  std::optional<Time> may_have_run;   // send of the first attempt that may have run
  std::optional<std::size_t> ran_in;  // the zone of that
  int out = 0;
  bool finished = false;
};

struct KeyLine {
  std::deque<MessageId> order;
  Time rests_until{};
};

enum class Mode { kNormal, kOverload, kDiscard };

struct Gate {
  Mode mode = Mode::kNormal;
  Time last_at_onset{};
  std::optional<Duration> last_fall;  // none was measured yet
};

// What shares one limit, one wait and one fail-back budget: a destination, or one route of it.
struct Lane {
  Lane(Seconds memory, Time start) : accepted(memory, start) {}

  Time wait_until{};
  Time next_call{};
  Time next_trial{};
  double rate = 0;      // calls a second; 0: no limit seen
  bool seldom = false;  // it follows from our even share of the limit
  double limit = 0;     // of all dispatchers, calls a second: reported, else listed; 0: untold
  bool reported = false;
  std::optional<double> left;  // reported share of it
  Time rate_changed{};
  int full_row = 0;
  Time first_full{};
  Time last_full{};
  std::optional<double> share;  // of a limit that all dispatchers keep together, calls a second
  Meter accepted;
};

enum class Health { kClosed, kOpen, kRecovering };

struct Endpoint {
  Endpoint(EndpointEntry listed, Seconds pace_memory, Time start)
      : entry(listed), own_lane(pace_memory, start) {}

  EndpointEntry entry;
  Health health = Health::kClosed;
  Time since{};
  bool shut = false;  // open for refusals
  double failure = 0;
  std::vector<double> class_failure;
  int fails_in_row = 0;
  Time first_fail{};    // send of the first of them
  int silent_row = 0;   // of them overdue
  bool closed = false;  // the last of them was a connection that never came up
  double latency = 0;   // mean, in seconds; 0: unknown
  double spread = 0;    // mean deviation from it
  Time last_answer{};   // send of the last call that was delivered
  int calls_out = 0;
  int fresh_out = 0;  // of them not overdue
  bool probing = false;
  std::optional<Time> removed;
  int places = 0;  // calls out that its connections allowed us last; 0: no bound seen
  Time crowded{};  // when it was seen
  Time next_call{};
  Lane own_lane;
};

struct Destination {
  Destination(Seconds memory, Seconds pace_memory, Time start)
      : lane(pace_memory, start), arrivals(memory, start), sends(memory, start) {}

  std::vector<EndpointId> endpoints;
  std::vector<MessageId> waiting;  // held and not out, in order of acceptance
  Gate gate;
  Lane lane;
  int calls_out = 0;
  bool none_listed = false;  // no endpoint of it takes work; told once
  Time last_answer{};        // send of the last call that was delivered, at any endpoint
  Meter arrivals;
  Meter sends;
};

struct Call {
  std::uint64_t id = 0;
  Time sent{};
  std::size_t out = 0;            // messages in it without an outcome
  std::size_t message_class = 0;  // of its first message
  bool sick = false;              // the call before it had failed
  bool overdue = false;           // counted as a failure for its silence
  bool judged = false;            // one fate: the first outcome speaks for all
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_POLICY_STATE_HPP_
