#include "dispatch_policy/dispatch_policy.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <random>

namespace dispatch_policy {
namespace {

using namespace std::chrono_literals;

Settings TestSettings() {
  Settings s;
  s.classes.push_back({.latency_objective = 2s, .deadline = 20s, .effect = Effect::kIdempotent});
  s.classes.push_back({.latency_objective = 2s,
                       .deadline = 20s,
                       .effect = Effect::kIdempotentWithKey,
                       .dedup_window = 6s,
                       .ordered = true});
  s.classes.push_back({.latency_objective = 2s, .deadline = 20s, .effect = Effect::kNotIdempotent});
  s.kinds.resize(1);
  s.max_concurrent_calls = 20;
  s.max_in_flight = 1000;
  s.max_attempts = 12;
  s.cancel_allowed = true;
  s.clients_honor_retry_after = true;
  s.decision_interval = 5ms;
  s.slow_start_share = 0.2;
  s.slow_start_duration = 10s;
  s.collapse_load_multiple = 2;
  s.collapse_window = 2s;
  s.ordering_cooldown = 100ms;
  s.group_size = 2;
  return s;
}

constexpr std::size_t kIdempotent = 0, kOrdered = 1, kNotIdempotent = 2;

// Drives one module by hand; messages and endpoints are numbered by the test.
class Bench {
 public:
  explicit Bench(Settings settings = TestSettings(), std::uint64_t seed = 1)
      : choice(std::move(settings), seed) {}

  std::vector<Action> At(Time at, std::vector<Event> events = {}) {
    actions = choice.Decide(at, events);
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&a)) ++attempts[send->message];
    }
    return actions;
  }
  template <typename T>
  std::vector<T> Got() const {
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

  DispatchPolicy choice;
  std::vector<Action> actions;
  std::map<MessageId, std::size_t> attempts;
};

MessageArrived Arrive(MessageId id, std::size_t message_class = kIdempotent, DestinationId to = 1,
                      std::string key = "") {
  return {id, to, message_class, 0, 20s, std::move(key)};
}

EndpointList Listed(std::vector<EndpointEntry> entries, std::uint64_t version = 1) {
  return {version, ListForm::kComplete, std::move(entries)};
}

EndpointList One() { return Listed({{.endpoint = 1, .destination = 1}}); }

// A message each tenth of a second; each call has ended by the next as `end` says. Returns the ends
// that are not told yet.
std::vector<Event> Drive(Bench& b, Time from, Time to, const std::function<MessageArrived()>& next,
                         const std::function<AttemptCompleted(Time, const SendAttempt&)>& end,
                         std::vector<Event> events = {}) {
  for (Time t = from; t < to; t += 100ms) {
    events.push_back(next());
    b.At(t, events);
    events.clear();
    for (const SendAttempt& send : b.Got<SendAttempt>()) events.push_back(end(t, send));
  }
  return events;
}

// ---- gate ----

// With no endpoint nothing is sent, so R is its least: 8; H is 7.2 and L is 6.24 messages.
TEST(Gate, EveryArrivalEntersBelowOnset) {
  Bench b;
  for (MessageId id = 0; id < 8; ++id) {
    b.At(1s, {Arrive(id)});
    EXPECT_TRUE(b.Got<RejectMessage>().empty()) << id;
  }
}

TEST(Gate, OverloadRefusesAShareAndDiscardRefusesAll) {
  int entered = 0;
  for (std::uint64_t seed = 0; seed < 400; ++seed) {
    DispatchPolicy choice(TestSettings(), seed);
    std::vector<Event> events;
    for (MessageId id = 0; id < 8; ++id) events.push_back(Arrive(id));
    events.push_back(Arrive(8));  // at n = 8 = R: discard
    int refused = 0;
    for (const Action& a : choice.Decide(1s, events))
      refused += std::holds_alternative<RejectMessage>(a);
    EXPECT_EQ(refused, 1);
    events = {MessageCancelled{0}, Arrive(9)};  // n = 7 < H: discard gives way to overload
    refused = 0;
    for (const Action& a : choice.Decide(2s, events))
      refused += std::holds_alternative<RejectMessage>(a);
    entered += 1 - refused;
  }
  EXPECT_NEAR(entered / 400.0, 0.4, 0.08);  // q is 0.6
}

TEST(Gate, DiscardHoldsDownToOnsetAndOverloadDownToAbatement) {
  Bench b;
  std::vector<Event> events;
  for (MessageId id = 0; id < 9; ++id) events.push_back(Arrive(id));
  b.At(1s, events);
  b.At(2s, {Arrive(20)});
  EXPECT_EQ(b.Got<RejectMessage>().size(), 1u) << "n is 8: discard";
  b.At(3s, {MessageCancelled{0}, MessageCancelled{1}});  // n = 6 < L: normal
  b.At(3s, {Arrive(21)});
  EXPECT_TRUE(b.Got<RejectMessage>().empty());
}

TEST(Gate, RetryAfterIsTheLastFallFromOnsetToAbatement) {
  Bench b;
  std::vector<Event> events;
  for (MessageId id = 0; id < 9; ++id) events.push_back(Arrive(id));
  b.At(1s, events);
  ASSERT_EQ(b.Got<RejectMessage>().size(), 1u);
  EXPECT_EQ(b.Got<RejectMessage>()[0].retry_after, 1s) << "not yet measured";
  b.At(4s, {MessageCancelled{0}, MessageCancelled{1}});
  b.At(4s, {Arrive(10), Arrive(11), Arrive(12)});
  ASSERT_EQ(b.Got<RejectMessage>().size(), 1u);
  EXPECT_EQ(b.Got<RejectMessage>()[0].retry_after, 3s);
}

TEST(Gate, NoRetryAfterWhereClientsDoNotHearIt) {
  Settings s = TestSettings();
  s.clients_honor_retry_after = false;
  Bench b(s);
  std::vector<Event> events;
  for (MessageId id = 0; id < 9; ++id) events.push_back(Arrive(id));
  b.At(1s, events);
  EXPECT_EQ(b.Got<RejectMessage>()[0].retry_after, 0s);
}

// A least mark of eight once kept the gate out of small holds until they were full.
TEST(Gate, AStartLetsMessagesGatherWithinOurShareOfTheListedRate) {
  Settings s = TestSettings();
  s.weights = WeightMeaning::kRate;
  s.kinds[0].max_batch = 20;
  Bench b(s);
  std::vector<Event> events{Listed({{.endpoint = 1, .destination = 1, .weight = 4},
                                    {.endpoint = 2, .destination = 2, .weight = 0.1}})};
  for (MessageId id = 1; id <= 15; ++id) events.emplace_back(Arrive(id, kIdempotent, 1));
  b.At(0s, events);
  EXPECT_TRUE(b.Got<RejectMessage>().empty());
  events.clear();
  for (MessageId id = 16; id <= 60; ++id) events.emplace_back(Arrive(id, kIdempotent, 2));
  b.At(1ms, events);  // it takes two messages a second from us
  EXPECT_FALSE(b.Got<RejectMessage>().empty());
}

