// Tests the spool's clock with steps of the wall clock and restarts of the process and the machine.
#include "spool/spool_clock.hpp"

#include <doctest/doctest.h>

namespace brassfront {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const MachineTime kFirst{"boot-1", seconds(1000), UnixMs(1'700'000'000'000)};

MachineTime Later(milliseconds passed, milliseconds step, const std::string& boot = "boot-1") {
  return {boot, kFirst.monotonic + passed, kFirst.wall + passed + step};
}

TEST_CASE("real time passes between two processes, regardless of steps of the wall clock") {
  SpoolClock first;
  REQUIRE(first.Begin(std::nullopt, {}, kFirst));
  const UnixMs before = first.TimeAt(kFirst.monotonic);
  for (const milliseconds step :
       {milliseconds(0), milliseconds(-2000), milliseconds(hours(1)), milliseconds(hours(-1))}) {
    SpoolClock second;
    const MachineTime now = Later(seconds(3), step);
    CHECK_FALSE(second.Begin(first.anchor(), {}, now));  // the stored anchor remains valid
    CHECK(second.TimeAt(now.monotonic) - before == seconds(3));
  }
}

TEST_CASE("after a reboot the wall clock counts, but time never goes back before the file's") {
  SpoolClock first;
  first.Begin(std::nullopt, {}, kFirst);
  SpoolClock second;
  const MachineTime forward = Later(seconds(60), hours(1), "boot-2");
  CHECK(second.Begin(first.anchor(), {}, forward));
  CHECK(second.TimeAt(forward.monotonic) == forward.wall);
  SpoolClock third;
  const MachineTime backward = Later(seconds(60), hours(-1), "boot-3");
  CHECK(third.Begin(first.anchor(), kFirst.wall, backward));
  CHECK(third.TimeAt(backward.monotonic) == kFirst.wall);
}

TEST_CASE("an unknown boot id, or a monotonic clock that went back, counts as another boot") {
  SpoolClock first;
  first.Begin(std::nullopt, {}, kFirst);
  SpoolClock second;
  CHECK(second.Begin(first.anchor(), {}, Later(seconds(1), {}, "")));
  CHECK(second.Begin(first.anchor(), {}, Later(seconds(-1), {})));
  SpoolClock unknown;
  unknown.Begin(std::nullopt, {}, Later({}, {}, ""));
  CHECK(second.Begin(unknown.anchor(), {}, Later(seconds(1), {}, "")));
}

TEST_CASE("the machine has a boot id, and its clocks run") {
  const MachineTime now = ReadMachineTime();
  CHECK(now.boot_id.size() == 36);
  CHECK(now.boot_id == ReadMachineTime().boot_id);
  CHECK(now.monotonic <= ReadMachineTime().monotonic);
}

}  // namespace
}  // namespace brassfront
