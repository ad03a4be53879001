// Tests of the fleet auditor alone: for each rule and metric, one stream of events that violates it
// and a similar one that does not.
#include "rehearsal/fleet_auditor.hpp"

#include <doctest/doctest.h>

#include <string>

#include "rehearsal/campaign.hpp"

namespace brassfront::rehearsal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kBase = R"(
name: "s"
duration: 45s
partners: [{name: "a", endpoints: 2}, {name: "b"}]
forwarders: count: 5
fleet: on: true
)";

struct AuditedFleet {
  AuditedFleet() : auditor(ReadScenario(kBase, "base")) {
    for (std::size_t f = 0; f < 5; ++f) auditor.Runs(f, true, Time{});
  }
  void Poll(std::size_t f, bool away, Time from, Time until) {
    for (Time at = from; at < until; at += milliseconds(100)) auditor.SetStandby(f, away, at);
  }
  AuditResult End(Time at) {
    AuditResult j;
    j.violation_counts.resize(kRules);
    auditor.Finish(at, j);
    return j;
  }
  static std::size_t Broken(const AuditResult& j, Rule rule) {
    return j.violation_counts[static_cast<std::size_t>(rule)];
  }
  FleetAuditor auditor;
};

TEST_CASE("a logged death of a present member is wrong, of an absent member it is not") {
  AuditedFleet s;
  s.auditor.Line(0, "peer name=n1 state=dead was=suspect life=1", seconds(10));
  s.auditor.Runs(2, false, seconds(11));
  s.auditor.Line(0, "peer name=n2 state=dead was=suspect life=1", seconds(12));
  s.auditor.Paused(3, true, seconds(13));
  s.auditor.Line(0, "peer name=n3 state=dead was=suspect life=1", seconds(14));
  const AuditResult j = s.End(seconds(20));
  CHECK(j.metrics.at("wrong_deaths") == 1);
}

TEST_CASE("a cut link excuses a logged death only if no third member connects the two") {
  AuditedFleet s;
  s.auditor.Cut(0, 1, true, seconds(5));
  s.auditor.Line(0, "peer name=n1 state=dead was=suspect life=1", seconds(10));
  for (std::size_t f = 1; f < 5; ++f) s.auditor.Cut(4, f == 4 ? 0 : f, true, seconds(11));
  s.auditor.Line(0, "peer name=n4 state=dead was=suspect life=1", seconds(12));
  CHECK(s.End(seconds(20)).metrics.at("wrong_deaths") == 1);
}

TEST_CASE("all present members have to notice an absence") {
  AuditedFleet s;
  s.auditor.Runs(1, false, seconds(10));
  for (const std::size_t f : {0U, 2U, 3U}) {
    s.auditor.Line(f, "peer name=n1 state=dead was=suspect life=1", seconds(10 + f));
  }
  s.auditor.Runs(1, true, seconds(19));
  const AuditResult j = s.End(seconds(30));
  CHECK(j.metrics.at("unnoticed") == 1);  // n4 never logged it
  CHECK(j.metrics.at("noticed_ms") == 3000);
}

TEST_CASE("two members on standby where one is allowed break the rule, but a late poll does not") {
  AuditedFleet s;
  s.Poll(0, true, seconds(5), seconds(7));
  s.Poll(1, true, seconds(7), milliseconds(7200));
  s.Poll(0, false, milliseconds(7200), seconds(8));
  CHECK(AuditedFleet::Broken(s.End(seconds(9)), Rule::kSpared) == 0);
  s.Poll(0, true, seconds(10), seconds(11));
  s.Poll(1, true, seconds(11), seconds(12));
  const AuditResult j = s.End(seconds(13));
  CHECK(AuditedFleet::Broken(j, Rule::kSpared) == 1);
  CHECK(j.metrics.at("most_out") == 2);
}

TEST_CASE("a member that has been dead for long counts as out, one that dies later does not") {
  AuditedFleet s;
  s.auditor.Runs(3, false, seconds(5));
  s.Poll(0, true, seconds(8), seconds(9));
  CHECK(AuditedFleet::Broken(s.End(seconds(9)), Rule::kSpared) == 0);
  s.Poll(0, false, seconds(9), seconds(10));
  s.Poll(0, true, seconds(12), seconds(13));
  CHECK(AuditedFleet::Broken(s.End(seconds(13)), Rule::kSpared) == 1);
}

TEST_CASE("a call to an endpoint that is out breaks the rule until its return is requested") {
  AuditedFleet s;
  s.auditor.SetEndpointNumber("e2", 2);
  const auto call = [&](Time at) {
    Event e{.what = Event::What::kFirstByte};
    e.at = at;
    e.endpoint = 2;
    s.auditor.Handle(e);
  };
  call(seconds(5));
  s.auditor.Line(0, "work request=1 name=e2 state=draining used=0 revision=3", seconds(6));
  call(seconds(6));
  s.auditor.Line(0, "work request=1 name=e2 state=out used=0 revision=4", seconds(7));
  call(seconds(8));
  s.auditor.SetEndpointOut("e2", false, seconds(9));
  call(seconds(10));
  // A lagging member logs late that the endpoint was out.
  s.auditor.Line(0, "work request=1 name=e2 state=back used=0 revision=5", seconds(10));
  s.auditor.Line(3, "work request=1 name=e2 state=out used=0 revision=4", seconds(11));
  call(seconds(12));
  const AuditResult j = s.End(seconds(13));
  CHECK(AuditedFleet::Broken(j, Rule::kBan) == 1);
  CHECK(j.metrics.at("works_back") == 1);
  CHECK(j.metrics.at("works_open") == 0);
}

TEST_CASE("a schedule depends only on its seed, is a valid scenario, and leaves time to complete") {
  const Scenario base = ReadScenario(kBase, "base");
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const auto actions = MakeSchedule(base, seed);
    CHECK(actions == MakeSchedule(base, seed));
    const Scenario s = ReadScenario(WithActions(kBase, actions), "schedule");
    CHECK(s.actions.size() == actions.size());
    std::size_t lost = 0;
    for (const FaultAction& action : s.actions) {
      CHECK(action.at + action.lasts <= seconds(27));
      lost += action.kind == FaultKind::kLoseMachine;
    }
    CHECK(lost <= 1);
  }
  CHECK(MakeSchedule(base, 1) != MakeSchedule(base, 2));
}

}  // namespace
}  // namespace brassfront::rehearsal