TEST(Gate, DiscardComesBeforeASmallHoldIsFull) {
  const std::map<std::size_t, MessageId> entering = {{8, 6}, {9, 6}, {10, 7}, {11, 8}, {12, 8}};
  for (const auto& [hold, entered] : entering) {
    Settings s = TestSettings();
    s.max_in_flight = hold;
    Bench b(s);
    for (MessageId id = 0; id < hold; ++id) {
      b.At(1s, {Arrive(id)});
      EXPECT_EQ(b.Got<RejectMessage>().size(), id < entered ? 0u : 1u) << hold << " " << id;
    }
  }
}

// ---- slot share ----

TEST(SlotShare, OneDestinationFillsAtMostHalfWhileOthersWait) {
  Settings s = TestSettings();
  s.max_concurrent_calls = 8;
  Bench b(s);
  std::vector<Event> events = {
      Listed({{.endpoint = 1, .destination = 1}, {.endpoint = 2, .destination = 2}})};
  for (MessageId id = 0; id < 7; ++id) events.push_back(Arrive(id, kIdempotent, 1));
  b.At(1s, events);
  EXPECT_EQ(b.Got<SendAttempt>().size(), 7u) << "slots to spare: no share";
  b.At(1s, {Arrive(7, kIdempotent, 1), Arrive(8, kIdempotent, 2), Arrive(9, kIdempotent, 2)});
  ASSERT_EQ(b.Got<SendAttempt>().size(), 1u);
  EXPECT_EQ(b.Got<SendAttempt>()[0].endpoint, 2u) << "destination 1 is over its half";
}

// Few slots once left nothing to share: the last one must count before it is given away.
TEST(SlotShare, TheLastSlotsAreKeptForOthersHoweverFewThereAre) {
  const std::map<std::size_t, std::size_t> most = {{2, 1}, {3, 2}, {4, 3}, {5, 4}, {20, 16}};
  for (const auto& [slots, calls] : most) {
    Settings s = TestSettings();
    s.max_concurrent_calls = slots;
    Bench b(s);
    b.At(1s, {One(), Arrive(900, kIdempotent, 2)});  // 2 waits for an endpoint
    std::size_t sent = 0;
    for (MessageId id = 0; id < 22; ++id) {
      b.At(1s, {Arrive(id)});
      sent += b.Got<SendAttempt>().size();
    }
    EXPECT_EQ(sent, calls) << slots;
    b.At(1100ms, {b.End(0, Outcome::kDelivered)});
    EXPECT_EQ(b.Got<SendAttempt>().size(), 1u) << "the slot just left free, no more: " << slots;
  }
}

// Many destinations that are each a little sick once filled the sender together.
TEST(SlotShare, SickDestinationsShareAQuarterTogether) {
  Settings s = TestSettings();
  s.max_concurrent_calls = 4;
  Bench b(s);
  std::vector<EndpointEntry> entries;
  for (EndpointId id = 1; id <= 9; ++id) entries.push_back({.endpoint = id, .destination = id});
  b.At(1s, {Listed(entries)});
  Time t = 1s;
  for (MessageId id = 1; id <= 8; ++id) {  // each has failed once, and its message is held again
    b.At(t += 10ms, {Arrive(id, kIdempotent, id)});
    b.At(t += 10ms, {b.End(id, Outcome::kReset, id), MessageCancelled{id}});
  }
  std::vector<Event> events;
  for (MessageId id = 11; id <= 18; ++id) events.push_back(Arrive(id, kIdempotent, id - 10));
  for (MessageId id = 30; id < 40; ++id) events.push_back(Arrive(id, kNotIdempotent, 20));
  b.At(t += 10ms, events);
  EXPECT_LE(b.Got<SendAttempt>().size(), 3u) << "the last slot is for those that answer";
  b.At(t += 10ms, {Arrive(50, kIdempotent, 9)});
  EXPECT_EQ(b.attempts[50], 1u);
}

// ---- ledger ----

TEST(Ledger, EveryMessageGetsOneAnswerBeforeItsTimeIsUp) {
  Bench b;
  b.At(1s, {Arrive(1, kNotIdempotent)});
  EXPECT_TRUE(b.Got<RejectMessage>().empty()) << "held: an endpoint may still be listed";
  b.At(21s);
  EXPECT_EQ(b.Got<RejectMessage>().size(), 1u);
  b.At(22s, {One()});
  EXPECT_TRUE(b.Got<SendAttempt>().empty());
}

TEST(Ledger, UnsafeMessageIsSentAgainOnlyIfItNeverRan) {
  for (Outcome o : {Outcome::kRejected, Outcome::kConnectFailed, Outcome::kNotSent}) {
    Bench b;
    b.At(1s, {One(), Arrive(1, kNotIdempotent)});
    b.At(2s, {b.End(1, o)});
    b.At(4s);
    EXPECT_TRUE(b.Got<FailMessage>().empty());
    EXPECT_EQ(b.attempts[1], 2u);
  }
  for (Outcome o : {Outcome::kError, Outcome::kTimeout, Outcome::kReset, Outcome::kCancelled}) {
    Bench b;
    b.At(1s, {One(), Arrive(1, kNotIdempotent)});
    b.At(2s, {b.End(1, o)});
    EXPECT_EQ(b.Got<FailMessage>().size(), 1u) << "at once";
    EXPECT_TRUE(b.Got<RejectMessage>().empty());
    b.At(4s);
    EXPECT_EQ(b.attempts[1], 1u);
  }
}

TEST(Ledger, KeyedMessageIsSentAgainOnlyInsideItsWindow) {
  Bench b;
  b.At(1s, {One(), Arrive(1, kOrdered)});
  b.At(2s, {b.End(1, Outcome::kError)});
  b.At(3s);
  EXPECT_EQ(b.attempts[1], 2u);
  b.At(7100ms, {b.End(1, Outcome::kError)});
  EXPECT_EQ(b.attempts[1], 2u);
  EXPECT_EQ(b.Got<RejectMessage>().size() + b.Got<FailMessage>().size(), 1u) << "given up at once";
}

TEST(Ledger, KeyedMessageStaysInItsZoneWhereRepeatsAreDroppedByZone) {
  Settings s = TestSettings();
  s.classes[kOrdered].dedup_scope = DedupScope::kZone;
  Bench b(s);
  b.At(1s, {One(), Arrive(1, kOrdered)});
  b.At(2s, {b.End(1, Outcome::kError), Listed({{.endpoint = 2, .destination = 1, .zone = 1}}, 2)});
  b.At(3s);
  EXPECT_EQ(b.attempts[1], 1u);
  b.At(8s);
  EXPECT_EQ(b.Got<FailMessage>().size(), 1u) << "may not be refused either";
}

