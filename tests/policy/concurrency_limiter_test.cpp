#include <gtest/gtest.h>

#include <map>

#include "policy_fixture.hpp"

namespace dispatch_policy {
namespace {

TEST(ConcurrencyLimiter, LimitsOneDestinationToHalfOfTheSlotsWhileOthersWait) {
  Settings settings = TestSettings();
  settings.max_concurrent_calls = 8;
  PolicyDriver driver(settings);
  std::vector<Event> events = {
      Listed({{.endpoint = 1, .destination = 1}, {.endpoint = 2, .destination = 2}})};
  for (MessageId id = 0; id < 7; ++id) events.push_back(Arrive(id, kIdempotent, 1));
  driver.At(1s, events);
  EXPECT_EQ(driver.ActionsOf<SendAttempt>().size(), 7u)
      << "enough free slots: shares are not enforced";
  driver.At(1s, {Arrive(7, kIdempotent, 1), Arrive(8, kIdempotent, 2), Arrive(9, kIdempotent, 2)});
  ASSERT_EQ(driver.ActionsOf<SendAttempt>().size(), 1u);
  EXPECT_EQ(driver.ActionsOf<SendAttempt>()[0].endpoint, 2u)
      << "destination 1 uses more than its half";
}

// With few slots, the slot to be given away must already count as taken.
TEST(ConcurrencyLimiter, KeepsTheLastSlotsForOthersEvenIfThereAreFew) {
  const std::map<std::size_t, std::size_t> most = {{2, 1}, {3, 2}, {4, 3}, {5, 4}, {20, 16}};
  for (const auto& [slots, calls] : most) {
    Settings settings = TestSettings();
    settings.max_concurrent_calls = slots;
    PolicyDriver driver(settings);
    // Message 900 waits, because destination 2 has no endpoint.
    driver.At(1s, {OneEndpoint(), Arrive(900, kIdempotent, 2)});
    std::size_t sent = 0;
    for (MessageId id = 0; id < 22; ++id) {
      driver.At(1s, {Arrive(id)});
      sent += driver.ActionsOf<SendAttempt>().size();
    }
    EXPECT_EQ(sent, calls) << slots;
    driver.At(1100ms, {driver.End(0, Outcome::kDelivered)});
    EXPECT_EQ(driver.ActionsOf<SendAttempt>().size(), 1u)
        << "only the slot that was just freed; slots: " << slots;
  }
}

// Many destinations with a few failing calls each must not use up all slots together.
TEST(ConcurrencyLimiter, LimitsUnhealthyDestinationsTogetherToAQuarterOfTheSlots) {
  Settings settings = TestSettings();
  settings.max_concurrent_calls = 4;
  PolicyDriver driver(settings);
  std::vector<EndpointEntry> entries;
  for (EndpointId id = 1; id <= 9; ++id) entries.push_back({.endpoint = id, .destination = id});
  driver.At(1s, {Listed(entries)});
  Time t = 1s;
  for (MessageId id = 1; id <= 8; ++id) {  // one call to each destination has failed
    driver.At(t += 10ms, {Arrive(id, kIdempotent, id)});
    driver.At(t += 10ms, {driver.End(id, Outcome::kReset, id), MessageCancelled{id}});
  }
  std::vector<Event> events;
  for (MessageId id = 11; id <= 18; ++id) events.push_back(Arrive(id, kIdempotent, id - 10));
  for (MessageId id = 30; id < 40; ++id) events.push_back(Arrive(id, kNotIdempotent, 20));
  driver.At(t += 10ms, events);
  EXPECT_LE(driver.ActionsOf<SendAttempt>().size(), 3u)
      << "the last slot is kept for endpoints that answer";
  driver.At(t += 10ms, {Arrive(50, kIdempotent, 9)});
  EXPECT_EQ(driver.attempts[50], 1u);
}

}  // namespace
}  // namespace dispatch_policy
