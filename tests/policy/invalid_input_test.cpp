#include <gtest/gtest.h>

#include "policy_fixture.hpp"

namespace dispatch_policy {
namespace {

// There is only one slot, so that messages that arrive at once stay unsent. The thresholds then
// follow the listed rate.
TEST(InvalidInput, IgnoresAListedRateOutOfRange) {
  Settings settings = TestSettings();
  settings.max_concurrent_calls = 1;
  settings.weights = WeightMeaning::kApproximateRate;
  PolicyDriver driver(settings);
  driver.At(0s, {Listed({{.endpoint = 1, .destination = 1, .weight = 1e12}})});
  EXPECT_TRUE(Logged(driver, "taken for untold"));
  std::vector<Event> arrivals;
  for (MessageId id = 0; id < 30; ++id) arrivals.push_back(Arrive(id));
  driver.At(1s, arrivals);
  EXPECT_EQ(driver.ActionsOf<SendAttempt>().size(), 1u);
  EXPECT_FALSE(driver.ActionsOf<RejectMessage>().empty())
      << "the gate accepted all messages at the invalid rate";
}

TEST(InvalidInput, GivesMessagesUpAtOnceOnARetryAfterPastTheirDeadlines) {
  PolicyDriver driver;
  driver.At(0s, {OneEndpoint(), Arrive(1)});
  ASSERT_EQ(driver.ActionsOf<SendAttempt>().size(), 1u);
  AttemptCompleted full = driver.End(1, Outcome::kRejected);
  full.retry_after = 3600s;
  driver.At(100ms, {full, Arrive(2)});
  EXPECT_TRUE(Logged(driver, "past every deadline"));
  EXPECT_EQ(driver.ActionsOf<RejectMessage>().size(), 2u)
      << "messages were kept for a Retry-After past their deadlines";
  EXPECT_TRUE(driver.ActionsOf<SendAttempt>().empty());
}

TEST(InvalidInput, KeepsMessagesOnARetryAfterWithinTheirDeadlines) {
  PolicyDriver driver;
  driver.At(0s, {OneEndpoint(), Arrive(1)});
  AttemptCompleted full = driver.End(1, Outcome::kRejected);
  full.retry_after = 2s;
  driver.At(100ms, {full, Arrive(2)});
  EXPECT_TRUE(driver.ActionsOf<RejectMessage>().empty());
  std::size_t sent = 0;
  for (Time t = 200ms; t < 6s; t += 100ms)
    sent += driver.At(t).empty() ? 0 : driver.ActionsOf<SendAttempt>().size();
  EXPECT_TRUE(driver.ActionsOf<RejectMessage>().empty());
  EXPECT_EQ(sent, 2u);
}

}  // namespace
}  // namespace dispatch_policy