TEST(Ledger, OrderedKeyGoesOneByOneAndRestsAfterDoubt) {
  Bench b;
  b.At(1s, {One(), Arrive(1, kOrdered, 1, "k"), Arrive(2, kOrdered, 1, "k")});
  EXPECT_EQ(b.attempts[1], 1u);
  EXPECT_EQ(b.attempts[2], 0u);
  AttemptCompleted end = b.End(1, Outcome::kTimeout);
  end.finished = true;  // answered otherwise; the attempt may still run
  b.At(2s, {end});
  EXPECT_EQ(b.attempts[2], 0u) << "the key rests";
  b.At(2050ms);
  EXPECT_EQ(b.attempts[2], 0u);
  b.At(2100ms);
  EXPECT_EQ(b.attempts[2], 1u);
}

TEST(Ledger, OrderedKeyWaitsForAnAttemptOfAFinishedMessage) {
  Bench b;
  b.At(1s, {One(), Arrive(1, kOrdered, 1, "k"), Arrive(2, kOrdered, 1, "k")});
  b.At(2s, {MessageCancelled{1}});
  b.At(3s);
  EXPECT_EQ(b.attempts[2], 0u) << "the cancelled attempt is still out";
  b.At(4s, {b.End(1, Outcome::kCancelled)});
  b.At(4200ms);
  EXPECT_EQ(b.attempts[2], 1u);
}

TEST(Ledger, AttemptsEndAtTheirLimit) {
  Settings s = TestSettings();
  s.max_attempts = 2;
  Bench b(s);
  b.At(1s, {One(), Arrive(1)});
  b.At(2s, {b.End(1, Outcome::kRejected)});
  b.At(4s);
  ASSERT_EQ(b.attempts[1], 2u);
  b.At(5s, {b.End(1, Outcome::kRejected)});
  EXPECT_EQ(b.Got<RejectMessage>().size(), 1u);
}

// ---- lists ----

TEST(Lists, DrainingAndMissingEndpointsGetNothingNew) {
  Bench b;
  b.At(1s, {One()});
  b.At(2s, {EndpointList{2,
                         ListForm::kChanges,
                         {{.endpoint = 1, .destination = 1, .state = EndpointState::kDraining}}},
            Arrive(1)});
  EXPECT_EQ(b.attempts[1], 0u);
  b.At(3s, {Listed({{.endpoint = 2, .destination = 1}}, 3)});
  ASSERT_EQ(b.Got<SendAttempt>().size(), 1u);
  EXPECT_EQ(b.Got<SendAttempt>()[0].endpoint, 2u);
  b.At(4s, {Listed({}, 4), b.End(1, Outcome::kRejected, 2), Arrive(2)});
  b.At(6s);
  EXPECT_EQ(b.attempts[2], 0u);
}

TEST(Lists, AnEndpointThatIsGoneIsForgotten) {
  Bench b;
  b.At(0s, {One(), Arrive(1)});
  b.At(1s, {b.End(1, Outcome::kConnectFailed)});
  b.At(2s, {b.End(1, Outcome::kConnectFailed), Listed({}, 2)});
  b.At(62s, {Listed({}, 3)});
  std::vector<Event> events{Listed({{.endpoint = 1, .destination = 1}}, 4)};
  for (MessageId id = 2; id <= 5; ++id) events.emplace_back(Arrive(id));
  b.At(63s, events);
  EXPECT_GE(b.Got<SendAttempt>().size(), 4u);  // one at a time had its failure been kept
}

TEST(Lists, AnOlderListIsIgnored) {
  Bench b;
  b.At(1s, {Listed({{.endpoint = 1, .destination = 1}}, 5), Listed({}, 4), Arrive(1)});
  EXPECT_EQ(b.attempts[1], 1u);
}

TEST(Lists, AskedForOnlyWhereNeededAndAgainAfterAFailure) {
  Bench quiet;
  quiet.At(1s);
  EXPECT_TRUE(quiet.Got<SubscribeToEndpointList>().empty());
  Settings s = TestSettings();
  s.subscribe_to_endpoint_list = true;
  Bench b(s);
  b.At(1s);
  EXPECT_EQ(b.Got<SubscribeToEndpointList>().size(), 1u);
  b.At(2s);
  EXPECT_TRUE(b.Got<SubscribeToEndpointList>().empty());
  b.At(3s, {EndpointList{0, ListForm::kFailed, {}}});
  b.At(4s);
  EXPECT_EQ(b.Got<SubscribeToEndpointList>().size(), 1u);
}

// ---- pacer ----

TEST(Pacer, ToldWaitBindsTheWholeDestination) {
  Bench b;
  b.At(1s,
       {Listed({{.endpoint = 1, .destination = 1}, {.endpoint = 2, .destination = 1}}), Arrive(1)});
  AttemptCompleted end = b.End(1, Outcome::kRejected, b.Got<SendAttempt>()[0].endpoint);
  end.retry_after = 1s;
  b.At(2s, {end, Arrive(2)});
  b.At(2999ms, {Arrive(3)});
  EXPECT_EQ(b.attempts[1] + b.attempts[2] + b.attempts[3], 1u);
  b.At(3400ms);
  EXPECT_GE(b.Got<SendAttempt>().size(), 1u);
}

TEST(Pacer, ToldWaitBindsOnlyItsRouteWhereRoutesAreApart) {
  Settings s = TestSettings();
  s.kinds[0].per_endpoint_limits = true;
  Bench b(s);
  b.At(1s,
       {Listed({{.endpoint = 1, .destination = 1}, {.endpoint = 2, .destination = 1}}), Arrive(1)});
  const EndpointId told = b.Got<SendAttempt>()[0].endpoint;
  AttemptCompleted end = b.End(1, Outcome::kRejected, told);
  end.retry_after = 1s;
  b.At(2s, {end});
  ASSERT_EQ(b.Got<SendAttempt>().size(), 1u);
  EXPECT_NE(b.Got<SendAttempt>()[0].endpoint, told);
}

// A call is over with the first of its messages: one that has less time than an answer takes would
// take all others back with it.
TEST(Picker, ABriefMessageSharesNoCallWithOthers) {
  Settings s = TestSettings();
  s.kinds[0].max_batch = 5;
  Bench b(s);
  b.At(1s, {One(), Arrive(1)});
  b.At(2s);
  ASSERT_EQ(b.Got<SendAttempt>().size(), 1u);
  AttemptCompleted slow = b.End(1, Outcome::kDelivered);
  slow.elapsed = 400ms;
  b.At(2400ms, {slow});
  MessageArrived brief = Arrive(2);
  brief.time_left = 300ms;
  b.At(3s, {brief, Arrive(3)});
  b.At(3100ms);  // the brief one has gathered, the other would join it
  ASSERT_EQ(b.Got<SendAttempt>().size(), 1u);
  EXPECT_EQ(b.Got<SendAttempt>()[0].message, 2u);
}

