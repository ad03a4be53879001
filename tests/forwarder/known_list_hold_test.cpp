#include "forwarder/known_list_hold.hpp"

#include <doctest/doctest.h>

namespace brassfront {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr KnownListHold::Time kStart = seconds(100);

TEST_CASE("the configured list is held back until discovery's list has arrived") {
  KnownListHold hold(kStart);
  CHECK(hold.IsActive(kStart + KnownListHold::kMaxHold - milliseconds(1)));
  hold.End();
  CHECK_FALSE(hold.IsActive(kStart));
}

TEST_CASE("without an answer from discovery the hold ends after its time limit") {
  KnownListHold hold(kStart);
  CHECK_FALSE(hold.IsActive(kStart + KnownListHold::kMaxHold));
  hold.LimitBy(kStart, seconds(20));
  CHECK(hold.IsActive(kStart + milliseconds(999)));
  hold.LimitBy(kStart, milliseconds(400));
  CHECK(hold.IsActive(kStart + milliseconds(99)));
  CHECK_FALSE(hold.IsActive(kStart + milliseconds(100)));
  hold.LimitBy(kStart, milliseconds(-5));
  CHECK_FALSE(hold.IsActive(kStart));
}

}  // namespace
}  // namespace brassfront
