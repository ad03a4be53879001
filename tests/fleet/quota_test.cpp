// Tests of quota leases in virtual time: holders and grantors with links that are cut, members that
// are paused, and leader changes while the former leader still considers itself the leader.
#include <doctest/doctest.h>

#include <deque>
#include <memory>
#include <random>

#include "quota/lease_grantor.hpp"
#include "quota/lease_holder.hpp"

namespace brassfront::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

LeaseSettings SettingsFor(std::size_t members) {
  LeaseSettings t;
  t.term = seconds(2);
  t.burst = milliseconds(100);
  t.election = milliseconds(500);
  t.members = members;
  t.floor = 0.9;
  t.listed["d1"] = 2.0 * static_cast<double>(members);
  return t;
}

// Members whose clocks drift apart by at most the configured drift; each frame takes 1 to 40 ms.
class SimulatedCluster {
 public:
  SimulatedCluster(std::size_t count, std::uint64_t seed)
      : settings(SettingsFor(count)), random_(seed) {
    for (std::size_t i = 0; i < count; ++i) {
      members_.push_back(
          {LeaseHolder(settings), LeaseGrantor(settings), 1 + (Chance() - 0.5) * settings.drift});
      members_.back().offset = seconds(random_() % 1000);
      demand_rates.push_back(1.5);
    }
    SetLeader(0);
  }
  // Makes member `i` the leader from now on; former leaders still consider themselves the leader
  // for `former_leads_for`.
  void SetLeader(std::size_t i, Time former_leads_for = {}) {
    for (std::size_t f = 0; f < members_.size(); ++f) {
      if (members_[f].leads && f != i) members_[f].leads_until = now + former_leads_for;
    }
    members_[i].leads = true;
    members_[i].leads_until = Time::max();
    members_[i].grantor.Begin(ClockOf(i));
    leader_ = i;
  }
  void Pause(std::size_t i) { members_[i].paused = true; }
  void Resume(std::size_t i) { members_[i].paused = false; }
  // Drops all frames between member `i` and the others if `cut` is true.
  void Cut(std::size_t i, bool cut) { members_[i].cut = cut; }

  void RunFor(Time time) {
    for (const Time until = now + time; now < until; now += milliseconds(2)) {
      while (!in_flight_.empty() && in_flight_.front().at <= now) {
        FrameInFlight f = std::move(in_flight_.front());
        in_flight_.pop_front();
        Deliver(f);
      }
      for (std::size_t i = 0; i < members_.size(); ++i) RunMember(i);
    }
  }

  Time ClockOf(std::size_t i) const {
    return members_[i].offset + FromSeconds(SecondsOf(now) * members_[i].clock_rate);
  }
  LeaseGrantor& grantor() { return members_[leader_].grantor; }
  LeaseHolder& holder(std::size_t i) { return members_[i].holder; }
  // The maximum number of calls in excess of limit x window in any time window of this length.
  double MaxExcess(Time window, double limit, Time from = {}) const {
    double most = 0;
    std::deque<Time> in;
    for (const Time at : call_starts) {
      if (at < from) continue;
      in.push_back(at);
      while (at - in.front() >= window) in.pop_front();
      most = std::max(most, static_cast<double>(in.size()) - limit * SecondsOf(window));
    }
    return most;
  }

  LeaseSettings settings;
  std::vector<double> demand_rates;  // calls a second, one rate per member
  double reported = 0;               // with each call, if above 0
  std::vector<Time> call_starts;     // all calls
  Time now = seconds(5);
  std::uint64_t bytes = 0;