// A wait told to a later message of a batch was once missed.
TEST(Pacer, WaitToldToAnyMessageOfABatchBinds) {
  Settings s = TestSettings();
  s.kinds[0].max_batch = 5;
  Bench b(s);
  b.At(1s, {One(), Arrive(1), Arrive(2)});
  b.At(1800ms);
  ASSERT_EQ(b.Got<SendAttempt>().size(), 2u);
  AttemptCompleted second = b.End(2, Outcome::kRejected);
  second.retry_after = 2s;
  b.At(2s, {b.End(1, Outcome::kRejected), second});
  b.At(3900ms);
  EXPECT_EQ(b.attempts[1] + b.attempts[2], 2u);
}

// Messages wait for others to share their call; impatient clients once left before it went out.
TEST(Picker, GatheringFollowsTheTimeThatTheMessageReallyHas) {
  Settings s = TestSettings();
  s.kinds[0].max_batch = 5;
  for (const auto& [time_left, sent_by] : std::map<Duration, Duration>{{20s, 800ms}, {1s, 200ms}}) {
    Bench b(s);
    MessageArrived m = Arrive(1);
    m.time_left = time_left;
    b.At(1s, {One(), m});
    b.At(1s + sent_by - 10ms);
    EXPECT_EQ(b.attempts[1], 0u);
    b.At(1s + sent_by);
    EXPECT_EQ(b.attempts[1], 1u);
  }
}

TEST(Pacer, AfterARefusalOneCallAtATime) {
  Bench b;
  b.At(1s, {One(), Arrive(1)});
  b.At(2s, {b.End(1, Outcome::kRejected), Arrive(2), Arrive(3)});
  EXPECT_TRUE(b.Got<SendAttempt>().empty());
  b.At(4s);
  EXPECT_EQ(b.Got<SendAttempt>().size(), 1u);
}

// A refused destination: then ten messages a second are asked for, and all calls are accepted.
int CallsAfterARefusal(LoadReport report, Time from, Time to) {
  Bench b;
  b.At(1s, {One(), Arrive(1)});
  int calls = 0;
  MessageId next = 2;
  const auto end = [&](Time t, const SendAttempt& send) {
    AttemptCompleted delivered = b.End(send.message, Outcome::kDelivered);
    delivered.report = report;
    calls += t >= from;
    return delivered;
  };
  Drive(b, 1100ms, to, [&] { return Arrive(next++); }, end, {b.End(1, Outcome::kRejected)});
  return calls;
}

// A learned rate once held a partner's messages until they died, long after it had room again.
TEST(Pacer, ACrowdedEndpointGetsAsManyCallsAsItHasPlacesForUs) {
  Bench b;
  std::vector<Event> events{One()};
  for (MessageId id = 1; id <= 4; ++id) events.emplace_back(Arrive(id));
  b.At(0s, events);
  ASSERT_EQ(b.Got<SendAttempt>().size(), 4u);
  events = {b.End(4, Outcome::kConnectionLimitReached)};
  for (MessageId id = 5; id <= 7; ++id) events.emplace_back(Arrive(id));
  b.At(100ms, events);
  EXPECT_TRUE(b.Got<SendAttempt>().empty()) << "three are out, and no more was let in";
  b.At(200ms, {b.End(1, Outcome::kDelivered)});
  EXPECT_EQ(b.Got<SendAttempt>().size(), 1u);
  b.At(300ms, {b.End(2, Outcome::kDelivered), b.End(3, Outcome::kDelivered)});
  EXPECT_EQ(b.Got<SendAttempt>().size(), 2u) << "at once: neither paced nor sick";
}

TEST(Breaker, AResetWhereOthersAreAnsweredDoesNotHoldCallsBack) {
  Bench b;
  b.At(1s, {One(), Arrive(1), Arrive(2)});
  b.At(1100ms, {b.End(1, Outcome::kDelivered), b.End(2, Outcome::kReset), Arrive(3), Arrive(4)});
  EXPECT_EQ(b.Got<SendAttempt>().size(), 3u) << "the reset one and both new ones";
  b.At(1200ms, {b.End(3, Outcome::kError), b.End(4, Outcome::kReset), Arrive(5), Arrive(6)});
  EXPECT_LE(b.Got<SendAttempt>().size(), 1u) << "an error does";
}

TEST(Pacer, ACrowdedEndpointWithoutACallOutIsNotAskedAgainAtOnce) {
  Bench b;
  b.At(0s, {One(), Arrive(1)});
  b.At(100ms, {b.End(1, Outcome::kConnectionLimitReached), Arrive(2)});
  EXPECT_TRUE(b.Got<SendAttempt>().empty());
  b.At(2s);
  EXPECT_FALSE(b.Got<SendAttempt>().empty());
}

TEST(Pacer, ALearnedRateGrowsBackFasterTheLongerNothingIsRefused) {
  EXPECT_LE(CallsAfterARefusal({}, 1s, 4s), 6);
  EXPECT_GE(CallsAfterARefusal({}, 18s, 21s), 25);
}

TEST(Pacer, ALearnedRateDoesNotGrowIntoALimitThatIsSpent) {
  EXPECT_LE(CallsAfterARefusal({.allowance_left = 0.1, .limit = 20}, 18s, 21s), 6);
  EXPECT_GE(CallsAfterARefusal({.allowance_left = 0.9, .limit = 20}, 18s, 21s), 25);
}

TEST(Pacer, AReportedLimitIsNotExceededByOneDispatcher) {
  EXPECT_LE(CallsAfterARefusal({.allowance_left = 0.9, .limit = 2}, 18s, 21s), 7);
}

// A hung call once kept the one call after a refusal from going out, for the whole destination.
TEST(Pacer, TheCallAfterARefusalDoesNotWaitForAHungOne) {
  Bench b;
  b.At(1s, {Listed({{.endpoint = 1, .destination = 1}, {.endpoint = 2, .destination = 1}}),
            Arrive(1, kNotIdempotent), Arrive(2, kNotIdempotent)});
  ASSERT_EQ(b.Got<SendAttempt>().size(), 2u);
  b.At(1100ms, {b.End(2, Outcome::kRejected, b.Got<SendAttempt>()[1].endpoint)});
  for (Time t = 1200ms; t < 8s; t += 100ms) b.At(t);
  EXPECT_EQ(b.attempts[2], 2u);
}

// ---- breaker ----

// Sends a safe message a tenth of a second and ends every call alike; returns how many went out.
int CallsWhileAllEnd(Bench& b, Outcome outcome, Time from, Time to, MessageId& next) {
  int calls = 0;
  const auto end = [&](Time, const SendAttempt& send) {
    ++calls;
    return b.End(send.message, outcome, send.endpoint);
  };
  std::vector<Event> events = Drive(
      b, from, to, [&] { return Arrive(next++); }, end);
  while (!events.empty()) {  // nothing is left without an outcome
    b.At(to, events);
    events.clear();
    for (const SendAttempt& send : b.Got<SendAttempt>())
      events.push_back(b.End(send.message, outcome, send.endpoint));
  }
  return calls;
}

