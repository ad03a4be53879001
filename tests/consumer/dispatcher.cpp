// Minimal loop of a dispatcher that uses the installed library: one message, and one endpoint that
// delivers it.
#include <chrono>
#include <cstdio>
#include <variant>
#include <vector>

#include "dispatch_policy/dispatch_policy.hpp"

int main() {
  using namespace std::chrono_literals;
  dispatch_policy::Settings settings;
  settings.classes.push_back({.latency_objective = 2s,
                              .deadline = 20s,
                              .effect = dispatch_policy::Effect::kNotIdempotent});
  settings.max_concurrent_calls = 4;
  settings.max_in_flight = 100;
  settings.decision_interval = 5ms;
  dispatch_policy::DispatchPolicy policy(settings, 1);

  std::vector<dispatch_policy::Event> events;
  events.push_back(dispatch_policy::EndpointList{.version = 1,
                                                 .form = dispatch_policy::ListForm::kComplete,
                                                 .entries = {{.endpoint = 7, .destination = 3}}});
  events.push_back(
      dispatch_policy::MessageArrived{.message = 1, .destination = 3, .time_left = 20s, .key = {}});

  int delivered = 0;
  for (dispatch_policy::Time now = 0ms; now < 1s && delivered == 0;
       now += settings.decision_interval) {
    const std::vector<dispatch_policy::Action> actions = policy.Decide(now, events);
    events.clear();
    for (const dispatch_policy::Action& action : actions) {
      if (const auto* send = std::get_if<dispatch_policy::SendAttempt>(&action)) {
        // A dispatcher sends the call here, and reports its end in a later call of Decide.
        events.push_back(
            dispatch_policy::AttemptCompleted{.message = send->message,
                                              .endpoint = send->endpoint,
                                              .outcome = dispatch_policy::Outcome::kDelivered,
                                              .elapsed = settings.decision_interval,
                                              .finished = true,
                                              .report = {}});
        ++delivered;
      }
    }
  }
  std::printf("delivered %d\n", delivered);
  return delivered == 1 ? 0 : 1;
}
