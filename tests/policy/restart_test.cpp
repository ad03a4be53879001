// Tests of messages that are restored after a restart, and of attempts that were not sent.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

#include "dispatch_policy/dispatch_policy.hpp"

namespace dispatch_policy {
namespace {

using namespace std::chrono_literals;

constexpr Time kStart = 1000s;

Settings KeyedSettings() {
  Settings s;
  s.classes.push_back({.latency_objective = 2s,
                       .deadline = 20s,
                       .effect = Effect::kIdempotentWithKey,
                       .dedup_window = 5s});
  s.classes.push_back({.latency_objective = 2s, .deadline = 20s, .effect = Effect::kNotIdempotent});
  s.kinds.resize(1);
  s.max_concurrent_calls = 4;
  s.max_in_flight = 100;
  s.max_attempts = 12;
  s.cancel_allowed = true;
  s.clients_honor_retry_after = true;
  s.decision_interval = 5ms;
  return s;
}

EndpointList OneEndpoint() {
  return {
      .version = 1, .form = ListForm::kComplete, .entries = {{.endpoint = 1, .destination = 1}}};
}

MessageRestored Restored(MessageId id) {
  MessageRestored e;
  e.message = id;
  e.destination = 1;
  e.time_left = 10s;
  return e;
}

template <typename T>
std::vector<T> ActionsOf(const std::vector<Action>& actions) {
  std::vector<T> found;
  for (const Action& action : actions) {
    if (const T* t = std::get_if<T>(&action)) found.push_back(*t);
  }
  return found;
}

AttemptCompleted Completed(MessageId id, Outcome outcome) {
  AttemptCompleted e;
  e.message = id;
  e.endpoint = 1;
  e.outcome = outcome;
  e.elapsed = 50ms;
  return e;
}

TEST(Restored, AMessageBypassesTheAdmissionGate) {
  DispatchPolicy policy(KeyedSettings(), 1);
  std::vector<Event> events;  // without an endpoint, 8 messages close the gate
  for (MessageId id = 0; id < 20; ++id) events.emplace_back(Restored(id));
  EXPECT_TRUE(ActionsOf<RejectMessage>(policy.Decide(kStart, events)).empty());
}

TEST(Restored, AMessageIsSentAgainOnlyWithinTheDedupWindow) {
  for (const Duration ago : {4s, 6s}) {
    DispatchPolicy policy(KeyedSettings(), 1);
    MessageRestored e = Restored(1);
    e.attempts_used = 1;
    e.may_have_run = kStart - ago;
    e.ran_on_endpoint = 1;
    const auto actions = policy.Decide(kStart, std::vector<Event>{OneEndpoint(), e});
    const auto sends = ActionsOf<SendAttempt>(actions);
    if (ago < 5s) {
      ASSERT_EQ(sends.size(), 1U);
      EXPECT_EQ(sends[0].start_by, kStart - ago + 5s);
    } else {
      EXPECT_TRUE(sends.empty());
      EXPECT_EQ(ActionsOf<RejectMessage>(actions).size(), 1U);
    }
  }
}

TEST(Restored, ANonIdempotentMessageThatMayHaveRunFailsAtOnce) {
  DispatchPolicy policy(KeyedSettings(), 1);
  MessageRestored e = Restored(1);
  e.message_class = 1;
  e.may_have_run = kStart - 1s;
  const auto actions = policy.Decide(kStart, std::vector<Event>{OneEndpoint(), e});
  EXPECT_EQ(ActionsOf<FailMessage>(actions).size(), 1U);
  EXPECT_TRUE(ActionsOf<SendAttempt>(actions).empty());
}

TEST(Restored, AttemptsOfEarlierProcessesCount) {
  for (const std::size_t used : {11U, 12U}) {
    DispatchPolicy policy(KeyedSettings(), 1);
    MessageRestored e = Restored(1);
    e.attempts_used = used;
    auto actions = policy.Decide(kStart, std::vector<Event>{OneEndpoint(), e});
    EXPECT_EQ(ActionsOf<SendAttempt>(actions).size(), used == 11U ? 1U : 0U);
    if (used == 11U) {
      const std::vector<Event> failed{Completed(1, Outcome::kConnectFailed)};
      actions = policy.Decide(kStart + 100ms, failed);
    }
    EXPECT_EQ(ActionsOf<RejectMessage>(actions).size(), 1U) << used;
  }
}

TEST(Restored, AMessagePastItsDeadlineEndsInTheSameDecision) {
  DispatchPolicy policy(KeyedSettings(), 1);
  MessageRestored e = Restored(1);
  e.time_left = -3s;
  const auto actions = policy.Decide(kStart, std::vector<Event>{OneEndpoint(), e});
  EXPECT_TRUE(ActionsOf<SendAttempt>(actions).empty());
  EXPECT_EQ(ActionsOf<RejectMessage>(actions).size(), 1U);
}

TEST(Restored, AnUnknownClassFails) {
  DispatchPolicy policy(KeyedSettings(), 1);
  MessageRestored e = Restored(1);
  e.message_class = 7;
  EXPECT_EQ(
      ActionsOf<FailMessage>(policy.Decide(kStart, std::vector<Event>{OneEndpoint(), e})).size(),
      1U);
}

TEST(Attempts, AnUnsentAttemptIsNotRetriedAtOnce) {
  DispatchPolicy policy(KeyedSettings(), 1);
  MessageArrived e{.message = 1, .destination = 1, .time_left = 20s, .key = {}};
  ASSERT_EQ(
      ActionsOf<SendAttempt>(policy.Decide(kStart, std::vector<Event>{OneEndpoint(), e})).size(),
      1U);
  const std::vector<Event> unsent{Completed(1, Outcome::kNotSent)};
  EXPECT_TRUE(ActionsOf<SendAttempt>(policy.Decide(kStart + 5ms, unsent)).empty());
  const auto later = policy.Decide(kStart + 200ms, std::vector<Event>{TimerFired{0}});
  EXPECT_EQ(ActionsOf<SendAttempt>(later).size(), 1U);
}

TEST(Attempts, AnExhaustedMessageIsGivenUpRegardlessOfTheLocalCount) {
  DispatchPolicy policy(KeyedSettings(), 1);
  MessageArrived e{.message = 1, .destination = 1, .time_left = 20s, .key = {}};
  ASSERT_EQ(
      ActionsOf<SendAttempt>(policy.Decide(kStart, std::vector<Event>{OneEndpoint(), e})).size(),
      1U);
  AttemptCompleted end = Completed(1, Outcome::kNotSent);
  end.exhausted = true;
  EXPECT_EQ(ActionsOf<RejectMessage>(policy.Decide(kStart + 5ms, std::vector<Event>{end})).size(),
            1U);
}

}  // namespace
}  // namespace dispatch_policy