TEST(Breaker, AFailedDestinationGetsATrickleOnly) {
  for (Outcome o : {Outcome::kError, Outcome::kConnectFailed, Outcome::kReset}) {
    Bench b;
    MessageId next = 1;
    b.At(900ms, {One()});
    CallsWhileAllEnd(b, o, 1s, 5s, next);
    EXPECT_LE(CallsWhileAllEnd(b, o, 5s, 15s, next), 25);
  }
}

TEST(Breaker, AReturningDestinationIsWarmedUpWithinTheBudget) {
  Bench b;
  MessageId next = 1;
  b.At(900ms, {One()});
  CallsWhileAllEnd(b, Outcome::kConnectFailed, 1s, 15s, next);
  const int first = CallsWhileAllEnd(b, Outcome::kDelivered, 15s, 17s, next);
  // 10 a second are asked for; cold it can do a fifth, and twice that pushes it over.
  EXPECT_GE(first, 1);
  EXPECT_LE(first, 8);
  CallsWhileAllEnd(b, Outcome::kDelivered, 17s, 30s, next);
  EXPECT_GE(CallsWhileAllEnd(b, Outcome::kDelivered, 30s, 32s, next), 15) << "warm again";
}

TEST(Breaker, ALongToldWaitIsAnOutageToo) {
  Bench b;
  MessageId next = 1;
  b.At(900ms, {One()});
  CallsWhileAllEnd(b, Outcome::kDelivered, 1s, 10s, next);
  b.At(10s, {Arrive(9000)});
  AttemptCompleted end = b.End(9000, Outcome::kRejected);
  end.retry_after = 8s;
  b.At(10100ms, {end});
  CallsWhileAllEnd(b, Outcome::kDelivered, 10200ms, 18100ms, next);
  EXPECT_LE(CallsWhileAllEnd(b, Outcome::kDelivered, 18100ms, 20100ms, next), 8);
}

// A late answer from before the partner shut once closed the breaker during the told wait, and the
// full rate met a cold partner when the wait was over.
TEST(Breaker, ALateAnswerFromBeforeItShutIsNoReturn) {
  Bench b;
  MessageId next = 1;
  b.At(900ms, {One()});
  CallsWhileAllEnd(b, Outcome::kDelivered, 1s, 10s, next);
  b.At(10s, {Arrive(9000), Arrive(9001)});
  AttemptCompleted end = b.End(9000, Outcome::kRejected);
  end.retry_after = 8s;
  b.At(10100ms, {end});
  b.At(10500ms, {b.End(9001, Outcome::kDelivered)});
  std::vector<Event> backlog;
  for (int i = 0; i < 30; ++i) backlog.push_back(Arrive(10000u + static_cast<MessageId>(i)));
  b.At(17s, backlog);
  EXPECT_LE(CallsWhileAllEnd(b, Outcome::kDelivered, 18200ms, 20200ms, next), 8);
}

// One class fails at one endpoint, all classes there, or all endpoints: each told from the others.
// Returns the calls of the class and of the others at each endpoint in the last half.
std::map<std::pair<std::size_t, EndpointId>, int> CallsWhen(
    const std::function<bool(std::size_t, EndpointId)>& fails) {
  Bench b;
  b.At(900ms, {Listed({{.endpoint = 1, .destination = 1}, {.endpoint = 2, .destination = 1}})});
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
    return b.End(send.message, failed ? Outcome::kError : Outcome::kDelivered, send.endpoint);
  };
  Drive(b, 1100ms, 41100ms, next, end);
  return calls;
}

TEST(Breaker, OneClassFailingAtOneEndpointMovesThatClassOnly) {
  auto calls = CallsWhen([](std::size_t c, EndpointId e) { return c == kNotIdempotent && e == 1; });
  EXPECT_LE((calls[{kNotIdempotent, 1}]), 2) << "unsafe messages are not spent on finding out";
  EXPECT_GE((calls[{kNotIdempotent, 2}]), 95);
  EXPECT_GE((calls[{kIdempotent, 1}]), 20) << "the other class stays";
}

TEST(Breaker, AnEndpointThatIsDownIsLeftByAllClasses) {
  auto calls = CallsWhen([](std::size_t, EndpointId e) { return e == 1; });
  EXPECT_EQ((calls[{kNotIdempotent, 1}]), 0);
  EXPECT_LE((calls[{kIdempotent, 1}]), 10);
  EXPECT_GE((calls[{kIdempotent, 2}]), 90);
}

TEST(Breaker, APartnerThatIsDownGetsTrialsByItsSafeMessagesAlone) {
  auto calls = CallsWhen([](std::size_t, EndpointId) { return true; });
  EXPECT_LE((calls[{kIdempotent, 1}] + calls[{kIdempotent, 2}]), 100);
}

// Every dispatcher once sent a harmless trickle, and all together pushed the partner over.
TEST(Breaker, ManyDispatchersTogetherStayWithinTheBudgetOfAReturningDestination) {
  for (std::size_t group : {3u, 50u, 300u}) {
    Settings s = TestSettings();
    s.group_size = group;
    std::vector<Bench> all;
    for (std::size_t i = 0; i < group; ++i) {
      all.emplace_back(s, i);
      all.back().At(900ms, {One()});
    }
    std::mt19937_64 random(group);
    std::vector<std::vector<Event>> events(group);
    MessageId next = 1;
    std::size_t after_return = 0;
    // 10 a second are asked for, unevenly, and warm it can do as much: 8 in a window when cold.
    for (Time t = 1s; t < 45s; t += 20ms) {
      const bool down = t >= 16s && t < 32s;
      if (random() % 5 == 0) {
        const std::size_t i = std::min(random() % group, random() % group);
        events[i].push_back(Arrive(next++));
      }
      for (std::size_t i = 0; i < group; ++i) {
        all[i].At(t, events[i]);
        events[i].clear();
        for (const SendAttempt& send : all[i].Got<SendAttempt>()) {
          const Outcome o = down ? Outcome::kConnectFailed : Outcome::kDelivered;
          events[i].push_back(all[i].End(send.message, o));
          after_return += t >= 32s && t < 34s;
        }
      }
    }
    EXPECT_GE(after_return, 1u) << group;
    EXPECT_LE(after_return, 8u + 4u) << "calls in the fall window of a group of " << group;
  }
}

// Loss on the way: a third of the calls fail, and the endpoint stays in use.
TEST(Breaker, LossIsNoOutage) {
  Bench b;
  b.At(900ms, {One()});
  int calls = 0;
  MessageId next = 1000;
  const auto end = [&](Time, const SendAttempt& send) {
    return b.End(send.message, ++calls % 3 == 0 ? Outcome::kReset : Outcome::kDelivered);
  };
  Drive(
      b, 1s, 31s, [&] { return Arrive(next++); }, end);
  EXPECT_GE(calls, 300);
}

