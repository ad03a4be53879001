#include <gtest/gtest.h>

#include "policy_fixture.hpp"

namespace dispatch_policy {
namespace {

TEST(MessageLedger, AnswersEveryMessageOnceBeforeItsDeadline) {
  PolicyDriver driver;
  driver.At(1s, {Arrive(1, kNotIdempotent)});
  EXPECT_TRUE(driver.ActionsOf<RejectMessage>().empty()) << "kept: an endpoint may still be listed";
  driver.At(21s);
  EXPECT_EQ(driver.ActionsOf<RejectMessage>().size(), 1u);
  driver.At(22s, {OneEndpoint()});
  EXPECT_TRUE(driver.ActionsOf<SendAttempt>().empty());
}

TEST(MessageLedger, RetriesANonIdempotentMessageOnlyIfItNeverRan) {
  for (Outcome o : {Outcome::kRejected, Outcome::kConnectFailed, Outcome::kNotSent}) {
    PolicyDriver driver;
    driver.At(1s, {OneEndpoint(), Arrive(1, kNotIdempotent)});
    driver.At(2s, {driver.End(1, o)});
    driver.At(4s);
    EXPECT_TRUE(driver.ActionsOf<FailMessage>().empty());
    EXPECT_EQ(driver.attempts[1], 2u);
  }
  for (Outcome o : {Outcome::kError, Outcome::kTimeout, Outcome::kReset, Outcome::kCancelled}) {
    PolicyDriver driver;
    driver.At(1s, {OneEndpoint(), Arrive(1, kNotIdempotent)});
    driver.At(2s, {driver.End(1, o)});
    EXPECT_EQ(driver.ActionsOf<FailMessage>().size(), 1u) << "not failed at once";
    EXPECT_TRUE(driver.ActionsOf<RejectMessage>().empty());
    driver.At(4s);
    EXPECT_EQ(driver.attempts[1], 1u);
  }
}

TEST(MessageLedger, RetriesWithAnIdempotencyKeyOnlyWithinTheDedupWindow) {
  PolicyDriver driver;
  driver.At(1s, {OneEndpoint(), Arrive(1, kOrdered)});
  driver.At(2s, {driver.End(1, Outcome::kError)});
  driver.At(3s);
  EXPECT_EQ(driver.attempts[1], 2u);
  driver.At(7100ms, {driver.End(1, Outcome::kError)});
  EXPECT_EQ(driver.attempts[1], 2u);
  EXPECT_EQ(driver.ActionsOf<RejectMessage>().size() + driver.ActionsOf<FailMessage>().size(), 1u)
      << "not given up at once";
}

TEST(MessageLedger, RetriesInTheSameZoneWhereDeduplicationIsPerZone) {
  Settings settings = TestSettings();
  settings.classes[kOrdered].dedup_scope = DedupScope::kZone;
  PolicyDriver driver(settings);
  driver.At(1s, {OneEndpoint(), Arrive(1, kOrdered)});
  driver.At(2s, {driver.End(1, Outcome::kError),
                 Listed({{.endpoint = 2, .destination = 1, .zone = 1}}, 2)});
  driver.At(3s);
  EXPECT_EQ(driver.attempts[1], 1u);
  driver.At(8s);
  EXPECT_EQ(driver.ActionsOf<FailMessage>().size(), 1u)
      << "must not be rejected, because submitting it again is not safe";
}

TEST(MessageLedger, SendsAnOrderedKeyOneByOneAndWaitsAfterAnUnknownOutcome) {
  PolicyDriver driver;
  driver.At(1s, {OneEndpoint(), Arrive(1, kOrdered, 1, "k"), Arrive(2, kOrdered, 1, "k")});
  EXPECT_EQ(driver.attempts[1], 1u);
  EXPECT_EQ(driver.attempts[2], 0u);
  AttemptCompleted end = driver.End(1, Outcome::kTimeout);
  end.finished = true;  // the client was answered; the attempt may still be running
  driver.At(2s, {end});
  EXPECT_EQ(driver.attempts[2], 0u) << "the ordering key is in cooldown";
  driver.At(2050ms);
  EXPECT_EQ(driver.attempts[2], 0u);
  driver.At(2100ms);
  EXPECT_EQ(driver.attempts[2], 1u);
}

TEST(MessageLedger, WaitsForAttemptsOfFinishedMessagesOfAnOrderedKey) {
  PolicyDriver driver;
  driver.At(1s, {OneEndpoint(), Arrive(1, kOrdered, 1, "k"), Arrive(2, kOrdered, 1, "k")});
  driver.At(2s, {MessageCancelled{1}});
  driver.At(3s);
  EXPECT_EQ(driver.attempts[2], 0u) << "the cancelled attempt is still in flight";
  driver.At(4s, {driver.End(1, Outcome::kCancelled)});
  driver.At(4200ms);
  EXPECT_EQ(driver.attempts[2], 1u);
}

TEST(MessageLedger, StopsAtTheMaximumOfAttempts) {
  Settings settings = TestSettings();
  settings.max_attempts = 2;
  PolicyDriver driver(settings);
  driver.At(1s, {OneEndpoint(), Arrive(1)});
  driver.At(2s, {driver.End(1, Outcome::kRejected)});
  driver.At(4s);
  ASSERT_EQ(driver.attempts[1], 2u);
  driver.At(5s, {driver.End(1, Outcome::kRejected)});
  EXPECT_EQ(driver.ActionsOf<RejectMessage>().size(), 1u);
}

}  // namespace
}  // namespace dispatch_policy
