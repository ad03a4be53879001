#include <gtest/gtest.h>

#include "policy_fixture.hpp"

namespace dispatch_policy {
namespace {

TEST(RetryScheduler, CancelsAnOverdueCallOnlyWhereCancellingIsAllowed) {
  for (bool allowed : {false, true}) {
    Settings settings = TestSettings();
    settings.cancel_allowed = allowed;
    PolicyDriver driver(settings);
    driver.At(1s, {OneEndpoint(), Arrive(1)});
    ASSERT_EQ(driver.ActionsOf<SendAttempt>().size(), 1u);
    EXPECT_EQ(driver.ActionsOf<SendAttempt>()[0].timeout < 20s, !allowed);
    std::size_t cancels = 0;
    for (Time t = 1s; t < 15s; t += 100ms) {
      driver.At(t);
      cancels += driver.ActionsOf<CancelAttempt>().size();
    }
    EXPECT_EQ(cancels, allowed ? 1u : 0u);
  }
}

// Answers at the usual latency after unanswered calls show that the network loses calls. A
// non-idempotent call without an answer is then cancelled early if slots are scarce; without other
// losses it is cancelled later.
TEST(RetryScheduler, CancelsLostCallsEarlyWhenSlotsAreScarce) {
  Time time_to_cancel[2];
  for (bool lossy : {false, true}) {
    Settings settings = TestSettings();
    settings.max_concurrent_calls = 2;
    PolicyDriver driver(settings);
    driver.At(900ms,
              {Listed({{.endpoint = 1, .destination = 1}, {.endpoint = 2, .destination = 2}})});
    Time t = 1s;
    for (MessageId id = 100; id < 130; ++id) {
      driver.At(t, {Arrive(id)});
      if (lossy && id % 4 == 0) {
        driver.At(t += 1s);
        driver.At(t += 1s, {driver.End(id, Outcome::kCancelled), MessageCancelled{id}});
      } else {
        driver.At(t += 100ms, {driver.End(id, Outcome::kDelivered)});
      }
    }
    driver.At(t += 1s, {Arrive(1, kNotIdempotent, 2), Arrive(2, kNotIdempotent, 2),
                        Arrive(3, kNotIdempotent, 2)});
    const Time sent = t;
    while (driver.ActionsOf<CancelAttempt>().empty() && t < sent + 19s) driver.At(t += 50ms);
    time_to_cancel[lossy] = t - sent;
  }
  EXPECT_LT(time_to_cancel[true], time_to_cancel[false]);
}

TEST(RetryScheduler, KeepsAnOverdueNonIdempotentCallWhileSlotsAreFree) {
  PolicyDriver driver;
  driver.At(1s, {OneEndpoint(), Arrive(1, kNotIdempotent)});
  for (Time t = 1s; t < 20s; t += 100ms) {
    driver.At(t);
    EXPECT_TRUE(driver.ActionsOf<CancelAttempt>().empty());
  }
  driver.At(21s);
  EXPECT_EQ(driver.ActionsOf<FailMessage>().size(), 1u);
}

// Guards against a fault in which a timer that fired a little early was considered still pending,
// and messages were lost.
TEST(RetryScheduler, SetsATimerThatFiredEarlyAgain) {
  PolicyDriver driver;
  driver.At(1s, {Arrive(1)});
  ASSERT_EQ(driver.ActionsOf<SetTimer>().size(), 1u);
  const Time due = driver.ActionsOf<SetTimer>()[0].at;
  driver.At(due - 1ns, {TimerFired{0}});
  ASSERT_EQ(driver.ActionsOf<SetTimer>().size(), 1u);
  EXPECT_EQ(driver.ActionsOf<SetTimer>()[0].at, due);
}

}  // namespace
}  // namespace dispatch_policy