// A refusal of a cold destination tells nothing of its limit.
TEST(Breaker, RefusalsWhileColdLeaveThePacedRateAlone) {
  Bench b;
  MessageId next = 1;
  b.At(900ms, {One()});
  CallsWhileAllEnd(b, Outcome::kDelivered, 1s, 6s, next);
  CallsWhileAllEnd(b, Outcome::kConnectFailed, 6s, 14s, next);
  CallsWhileAllEnd(b, Outcome::kDelivered, 14s, 20s, next);
  CallsWhileAllEnd(b, Outcome::kRejected, 20s, 21s, next);
  CallsWhileAllEnd(b, Outcome::kDelivered, 21s, 28s, next);
  EXPECT_GE(CallsWhileAllEnd(b, Outcome::kDelivered, 28s, 30s, next), 18);
}

TEST(Breaker, ProbesOnlyWhereAllowedAndNeverRisksAnUnsafeMessage) {
  for (bool allowed : {false, true}) {
    Settings s = TestSettings();
    s.health_checks_allowed = allowed;
    Bench b(s);
    MessageId next = 1;
    b.At(900ms, {One()});
    CallsWhileAllEnd(b, Outcome::kConnectFailed, 1s, 5s, next);
    std::size_t probes = 0;
    std::vector<Event> events;
    for (MessageId id = 1; id < next; ++id) events.push_back(MessageCancelled{id});
    events.push_back(Arrive(5000, kNotIdempotent));
    for (Time t = 5s; t < 12s; t += 100ms) {
      b.At(t, events);
      events.clear();
      probes += b.Got<StartHealthCheck>().size();
    }
    EXPECT_EQ(probes > 0, allowed);
    EXPECT_EQ(b.attempts[5000] == 0, allowed);
  }
}

// Where no connection came up a repeat is harmless; where an answer is missing it may have run.
TEST(Breaker, AKeyedMessageIsTheTrialOnlyWhereNoConnectionCameUp) {
  for (const Outcome outcome : {Outcome::kConnectFailed, Outcome::kReset, Outcome::kTimeout}) {
    Settings s = TestSettings();
    s.health_checks_allowed = true;
    s.group_size = 100;
    Bench b(s);
    MessageId next = 1;
    b.At(900ms, {One()});
    CallsWhileAllEnd(b, outcome, 1s, 5s, next);
    std::vector<Event> events;
    for (MessageId id = 1; id < next; ++id) events.push_back(MessageCancelled{id});
    events.push_back(Arrive(5000, kOrdered));
    std::size_t probes = 0;
    for (Time t = 5s; t < 12s; t += 100ms) {
      b.At(t, events);
      events.clear();
      probes += b.Got<StartHealthCheck>().size();
    }
    EXPECT_EQ(b.attempts[5000] > 0, outcome == Outcome::kConnectFailed);
    EXPECT_EQ(probes == 0, outcome == Outcome::kConnectFailed);
  }
}

// ---- attempts ----

TEST(Attempts, ASilentCallIsCalledOffOnlyWhereThatIsAllowed) {
  for (bool allowed : {false, true}) {
    Settings s = TestSettings();
    s.cancel_allowed = allowed;
    Bench b(s);
    b.At(1s, {One(), Arrive(1)});
    ASSERT_EQ(b.Got<SendAttempt>().size(), 1u);
    EXPECT_EQ(b.Got<SendAttempt>()[0].timeout < 20s, !allowed);
    std::size_t cancels = 0;
    for (Time t = 1s; t < 15s; t += 100ms) {
      b.At(t);
      cancels += b.Got<CancelAttempt>().size();
    }
    EXPECT_EQ(cancels, allowed ? 1u : 0u);
  }
}

// Loss everywhere: answers at the usual pace after silence. Then a silent unsafe call gives its
// slot up early when slots are scarce; without other losses it is left alone for longer.
TEST(Attempts, LostCallsFreeTheirSlotsEarlyWhenSlotsAreScarce) {
  Time called_off[2];
  for (bool lossy : {false, true}) {
    Settings s = TestSettings();
    s.max_concurrent_calls = 2;
    Bench b(s);
    b.At(900ms, {Listed({{.endpoint = 1, .destination = 1}, {.endpoint = 2, .destination = 2}})});
    Time t = 1s;
    for (MessageId id = 100; id < 130; ++id) {
      b.At(t, {Arrive(id)});
      if (lossy && id % 4 == 0) {
        b.At(t += 1s);
        b.At(t += 1s, {b.End(id, Outcome::kCancelled), MessageCancelled{id}});
      } else {
        b.At(t += 100ms, {b.End(id, Outcome::kDelivered)});
      }
    }
    b.At(t += 1s, {Arrive(1, kNotIdempotent, 2), Arrive(2, kNotIdempotent, 2),
                   Arrive(3, kNotIdempotent, 2)});
    const Time sent = t;
    while (b.Got<CancelAttempt>().empty() && t < sent + 19s) b.At(t += 50ms);
    called_off[lossy] = t - sent;
  }
  EXPECT_LT(called_off[true], called_off[false]);
}

TEST(Attempts, AnUnsafeSilentCallIsLeftAloneWhileSlotsAreFree) {
  Bench b;
  b.At(1s, {One(), Arrive(1, kNotIdempotent)});
  for (Time t = 1s; t < 20s; t += 100ms) {
    b.At(t);
    EXPECT_TRUE(b.Got<CancelAttempt>().empty());
  }
  b.At(21s);
  EXPECT_EQ(b.Got<FailMessage>().size(), 1u);
}

// A timer that fired a little early was taken for one still to come, and messages were lost.
TEST(Caller, ATimerThatFiresEarlyIsSetAgain) {
  Bench b;
  b.At(1s, {Arrive(1)});
  ASSERT_EQ(b.Got<SetTimer>().size(), 1u);
  const Time due = b.Got<SetTimer>()[0].at;
  b.At(due - 1ns, {TimerFired{0}});
  ASSERT_EQ(b.Got<SetTimer>().size(), 1u);
  EXPECT_EQ(b.Got<SetTimer>()[0].at, due);
}

// ---- a caller's broken promise ----

TEST(Caller, UnknownThingsAreIgnored) {
  Bench b;
  b.At(1s, {One(), AttemptCompleted{}, MessageCancelled{77}, HealthCheckCompleted{},
            TimerFired{12345}});
  AttemptCompleted unsent = b.End(1, Outcome::kDelivered);
  unsent.attempt = 3;
  b.At(2s, {Arrive(1), Arrive(1), unsent});
  EXPECT_EQ(b.Got<SendAttempt>().size(), 1u);
  b.At(3s, {b.End(1, Outcome::kDelivered), b.End(1, Outcome::kTimeout)});
  EXPECT_TRUE(b.actions.empty());
}

