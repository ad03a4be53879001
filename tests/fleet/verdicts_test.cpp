// Tests of health reports: merging in any order, expiry, counting, and comparison with own calls.
#include <doctest/doctest.h>

#include <random>

#include "verdicts/health_report_table.hpp"

namespace brassfront::verdicts {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using What = HealthAdvice::What;

struct Member {
  explicit Member(const std::string& name, std::uint64_t process_incarnation = 1)
      : table(Settings{}, name, process_incarnation) {
    table.SetPresent({"a", "b", "c", "d"});
  }
  std::string Down(Time at, const char* endpoint = "e0") {
    for (int i = 0; i < 3; ++i) table.Failed(endpoint, at);
    return table.TakeOutgoingReports(at).bytes;
  }
  std::size_t Advised(What what) {
    std::size_t most = 0;
    for (const HealthAdvice& a : table.TakeAdvice()) {
      if (a.what == what) most = std::max(most, a.witnesses);
    }
    return most;
  }
  HealthReportTable table;
};

TEST_CASE("three failures in a row report an endpoint down, and witnesses are counted") {
  Member a("a"), b("b"), c("c");
  a.table.Failed("e0", seconds(1));
  a.table.Failed("e0", seconds(1));
  a.table.Answered("e0", seconds(1), seconds(1));
  a.table.Failed("e0", seconds(1));
  CHECK(a.table.TakeOutgoingReports(seconds(1)).bytes.empty());
  const std::string from_a = a.Down(seconds(2)), from_b = b.Down(seconds(2));
  c.table.Receive("a", from_a, seconds(2));
  CHECK(c.Advised(What::kDown) == 1);
  c.table.Receive("a", from_a, seconds(2));
  CHECK(c.Advised(What::kDown) == 0);  // a duplicate
  c.table.Receive("b", from_b, seconds(2));
  CHECK(c.Advised(What::kDown) == 2);
}

TEST_CASE("neither order nor duplicates matter, and an earlier incarnation is superseded") {
  Member old("a", 1), restarted("a", 2), c("c"), d("d");
  const std::string first = old.Down(seconds(1));
  restarted.table.OnRetryAfter("e0", seconds(5), seconds(2));
  const std::string second = restarted.table.TakeOutgoingReports(seconds(2)).bytes;
  for (const std::string& s : {first, second, first}) c.table.Receive("a", s, seconds(2));
  for (const std::string& s : {second, first, second}) d.table.Receive("a", s, seconds(2));
  CHECK(c.table.reports().at({"e0", "a"}).seen == ObservedState::kWait);
  CHECK(d.table.reports().at({"e0", "a"}).seen == ObservedState::kWait);
}

TEST_CASE("a report ages in transit and is dropped after its retention") {
  Member a("a"), c("c"), late("d");
  const std::string bytes = a.Down(seconds(1));
  c.table.Receive("a", bytes, seconds(3));
  c.table.Tick(seconds(12));
  CHECK(c.table.reports().size() == 1);
  c.table.Tick(seconds(14));
  CHECK(c.table.reports().empty());
}

TEST_CASE("a witness is distrusted after three wrong reports, and a correct one is not") {
  Member c("c");
  Time now = seconds(10);
  for (int i = 0; i < 6; ++i) {
    Member liar("a", 2 + static_cast<std::uint64_t>(i));
    c.table.Receive("a", liar.Down(now), now);
    c.table.Answered("e0", now + milliseconds(50), now + milliseconds(80));
    now += seconds(1);
  }
  CHECK_FALSE(c.table.Counts("a", now));
  CHECK(c.table.WitnessesOf("e0", ObservedState::kDown, now) == 0);
  CHECK(c.table.Counts("a", now + kDistrustDuration));
  // A correct witness: the endpoint was down and recovered later.
  Member d("d"), b("b");
  d.table.Receive("b", b.Down(seconds(10)), seconds(10));
  for (int i = 0; i < 20; ++i) d.table.Answered("e0", seconds(10 + i), seconds(10 + i));
  CHECK(d.table.Counts("b", seconds(30)));
}

TEST_CASE("one member tests a recovering endpoint while the others wait for a bounded time") {
  std::vector<Member> members;
  for (const char* name : {"a", "b", "c", "d"}) members.emplace_back(name);
  std::vector<std::string> frames;
  for (Member& m : members) frames.push_back(m.Down(seconds(1)));
  for (std::size_t i = 0; i < 4; ++i) {
    for (std::size_t k = 0; k < 4; ++k) {
      if (i != k)
        members[i].table.Receive(std::string(1, static_cast<char>('a' + k)), frames[k], seconds(1));
    }
  }
  std::size_t waits = 0, late = 0;
  for (Member& m : members) {
    m.table.TakeAdvice();
    m.table.Tick(seconds(1));
    for (const HealthAdvice& a : m.table.TakeAdvice()) waits += a.what == What::kTestedByOther;
    m.table.Tick(seconds(8));
    for (const HealthAdvice& a : m.table.TakeAdvice()) late += a.what == What::kTestedByOther;
  }
  CHECK(waits == 3);
  CHECK(late == 0);
}

TEST_CASE("an endpoint that answers again is reported as warming up and serving") {
  Member a("a"), c("c");
  a.Down(seconds(1));
  a.table.Answered("e0", seconds(2), seconds(2));
  c.table.Receive("a", a.table.TakeOutgoingReports(seconds(3)).bytes, seconds(3));
  const auto advice = c.table.TakeAdvice();
  REQUIRE(advice.size() == 2);
  CHECK(advice[0].what == What::kCold);
  CHECK(advice[1].what == What::kServes);
}

TEST_CASE("each member is sent the reports twice, in rounds of a bounded size") {
  HealthReportTable table(Settings{}, "m0", 1);
  std::vector<std::string> all;
  for (int i = 0; i < 300; ++i) all.push_back("m" + std::to_string(i));
  table.SetPresent(all);
  for (int i = 0; i < 3; ++i) table.Failed("e0", seconds(1));
  std::map<std::string, int> frames_received;
  Time now = seconds(1);
  for (int i = 0; i < 100; ++i, now += milliseconds(100)) {
    const auto outgoing = table.TakeOutgoingReports(now);
    CHECK(outgoing.to.size() <= kMaxFramesPerRound);
    CHECK(outgoing.bytes.size() < 200);
    for (const std::string& to : outgoing.to) ++frames_received[to];
  }
  CHECK(frames_received.size() == 299);
  for (const auto& [name, count] : frames_received) CHECK(count == 2);
}

TEST_CASE("invalid frames are rejected and change nothing") {
  Member a("a"), c("c");
  const std::string good = a.Down(seconds(1));
  std::mt19937_64 random(1);
  for (int i = 0; i < 3000; ++i) {
    std::string noise = good;
    noise.resize(random() % (noise.size() + 1));
    if (!noise.empty()) noise[random() % noise.size()] = static_cast<char>(random());
    c.table.Receive("b", noise, seconds(1));
    c.table.Tick(seconds(1));
  }
  CHECK(c.table.rejected_frames() > 2000);
}

}  // namespace
}  // namespace brassfront::verdicts
