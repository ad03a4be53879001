#include "forwarder/endpoint_registry.hpp"

#include <doctest/doctest.h>

namespace brassfront {
namespace {

using dispatch_policy::EndpointState;
using std::chrono::seconds;

constexpr dispatch_policy::Time kStart = seconds(100);

// Two kinds: batches of 4 under the destination's limit, and single calls with per-endpoint limits.
Config Settings() {
  Config config;
  config.kind_names = {"shared", "own"};
  config.zone_names = {"z"};
  config.policy_settings.kinds = {{.max_batch = 4, .per_endpoint_limits = false},
                                  {.max_batch = 1, .per_endpoint_limits = true}};
  config.policy_settings.classes.resize(2);
  config.policy_settings.classes[0].deadline = seconds(5);
  config.policy_settings.classes[1].deadline = seconds(20);
  return config;
}

Member MakeMember(const std::string& id, std::uint64_t destination,
                  const std::string& kind = "shared", Phase phase = Phase::kReady) {
  Member member;
  member.id = id;
  member.address = id + ":1";
  member.zone = "z";
  member.kind = kind;
  member.destination = destination;
  member.phase = phase;
  return member;
}

class RegistryFixture {
 public:
  Config config = Settings();
  EndpointRegistry registry{config};
};

TEST_CASE_FIXTURE(RegistryFixture, "a list is translated into the policy's numbers") {
  const auto list = registry.Apply({7, true, {MakeMember("a", 1), MakeMember("b", 2, "own")}}, {});
  CHECK(list.version == 7);
  CHECK(list.form == dispatch_policy::ListForm::kComplete);
  REQUIRE(list.entries.size() == 2);
  CHECK(list.entries[0].endpoint != list.entries[1].endpoint);
  CHECK(list.entries[1].kind == 1);
  CHECK(list.entries[1].destination == 2);
  CHECK(registry.At(list.entries[0].endpoint).address == "a:1");
}

TEST_CASE_FIXTURE(RegistryFixture, "an endpoint keeps its id through changes and removals") {
  const auto id = registry.FindOrAddId("a");
  const auto list = registry.Apply({1, true, {MakeMember("a", 1)}}, kStart);
  CHECK(list.entries[0].endpoint == id);
  (void)registry.Apply({2, true, {}}, kStart);
  CHECK(registry.FindId("a") == id);
  CHECK_FALSE(registry.FindId("unknown").has_value());
}

TEST_CASE_FIXTURE(RegistryFixture,
                  "a complete list removes what it does not name, changes do not") {
  (void)registry.Apply({1, true, {MakeMember("a", 1), MakeMember("b", 1)}}, kStart);
  const auto a = registry.FindOrAddId("a");
  const auto b = registry.FindOrAddId("b");
  (void)registry.Apply({2, false, {MakeMember("a", 1, "shared", Phase::kTerminating)}}, kStart);
  CHECK(registry.At(a).entry.state == EndpointState::kDraining);
  CHECK(registry.IsServing(b));
  CHECK(registry.NotServing() == std::vector{a});
  (void)registry.Apply({3, true, {MakeMember("a", 1)}}, kStart);
  CHECK(registry.IsServing(a));
  CHECK(registry.At(b).entry.state == EndpointState::kRemoved);
}

TEST_CASE_FIXTURE(RegistryFixture, "a list older than the last one is stale") {
  (void)registry.Apply({5, true, {}}, kStart);
  CHECK(registry.IsStale({4, true, {}}));
  CHECK_FALSE(registry.IsStale({5, true, {}}));
}

TEST_CASE_FIXTURE(RegistryFixture, "a removed endpoint is forgotten after the longest deadline") {
  (void)registry.Apply({1, true, {MakeMember("a", 1)}}, kStart);
  const auto a = registry.FindOrAddId("a");
  (void)registry.Apply({2, true, {}}, kStart);
  CHECK(registry.ForgetRemoved(kStart + seconds(20), {}).empty());
  CHECK(registry.KnowsDestination(1));  // a list that names it again may be late
  CHECK(registry.ForgetRemoved(kStart + seconds(21), {a}).empty());  // a call to it is in flight
  CHECK(registry.ForgetRemoved(kStart + seconds(21), {}) == std::vector{a});
  CHECK_FALSE(registry.KnowsDestination(1));
  CHECK(registry.FindOrAddId("a") != a);  // ids are not used again
}

TEST_CASE_FIXTURE(RegistryFixture, "an endpoint that comes back is not forgotten") {
  (void)registry.Apply({1, true, {MakeMember("a", 1)}}, kStart);
  (void)registry.Apply({2, true, {}}, kStart);
  (void)registry.Apply({3, true, {MakeMember("a", 1)}}, kStart + seconds(10));
  CHECK(registry.ForgetRemoved(kStart + seconds(60), {}).empty());
  (void)registry.Apply({4, true, {}}, kStart + seconds(60));
  CHECK(registry.ForgetRemoved(kStart + seconds(70), {}).empty());
}

TEST_CASE_FIXTURE(RegistryFixture,
                  "a rate limit applies to the destination, or to an endpoint with its own limit") {
  (void)registry.Apply(
      {1,
       true,
       {MakeMember("a", 1), MakeMember("b", 1), MakeMember("c", 2), MakeMember("own", 1, "own")}},
      kStart);
  const auto a = registry.FindOrAddId("a");
  const auto b = registry.FindOrAddId("b");
  const auto c = registry.FindOrAddId("c");
  const auto own = registry.FindOrAddId("own");
  CHECK(registry.SharesRateLimit(a, b));
  CHECK_FALSE(registry.SharesRateLimit(a, c));
  CHECK(registry.SharesRateLimit(own, own));
  CHECK_FALSE(registry.SharesRateLimit(own, a));
  CHECK(registry.Target(own).has_own_rate_limit);
  CHECK(registry.Target(a).endpoint == "a");
}

TEST_CASE_FIXTURE(RegistryFixture, "an endpoint of an unknown kind takes one message per call") {
  (void)registry.Apply({1, true, {MakeMember("a", 1), MakeMember("x", 1, "unknown")}}, kStart);
  CHECK(registry.MaxBatch(registry.FindOrAddId("a")) == 4);
  CHECK(registry.MaxBatch(registry.FindOrAddId("x")) == 1);
}

}  // namespace
}  // namespace brassfront