 private:
  struct Member {
    LeaseHolder holder;
    LeaseGrantor grantor;
    double clock_rate = 1;
    Time offset{};
    bool paused = false, cut = false, leads = false;
    Time leads_until = Time::max();
    double queued_calls = 0;  // calls
  };
  struct FrameInFlight {
    Time at;
    std::size_t from, to;
    bool grant;
    std::string body;
  };
  double Chance() { return static_cast<double>(random_() % 1000000) / 1e6; }
  void Send(std::size_t from, std::size_t to, bool grant, std::string body) {
    bytes += body.size();
    if (members_[from].cut || members_[to].cut) return;
    in_flight_.push_back(
        {now + milliseconds(1 + random_() % 40), from, to, grant, std::move(body)});
    for (std::size_t k = in_flight_.size() - 1; k > 0 && in_flight_[k].at < in_flight_[k - 1].at;
         --k) {
      std::swap(in_flight_[k], in_flight_[k - 1]);
    }
  }
  void Deliver(const FrameInFlight& f) {
    Member& to = members_[f.to];
    if (to.paused || to.cut) return;
    if (f.grant) {
      const auto grant = LeaseGrant::Decode(f.body);
      REQUIRE(grant);
      return to.holder.ApplyGrant(*grant, ClockOf(f.to));
    }
    if (!to.leads || now > to.leads_until) return;
    const auto request = LeaseRequestBatch::Decode(f.body);
    REQUIRE(request);
    if (const auto grant = to.grantor.Answer(std::to_string(f.from), *request, ClockOf(f.to))) {
      Send(f.to, f.from, true, grant->Encode());
    }
  }
  void RunMember(std::size_t i) {
    Member& m = members_[i];
    if (m.paused) return;
    const Time clock = ClockOf(i);
    if (now > m.leads_until) m.leads = false;
    const double arrive = demand_rates[i] * 0.002;
    if (Chance() < arrive) {
      m.holder.OnDemand("d1", clock);
      m.queued_calls = std::min(m.queued_calls + 1, 20.0);
    }
    while (m.queued_calls >= 1 && m.holder.TryAcquire("d1", clock)) {
      m.queued_calls -= 1;
      call_starts.push_back(now);
      if (reported > 0) m.holder.OnLimitReported("d1", reported, clock);
    }
    const auto request = m.holder.NextRequest(clock);
    if (!request) return;
    // Half of the requests go to a former leader that still considers itself the leader.
    std::size_t leader = leader_;
    for (std::size_t f = 0; f < members_.size(); ++f) {
      if (f != leader_ && members_[f].leads && random_() % 2 == 0) leader = f;
    }
    if (leader != i) return Send(i, leader, false, request->Encode());
    if (const auto grant = m.grantor.Answer(std::to_string(i), *request, clock)) {
      m.holder.ApplyGrant(*grant, clock);
    }
  }

  std::mt19937_64 random_;
  std::vector<Member> members_;
  std::deque<FrameInFlight> in_flight_;
  std::size_t leader_ = 0;
};

TEST_CASE("a member that gets nearly all the traffic gets nearly all of the limit") {
  SimulatedCluster cluster(5, 1);
  cluster.demand_rates = {40, 0.2, 0.2, 0.2, 0.2};
  cluster.RunFor(seconds(10));
  const std::size_t before = cluster.call_starts.size();
  cluster.RunFor(seconds(10));
  const double used = static_cast<double>(cluster.call_starts.size() - before) / 10;
  CHECK(used > 0.85 * 10);  // the others have lent their reserves
  CHECK(cluster.MaxExcess(seconds(1), 10) <= cluster.settings.MaxExcessCalls(10));
}

TEST_CASE("shares follow the traffic, and their sum never exceeds the limit") {
  SimulatedCluster cluster(5, 2);
  std::mt19937_64 random(3);
  for (int round = 0; round < 30; ++round) {
    for (double& want : cluster.demand_rates) want = static_cast<double>(random() % 12);
    cluster.RunFor(seconds(3));
    REQUIRE(cluster.grantor().Outstanding("d1", cluster.ClockOf(0)) <= 10);
  }
  for (const Time window : {milliseconds(200), milliseconds(1000), milliseconds(5000)}) {
    CHECK(cluster.MaxExcess(window, 10) <= cluster.settings.MaxExcessCalls(10));
  }
}