TEST(Caller, AClockThatRunsBackwardsStandsStill) {
  Bench b;
  b.At(10s, {Arrive(1)});
  b.At(1s, {One()});
  EXPECT_EQ(b.attempts[1], 1u);
  b.At(2s, {b.End(1, Outcome::kError)});
  b.At(10s);
  EXPECT_EQ(b.attempts[1], 1u) << "the pause after an error is not over";
}

TEST(Caller, ZeroAndMissingSettingsAreNoLimit) {
  DispatchPolicy choice(Settings{}, 0);
  const std::vector<Event> unknown = {Arrive(1)};
  const auto refused = choice.Decide(1s, unknown);
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<RejectMessage>(refused[0])) << "no such class";
  Settings s;
  s.classes.resize(1);
  Bench b(s);
  b.At(1s, {One(), Arrive(1, kIdempotent, 1)});
  EXPECT_EQ(b.Got<SendAttempt>().size(), 1u);
}

// The share of nobody would be without bound, and a failed endpoint called each turn.
TEST(Caller, AGroupOfNoneIsAGroupOfOne) {
  int calls[2] = {};
  for (std::size_t group : {0, 1}) {
    Settings s = TestSettings();
    s.group_size = group;
    Bench b(s);
    MessageId next = 1;
    b.At(900ms, {One()});
    calls[group] = CallsWhileAllEnd(b, Outcome::kConnectFailed, 1s, 20s, next);
  }
  EXPECT_GT(calls[1], 0);
  EXPECT_EQ(calls[0], calls[1]);
}

TEST(Caller, AMessageWithNoTimeLeftIsAnsweredAtOnce) {
  Bench b;
  MessageArrived late = Arrive(1, kNotIdempotent);
  late.time_left = 0ms;
  b.At(1s, {One(), late});
  EXPECT_EQ(b.Got<RejectMessage>().size(), 1u);
  EXPECT_TRUE(b.Got<SendAttempt>().empty());
}

TEST(Caller, ALongListMayChangeWhileCallsAreOut) {
  Bench b;
  std::vector<EndpointEntry> entries;
  for (EndpointId id = 1; id <= 600; ++id) entries.push_back({.endpoint = id, .destination = id});
  std::vector<Event> events = {Listed(entries)};
  for (MessageId id = 1; id <= 20; ++id) events.push_back(Arrive(id, kIdempotent, id));
  b.At(1s, events);
  ASSERT_EQ(b.Got<SendAttempt>().size(), 20u);
  for (EndpointEntry& e : entries) e.endpoint += 1000;  // all are replaced
  events = {Listed(entries, 2)};
  for (MessageId id = 1; id <= 20; ++id) events.push_back(b.End(id, Outcome::kConnectFailed, id));
  b.At(2s, events);
  for (const SendAttempt& send : b.Got<SendAttempt>()) EXPECT_GT(send.endpoint, 1000u);
  EXPECT_EQ(b.Got<SendAttempt>().size(), 20u) << "other endpoints of the same destinations";
  b.At(3s, {Listed({}, 3), Arrive(99, kIdempotent, 5)});
  EXPECT_EQ(b.attempts[99], 0u);
}

TEST(Caller, WaitingSetsFewTimers) {
  for (std::size_t group : {0u, 1u, 300u}) {
    Settings s = TestSettings();
    s.group_size = group;
    Bench b(s);
    b.At(1s, {One(), Arrive(1)});
    std::size_t timers = 0;
    std::vector<Event> events = {b.End(1, Outcome::kConnectFailed)};
    for (Time t = 1s; t < 22s; t += 5ms) {
      b.At(t, events);
      events.clear();
      timers += b.Got<SetTimer>().size();
      for (const SendAttempt& send : b.Got<SendAttempt>()) {
        events.push_back(b.End(send.message, Outcome::kConnectFailed));
      }
    }
    EXPECT_LE(timers, 100u) << group;
  }
}

TEST(Caller, TheSameEventsAndSeedGiveTheSameActions) {
  Bench one, two;
  for (MessageId id = 0; id < 60; ++id) {
    const Time at = 1s + std::chrono::milliseconds(10 * id);
    const std::vector<Event> events = {Arrive(id, id % 3, id % 2)};
    EXPECT_EQ(one.At(at, events).size(), two.At(at, events).size());
    EXPECT_EQ(one.Got<RejectMessage>().size(), two.Got<RejectMessage>().size());
  }
}

// ---- what the list and the answers say that cannot be meant ----

bool Logged(const Bench& b, const std::string& words) {
  const std::vector<LogMessage> lines = b.Got<LogMessage>();
  return std::any_of(lines.begin(), lines.end(), [&](const LogMessage& line) {
    return line.text.find(words) != std::string::npos;
  });
}

// One slot, so that what arrives at once is held unsent; the gate then goes by the listed rate.
TEST(Unsuited, ARateThatCannotBeMeantIsTakenForUntold) {
  Settings s = TestSettings();
  s.max_concurrent_calls = 1;
  s.weights = WeightMeaning::kApproximateRate;
  Bench b(s);
  b.At(0s, {Listed({{.endpoint = 1, .destination = 1, .weight = 1e12}})});
  EXPECT_TRUE(Logged(b, "taken for untold"));
  std::vector<Event> arrivals;
  for (MessageId id = 0; id < 30; ++id) arrivals.push_back(Arrive(id));
  b.At(1s, arrivals);
  EXPECT_EQ(b.Got<SendAttempt>().size(), 1u);
  EXPECT_FALSE(b.Got<RejectMessage>().empty()) << "the gate let all in at a rate nobody meant";
}

TEST(Unsuited, AWaitPastEveryDeadlineGivesTheMessagesUpAtOnce) {
  Bench b;
  b.At(0s, {One(), Arrive(1)});
  ASSERT_EQ(b.Got<SendAttempt>().size(), 1u);
  AttemptCompleted full = b.End(1, Outcome::kRejected);
  full.retry_after = 3600s;
  b.At(100ms, {full, Arrive(2)});
  EXPECT_TRUE(Logged(b, "past every deadline"));
  EXPECT_EQ(b.Got<RejectMessage>().size(), 2u) << "held for a wait that outlasts them";
  EXPECT_TRUE(b.Got<SendAttempt>().empty());
}

TEST(Unsuited, AWaitWithinTheDeadlineKeepsTheMessages) {
  Bench b;
  b.At(0s, {One(), Arrive(1)});
  AttemptCompleted full = b.End(1, Outcome::kRejected);
  full.retry_after = 2s;
  b.At(100ms, {full, Arrive(2)});
  EXPECT_TRUE(b.Got<RejectMessage>().empty());
  std::size_t sent = 0;
  for (Time t = 200ms; t < 6s; t += 100ms)
    sent += b.At(t).empty() ? 0 : b.Got<SendAttempt>().size();
  EXPECT_TRUE(b.Got<RejectMessage>().empty());
  EXPECT_EQ(sent, 2u);
}

