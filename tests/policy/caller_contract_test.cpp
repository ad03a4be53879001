#include <gtest/gtest.h>

#include "policy_fixture.hpp"

namespace dispatch_policy {
namespace {

TEST(CallerContract, IgnoresUnknownMessagesAttemptsAndEndpoints) {
  PolicyDriver driver;
  driver.At(1s, {OneEndpoint(), AttemptCompleted{}, MessageCancelled{77}, HealthCheckCompleted{},
                 TimerFired{12345}});
  AttemptCompleted unsent = driver.End(1, Outcome::kDelivered);
  unsent.attempt = 3;
  driver.At(2s, {Arrive(1), Arrive(1), unsent});
  EXPECT_EQ(driver.ActionsOf<SendAttempt>().size(), 1u);
  driver.At(3s, {driver.End(1, Outcome::kDelivered), driver.End(1, Outcome::kTimeout)});
  EXPECT_TRUE(driver.actions.empty());
}

TEST(CallerContract, TreatsAClockThatRunsBackwardsAsStandingStill) {
  PolicyDriver driver;
  driver.At(10s, {Arrive(1)});
  driver.At(1s, {OneEndpoint()});
  EXPECT_EQ(driver.attempts[1], 1u);
  driver.At(2s, {driver.End(1, Outcome::kError)});
  driver.At(10s);
  EXPECT_EQ(driver.attempts[1], 1u) << "the pause after an error is not over";
}

TEST(CallerContract, TreatsZeroAndMissingSettingsAsNoLimit) {
  DispatchPolicy policy(Settings{}, 0);
  const std::vector<Event> unknown = {Arrive(1)};
  const auto rejected = policy.Decide(1s, unknown);
  ASSERT_EQ(rejected.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<RejectMessage>(rejected[0])) << "no such class";
  Settings settings;
  settings.classes.resize(1);
  PolicyDriver driver(settings);
  driver.At(1s, {OneEndpoint(), Arrive(1, kIdempotent, 1)});
  EXPECT_EQ(driver.ActionsOf<SendAttempt>().size(), 1u);
}

// With a group size of 0 the share per dispatcher would be infinite, and a failed endpoint would be
// called in every decision.
TEST(CallerContract, TreatsAGroupSizeOfZeroAsOne) {
  int calls[2] = {};
  for (std::size_t group : {0, 1}) {
    Settings settings = TestSettings();
    settings.group_size = group;
    PolicyDriver driver(settings);
    MessageId next = 1;
    driver.At(900ms, {OneEndpoint()});
    calls[group] = CallsWhileAllEndWith(driver, Outcome::kConnectFailed, 1s, 20s, next);
  }
  EXPECT_GT(calls[1], 0);
  EXPECT_EQ(calls[0], calls[1]);
}

TEST(CallerContract, AnswersAMessageWithNoTimeLeftAtOnce) {
  PolicyDriver driver;
  MessageArrived late = Arrive(1, kNotIdempotent);
  late.time_left = 0ms;
  driver.At(1s, {OneEndpoint(), late});
  EXPECT_EQ(driver.ActionsOf<RejectMessage>().size(), 1u);
  EXPECT_TRUE(driver.ActionsOf<SendAttempt>().empty());
}

TEST(CallerContract, AcceptsListChangesWhileCallsAreInFlight) {
  PolicyDriver driver;
  std::vector<EndpointEntry> entries;
  for (EndpointId id = 1; id <= 600; ++id) entries.push_back({.endpoint = id, .destination = id});
  std::vector<Event> events = {Listed(entries)};
  for (MessageId id = 1; id <= 20; ++id) events.push_back(Arrive(id, kIdempotent, id));
  driver.At(1s, events);
  ASSERT_EQ(driver.ActionsOf<SendAttempt>().size(), 20u);
  for (EndpointEntry& e : entries) e.endpoint += 1000;  // every endpoint is replaced
  events = {Listed(entries, 2)};
  for (MessageId id = 1; id <= 20; ++id)
    events.push_back(driver.End(id, Outcome::kConnectFailed, id));
  driver.At(2s, events);
  for (const SendAttempt& send : driver.ActionsOf<SendAttempt>()) EXPECT_GT(send.endpoint, 1000u);
  EXPECT_EQ(driver.ActionsOf<SendAttempt>().size(), 20u)
      << "messages go to other endpoints of the same destinations";
  driver.At(3s, {Listed({}, 3), Arrive(99, kIdempotent, 5)});
  EXPECT_EQ(driver.attempts[99], 0u);
}

TEST(CallerContract, SetsFewTimersWhileWaiting) {
  for (std::size_t group : {0u, 1u, 300u}) {
    Settings settings = TestSettings();
    settings.group_size = group;
    PolicyDriver driver(settings);
    driver.At(1s, {OneEndpoint(), Arrive(1)});
    std::size_t timers = 0;
    std::vector<Event> events = {driver.End(1, Outcome::kConnectFailed)};
    for (Time t = 1s; t < 22s; t += 5ms) {
      driver.At(t, events);
      events.clear();
      timers += driver.ActionsOf<SetTimer>().size();
      for (const SendAttempt& send : driver.ActionsOf<SendAttempt>()) {
        events.push_back(driver.End(send.message, Outcome::kConnectFailed));
      }
    }
    EXPECT_LE(timers, 100u) << group;
  }
}

TEST(CallerContract, GivesTheSameActionsForTheSameEventsAndSeed) {
  PolicyDriver one, two;
  for (MessageId id = 0; id < 60; ++id) {
    const Time at = 1s + std::chrono::milliseconds(10 * id);
    const std::vector<Event> events = {Arrive(id, id % 3, id % 2)};
    EXPECT_EQ(one.At(at, events).size(), two.At(at, events).size());
    EXPECT_EQ(one.ActionsOf<RejectMessage>().size(), two.ActionsOf<RejectMessage>().size());
  }
}

}  // namespace
}  // namespace dispatch_policy
