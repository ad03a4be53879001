#include "simulator_host.hpp"

#include <gtest/gtest.h>

#include <sstream>

#include "simulator_wire.hpp"

namespace dispatch_policy::simulator {
namespace {

constexpr char kStart[] =
    "START\twho=3\tseed=7\taz=1\tclasses.count=2\tclasses.0.effect=token\t"
    "classes.0.dedup-window=15000000000\tclasses.0.goal-time=3000000000\t"
    "classes.0.hard-limit=28000000000\tclasses.0.key-scope=zone\tclasses.0.sequential=true\t"
    "classes.1.effect=pure\tclasses.1.goal-time=1000000000\tclasses.1.hard-limit=2000000000\t"
    "family-info.bundle-max=20,1\tfamily-info.own-limits=false,true\t"
    "family-info.loses-worth=halves\tfamily-info.toll=0,0.03\tfamily-info.workers=15\t"
    "limits.open-cap=315\t"
    "limits.may-cancel=true\trules.cold-share=0.17\ttick=5000000\tsome.new-key=what_ever";

std::pair<std::string, int> RunOn(const std::string& input, std::string* errors = nullptr) {
  std::istringstream in(input);
  std::ostringstream out, err;
  const int status = Run(in, out, err);
  if (errors != nullptr) *errors = err.str();
  return {out.str(), status};
}

TEST(Wire, SettingsAreParsedAndUnknownOnesIgnored) {
  const Settings s = ParseSettings(Line(kStart));
  ASSERT_EQ(s.classes.size(), 2u);
  EXPECT_EQ(s.classes[0].effect, Effect::kIdempotentWithKey);
  EXPECT_EQ(s.classes[0].dedup_scope, DedupScope::kZone);
  EXPECT_EQ(s.classes[0].dedup_window, std::chrono::seconds(15));
  EXPECT_TRUE(s.classes[0].ordered);
  EXPECT_EQ(s.classes[1].effect, Effect::kIdempotent);
  ASSERT_EQ(s.kinds.size(), 2u);
  EXPECT_EQ(s.kinds[0].max_batch, 20u);
  EXPECT_TRUE(s.kinds[1].per_endpoint_limits);
  EXPECT_EQ(s.zone_penalty, (std::vector<double>{0, 0.03}));
  EXPECT_EQ(s.decay, Decay::kHalving);
  EXPECT_EQ(s.max_concurrent_calls, 15u);
  EXPECT_TRUE(s.cancel_allowed);
  EXPECT_FALSE(s.health_checks_allowed);
  EXPECT_DOUBLE_EQ(s.slow_start_share, 0.17);
}

TEST(Wire, AnEmptyBatchGetsAnEmptyReply) {
  const auto [out, status] = RunOn("FRAME\tmoment=5\nOVER_TO_YOU\n\n");
  EXPECT_EQ(out, "YIELD\n");
  EXPECT_EQ(status, 0);
}

TEST(Wire, AMessageIsSentAndTheReplyHasItsNamesUnchanged) {
  const std::string input =
      "FRAME\tmoment=1000\n" + std::string(kStart) +
      "\nREGISTER\tpage=0\trows-in=1\n"
      "ROW\tendpoint=e_x\thall=0\tsku=1\tdest=57\tlifecycle=Running\trating=1\n"
      "DISCOVERY\twho=3\tstamp=1\tpage=0\tform=stale_copy\n"
      "REQUEST\twho=3\tcall=t/abc\tpatience-left=2000000000\tband=1\t"
      "terminates-at=57\tnew-field=1\nOVER_TO_YOU\n"
      "FRAME\tmoment=2000\nSETTLED\twho=3\tcall=t/abc\thop=0\tendpoint=e_x\t"
      "reason=0\tduration=1000\tover=1\tpressure=x0:0.4,x9:1\nOVER_TO_YOU\n"
      "FRAME\tmoment=3000\nEXIT\twho=3\nOVER_TO_YOU\n";
  const auto [out, status] = RunOn(input);
  EXPECT_EQ(status, 0);
  EXPECT_NE(out.find("TRY\twho=3\tcall=t/abc\tendpoint=e_x\tmax-wait="), std::string::npos) << out;
}

TEST(Wire, APageIsResolvedInEventOrder) {
  const auto row = [](const char* name) {
    return "REGISTER\tpage=0\trows-in=1\nROW\tendpoint=" + std::string(name) + "\tdest=5\n";
  };
  const std::string input = "FRAME\tmoment=1000\n" + std::string(kStart) + "\n" + row("first") +
                            "DISCOVERY\twho=3\tstamp=1\tpage=0\tform=whole\n" + row("second") +
                            "REQUEST\twho=3\tcall=t/a\tpatience-left=2000000000\tband=1\t"
                            "terminates-at=5\nOVER_TO_YOU\n"
                            "FRAME\tmoment=1000000000\nTIMER\twho=3\tkey-back=0\nOVER_TO_YOU\n";
  EXPECT_NE(RunOn(input).first.find("endpoint=first"), std::string::npos);
}

TEST(Wire, InvalidInputEndsWithOneErrorLine) {
  const std::string frame = "FRAME\tmoment=1000\n";
  const std::string started = frame + kStart + "\n";
  const std::pair<std::string, std::string> cases[] = {
      {"HELLO\n", "line 1: not a FRAME"},
      {"FRAME\tmoment=soon\n", "line 1: not a time"},
      {frame + "WHAT\twho=3\n", "line 2: no such instance"},
      {started + "WHAT\twho=3\n", "line 3: unknown message"},
      {started + "TIMER\twho=9\tkey-back=1\n", "line 3: no such instance"},
      {started + "TIMER\twho=3\tkey-back=99999999999999999999999\n", "line 3: a whole number out"},
      {started + "SETTLED\twho=3\tcall=t/a\thop=0\tendpoint=e\treason=7\n", "reason out of range"},
      {started + "REQUEST\twho=3\tcall\n", "line 3: no name=value"},
      {started + "REQUEST\twho=3\tcall=t/a\tterminates-at=1\n", "line 3: no patience-left"},
      {frame + "REGISTER\tpage=16\trows-in=0\n", "page out of range"},
      {frame + "REGISTER\tpage=1\trows-in=1\nOVER_TO_YOU\n", "line 3: not a ROW"},
      {started, "the input ends inside a batch"}};
  for (const auto& [input, error_text] : cases) {
    std::string errors;
    const auto [out, status] = RunOn(input, &errors);
    EXPECT_NE(status, 0) << input;
    EXPECT_NE(errors.find(error_text), std::string::npos) << errors;
    EXPECT_EQ(std::count(errors.begin(), errors.end(), '\n'), 1) << errors;
    EXPECT_EQ(out, "") << "standard output must contain only replies";
  }
}

TEST(Wire, ARestartForgetsTheEarlierInstance) {
  const std::string input = "FRAME\tmoment=1000\n" + std::string(kStart) +
                            "\nREQUEST\twho=3\tcall=t/a\tpatience-left=2000000000\tband=1\t"
                            "terminates-at=5\nEXIT\twho=3\n" +
                            kStart + "\nOVER_TO_YOU\n";
  EXPECT_EQ(RunOn(input).first, "YIELD\n");
}

}  // namespace
}  // namespace dispatch_policy::simulator
