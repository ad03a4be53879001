// Tests of the partner model and the plan: limits, queues, warm-up after outages, and determinism
// for one seed.
#include <doctest/doctest.h>

#include <string>

#include "rehearsal/partner_model.hpp"
#include "rehearsal/plan.hpp"

namespace brassfront::rehearsal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using What = PartnerModel::What;

Scenario With(const std::string& partner, const std::string& more = "") {
  return ReadScenario("name: \"s\"\nduration: 20s\npartners: [{name: \"a\", " + partner +
                          "}]\nclients: {rate: 50/s}\n" + more,
                      "s");
}

PartnerModel Model(const Scenario& s) { return PartnerModel(s.partners[0], s.warm_up, 1); }

TEST_CASE("a window accepts its number of calls and reports the time to its end") {
  const Scenario s = With("capacity: 1000/s, limit: {kind: \"window\", calls: 5/s, told: 100%}");
  PartnerModel model = Model(s);
  for (int i = 0; i < 5; ++i) CHECK(model.Call(milliseconds(300), 1, 0).what == What::kServe);
  const auto refused = model.Call(milliseconds(300), 1, 0);
  CHECK(refused.what == What::kRefuse);
  CHECK(refused.above_limit);
  CHECK(refused.wait == milliseconds(700));
  CHECK(model.Call(milliseconds(1000), 1, 0).what == What::kServe);
}

TEST_CASE("a rate limit spaces calls, and a call after the reported wait is served") {
  const Scenario s = With(
      "capacity: 1000/s, wait: 1ms, limit: {kind: \"rate\", calls: 10/s, told: 100%, "
      "counts_refused: true}");
  PartnerModel model = Model(s);
  Time now = seconds(1);
  int served = 0;
  for (; now < seconds(11); now += milliseconds(7)) {
    const auto status = model.Call(now, 1, 0);
    served += status.what == What::kServe ? 1 : 0;
    if (status.what == What::kRefuse) {
      REQUIRE(status.wait.has_value());
      now += *status.wait;
      CHECK(model.Call(now, 1, 0).what == What::kServe);
      ++served;
    }
  }
  CHECK(served >= 95);
  CHECK(served <= 106);
}

TEST_CASE("a full queue refuses calls, and a served call takes its service time") {
  const Scenario s = With("capacity: 10/s, pace: 100ms, spread: 0, queue: 250ms");
  PartnerModel model = Model(s);
  CHECK(model.Call({}, 1, 0).at == milliseconds(100));
  CHECK(model.Call({}, 1, 0).at == milliseconds(200));
  CHECK(model.Call({}, 11, 0).at == milliseconds(400));  // ten more messages take twice the time
  CHECK(model.Call({}, 1, 0).what == What::kRefuse);
  CHECK(model.Call(milliseconds(400), 1, 0).what == What::kServe);
}

TEST_CASE("outages, and the warm-up during which overload causes a collapse") {
  const Scenario s = With("capacity: 100/s, pace: 10ms, spread: 0, queue: 10s",
                          "cold: {share: 50%, warm: 10s, multiple: 1.5, fall: 1s}");
  PartnerModel model = Model(s);
  model.Begin(Outage::kShut, seconds(3), {});
  const auto shut = model.Call(seconds(2), 1, 0);
  CHECK(shut.what == What::kRefuse);
  CHECK(shut.wait == seconds(1));
  model.End(seconds(3));
  CHECK(model.CapacityShare(seconds(3)) == doctest::Approx(0.5));
  CHECK(model.CapacityShare(seconds(8)) == doctest::Approx(0.75));
  CHECK(model.CapacityShare(seconds(13)) == 1);
  // Half of 100 per second, times 1.5: about 75 calls within a second make it collapse.
  int calls = 0;
  while (!model.Call(seconds(3) + milliseconds(calls), 1, calls % 2).collapsed) {
    REQUIRE(++calls < 200);
  }
  CHECK(calls >= 74);
  CHECK(calls <= 82);
  CHECK(model.RecentWork().at(0) + model.RecentWork().at(1) == doctest::Approx(calls + 1));
  CHECK(model.collapsed());
  CHECK(model.Call(seconds(19), 1, 0).what == What::kRefuse);
  PartnerModel gentle = Model(s);
  gentle.Begin(Outage::kSilent, seconds(3), {});
  CHECK(gentle.Call(seconds(2), 1, 0).what == What::kSilent);
  gentle.End(seconds(3));
  for (Time t = seconds(3); t < seconds(15); t += milliseconds(20)) {
    CHECK_FALSE(gentle.Call(t, 1, 0).collapsed);
  }
}

TEST_CASE("a key is applied once within its window, and again after it") {
  const Scenario s = With("dedup: 5s");
  PartnerModel model = Model(s);
  CHECK_FALSE(model.IsRepeat(seconds(1), "k"));
  CHECK(model.IsRepeat(seconds(8), "k"));  // still running
  CHECK_FALSE(model.Apply(seconds(9), "k"));
  CHECK(model.IsRepeat(seconds(14), "k"));
  CHECK_FALSE(model.IsRepeat(seconds(14) + milliseconds(1), "k"));
  CHECK(model.Apply(seconds(20), "k"));
}

TEST_CASE("the plan: the same seed gives the same bytes; rates, clumps and bursts as specified") {
  const std::string text = "capacity: 40/s}, {name: \"b\", capacity: 40/s";
  const std::string more =
      "merchants: [{name: \"m\", share: 40%}, {name: \"n\", share: 60%}]\n"
      "acts: [{at: 5s, for: 5s, do: \"burst\", merchant: \"m\", factor: 5}, "
      "{at: 15s, do: \"clump\", partner: \"b\"}]";
  const Scenario s = With(text, more);
  const Plan plan = MakePlan(s, 3);
  CHECK(PlanText(s, plan) == PlanText(s, MakePlan(s, 3)));
  CHECK(PlanText(s, plan) != PlanText(s, MakePlan(s, 4)));
  std::size_t of_m = 0, clump = 0;
  Time last{};
  for (const Arrival& a : plan.arrivals) {
    CHECK(a.at >= last);
    last = a.at;
    of_m += a.merchant == 0 && a.at >= seconds(5) && a.at < seconds(10) && !a.in_clump ? 1 : 0;
    clump += a.in_clump && a.partner == 1 && a.at >= seconds(15) && a.at < milliseconds(15100);
  }
  CHECK(of_m > 380);  // 5 s of 18 per second, plus 80 per second
  CHECK(of_m < 600);
  CHECK(clump >= 80);  // two seconds of 40 per second
  CHECK(plan.arrivals.size() > 1100);
  CHECK(plan.arrivals.size() < 1900);
  CHECK(WireId(1, 2, 0) != WireId(1, 2, 1));
  CHECK(WireKey(1, 2) != WireId(1, 2, 0));
  CHECK(WireId(1, 2, 0).size() == 16);
}

}  // namespace
}  // namespace brassfront::rehearsal
