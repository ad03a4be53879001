// Shared helpers of the policy's tests: settings, a driver, and functions that create common
// events.
#ifndef BRASSFRONT_TESTS_POLICY_POLICY_FIXTURE_HPP_
#define BRASSFRONT_TESTS_POLICY_POLICY_FIXTURE_HPP_

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "dispatch_policy/dispatch_policy.hpp"

namespace dispatch_policy {

using namespace std::chrono_literals;

inline Settings TestSettings() {
  Settings settings;
  settings.classes.push_back(
      {.latency_objective = 2s, .deadline = 20s, .effect = Effect::kIdempotent});
  settings.classes.push_back({.latency_objective = 2s,
                              .deadline = 20s,
                              .effect = Effect::kIdempotentWithKey,
                              .dedup_window = 6s,
                              .ordered = true});
  settings.classes.push_back(
      {.latency_objective = 2s, .deadline = 20s, .effect = Effect::kNotIdempotent});
  settings.kinds.resize(1);
  settings.max_concurrent_calls = 20;
  settings.max_in_flight = 1000;
  settings.max_attempts = 12;
  settings.cancel_allowed = true;
  settings.clients_honor_retry_after = true;
  settings.decision_interval = 5ms;
  settings.slow_start_share = 0.2;
  settings.slow_start_duration = 10s;
  settings.collapse_load_multiple = 2;
  settings.collapse_window = 2s;
  settings.ordering_cooldown = 100ms;
  settings.group_size = 2;
  return settings;
}

// Indices of the classes of TestSettings.
inline constexpr std::size_t kIdempotent = 0;
inline constexpr std::size_t kOrdered = 1;  // with an idempotency key
inline constexpr std::size_t kNotIdempotent = 2;

// Passes events to one policy and keeps the actions of its last decision. Tests choose the ids of
// messages and endpoints.
class PolicyDriver {
 public:
  explicit PolicyDriver(Settings settings = TestSettings(), std::uint64_t seed = 1)
      : policy(std::move(settings), seed) {}

  std::vector<Action> At(Time at, std::vector<Event> events = {}) {
    actions = policy.Decide(at, events);
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&a)) ++attempts[send->message];
    }
    return actions;
  }
  template <typename T>
  std::vector<T> ActionsOf() const {
    std::vector<T> found;
    for (const Action& a : actions) {
      if (const T* t = std::get_if<T>(&a)) found.push_back(*t);
    }
    return found;
  }
  AttemptCompleted End(MessageId id, Outcome outcome, EndpointId endpoint = 1) {
    AttemptCompleted e;
    e.message = id;
    e.attempt = attempts[id] - 1;
    e.endpoint = endpoint;
    e.outcome = outcome;
    e.elapsed = 100ms;
    e.finished = outcome == Outcome::kDelivered;
    return e;
  }

  DispatchPolicy policy;
  std::vector<Action> actions;
  std::map<MessageId, std::size_t> attempts;
};

inline MessageArrived Arrive(MessageId id, std::size_t message_class = kIdempotent,
                             DestinationId to = 1, std::string key = "") {
  return {id, to, message_class, 0, 20s, std::move(key)};
}

inline EndpointList Listed(std::vector<EndpointEntry> entries, std::uint64_t version = 1) {
  return {version, ListForm::kComplete, std::move(entries)};
}

inline EndpointList OneEndpoint() { return Listed({{.endpoint = 1, .destination = 1}}); }

// Submits a message every 100 ms. Each call ends before the next step, with the result that `end`
// returns. Returns the results that were not yet passed to the policy.
inline std::vector<Event> Drive(
    PolicyDriver& driver, Time from, Time to, const std::function<MessageArrived()>& next,
    const std::function<AttemptCompleted(Time, const SendAttempt&)>& end,
    std::vector<Event> events = {}) {
  for (Time t = from; t < to; t += 100ms) {
    events.push_back(next());
    driver.At(t, events);
    events.clear();
    for (const SendAttempt& send : driver.ActionsOf<SendAttempt>()) events.push_back(end(t, send));
  }
  return events;
}

// Submits an idempotent message every 100 ms and ends every call with the same outcome. Returns the
// number of calls.
inline int CallsWhileAllEndWith(PolicyDriver& driver, Outcome outcome, Time from, Time to,
                                MessageId& next) {
  int calls = 0;
  const auto end = [&](Time, const SendAttempt& send) {
    ++calls;
    return driver.End(send.message, outcome, send.endpoint);
  };
  std::vector<Event> events = Drive(
      driver, from, to, [&] { return Arrive(next++); }, end);
  while (!events.empty()) {  // until every attempt has an outcome
    driver.At(to, events);
    events.clear();
    for (const SendAttempt& send : driver.ActionsOf<SendAttempt>())
      events.push_back(driver.End(send.message, outcome, send.endpoint));
  }
  return calls;
}

inline bool Logged(const PolicyDriver& driver, const std::string& words) {
  const std::vector<LogMessage> lines = driver.ActionsOf<LogMessage>();
  return std::any_of(lines.begin(), lines.end(), [&](const LogMessage& line) {
    return line.text.find(words) != std::string::npos;
  });
}

}  // namespace dispatch_policy

#endif  // BRASSFRONT_TESTS_POLICY_POLICY_FIXTURE_HPP_