// Cuts links, pauses members and changes leaders at random; former leaders go on granting for as
// long as they may. Returns the worst excess as a fraction of the bound, and bytes a second per
// member.
std::pair<double, double> RunRandomFaults(std::size_t members, std::uint64_t seed, int rounds) {
  SimulatedCluster cluster(members, seed);
  std::mt19937_64 random(seed);
  for (double& want : cluster.demand_rates) want = 6;
  std::vector<std::size_t> cut, paused;
  for (int round = 0; round < rounds; ++round) {
    const std::size_t one = random() % members;
    switch (random() % 4) {
      case 0:
        cluster.Cut(one, true);
        cut.push_back(one);
        break;
      case 1:
        cluster.Pause(one);
        paused.push_back(one);
        break;
      case 2:
        cluster.SetLeader(one, 2 * cluster.settings.election);
        break;
      default:
        for (const std::size_t f : std::exchange(cut, {})) cluster.Cut(f, false);
        for (const std::size_t f : std::exchange(paused, {})) cluster.Resume(f);
    }
    cluster.RunFor(milliseconds(200 + random() % 3000));
  }
  const double limit = cluster.settings.listed.at("d1");
  const double per_member = static_cast<double>(cluster.bytes) /
                            SecondsOf(cluster.now - seconds(5)) / static_cast<double>(members);
  return {cluster.MaxExcess(seconds(1), limit) / cluster.settings.MaxExcessCalls(limit),
          per_member};
}

TEST_CASE("the bound holds with links cut, members suspended and former leaders") {
  double worst = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed)
    worst = std::max(worst, RunRandomFaults(5, seed, 40).first);
  MESSAGE("the worst excess is " << worst << " of the bound");
  CHECK(worst <= 1);
}

TEST_CASE("the bound holds for three hundred members as for five") {
  for (const std::size_t members : {5, 30, 300}) {
    const auto [worst, bytes] = RunRandomFaults(members, 7, members > 100 ? 12 : 40);
    MESSAGE(members << " members: " << worst << " of the bound, " << bytes << " B a second each");
    CHECK(worst <= 1);
    CHECK(bytes < 400);
  }
}

TEST_CASE("a lease expires on its holder's own clock, even while the holder is suspended") {
  SimulatedCluster cluster(3, 5);
  cluster.demand_rates = {0, 0, 30};
  cluster.RunFor(seconds(8));
  REQUIRE(*cluster.holder(2).RateOf("d1", cluster.ClockOf(2)) > 3);
  cluster.Pause(2);
  cluster.RunFor(seconds(10));
  const double floor = cluster.settings.FloorOf(6);
  CHECK(*cluster.holder(2).RateOf("d1", cluster.ClockOf(2)) == doctest::Approx(floor));
  // After it resumes it may start one burst of its reserve at once, which is one call.
  std::size_t at_once = 0;
  while (cluster.holder(2).TryAcquire("d1", cluster.ClockOf(2))) ++at_once;
  CHECK(at_once == 1);
}

TEST_CASE("lent quota is granted only while recent, and its cool-down lasts longer") {
  const LeaseSettings settings = SettingsFor(2);
  LeaseGrantor grantor(settings);
  grantor.Begin(Time{});
  const Time t = seconds(10);
  const auto ask = [&](const char* who, std::uint64_t number, std::uint64_t had, double demand,
                       double lend, Time at) {
    return grantor.Answer(who, {number, had, {{"d1", {demand, 0, 0, lend}}}}, at);
  };
  ask("idle", 1, 0, 0, 0.3, t);  // names no answer, so nothing is granted from its reserve
  CHECK(ask("busy", 1, 0, 9, 0, t)->parts.at("d1").lease == doctest::Approx(4 * 0.1));
  ask("idle", 2, 1, 0, 0.3, t + milliseconds(500));  // lends from the answer at t on
  CHECK(ask("busy", 2, 1, 9, 0, t + milliseconds(600))->parts.at("d1").lease ==
        doctest::Approx(4 * 0.1 + 0.3));
  CHECK(ask("busy", 3, 2, 9, 0, t + settings.LentQuotaLifetime())->parts.at("d1").lease ==
        doctest::Approx(4 * 0.1));
  CHECK(settings.LeaseCoolDown() >=
        settings.Stretched(settings.LentQuotaLifetime()) + settings.Stretched(settings.term));
}

