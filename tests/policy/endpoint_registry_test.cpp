#include <gtest/gtest.h>

#include "policy_fixture.hpp"

namespace dispatch_policy {
namespace {

TEST(EndpointRegistry, SendsNothingNewToDrainingOrMissingEndpoints) {
  PolicyDriver driver;
  driver.At(1s, {OneEndpoint()});
  driver.At(2s,
            {EndpointList{2,
                          ListForm::kChanges,
                          {{.endpoint = 1, .destination = 1, .state = EndpointState::kDraining}}},
             Arrive(1)});
  EXPECT_EQ(driver.attempts[1], 0u);
  driver.At(3s, {Listed({{.endpoint = 2, .destination = 1}}, 3)});
  ASSERT_EQ(driver.ActionsOf<SendAttempt>().size(), 1u);
  EXPECT_EQ(driver.ActionsOf<SendAttempt>()[0].endpoint, 2u);
  driver.At(4s, {Listed({}, 4), driver.End(1, Outcome::kRejected, 2), Arrive(2)});
  driver.At(6s);
  EXPECT_EQ(driver.attempts[2], 0u);
}

TEST(EndpointRegistry, ForgetsEndpointsThatWereRemovedLongAgo) {
  PolicyDriver driver;
  driver.At(0s, {OneEndpoint(), Arrive(1)});
  driver.At(1s, {driver.End(1, Outcome::kConnectFailed)});
  driver.At(2s, {driver.End(1, Outcome::kConnectFailed), Listed({}, 2)});
  driver.At(62s, {Listed({}, 3)});
  std::vector<Event> events{Listed({{.endpoint = 1, .destination = 1}}, 4)};
  for (MessageId id = 2; id <= 5; ++id) events.emplace_back(Arrive(id));
  driver.At(63s, events);
  // If the earlier failure had been kept, there would be one call at a time.
  EXPECT_GE(driver.ActionsOf<SendAttempt>().size(), 4u);
}

TEST(EndpointRegistry, IgnoresAnOlderList) {
  PolicyDriver driver;
  driver.At(1s, {Listed({{.endpoint = 1, .destination = 1}}, 5), Listed({}, 4), Arrive(1)});
  EXPECT_EQ(driver.attempts[1], 1u);
}

TEST(EndpointRegistry, SubscribesOnlyWhereNeededAndAgainAfterAFailure) {
  PolicyDriver quiet;
  quiet.At(1s);
  EXPECT_TRUE(quiet.ActionsOf<SubscribeToEndpointList>().empty());
  Settings settings = TestSettings();
  settings.subscribe_to_endpoint_list = true;
  PolicyDriver driver(settings);
  driver.At(1s);
  EXPECT_EQ(driver.ActionsOf<SubscribeToEndpointList>().size(), 1u);
  driver.At(2s);
  EXPECT_TRUE(driver.ActionsOf<SubscribeToEndpointList>().empty());
  driver.At(3s, {EndpointList{0, ListForm::kFailed, {}}});
  driver.At(4s);
  EXPECT_EQ(driver.ActionsOf<SubscribeToEndpointList>().size(), 1u);
}

TEST(EndpointRegistry, LogsADestinationWithoutEndpointsOnceAndKeepsItsMessages) {
  PolicyDriver driver;
  driver.At(0s, {Listed({{.endpoint = 1, .destination = 1, .state = EndpointState::kDraining}})});
  EXPECT_TRUE(Logged(driver, "no endpoint that takes work"));
  driver.At(1s, {Listed({{.endpoint = 1, .destination = 1, .state = EndpointState::kDraining}}, 2),
                 Arrive(1)});
  EXPECT_FALSE(Logged(driver, "no endpoint that takes work"));
  EXPECT_TRUE(driver.ActionsOf<RejectMessage>().empty());
  EXPECT_TRUE(driver.ActionsOf<SendAttempt>().empty());
  driver.At(2s, {Listed({{.endpoint = 1, .destination = 1, .state = EndpointState::kDraining},
                         {.endpoint = 2, .destination = 1}},
                        3)});
  ASSERT_EQ(driver.ActionsOf<SendAttempt>().size(), 1u);
  EXPECT_EQ(driver.ActionsOf<SendAttempt>()[0].endpoint, 2u);
}

}  // namespace
}  // namespace dispatch_policy
