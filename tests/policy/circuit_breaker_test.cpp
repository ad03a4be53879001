#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "policy_fixture.hpp"

namespace dispatch_policy {
namespace {

// A connection limit must not lower the rate of calls on existing connections.
TEST(CircuitBreaker, LimitsCallsToTheConnectionsThatTheEndpointAllows) {
  PolicyDriver driver;
  std::vector<Event> events{OneEndpoint()};
  for (MessageId id = 1; id <= 4; ++id) events.emplace_back(Arrive(id));
  driver.At(0s, events);
  ASSERT_EQ(driver.ActionsOf<SendAttempt>().size(), 4u);
  events = {driver.End(4, Outcome::kConnectionLimitReached)};
  for (MessageId id = 5; id <= 7; ++id) events.emplace_back(Arrive(id));
  driver.At(100ms, events);
  EXPECT_TRUE(driver.ActionsOf<SendAttempt>().empty())
      << "three calls are in flight, and the fourth was not accepted";
  driver.At(200ms, {driver.End(1, Outcome::kDelivered)});
  EXPECT_EQ(driver.ActionsOf<SendAttempt>().size(), 1u);
  driver.At(300ms, {driver.End(2, Outcome::kDelivered), driver.End(3, Outcome::kDelivered)});
  EXPECT_EQ(driver.ActionsOf<SendAttempt>().size(), 2u)
      << "calls are sent at once: no rate limit and no outage";
}

TEST(CircuitBreaker, IgnoresAResetWhereOtherCallsAreAnswered) {
  PolicyDriver driver;
  driver.At(1s, {OneEndpoint(), Arrive(1), Arrive(2)});
  driver.At(1100ms, {driver.End(1, Outcome::kDelivered), driver.End(2, Outcome::kReset), Arrive(3),
                     Arrive(4)});
  EXPECT_EQ(driver.ActionsOf<SendAttempt>().size(), 3u)
      << "the message of the reset call and both new messages";
  driver.At(1200ms,
            {driver.End(3, Outcome::kError), driver.End(4, Outcome::kReset), Arrive(5), Arrive(6)});
  EXPECT_LE(driver.ActionsOf<SendAttempt>().size(), 1u)
      << "an error limits the endpoint to one call";
}

TEST(CircuitBreaker, PausesAfterAConnectionLimitWithNoCallInFlight) {
  PolicyDriver driver;
  driver.At(0s, {OneEndpoint(), Arrive(1)});
  driver.At(100ms, {driver.End(1, Outcome::kConnectionLimitReached), Arrive(2)});
  EXPECT_TRUE(driver.ActionsOf<SendAttempt>().empty());
  driver.At(2s);
  EXPECT_FALSE(driver.ActionsOf<SendAttempt>().empty());
}

TEST(CircuitBreaker, SendsOnlyTrialCallsToAFailedDestination) {
  for (Outcome o : {Outcome::kError, Outcome::kConnectFailed, Outcome::kReset}) {
    PolicyDriver driver;
    MessageId next = 1;
    driver.At(900ms, {OneEndpoint()});
    CallsWhileAllEndWith(driver, o, 1s, 5s, next);
    EXPECT_LE(CallsWhileAllEndWith(driver, o, 5s, 15s, next), 25);
  }
}

TEST(CircuitBreaker, SlowStartsAReturningDestinationWithinTheBudget) {
  PolicyDriver driver;
  MessageId next = 1;
  driver.At(900ms, {OneEndpoint()});
  CallsWhileAllEndWith(driver, Outcome::kConnectFailed, 1s, 15s, next);
  const int first = CallsWhileAllEndWith(driver, Outcome::kDelivered, 15s, 17s, next);
  // 10 messages per second are submitted. While cold, the destination has a fifth of its capacity,
  // and twice that load makes it collapse.
  EXPECT_GE(first, 1);
  EXPECT_LE(first, 8);
  CallsWhileAllEndWith(driver, Outcome::kDelivered, 17s, 30s, next);
  EXPECT_GE(CallsWhileAllEndWith(driver, Outcome::kDelivered, 30s, 32s, next), 15)
      << "full rate after the slow start";
}

TEST(CircuitBreaker, TreatsALongRetryAfterAsAnOutage) {
  PolicyDriver driver;
  MessageId next = 1;
  driver.At(900ms, {OneEndpoint()});
  CallsWhileAllEndWith(driver, Outcome::kDelivered, 1s, 10s, next);
  driver.At(10s, {Arrive(9000)});
  AttemptCompleted end = driver.End(9000, Outcome::kRejected);
  end.retry_after = 8s;
  driver.At(10100ms, {end});
  CallsWhileAllEndWith(driver, Outcome::kDelivered, 10200ms, 18100ms, next);
  EXPECT_LE(CallsWhileAllEndWith(driver, Outcome::kDelivered, 18100ms, 20100ms, next), 8);
}

// A late answer must not close the breaker during the Retry-After: the destination would get the
// full rate while it is warming up.
TEST(CircuitBreaker, IgnoresLateAnswersToCallsFromBeforeTheBreakerOpened) {
  PolicyDriver driver;
  MessageId next = 1;
  driver.At(900ms, {OneEndpoint()});
  CallsWhileAllEndWith(driver, Outcome::kDelivered, 1s, 10s, next);
  driver.At(10s, {Arrive(9000), Arrive(9001)});
  AttemptCompleted end = driver.End(9000, Outcome::kRejected);
  end.retry_after = 8s;
  driver.At(10100ms, {end});
  driver.At(10500ms, {driver.End(9001, Outcome::kDelivered)});
  std::vector<Event> backlog;
  for (int i = 0; i < 30; ++i) backlog.push_back(Arrive(10000u + static_cast<MessageId>(i)));
  driver.At(17s, backlog);
  EXPECT_LE(CallsWhileAllEndWith(driver, Outcome::kDelivered, 18200ms, 20200ms, next), 8);
}

// Submits messages of two classes to two endpoints. `fails` determines whether calls of a class
// fail at an endpoint. Returns the number of calls of each class to each endpoint in the second
// half.
std::map<std::pair<std::size_t, EndpointId>, int> CallsWhen(
    const std::function<bool(std::size_t, EndpointId)>& fails) {
  PolicyDriver driver;
  driver.At(900ms,
            {Listed({{.endpoint = 1, .destination = 1}, {.endpoint = 2, .destination = 1}})});
  std::map<std::pair<std::size_t, EndpointId>, int> calls;
  MessageId id = 0;
  const auto class_of = [](MessageId m) { return m % 2 == 0 ? kIdempotent : kNotIdempotent; };
  const auto next = [&] {
    ++id;
    return Arrive(id, class_of(id));
  };
  const auto end = [&](Time, const SendAttempt& send) {
    const std::size_t c = class_of(send.message);
    if (id > 200) ++calls[{c, send.endpoint}];
    const bool failed = fails(c, send.endpoint);
    return driver.End(send.message, failed ? Outcome::kError : Outcome::kDelivered, send.endpoint);
  };
  Drive(driver, 1100ms, 41100ms, next, end);
  return calls;
}

TEST(CircuitBreaker, MovesOnlyTheClassThatFailsAtAnEndpoint) {
  auto calls = CallsWhen([](std::size_t c, EndpointId e) { return c == kNotIdempotent && e == 1; });
  EXPECT_LE((calls[{kNotIdempotent, 1}]), 2)
      << "non-idempotent messages are not used to test the endpoint";
  EXPECT_GE((calls[{kNotIdempotent, 2}]), 95);
  EXPECT_GE((calls[{kIdempotent, 1}]), 20) << "the other class stays";
}

TEST(CircuitBreaker, MovesAllClassesAwayFromAnEndpointThatIsDown) {
  auto calls = CallsWhen([](std::size_t, EndpointId e) { return e == 1; });
  EXPECT_EQ((calls[{kNotIdempotent, 1}]), 0);
  EXPECT_LE((calls[{kIdempotent, 1}]), 10);
  EXPECT_GE((calls[{kIdempotent, 2}]), 90);
}

TEST(CircuitBreaker, TriesADestinationThatIsDownWithIdempotentMessagesOnly) {
  auto calls = CallsWhen([](std::size_t, EndpointId) { return true; });
  EXPECT_LE((calls[{kIdempotent, 1}] + calls[{kIdempotent, 2}]), 100);
}

// The trial calls of all dispatchers together must not overload the destination.
TEST(CircuitBreaker, KeepsManyDispatchersTogetherWithinTheRecoveryBudget) {
  for (std::size_t group : {3u, 50u, 300u}) {
    Settings settings = TestSettings();
    settings.group_size = group;
    std::vector<PolicyDriver> all;
    for (std::size_t i = 0; i < group; ++i) {
      all.emplace_back(settings, i);
      all.back().At(900ms, {OneEndpoint()});
    }
    std::mt19937_64 random(group);
    std::vector<std::vector<Event>> events(group);
    MessageId next = 1;
    std::size_t after_return = 0;
    // 10 messages per second are submitted, unevenly distributed. The warm destination has just
    // that capacity; while cold, more than 8 calls in a collapse window make it collapse.
    for (Time t = 1s; t < 45s; t += 20ms) {
      const bool down = t >= 16s && t < 32s;
      if (random() % 5 == 0) {
        const std::size_t i = std::min(random() % group, random() % group);
        events[i].push_back(Arrive(next++));
      }
      for (std::size_t i = 0; i < group; ++i) {
        all[i].At(t, events[i]);
        events[i].clear();
        for (const SendAttempt& send : all[i].ActionsOf<SendAttempt>()) {
          const Outcome o = down ? Outcome::kConnectFailed : Outcome::kDelivered;
          events[i].push_back(all[i].End(send.message, o));
          after_return += t >= 32s && t < 34s;
        }
      }
    }
    EXPECT_GE(after_return, 1u) << group;
    EXPECT_LE(after_return, 8u + 4u) << "calls in the collapse window of a group of " << group;
  }
}

// The network loses a third of the calls. The endpoint must stay in use.
TEST(CircuitBreaker, StaysClosedWhenAThirdOfTheCallsAreLost) {
  PolicyDriver driver;
  driver.At(900ms, {OneEndpoint()});
  int calls = 0;
  MessageId next = 1000;
  const auto end = [&](Time, const SendAttempt& send) {
    return driver.End(send.message, ++calls % 3 == 0 ? Outcome::kReset : Outcome::kDelivered);
  };
  Drive(
      driver, 1s, 31s, [&] { return Arrive(next++); }, end);
  EXPECT_GE(calls, 300);
}

// A rejection by a destination that is warming up gives no information about its rate limit.
TEST(CircuitBreaker, KeepsTheLearnedRateOnRejectionsWhileWarmingUp) {
  PolicyDriver driver;
  MessageId next = 1;
  driver.At(900ms, {OneEndpoint()});
  CallsWhileAllEndWith(driver, Outcome::kDelivered, 1s, 6s, next);
  CallsWhileAllEndWith(driver, Outcome::kConnectFailed, 6s, 14s, next);
  CallsWhileAllEndWith(driver, Outcome::kDelivered, 14s, 20s, next);
  CallsWhileAllEndWith(driver, Outcome::kRejected, 20s, 21s, next);
  CallsWhileAllEndWith(driver, Outcome::kDelivered, 21s, 28s, next);
  EXPECT_GE(CallsWhileAllEndWith(driver, Outcome::kDelivered, 28s, 30s, next), 18);
}

TEST(CircuitBreaker, ChecksHealthOnlyWhereAllowedAndRisksNoNonIdempotentMessage) {
  for (bool allowed : {false, true}) {
    Settings settings = TestSettings();
    settings.health_checks_allowed = allowed;
    PolicyDriver driver(settings);
    MessageId next = 1;
    driver.At(900ms, {OneEndpoint()});
    CallsWhileAllEndWith(driver, Outcome::kConnectFailed, 1s, 5s, next);
    std::size_t health_checks = 0;
    std::vector<Event> events;
    for (MessageId id = 1; id < next; ++id) events.push_back(MessageCancelled{id});
    events.push_back(Arrive(5000, kNotIdempotent));
    for (Time t = 5s; t < 12s; t += 100ms) {
      driver.At(t, events);
      events.clear();
      health_checks += driver.ActionsOf<StartHealthCheck>().size();
    }
    EXPECT_EQ(health_checks > 0, allowed);
    EXPECT_EQ(driver.attempts[5000] == 0, allowed);
  }
}

// After a failed connection attempt a retry is harmless. After a missing answer the message may
// have run.
TEST(CircuitBreaker, UsesAMessageWithAKeyAsTrialOnlyAfterAFailedConnection) {
  for (const Outcome outcome : {Outcome::kConnectFailed, Outcome::kReset, Outcome::kTimeout}) {
    Settings settings = TestSettings();
    settings.health_checks_allowed = true;
    settings.group_size = 100;
    PolicyDriver driver(settings);
    MessageId next = 1;
    driver.At(900ms, {OneEndpoint()});
    CallsWhileAllEndWith(driver, outcome, 1s, 5s, next);
    std::vector<Event> events;
    for (MessageId id = 1; id < next; ++id) events.push_back(MessageCancelled{id});
    events.push_back(Arrive(5000, kOrdered));
    std::size_t health_checks = 0;
    for (Time t = 5s; t < 12s; t += 100ms) {
      driver.At(t, events);
      events.clear();
      health_checks += driver.ActionsOf<StartHealthCheck>().size();
    }
    EXPECT_EQ(driver.attempts[5000] > 0, outcome == Outcome::kConnectFailed);
    EXPECT_EQ(health_checks == 0, outcome == Outcome::kConnectFailed);
  }
}

}  // namespace
}  // namespace dispatch_policy
