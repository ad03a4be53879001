#include <gtest/gtest.h>

#include "policy_fixture.hpp"

namespace dispatch_policy {
namespace {

// Returns the number of calls to endpoint 1 from `from` to `to`. A message is submitted every 100
// ms, and all calls are delivered.
int CallsWhileAllAreDelivered(PolicyDriver& driver, Time from, Time to, MessageId& next) {
  return CallsWhileAllEndWith(driver, Outcome::kDelivered, from, to, next);
}

TEST(PeerReports, FollowsALeasedRateUntilItEnds) {
  PolicyDriver driver;
  MessageId next = 1;
  driver.At(900ms, {OneEndpoint(), QuotaLeased{1, 2.0}});
  const int leased = CallsWhileAllAreDelivered(driver, 1s, 5s, next);
  EXPECT_GE(leased, 7);
  EXPECT_LE(leased, 9);
  PolicyDriver over;
  next = 1;
  over.At(900ms, {OneEndpoint(), QuotaLeased{1, 2.0}, QuotaLeased{1, std::nullopt}});
  EXPECT_GE(CallsWhileAllAreDelivered(over, 1s, 5s, next), 40);
}

TEST(PeerReports, LimitsToOneCallOnOneWitnessOfAnOutageAndOpensOnTwo) {
  PolicyDriver driver;
  driver.At(1s, {OneEndpoint(), PeerHealthReport{.endpoint = 1, .health = PeerHealth::kFailing},
                 Arrive(1), Arrive(2)});
  ASSERT_EQ(driver.ActionsOf<SendAttempt>().size(), 1u);  // verifies the report with a single call
  driver.At(1100ms, {driver.End(driver.ActionsOf<SendAttempt>()[0].message, Outcome::kDelivered),
                     Arrive(3), Arrive(4)});
  EXPECT_EQ(driver.ActionsOf<SendAttempt>().size(), 3u);  // the report was wrong

  PolicyDriver confirmed;
  MessageId next = 1;
  confirmed.At(1s,
               {OneEndpoint(),
                PeerHealthReport{.endpoint = 1, .health = PeerHealth::kFailing, .witnesses = 2}});
  const auto fail = [&](Time, const SendAttempt& send) {
    return confirmed.End(send.message, Outcome::kError);
  };
  int calls = 0;
  Drive(
      confirmed, 1s, 6s, [&] { return Arrive(next++); },
      [&](Time t, const SendAttempt& send) { return ++calls, fail(t, send); });
  EXPECT_LE(calls, 15);
}

TEST(PeerReports, PrefersItsOwnLaterAnswer) {
  PolicyDriver driver;
  driver.At(1s, {OneEndpoint(), Arrive(1)});
  driver.At(1100ms, {driver.End(1, Outcome::kDelivered)});
  driver.At(1200ms,
            {PeerHealthReport{
                 .endpoint = 1, .health = PeerHealth::kFailing, .age = 500ms, .witnesses = 9},
             Arrive(2), Arrive(3)});
  EXPECT_EQ(driver.ActionsOf<SendAttempt>().size(), 2u);
}

TEST(PeerReports, AppliesARetryAfterOfTwoWitnessesUpToTheLongestDeadline) {
  const auto sent = [](std::size_t witnesses, Time at) {
    PolicyDriver driver;
    driver.At(1s, {OneEndpoint(), PeerHealthReport{.endpoint = 1,
                                                   .health = PeerHealth::kRetryAfter,
                                                   .duration = 1h,
                                                   .witnesses = witnesses}});
    driver.At(at, {Arrive(1)});
    return driver.ActionsOf<SendAttempt>().size();
  };
  EXPECT_EQ(sent(1, 2s), 1u);
  EXPECT_EQ(sent(2, 2s), 0u);
  EXPECT_EQ(sent(2, 22s), 1u);  // the longest deadline is 20 s
}

TEST(PeerReports, SlowStartsAnEndpointThatIsBackAndWaitsForAnotherTrial) {
  PolicyDriver warm, cold;
  MessageId next = 1;
  warm.At(900ms, {OneEndpoint()});
  const int usual = CallsWhileAllAreDelivered(warm, 1s, 4s, next);
  cold.At(900ms,
          {OneEndpoint(),
           PeerHealthReport{.endpoint = 1, .health = PeerHealth::kWarmingUp, .witnesses = 9}});
  EXPECT_LT(CallsWhileAllAreDelivered(cold, 1s, 4s, next), usual / 2);

  PolicyDriver waits;
  next = 1;
  waits.At(900ms, {OneEndpoint()});
  CallsWhileAllEndWith(waits, Outcome::kConnectFailed, 1s, 5s, next);
  waits.At(5s,
           {PeerHealthReport{.endpoint = 1, .health = PeerHealth::kBeingTested, .duration = 1h}});
  EXPECT_EQ(CallsWhileAllEndWith(waits, Outcome::kConnectFailed, 5s, 6900ms, next), 0);
  // The reported trial call delays this dispatcher's trial calls only for a limited time.
  EXPECT_GT(CallsWhileAllEndWith(waits, Outcome::kConnectFailed, 7s, 12s, next), 0);
}

// Reports can also make the policy less cautious: a report of one witness that the endpoint is
// serving makes the next trial call earlier; a report of two starts the recovery.
TEST(PeerReports, StartsRecoveryWhenTwoWitnessesReportAnswers) {
  const auto calls = [](std::size_t witnesses) {
    PolicyDriver driver;
    MessageId next = 1;
    driver.At(900ms, {OneEndpoint()});
    CallsWhileAllEndWith(driver, Outcome::kConnectFailed, 1s, 5s, next);
    driver.At(5s, {PeerHealthReport{
                      .endpoint = 1, .health = PeerHealth::kServing, .witnesses = witnesses}});
    EXPECT_EQ(Logged(driver, "recovering"), witnesses > 1);
    return CallsWhileAllAreDelivered(driver, 5s, 6s, next);
  };
  EXPECT_GT(calls(1), 0);
  EXPECT_GT(calls(2), 0);
}

}  // namespace
}  // namespace dispatch_policy
