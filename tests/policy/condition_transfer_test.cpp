// The conditions of endpoints that a process observed apply to the policy of the next process.
#include <gtest/gtest.h>

#include "policy_fixture.hpp"

namespace dispatch_policy {
namespace {

constexpr Time kRestart = 10s;  // time at which a new process replaces the old one

using CallCompletion = std::function<AttemptCompleted(PolicyDriver&, Time, const SendAttempt&)>;

struct Fault {
  const char* name;
  CallCompletion end;  // result of each call before the restart
};

AttemptCompleted EndAfter(PolicyDriver& driver, const SendAttempt& send, Outcome outcome,
                          Duration retry_after = {}) {
  AttemptCompleted end = driver.End(send.message, outcome, send.endpoint);
  end.retry_after = retry_after;
  return end;
}

const Fault kFaults[] = {
    {"a Retry-After of the last answers",
     [](PolicyDriver& driver, Time, const SendAttempt& send) {
       return EndAfter(driver, send, Outcome::kRejected, 8s);
     }},
    {"an outage",
     [](PolicyDriver& driver, Time at, const SendAttempt& send) {
       return EndAfter(driver, send, at < 2s ? Outcome::kDelivered : Outcome::kConnectFailed);
     }},
    {"a slow start",
     [](PolicyDriver& driver, Time at, const SendAttempt& send) {
       const bool failing = at > 2s && at < 8s;
       return EndAfter(driver, send, failing ? Outcome::kError : Outcome::kDelivered);
     }},
    {"a learned rate",
     [](PolicyDriver& driver, Time at, const SendAttempt& send) {
       const bool over = at / 100ms % 3 != 0;
       return EndAfter(driver, send, over ? Outcome::kRejected : Outcome::kDelivered);
     }},
    {"a reported limit",
     [](PolicyDriver& driver, Time, const SendAttempt& send) {
       AttemptCompleted end = EndAfter(driver, send, Outcome::kDelivered);
       end.report.limit = 2;
       return end;
     }},
};

Settings SettingsOfCase(bool own_limits) {
  Settings settings = TestSettings();
  settings.kinds[0].per_endpoint_limits = own_limits;
  return settings;
}

// Runs a policy with the fault until the restart, and ends all its calls.
void Observe(PolicyDriver& driver, const Fault& fault) {
  MessageId next = 1;
  driver.At(0s, {OneEndpoint()});
  const std::vector<Event> last = Drive(
      driver, 100ms, kRestart, [&] { return Arrive(next++); },
      [&](Time at, const SendAttempt& send) { return fault.end(driver, at, send); });
  driver.At(kRestart - 1ms, last);
}

std::vector<Event> RestoredConditions(PolicyDriver& predecessor) {
  std::vector<Event> events = {OneEndpoint()};
  for (const ConditionChange& change : predecessor.policy.TakeConditionChanges()) {
    if (const auto* endpoint = std::get_if<EndpointConditionChange>(&change)) {
      events.emplace_back(
          EndpointConditionRestored{endpoint->endpoint, endpoint->condition, endpoint->own_limit});
    } else {
      const auto& destination = std::get<DestinationConditionChange>(change);
      events.emplace_back(DestinationConditionRestored{
          destination.destination, destination.condition, destination.shared_limit});
    }
  }
  return events;
}

// Returns the number of calls in the 3 s after the restart. All of them are delivered.
int CallsAfterTheRestart(PolicyDriver& driver) {
  MessageId next = 1000;
  int calls = 0;
  Drive(
      driver, kRestart, kRestart + 3s, [&] { return Arrive(next++); },
      [&](Time, const SendAttempt& send) {
        ++calls;
        return driver.End(send.message, Outcome::kDelivered, send.endpoint);
      });
  return calls;
}

// Guards against a new process that sends messages that its predecessor would delay (report
// 115bff).
TEST(ConditionTransfer, ANewProcessSendsNoMoreThanItsPredecessorWould) {
  for (const Fault& fault : kFaults) {
    for (const bool own_limits : {false, true}) {
      SCOPED_TRACE(std::string(fault.name) + (own_limits ? ", own limit" : ", shared limit"));
      PolicyDriver uninterrupted(SettingsOfCase(own_limits));
      Observe(uninterrupted, fault);
      PolicyDriver predecessor(SettingsOfCase(own_limits));
      Observe(predecessor, fault);
      PolicyDriver successor(SettingsOfCase(own_limits), 2);
      successor.At(kRestart, RestoredConditions(predecessor));
      const int without_restart = CallsAfterTheRestart(uninterrupted);
      EXPECT_LT(without_restart, 20);  // of at least 30 messages: the fault has an effect
      EXPECT_LE(CallsAfterTheRestart(successor), without_restart + 2);
    }
  }
}

// Guards against a Retry-After that ends early because its endpoint was mistaken for another one.
TEST(ConditionTransfer, AConditionOfAnUnknownEndpointChangesNothing) {
  PolicyDriver driver;
  driver.At(
      1s, {OneEndpoint(), EndpointConditionRestored{7, {.health = Health::kOpen}, {}}, Arrive(1)});
  EXPECT_EQ(driver.ActionsOf<SendAttempt>().size(), 1u);
}

// Guards against a backlog that is sent at once although the condition of its destination is
// unknown.
TEST(ConditionTransfer, ABacklogForAnUnknownConditionBeginsWithOneTrialAndASlowStart) {
  PolicyDriver driver;
  std::vector<Event> events = {OneEndpoint()};
  for (MessageId id = 1; id <= 50; ++id) {
    MessageRestored restored;
    restored.message = id;
    restored.destination = 1;
    restored.time_left = 15s;
    events.emplace_back(restored);
  }
  events.emplace_back(DestinationConditionLost{1});
  driver.At(1s, events);
  ASSERT_EQ(driver.ActionsOf<SendAttempt>().size(), 1u);
  const MessageId trial = driver.ActionsOf<SendAttempt>()[0].message;
  driver.At(1100ms, {driver.End(trial, Outcome::kDelivered)});
  EXPECT_LE(driver.ActionsOf<SendAttempt>().size(), 1u);
  EXPECT_TRUE(Logged(driver, "breaker recovering"));
}

}  // namespace
}  // namespace dispatch_policy
