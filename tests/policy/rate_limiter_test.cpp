#include <gtest/gtest.h>

#include "policy_fixture.hpp"

namespace dispatch_policy {
namespace {

TEST(RateLimiter, AppliesRetryAfterToTheWholeDestination) {
  PolicyDriver driver;
  driver.At(1s, {Listed({{.endpoint = 1, .destination = 1}, {.endpoint = 2, .destination = 1}}),
                 Arrive(1)});
  AttemptCompleted end =
      driver.End(1, Outcome::kRejected, driver.ActionsOf<SendAttempt>()[0].endpoint);
  end.retry_after = 1s;
  driver.At(2s, {end, Arrive(2)});
  driver.At(2999ms, {Arrive(3)});
  EXPECT_EQ(driver.attempts[1] + driver.attempts[2] + driver.attempts[3], 1u);
  driver.At(3400ms);
  EXPECT_GE(driver.ActionsOf<SendAttempt>().size(), 1u);
}

TEST(RateLimiter, AppliesRetryAfterToOneEndpointWhereLimitsArePerEndpoint) {
  Settings settings = TestSettings();
  settings.kinds[0].per_endpoint_limits = true;
  PolicyDriver driver(settings);
  driver.At(1s, {Listed({{.endpoint = 1, .destination = 1}, {.endpoint = 2, .destination = 1}}),
                 Arrive(1)});
  const EndpointId first_endpoint = driver.ActionsOf<SendAttempt>()[0].endpoint;
  AttemptCompleted end = driver.End(1, Outcome::kRejected, first_endpoint);
  end.retry_after = 1s;
  driver.At(2s, {end});
  ASSERT_EQ(driver.ActionsOf<SendAttempt>().size(), 1u);
  EXPECT_NE(driver.ActionsOf<SendAttempt>()[0].endpoint, first_endpoint);
}

// Any message of a call may have the Retry-After, not only the first one.
TEST(RateLimiter, AppliesRetryAfterOfAnyMessageInABatch) {
  Settings settings = TestSettings();
  settings.kinds[0].max_batch = 5;
  PolicyDriver driver(settings);
  driver.At(1s, {OneEndpoint(), Arrive(1), Arrive(2)});
  driver.At(1800ms);
  ASSERT_EQ(driver.ActionsOf<SendAttempt>().size(), 2u);
  AttemptCompleted second = driver.End(2, Outcome::kRejected);
  second.retry_after = 2s;
  driver.At(2s, {driver.End(1, Outcome::kRejected), second});
  driver.At(3900ms);
  EXPECT_EQ(driver.attempts[1] + driver.attempts[2], 2u);
}

TEST(RateLimiter, SendsOneCallAtATimeAfterARejection) {
  PolicyDriver driver;
  driver.At(1s, {OneEndpoint(), Arrive(1)});
  driver.At(2s, {driver.End(1, Outcome::kRejected), Arrive(2), Arrive(3)});
  EXPECT_TRUE(driver.ActionsOf<SendAttempt>().empty());
  driver.At(4s);
  EXPECT_EQ(driver.ActionsOf<SendAttempt>().size(), 1u);
}

// Rejects the first call to a destination, then submits ten messages per second and accepts all
// calls. Returns the number of calls from `from` to `to`.
int CallsAfterARejection(LoadReport report, Time from, Time to) {
  PolicyDriver driver;
  driver.At(1s, {OneEndpoint(), Arrive(1)});
  int calls = 0;
  MessageId next = 2;
  const auto end = [&](Time t, const SendAttempt& send) {
    AttemptCompleted delivered = driver.End(send.message, Outcome::kDelivered);
    delivered.report = report;
    calls += t >= from;
    return delivered;
  };
  Drive(driver, 1100ms, to, [&] { return Arrive(next++); }, end,
        {driver.End(1, Outcome::kRejected)});
  return calls;
}

TEST(RateLimiter, RaisesALearnedRateFasterTheLongerNothingIsRejected) {
  EXPECT_LE(CallsAfterARejection({}, 1s, 4s), 6);
  EXPECT_GE(CallsAfterARejection({}, 18s, 21s), 25);
}

TEST(RateLimiter, KeepsALearnedRateWhileLittleAllowanceIsLeft) {
  EXPECT_LE(CallsAfterARejection({.allowance_left = 0.1, .limit = 20}, 18s, 21s), 6);
  EXPECT_GE(CallsAfterARejection({.allowance_left = 0.9, .limit = 20}, 18s, 21s), 25);
}

TEST(RateLimiter, StaysWithinAReportedLimit) {
  EXPECT_LE(CallsAfterARejection({.allowance_left = 0.9, .limit = 2}, 18s, 21s), 7);
}

// A call without an answer must not delay the single call after a rejection.
TEST(RateLimiter, SendsTheNextCallAfterARejectionDespiteAHungOne) {
  PolicyDriver driver;
  driver.At(1s, {Listed({{.endpoint = 1, .destination = 1}, {.endpoint = 2, .destination = 1}}),
                 Arrive(1, kNotIdempotent), Arrive(2, kNotIdempotent)});
  ASSERT_EQ(driver.ActionsOf<SendAttempt>().size(), 2u);
  driver.At(1100ms,
            {driver.End(2, Outcome::kRejected, driver.ActionsOf<SendAttempt>()[1].endpoint)});
  for (Time t = 1200ms; t < 8s; t += 100ms) driver.At(t);
  EXPECT_EQ(driver.attempts[2], 2u);
}

}  // namespace
}  // namespace dispatch_policy
