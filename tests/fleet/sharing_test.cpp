// Between frames, cores and the engine's door, with a clock of the test's own.
#include "fleet/sharing.hpp"

#include <doctest/doctest.h>

namespace brassfront::fleet {
namespace {

using peers::Time;
using std::chrono::milliseconds;
using std::chrono::seconds;

peers::Roster RosterOf() {
  peers::Roster roster;
  roster.fleet = "t";
  for (const char* name : {"a", "b", "c"}) roster.members.push_back({name, "east", "", true});
  roster.timings.election = milliseconds(500);
  roster.sharing.limits = roster.sharing.verdicts = true;
  roster.sharing.term = seconds(1);
  roster.sharing.drift = 0.01;
  roster.sharing.floor = 0.5;
  roster.sharing.burst = milliseconds(100);
  roster.sharing.kept = seconds(10);
  roster.sharing.listed[1] = 30;
  return roster;
}

peers::Frame Want(const char* from, std::uint64_t number) {
  peers::Frame frame;
  frame.kind = peers::Kind::kWant;
  frame.from = from;
  frame.body = quota::LeaseRequestBatch{number, 0, {{"d1", {20, 0, 0, 0}}}}.Encode();
  return frame;
}

// What is answered to a member that asks now; none: nothing.
std::optional<quota::LeaseGrant> Ask(Sharing& sharing, const char* from, std::uint64_t number,
                                     Time now) {
  sharing.TakeFrames();
  sharing.Take(Want(from, number), now);
  for (const Sharing::Out& out : sharing.TakeFrames()) {
    if (out.kind == peers::Kind::kGrant && out.to == from)
      return quota::LeaseGrant::Decode(out.body);
  }
  return std::nullopt;
}

void Lead(Sharing& sharing, Time from, Time to) {
  for (Time now = from; now < to; now += milliseconds(100)) {
    sharing.Tick(true, now);
    sharing.Turn("a", {"a", "b", "c"}, now);
  }
}

TEST_CASE("a leader that was stopped grants nothing to what came meanwhile") {
  Sharing sharing(RosterOf(), "a", 1);
  CHECK_FALSE(Ask(sharing, "b", 1, seconds(10)));  // it does not lead
  Lead(sharing, seconds(10), seconds(14));
  const auto grant = Ask(sharing, "b", 2, seconds(14));
  REQUIRE(grant);
  CHECK(grant->leases);
  CHECK(grant->parts.at("d1").lease > 0);
  // It wakes, and still believes that it leads.
  sharing.Tick(true, seconds(24));
  const auto late = Ask(sharing, "b", 3, seconds(24));
  REQUIRE(late);
  CHECK_FALSE(late->leases);
  sharing.Tick(false, seconds(24));
  CHECK_FALSE(Ask(sharing, "b", 4, seconds(24)));
}

TEST_CASE("only the grant of whom we asked is taken") {
  Sharing sharing(RosterOf(), "b", 1);
  const auto rate = [&](Time now) {
    const std::string text = sharing.LimitsJson(now);
    const std::size_t at = text.find("\"lease\":") + 8;
    return std::stod(text.substr(at));
  };
  sharing.Tick(false, seconds(10));
  sharing.Turn("a", {"a", "b", "c"}, seconds(10));
  std::uint64_t number = 0;
  for (const Sharing::Out& out : sharing.TakeFrames()) {
    if (out.kind == peers::Kind::kWant) number = quota::LeaseRequestBatch::Decode(out.body)->number;
  }
  REQUIRE(number > 0);
  peers::Frame frame;
  frame.kind = peers::Kind::kGrant;
  frame.body = quota::LeaseGrant{number, true, {{"d1", {1e6, 1e6}}}}.Encode();
  frame.from = "c";
  sharing.Take(frame, seconds(10));
  CHECK(rate(seconds(10)) == 0);
  frame.from = "a";
  frame.body = quota::LeaseGrant{number, true, {{"d1", {30, 9}}}}.Encode();
  sharing.Take(frame, seconds(10));
  CHECK(rate(seconds(10)) == doctest::Approx(9));
}

}  // namespace
}  // namespace brassfront::fleet
