// What the module learned for a dispatcher whose messages outlast it, and of attempts that were
// never made.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

#include "rushfall/choice.hpp"

namespace rushfall {
namespace {

using namespace std::chrono_literals;

constexpr Time kStart = 1000s;

Settings KeyedSettings() {
  Settings s;
  s.classes.push_back({.aim = 2s, .deadline = 20s, .effect = Effect::kKeyed, .dedup_window = 5s});
  s.classes.push_back({.aim = 2s, .deadline = 20s, .effect = Effect::kUnsafe});
  s.kinds.resize(1);
  s.slots = 4;
  s.max_held = 100;
  s.max_attempts = 12;
  s.cancel_allowed = true;
  s.retry_after_heard = true;
  s.turn = 5ms;
  return s;
}

EndpointList One() {
  return {.version = 1, .form = ListForm::kWhole, .entries = {{.endpoint = 1, .destination = 1}}};
}

MessageRestored Restored(MessageId id) {
  MessageRestored e;
  e.message = id;
  e.destination = 1;
  e.time_left = 10s;
  return e;
}

template <typename T>
std::vector<T> Of(const std::vector<Action>& actions) {
  std::vector<T> found;
  for (const Action& action : actions) {
    if (const T* t = std::get_if<T>(&action)) found.push_back(*t);
  }
  return found;
}

AttemptSettled Settled(MessageId id, Outcome outcome) {
  AttemptSettled e;
  e.message = id;
  e.endpoint = 1;
  e.outcome = outcome;
  e.elapsed = 50ms;
  return e;
}

TEST(Restored, AMessageIsPastTheGate) {
  Choice choice(KeyedSettings(), 1);
  std::vector<Event> events;  // no endpoint is known, so 8 of one destination close the gate
  for (MessageId id = 0; id < 20; ++id) events.emplace_back(Restored(id));
  EXPECT_TRUE(Of<Refuse>(choice.Decide(kStart, events)).empty());
}

TEST(Restored, AMessageIsSentAgainOnlyWithinTheDedupWindow) {
  for (const Duration ago : {4s, 6s}) {
    Choice choice(KeyedSettings(), 1);
    MessageRestored e = Restored(1);
    e.attempts_used = 1;
    e.may_have_run = kStart - ago;
    e.ran_at = 1;
    const auto actions = choice.Decide(kStart, std::vector<Event>{One(), e});
    const auto sends = Of<Send>(actions);
    if (ago < 5s) {
      ASSERT_EQ(sends.size(), 1U);
      EXPECT_EQ(sends[0].start_by, kStart - ago + 5s);
    } else {
      EXPECT_TRUE(sends.empty());
      EXPECT_EQ(Of<Refuse>(actions).size(), 1U);
    }
  }
}

TEST(Restored, WhatMayHaveRunAndMayNotBeRepeatedFailsAtOnce) {
  Choice choice(KeyedSettings(), 1);
  MessageRestored e = Restored(1);
  e.message_class = 1;
  e.may_have_run = kStart - 1s;
  const auto actions = choice.Decide(kStart, std::vector<Event>{One(), e});
  EXPECT_EQ(Of<Surrender>(actions).size(), 1U);
  EXPECT_TRUE(Of<Send>(actions).empty());
}

TEST(Restored, AttemptsOfEarlierProcessesCount) {
  for (const std::size_t used : {11U, 12U}) {
    Choice choice(KeyedSettings(), 1);
    MessageRestored e = Restored(1);
    e.attempts_used = used;
    auto actions = choice.Decide(kStart, std::vector<Event>{One(), e});
    EXPECT_EQ(Of<Send>(actions).size(), used == 11U ? 1U : 0U);
    if (used == 11U) {
      const std::vector<Event> failed{Settled(1, Outcome::kConnectFailed)};
      actions = choice.Decide(kStart + 100ms, failed);
    }
    EXPECT_EQ(Of<Refuse>(actions).size(), 1U) << used;
  }
}

TEST(Restored, AMessageWhoseTimeIsUpEndsInTheSameTurn) {
  Choice choice(KeyedSettings(), 1);
  MessageRestored e = Restored(1);
  e.time_left = -3s;
  const auto actions = choice.Decide(kStart, std::vector<Event>{One(), e});
  EXPECT_TRUE(Of<Send>(actions).empty());
  EXPECT_EQ(Of<Refuse>(actions).size(), 1U);
}

TEST(Restored, AnUnknownClassFails) {
  Choice choice(KeyedSettings(), 1);
  MessageRestored e = Restored(1);
  e.message_class = 7;
  EXPECT_EQ(Of<Surrender>(choice.Decide(kStart, std::vector<Event>{One(), e})).size(), 1U);
}

TEST(Attempts, OneThatWasNotSentIsNotMadeAgainAtOnce) {
  Choice choice(KeyedSettings(), 1);
  MessageArrived e{.message = 1, .destination = 1, .time_left = 20s, .key = {}};
  ASSERT_EQ(Of<Send>(choice.Decide(kStart, std::vector<Event>{One(), e})).size(), 1U);
  const std::vector<Event> unsent{Settled(1, Outcome::kNotSent)};
  EXPECT_TRUE(Of<Send>(choice.Decide(kStart + 5ms, unsent)).empty());
  const auto later = choice.Decide(kStart + 200ms, std::vector<Event>{TimerFired{0}});
  EXPECT_EQ(Of<Send>(later).size(), 1U);
}

TEST(Attempts, AnExhaustedMessageIsGivenUpWhateverWasCountedHere) {
  Choice choice(KeyedSettings(), 1);
  MessageArrived e{.message = 1, .destination = 1, .time_left = 20s, .key = {}};
  ASSERT_EQ(Of<Send>(choice.Decide(kStart, std::vector<Event>{One(), e})).size(), 1U);
  AttemptSettled end = Settled(1, Outcome::kNotSent);
  end.exhausted = true;
  EXPECT_EQ(Of<Refuse>(choice.Decide(kStart + 5ms, std::vector<Event>{end})).size(), 1U);
}

}  // namespace
}  // namespace rushfall
