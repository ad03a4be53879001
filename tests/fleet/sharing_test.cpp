// Tests of Sharing, which connects peer frames, quota, health reports and the call observer, in
// virtual time.
#include "fleet/sharing.hpp"

#include <doctest/doctest.h>

namespace brassfront::fleet {
namespace {

using peers::Time;
using std::chrono::milliseconds;
using std::chrono::seconds;

peers::Roster MakeRoster() {
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

peers::Frame LeaseRequestFrame(const char* from, std::uint64_t number) {
  peers::Frame frame;
  frame.kind = peers::Kind::kLeaseRequest;
  frame.from = from;
  frame.body = quota::LeaseRequestBatch{number, 0, {{"d1", {20, 0, 0, 0}}}}.Encode();
  return frame;
}

// Returns the grant that a member receives when it requests a lease now; nullopt if there is no
// reply.
std::optional<quota::LeaseGrant> RequestLease(Sharing& sharing, const char* from,
                                              std::uint64_t number, Time now) {
  sharing.TakeFrames();
  sharing.Receive(LeaseRequestFrame(from, number), now);
  for (const OutgoingFrame& frame : sharing.TakeFrames()) {
    if (frame.kind == peers::Kind::kLeaseGrant && frame.to == from)
      return quota::LeaseGrant::Decode(frame.body);
  }
  return std::nullopt;
}

void LeadFromTo(Sharing& sharing, Time from, Time to) {
  for (Time now = from; now < to; now += milliseconds(100)) {
    sharing.Tick(true, now);
    sharing.Update("a", {"a", "b", "c"}, now);
  }
}

TEST_CASE("a leader that was suspended grants no lease to requests that queued up meanwhile") {
  Sharing sharing(MakeRoster(), "a", 1);
  CHECK_FALSE(RequestLease(sharing, "b", 1, seconds(10)));  // it is not the leader
  LeadFromTo(sharing, seconds(10), seconds(14));
  const auto grant = RequestLease(sharing, "b", 2, seconds(14));
  REQUIRE(grant);
  CHECK(grant->leases);
  CHECK(grant->parts.at("d1").lease > 0);
  // The leader resumes after a suspension and still considers itself the leader.
  sharing.Tick(true, seconds(24));
  const auto late_grant = RequestLease(sharing, "b", 3, seconds(24));
  REQUIRE(late_grant);
  CHECK_FALSE(late_grant->leases);
  sharing.Tick(false, seconds(24));
  CHECK_FALSE(RequestLease(sharing, "b", 4, seconds(24)));
}

TEST_CASE("a lease grant is accepted only from the member to which the request was sent") {
  Sharing sharing(MakeRoster(), "b", 1);
  const auto rate = [&](Time now) {
    const std::string text = sharing.LimitsJson(now);
    const std::size_t at = text.find("\"lease\":") + 8;
    return std::stod(text.substr(at));
  };
  sharing.Tick(false, seconds(10));
  sharing.Update("a", {"a", "b", "c"}, seconds(10));
  std::uint64_t number = 0;
  for (const OutgoingFrame& frame : sharing.TakeFrames()) {
    if (frame.kind == peers::Kind::kLeaseRequest)
      number = quota::LeaseRequestBatch::Decode(frame.body)->number;
  }
  REQUIRE(number > 0);
  peers::Frame frame;
  frame.kind = peers::Kind::kLeaseGrant;
  frame.body = quota::LeaseGrant{number, true, {{"d1", {1e6, 1e6}}}}.Encode();
  frame.from = "c";
  sharing.Receive(frame, seconds(10));
  CHECK(rate(seconds(10)) == 0);
  frame.from = "a";
  frame.body = quota::LeaseGrant{number, true, {{"d1", {30, 9}}}}.Encode();
  sharing.Receive(frame, seconds(10));
  CHECK(rate(seconds(10)) == doctest::Approx(9));
}

}  // namespace
}  // namespace brassfront::fleet
