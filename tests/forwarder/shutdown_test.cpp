#include "forwarder/shutdown.hpp"

#include <doctest/doctest.h>

namespace brassfront {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr GracefulShutdown::Time kStart = seconds(100);

TEST_CASE("a forwarder that was not asked to shut down keeps running") {
  const GracefulShutdown shutdown;
  CHECK_FALSE(shutdown.IsOver(kStart, 0));
  CHECK_FALSE(shutdown.IsOver(GracefulShutdown::Time::max(), 0));
}

TEST_CASE("a shutdown without messages in flight still serves late connections") {
  GracefulShutdown shutdown;
  const auto exit_times = shutdown.Begin(kStart);
  REQUIRE(exit_times.has_value());
  CHECK(exit_times->earliest == kStart + milliseconds(700));
  CHECK_FALSE(shutdown.IsOver(kStart + milliseconds(699), 0));
  CHECK(shutdown.IsOver(kStart + milliseconds(700), 0));
}

TEST_CASE("a shutdown waits for messages in flight until its latest exit") {
  GracefulShutdown shutdown;
  const auto exit_times = shutdown.Begin(kStart);
  REQUIRE(exit_times.has_value());
  CHECK(exit_times->latest == kStart + milliseconds(3200));
  CHECK_FALSE(shutdown.IsOver(kStart + milliseconds(3199), 1));
  CHECK(shutdown.IsOver(kStart + milliseconds(3200), 1));
}

TEST_CASE("a second request does not extend the shutdown") {
  GracefulShutdown shutdown;
  REQUIRE(shutdown.Begin(kStart).has_value());
  CHECK_FALSE(shutdown.Begin(kStart + seconds(3)).has_value());
  CHECK(shutdown.IsOver(kStart + milliseconds(3200), 1));
}

}  // namespace
}  // namespace brassfront
