#include "net/standby_switch.hpp"

#include <doctest/doctest.h>

namespace brassfront {
namespace {

using std::chrono::milliseconds;

const SteadyTime kStart{std::chrono::hours(1)};

TEST_CASE("setting the standby switch to its current value changes nothing") {
  StandbySwitch standby;
  CHECK_FALSE(standby.Set(false, kStart));
  CHECK(standby.Set(true, kStart));
  CHECK_FALSE(standby.Set(true, kStart + milliseconds(500)));
  CHECK(standby.HasBeenOnFor(milliseconds(1000), kStart + milliseconds(1000)));
}

TEST_CASE("the standby time counts from the last time it was switched on") {
  StandbySwitch standby;
  CHECK_FALSE(standby.HasBeenOnFor(milliseconds(0), kStart));
  standby.Set(true, kStart);
  CHECK(standby.is_on());
  CHECK(standby.HasBeenOnFor(milliseconds(0), kStart));
  CHECK_FALSE(standby.HasBeenOnFor(milliseconds(1000), kStart + milliseconds(999)));
  CHECK(standby.Set(false, kStart + milliseconds(999)));
  CHECK_FALSE(standby.is_on());
  standby.Set(true, kStart + milliseconds(1500));
  CHECK_FALSE(standby.HasBeenOnFor(milliseconds(1000), kStart + milliseconds(2000)));
}

}  // namespace
}  // namespace brassfront
