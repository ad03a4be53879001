#include <gtest/gtest.h>

#include <map>

#include "policy_fixture.hpp"

namespace dispatch_policy {
namespace {

// Nothing is sent without an endpoint, so the discard threshold R has its minimum of 8 messages.
// The onset threshold H is then 7.2 and the abatement threshold L is 6.24 messages.
TEST(AdmissionGate, AcceptsEveryMessageBelowOnset) {
  PolicyDriver driver;
  for (MessageId id = 0; id < 8; ++id) {
    driver.At(1s, {Arrive(id)});
    EXPECT_TRUE(driver.ActionsOf<RejectMessage>().empty()) << id;
  }
}

TEST(AdmissionGate, RejectsAShareInOverloadAndAllNewMessagesAboveDiscardThreshold) {
  int admitted = 0;
  for (std::uint64_t seed = 0; seed < 400; ++seed) {
    DispatchPolicy policy(TestSettings(), seed);
    std::vector<Event> events;
    for (MessageId id = 0; id < 8; ++id) events.push_back(Arrive(id));
    events.push_back(Arrive(8));  // n = 8 = R: discard mode
    int rejected = 0;
    for (const Action& a : policy.Decide(1s, events))
      rejected += std::holds_alternative<RejectMessage>(a);
    EXPECT_EQ(rejected, 1);
    events = {MessageCancelled{0}, Arrive(9)};  // n = 7 < H: discard mode changes to overload mode
    rejected = 0;
    for (const Action& a : policy.Decide(2s, events))
      rejected += std::holds_alternative<RejectMessage>(a);
    admitted += 1 - rejected;
  }
  EXPECT_NEAR(admitted / 400.0, 0.4, 0.08);  // q is 0.6
}

TEST(AdmissionGate, LeavesDiscardBelowOnsetAndOverloadBelowAbatement) {
  PolicyDriver driver;
  std::vector<Event> events;
  for (MessageId id = 0; id < 9; ++id) events.push_back(Arrive(id));
  driver.At(1s, events);
  driver.At(2s, {Arrive(20)});
  EXPECT_EQ(driver.ActionsOf<RejectMessage>().size(), 1u) << "8 unsent messages: discard mode";
  driver.At(3s, {MessageCancelled{0}, MessageCancelled{1}});  // n = 6 < L: normal mode
  driver.At(3s, {Arrive(21)});
  EXPECT_TRUE(driver.ActionsOf<RejectMessage>().empty());
}

TEST(AdmissionGate, SendsRetryAfterOfTheLastTimeFromOnsetToAbatement) {
  PolicyDriver driver;
  std::vector<Event> events;
  for (MessageId id = 0; id < 9; ++id) events.push_back(Arrive(id));
  driver.At(1s, events);
  ASSERT_EQ(driver.ActionsOf<RejectMessage>().size(), 1u);
  EXPECT_EQ(driver.ActionsOf<RejectMessage>()[0].retry_after, 1s)
      << "the time from onset to abatement is not yet known";
  driver.At(4s, {MessageCancelled{0}, MessageCancelled{1}});
  driver.At(4s, {Arrive(10), Arrive(11), Arrive(12)});
  ASSERT_EQ(driver.ActionsOf<RejectMessage>().size(), 1u);
  EXPECT_EQ(driver.ActionsOf<RejectMessage>()[0].retry_after, 3s);
}

TEST(AdmissionGate, SendsNoRetryAfterWhereClientsIgnoreIt) {
  Settings settings = TestSettings();
  settings.clients_honor_retry_after = false;
  PolicyDriver driver(settings);
  std::vector<Event> events;
  for (MessageId id = 0; id < 9; ++id) events.push_back(Arrive(id));
  driver.At(1s, events);
  EXPECT_EQ(driver.ActionsOf<RejectMessage>()[0].retry_after, 0s);
}

TEST(AdmissionGate, AcceptsItsShareOfTheListedRateAfterAStart) {
  Settings settings = TestSettings();
  settings.weights = WeightMeaning::kRate;
  settings.kinds[0].max_batch = 20;
  PolicyDriver driver(settings);
  std::vector<Event> events{Listed({{.endpoint = 1, .destination = 1, .weight = 4},
                                    {.endpoint = 2, .destination = 2, .weight = 0.1}})};
  for (MessageId id = 1; id <= 15; ++id) events.emplace_back(Arrive(id, kIdempotent, 1));
  driver.At(0s, events);
  EXPECT_TRUE(driver.ActionsOf<RejectMessage>().empty());
  events.clear();
  for (MessageId id = 16; id <= 60; ++id) events.emplace_back(Arrive(id, kIdempotent, 2));
  driver.At(1ms, events);  // our share of its rate is two messages per second
  EXPECT_FALSE(driver.ActionsOf<RejectMessage>().empty());
}

// The minimum discard threshold must not exceed the remaining part of a small max_in_flight.
TEST(AdmissionGate, DiscardsBeforeASmallCapacityIsUsedUp) {
  const std::map<std::size_t, MessageId> expected_admissions = {
      {8, 6}, {9, 6}, {10, 7}, {11, 8}, {12, 8}};
  for (const auto& [max_in_flight, admitted] : expected_admissions) {
    Settings settings = TestSettings();
    settings.max_in_flight = max_in_flight;
    PolicyDriver driver(settings);
    for (MessageId id = 0; id < max_in_flight; ++id) {
      driver.At(1s, {Arrive(id)});
      EXPECT_EQ(driver.ActionsOf<RejectMessage>().size(), id < admitted ? 0u : 1u)
          << max_in_flight << " " << id;
    }
  }
}

}  // namespace
}  // namespace dispatch_policy