TEST(Unsuited, ADestinationWithNoEndpointThatTakesWorkIsToldOnceAndItsMessagesWait) {
  Bench b;
  b.At(0s, {Listed({{.endpoint = 1, .destination = 1, .state = EndpointState::kDraining}})});
  EXPECT_TRUE(Logged(b, "no endpoint that takes work"));
  b.At(1s, {Listed({{.endpoint = 1, .destination = 1, .state = EndpointState::kDraining}}, 2),
            Arrive(1)});
  EXPECT_FALSE(Logged(b, "no endpoint that takes work"));
  EXPECT_TRUE(b.Got<RejectMessage>().empty());
  EXPECT_TRUE(b.Got<SendAttempt>().empty());
  b.At(2s, {Listed({{.endpoint = 1, .destination = 1, .state = EndpointState::kDraining},
                    {.endpoint = 2, .destination = 1}},
                   3)});
  ASSERT_EQ(b.Got<SendAttempt>().size(), 1u);
  EXPECT_EQ(b.Got<SendAttempt>()[0].endpoint, 2u);
}

// Two routes apart that are alike but for their zones' tolls.
TEST(Unsuited, ARouteWithoutATollIsPreferred) {
  Settings s = TestSettings();
  s.kinds[0].per_endpoint_limits = true;
  s.zone_penalty = {0, 0.03};
  Bench b(s);
  b.At(0s, {Listed({{.endpoint = 1, .destination = 1, .zone = 1},
                    {.endpoint = 2, .destination = 1, .zone = 0}}),
            Arrive(1)});
  ASSERT_EQ(b.Got<SendAttempt>().size(), 1u);
  EXPECT_EQ(b.Got<SendAttempt>()[0].endpoint, 2u);
}

// ---- what other dispatchers know ----

// Calls to endpoint 1 from `from` to `to`, a message each tenth of a second, all delivered.
int CallsWhileAllIsWell(Bench& b, Time from, Time to, MessageId& next) {
  return CallsWhileAllEnd(b, Outcome::kDelivered, from, to, next);
}

TEST(PeerWords, ALeasedShareIsThePaceAndEndsWithTheSharing) {
  Bench b;
  MessageId next = 1;
  b.At(900ms, {One(), QuotaLeased{1, 2.0}});
  const int leased = CallsWhileAllIsWell(b, 1s, 5s, next);
  EXPECT_GE(leased, 7);
  EXPECT_LE(leased, 9);
  Bench over;
  next = 1;
  over.At(900ms, {One(), QuotaLeased{1, 2.0}, QuotaLeased{1, std::nullopt}});
  EXPECT_GE(CallsWhileAllIsWell(over, 1s, 5s, next), 40);
}

TEST(PeerWords, OneWitnessOfAnOutageCostsOneCallAtATimeAndTwoBind) {
  Bench b;
  b.At(1s, {One(), PeerHealthReport{.endpoint = 1, .health = PeerHealth::kFailing}, Arrive(1),
            Arrive(2)});
  ASSERT_EQ(b.Got<SendAttempt>().size(), 1u);  // the cheap check
  b.At(1100ms, {b.End(b.Got<SendAttempt>()[0].message, Outcome::kDelivered), Arrive(3), Arrive(4)});
  EXPECT_EQ(b.Got<SendAttempt>().size(), 3u);  // it was wrong

  Bench sure;
  MessageId next = 1;
  sure.At(1s,
          {One(), PeerHealthReport{.endpoint = 1, .health = PeerHealth::kFailing, .witnesses = 2}});
  const auto fail = [&](Time, const SendAttempt& s) {
    return sure.End(s.message, Outcome::kError);
  };
  int calls = 0;
  Drive(
      sure, 1s, 6s, [&] { return Arrive(next++); },
      [&](Time t, const SendAttempt& s) { return ++calls, fail(t, s); });
  EXPECT_LE(calls, 15);
}

TEST(PeerWords, OurOwnLaterAnswerCountsForMore) {
  Bench b;
  b.At(1s, {One(), Arrive(1)});
  b.At(1100ms, {b.End(1, Outcome::kDelivered)});
  b.At(1200ms, {PeerHealthReport{
                    .endpoint = 1, .health = PeerHealth::kFailing, .age = 500ms, .witnesses = 9},
                Arrive(2), Arrive(3)});
  EXPECT_EQ(b.Got<SendAttempt>().size(), 2u);
}

TEST(PeerWords, AToldWaitBindsByTwoAndIsNeverLongerThanAnyDeadline) {
  const auto sent = [](std::size_t witnesses, Time at) {
    Bench b;
    b.At(1s, {One(), PeerHealthReport{.endpoint = 1,
                                      .health = PeerHealth::kRetryAfter,
                                      .duration = 1h,
                                      .witnesses = witnesses}});
    b.At(at, {Arrive(1)});
    return b.Got<SendAttempt>().size();
  };
  EXPECT_EQ(sent(1, 2s), 1u);
  EXPECT_EQ(sent(2, 2s), 0u);
  EXPECT_EQ(sent(2, 22s), 1u);  // the longest deadline is 20 s
}

TEST(PeerWords, AnEndpointThatIsBackIsColdAndAnotherOnesTrialIsWaitedFor) {
  Bench warm, cold;
  MessageId next = 1;
  warm.At(900ms, {One()});
  const int usual = CallsWhileAllIsWell(warm, 1s, 4s, next);
  cold.At(900ms, {One(), PeerHealthReport{
                             .endpoint = 1, .health = PeerHealth::kWarmingUp, .witnesses = 9}});
  EXPECT_LT(CallsWhileAllIsWell(cold, 1s, 4s, next), usual / 2);

  Bench waits;
  next = 1;
  waits.At(900ms, {One()});
  CallsWhileAllEnd(waits, Outcome::kConnectFailed, 1s, 5s, next);
  waits.At(5s,
           {PeerHealthReport{.endpoint = 1, .health = PeerHealth::kBeingTested, .duration = 1h}});
  EXPECT_EQ(CallsWhileAllEnd(waits, Outcome::kConnectFailed, 5s, 6900ms, next), 0);
  EXPECT_GT(CallsWhileAllEnd(waits, Outcome::kConnectFailed, 7s, 12s, next), 0);  // a bound
}

// Less careful: a word that it serves brings a trial forward, and two of them the slow start.
TEST(PeerWords, ItServesIsBelievedOfTwo) {
  const auto calls = [](std::size_t witnesses) {
    Bench b;
    MessageId next = 1;
    b.At(900ms, {One()});
    CallsWhileAllEnd(b, Outcome::kConnectFailed, 1s, 5s, next);
    b.At(5s,
         {PeerHealthReport{.endpoint = 1, .health = PeerHealth::kServing, .witnesses = witnesses}});
    EXPECT_EQ(Logged(b, "recovering"), witnesses > 1);
    return CallsWhileAllIsWell(b, 5s, 6s, next);
  };
  EXPECT_GT(calls(1), 0);
  EXPECT_GT(calls(2), 0);
}

}  // namespace
}  // namespace dispatch_policy