TEST_CASE("a lowered limit is kept by all members within the stated time") {
  SimulatedCluster cluster(5, 9);
  for (double& want : cluster.demand_rates) want = 6;
  cluster.reported = 10;
  cluster.RunFor(seconds(8));
  cluster.reported = 4;
  const Time fell = cluster.now;
  cluster.RunFor(seconds(15));
  const Time lowered_by =
      fell + cluster.settings.MaxTimeAtOldRate(cluster.settings.Renew() +
                                               cluster.settings.Stretched(cluster.settings.term));
  CHECK(cluster.MaxExcess(seconds(1), 4, lowered_by) <= cluster.settings.MaxExcessCalls(4));
}

TEST_CASE("one wrong report, of almost zero or of a million, does not change the limit") {
  for (const double lie : {0.01, 1e6}) {
    LeaseSettings settings = SettingsFor(5);
    settings.listed.clear();
    LeaseGrantor grantor(settings);
    grantor.Begin(Time{});
    for (std::uint64_t n = 1; n <= 20; ++n) {
      const Time now = seconds(n);
      for (int m = 0; m < 5; ++m) {
        LeaseRequestBatch request{n, 0, {{"d1", {5, 0, m == 4 ? lie : 10.0, 0}}}};
        const auto grant = grantor.Answer(std::to_string(m), request, now);
        REQUIRE(grant);
        if (n > 5 && m < 4) CHECK(grant->parts.at("d1").limit == doctest::Approx(10));
      }
    }
  }
}

TEST_CASE("a new grantor grants no lease, and an old request is ignored") {
  const LeaseSettings settings = SettingsFor(3);
  LeaseGrantor grantor(settings);
  const LeaseRequestBatch request{5, 0, {{"d1", {9, 0, 0, 0}}}};
  CHECK_FALSE(grantor.Answer("a", request, seconds(1)));
  grantor.Begin(seconds(1));
  CHECK_FALSE(grantor.Answer("a", request, seconds(2))->leases);
  const Time later = seconds(1) + settings.QuietTime();
  CHECK_FALSE(grantor.Answer("a", request, later));  // the same number again
  CHECK(grantor.Answer("a", {6, 0, {{"d1", {9, 0, 0, 0}}}}, later)->parts.at("d1").lease > 0);
  CHECK_FALSE(grantor.Answer("a", {4, 0, {{"d1", {9, 0, 0, 0}}}}, later + seconds(1)));
}

TEST_CASE("frames decode as they were encoded, and invalid bytes are rejected") {
  const LeaseRequestBatch request{7, 3, {{"d1", {1.5, 2.25, 0, 0.5}}, {"e:x", {0, 0, 9, 0}}}};
  const auto again = LeaseRequestBatch::Decode(request.Encode());
  REQUIRE(again);
  CHECK(again->requests.at("d1").keep == 2.25);
  CHECK(again->requests.at("d1").lend == 0.5);
  CHECK(again->requests.at("e:x").reported == 9);
  std::mt19937_64 random(1);
  for (int i = 0; i < 3000; ++i) {
    std::string noise = request.Encode();
    noise.resize(random() % (noise.size() + 1));
    if (!noise.empty()) noise[random() % noise.size()] = static_cast<char>(random());
    static_cast<void>(LeaseRequestBatch::Decode(noise));
    static_cast<void>(LeaseGrant::Decode(noise));
  }
}

}  // namespace
}  // namespace brassfront::quota
