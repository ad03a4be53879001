#include <gtest/gtest.h>

#include <map>

#include "policy_fixture.hpp"

namespace dispatch_policy {
namespace {

// A call ends at the earliest deadline of its messages: a message with less time than an answer
// takes would end the call for all other messages.
TEST(EndpointSelector, SendsExpiringMessagesInCallsOfTheirOwn) {
  Settings settings = TestSettings();
  settings.kinds[0].max_batch = 5;
  PolicyDriver driver(settings);
  driver.At(1s, {OneEndpoint(), Arrive(1)});
  driver.At(2s);
  ASSERT_EQ(driver.ActionsOf<SendAttempt>().size(), 1u);
  AttemptCompleted slow = driver.End(1, Outcome::kDelivered);
  slow.elapsed = 400ms;
  driver.At(2400ms, {slow});
  MessageArrived brief = Arrive(2);
  brief.time_left = 300ms;
  driver.At(3s, {brief, Arrive(3)});
  driver.At(3100ms);  // message 2 has waited long enough, message 3 could share its call
  ASSERT_EQ(driver.ActionsOf<SendAttempt>().size(), 1u);
  EXPECT_EQ(driver.ActionsOf<SendAttempt>()[0].message, 2u);
}

// Messages wait for others to share their call, but no longer than their own deadline allows.
TEST(EndpointSelector, WaitsForABatchWithinTheTimeThatTheMessageHas) {
  Settings settings = TestSettings();
  settings.kinds[0].max_batch = 5;
  for (const auto& [time_left, sent_by] : std::map<Duration, Duration>{{20s, 800ms}, {1s, 200ms}}) {
    PolicyDriver driver(settings);
    MessageArrived m = Arrive(1);
    m.time_left = time_left;
    driver.At(1s, {OneEndpoint(), m});
    driver.At(1s + sent_by - 10ms);
    EXPECT_EQ(driver.attempts[1], 0u);
    driver.At(1s + sent_by);
    EXPECT_EQ(driver.attempts[1], 1u);
  }
}

// Two endpoints with their own limits differ only in the penalty of their zone.
TEST(EndpointSelector, PrefersAnEndpointWithoutAZonePenalty) {
  Settings settings = TestSettings();
  settings.kinds[0].per_endpoint_limits = true;
  settings.zone_penalty = {0, 0.03};
  PolicyDriver driver(settings);
  driver.At(0s, {Listed({{.endpoint = 1, .destination = 1, .zone = 1},
                         {.endpoint = 2, .destination = 1, .zone = 0}}),
                 Arrive(1)});
  ASSERT_EQ(driver.ActionsOf<SendAttempt>().size(), 1u);
  EXPECT_EQ(driver.ActionsOf<SendAttempt>()[0].endpoint, 2u);
}

}  // namespace
}  // namespace dispatch_policy
