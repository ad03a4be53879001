// Tests the configuration: an unsuitable value is replaced by a safe default, with a warning.
#include "config/config.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace brassfront {
namespace {

Config WithSettings(const std::string& classes, const std::string& family) {
  return ParseConfig(R"({"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"01",
    "limits":{"memory_mb":64,"sockets":256,"disk_mb":3},
    "known":{"revision":1,"complete":true,"members":[]},
    "settings":{"classes":)" +
                     classes + R"(,"zones":["east","west"],"family-info":)" + family + "}}");
}

constexpr char kIdempotentWithKey[] =
    R"([{"name":"e","effect":"token","goal-time":1,"hard-limit":2,"dedup-window":1}])";

TEST_CASE("a class without a known effect is not idempotent, with a warning") {
  for (const char* effect : {"", R"("effect":"twice",)"}) {
    const Config config = WithSettings(
        std::string(R"([{"name":"odd",)") + effect + R"("goal-time":1,"hard-limit":2}])", "{}");
    REQUIRE(config.policy_settings.classes.size() == 1);
    CHECK(config.policy_settings.classes[0].effect == dispatch_policy::Effect::kNotIdempotent);
    REQUIRE(config.warnings.size() == 1);
    CHECK(config.warnings[0].find("class odd") != std::string::npos);
  }
  CHECK(WithSettings(kIdempotentWithKey, "{}").warnings.empty());
}

std::vector<double> ZonePenalties(const std::string& family) {
  return WithSettings(kIdempotentWithKey, family).policy_settings.zone_penalty;
}

TEST_CASE("zone penalties are a value for each zone, one for all zones, or absent") {
  CHECK(ZonePenalties(R"({"toll":[0,0.03]})") == std::vector<double>{0, 0.03});
  CHECK(ZonePenalties(R"({"toll":0.01})") == std::vector<double>{0.01, 0.01});
  CHECK(ZonePenalties("{}").empty());
}

TEST_CASE("a zone penalty out of range counts as 0, with a warning") {
  const Config bad = WithSettings(kIdempotentWithKey, R"({"toll":[0,-2]})");
  CHECK(bad.policy_settings.zone_penalty == std::vector<double>{0, 0});
  CHECK(bad.warnings.size() == 1);
}

TEST_CASE("a zone penalty that is not a number is an error") {
  CHECK_THROWS_AS(WithSettings(kIdempotentWithKey, R"({"toll":"much"})"), ConfigError);
}

}  // namespace
}  // namespace brassfront
