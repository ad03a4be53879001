#include "forwarder/known_list_hold.hpp"

#include <doctest/doctest.h>

namespace brassfront {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr KnownListHold::Time kStart = seconds(100);

TEST_CASE("calls are held until discovery's list is in use") {
  KnownListHold hold(kStart);
  CHECK(hold.IsActive(kStart));
  CHECK(hold.Holds(kStart, kStart + seconds(20), kStart + milliseconds(999)));
  hold.End();
  CHECK_FALSE(hold.IsActive(kStart));
  CHECK_FALSE(hold.Holds(kStart, kStart + seconds(20), kStart));
}

TEST_CASE("without an answer calls are made in time all the same") {
  const KnownListHold hold(kStart);
  CHECK_FALSE(hold.Holds(kStart, kStart + seconds(20), kStart + KnownListHold::kMaxHold));
  // A quarter of the time in which a call may begin is the most that it waits.
  CHECK(hold.Holds(kStart, kStart + milliseconds(400), kStart + milliseconds(99)));
  CHECK_FALSE(hold.Holds(kStart, kStart + milliseconds(400), kStart + milliseconds(100)));
  CHECK_FALSE(hold.Holds(kStart, kStart, kStart));
}

}  // namespace
}  // namespace brassfront
