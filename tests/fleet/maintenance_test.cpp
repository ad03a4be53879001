// Tests of the maintenance state machine, its scheduler and member duties, without a replicated
// log.
#include <doctest/doctest.h>

#include <random>

#include "maintenance/maintenance_scheduler.hpp"
#include "peers/frame.hpp"

namespace brassfront::maintenance {
namespace {

using std::chrono::seconds;

peers::Roster RosterOf(std::size_t count, std::size_t max_out_total, std::size_t max_out_per_zone) {
  peers::Roster roster;
  roster.fleet = "t";
  for (std::size_t i = 0; i < count; ++i) {
    roster.members.push_back({"m" + std::to_string(i), i % 2 == 0 ? "east" : "west", "", false});
  }
  roster.max_out_total = max_out_total;
  roster.max_out_per_zone = max_out_per_zone;
  roster.timings.probe = std::chrono::milliseconds(200);
  roster.timings.suspicion = std::chrono::milliseconds(800);
  roster.timings.drain = roster.timings.back = seconds(60);
  return roster;
}

// A fleet whose leader observes all members and whose commands are committed at once.
struct Fleet {
  explicit Fleet(const peers::Roster& initial_roster) : roster(initial_roster) {
    for (const peers::Member& m : roster.members) seen[m.name] = {peers::State::kAlive, 1, 0};
    RunLeader();
  }
  void RunLeader() {
    for (int i = 0; i < 1000; ++i) {
      const auto c = leader.Next(machine, roster, seen, seconds(100), now);
      if (!c) return;
      if (c->verb == Verb::kGrant) order.push_back(machine.requests().at(c->request).name);
      machine.Apply(c->Encode());
    }
    FAIL("the leader never stops");
  }
  RequestResult Execute(Command c) {
    c.token = ++token;
    machine.Apply(c.Encode());
    const RequestResult* answer = machine.ResultFor(token);
    REQUIRE(answer != nullptr);
    return *answer;
  }
  RequestResult RequestMaintenance(const std::string& name, Urgency urgency = Urgency::kNormal,
                                   Kind kind = Kind::kMachine) {
    Command c;
    c.verb = Verb::kRequest;
    c.kind = kind;
    c.name = name;
    c.urgency = urgency;
    return Execute(c);
  }
  RequestResult BringBack(const std::string& name, Kind kind = Kind::kMachine) {
    Command c;
    c.verb = Verb::kBringBack;
    c.kind = kind;
    c.name = name;
    return Execute(c);
  }
  // The member carries out its current duty and reports progress.
  void CarryOutDuty(const std::string& name) {
    const Duty duty =
        ComputeDuty(machine, name, seen[name].process_incarnation,
                    {standing_by[name], standing_by[name], !standing_by[name], excluded[name]});
    standing_by[name] = duty.stand_by;
    excluded[name] = duty.excluded_endpoints;
    for (const Command& c : duty.commands) machine.Apply(c.Encode());
  }
  void Round() {
    for (const auto& [name, s] : seen) {
      if (s.state == peers::State::kAlive) CarryOutDuty(name);
    }
    RunLeader();
  }
  const Request& RequestOf(const std::string& name, Kind kind = Kind::kMachine) {
    const Request* request = machine.RequestFor(kind, name);
    REQUIRE(request != nullptr);
    return *request;
  }

  peers::Roster roster;
  MaintenanceState machine;
  MaintenanceScheduler leader;
  std::map<std::string, ObservedMember> seen;
  std::map<std::string, bool> standing_by;
  std::map<std::string, std::set<std::string>> excluded;
  std::vector<std::string> order;
  std::uint64_t token = 0;
  Time now = seconds(1);
};

TEST_CASE("one machine goes out, comes back, and the next goes") {
  Fleet f(RosterOf(3, 1, 1));
  CHECK(f.RequestMaintenance("m0").good);
  CHECK(f.RequestMaintenance("m1").good);
  f.RunLeader();
  CHECK(f.RequestOf("m0").state == State::kDraining);
  CHECK(f.machine.WaitsFor(f.RequestOf("m1")) == "m0 (draining)");
  f.Round();
  f.Round();
  CHECK(f.RequestOf("m0").state == State::kOut);
  CHECK(f.RequestOf("m1").state == State::kRequested);
  CHECK(f.BringBack("m0").good);
  f.Round();
  f.Round();
  CHECK(f.machine.RequestFor(Kind::kMachine, "m0") == nullptr);
  CHECK(f.RequestOf("m1").state != State::kRequested);
}

TEST_CASE("a dead machine holds a slot, and a granted request keeps its own") {
  Fleet f(RosterOf(5, 2, 2));
  f.seen["m4"].state = peers::State::kDead;
  f.RunLeader();
  f.RequestMaintenance("all");
  f.RunLeader();
  CHECK(f.machine.SlotsInUse() == 2);
  CHECK(f.order.size() == 1);
  // The machine with the granted request dies while it drains, and keeps its slot.
  f.seen[f.order[0]].state = peers::State::kDead;
  f.seen["m4"].state = peers::State::kAlive;
  f.RunLeader();
  CHECK(f.machine.SlotsInUse() == 2);
  CHECK(f.order.size() == 2);
  f.now += seconds(61);
  f.RunLeader();
  f.now += seconds(61);
  f.RunLeader();
  CHECK(f.RequestOf(f.order[0]).state == State::kFailed);
  CHECK(f.machine.SlotsInUse() == 2);
  CHECK(f.order.size() == 2);
}

TEST_CASE("a grant beyond the limits is ignored when it is applied") {
  Fleet f(RosterOf(3, 1, 1));
  f.RequestMaintenance("m0");
  f.RequestMaintenance("m1");
  Command grant;
  grant.verb = Verb::kGrant;
  grant.request = f.RequestOf("m0").id;
  f.machine.Apply(grant.Encode());
  grant.request = f.RequestOf("m1").id;  // by a leader that does not know of the first grant
  f.machine.Apply(grant.Encode());
  CHECK(f.RequestOf("m1").state == State::kRequested);
  CHECK(f.machine.SlotsInUse() == 1);
}

TEST_CASE("grants alternate between zones, urgency goes first, and no request starves") {
  Fleet f(RosterOf(8, 1, 1));
  f.RequestMaintenance("all");
  for (int i = 0; i < 200 && f.order.size() < 8; ++i) {
    for (const auto& [id, r] : std::map(f.machine.requests())) {
      if (r.state == State::kOut) f.BringBack(r.name);
    }
    f.Round();
  }
  REQUIRE(f.order.size() == 8);
  for (std::size_t i = 1; i < 8; ++i) {
    CHECK((f.order[i].back() - '0') % 2 != (f.order[i - 1].back() - '0') % 2);
  }
  // One request of low urgency among many of high urgency.
  Fleet g(RosterOf(8, 1, 1));
  g.RequestMaintenance("m7", Urgency::kLow);
  std::size_t turns = 0;
  for (; turns < 60; ++turns) {
    for (int i = 0; i < 7; ++i) g.RequestMaintenance("m" + std::to_string(i), Urgency::kHigh);
    g.RunLeader();
    if (g.machine.RequestFor(Kind::kMachine, "m7")->state != State::kRequested) break;
    for (const auto& [id, r] : std::map(g.machine.requests())) {
      if (r.state != State::kRequested) g.BringBack(r.name);
    }
    g.Round();
  }
  CHECK(turns > 3);
  CHECK(turns <= 2 * kGrantsPerUrgencyStep + 8);
}

TEST_CASE("an endpoint is out only when every member has confirmed or has ended") {
  Fleet f(RosterOf(3, 1, 1));
  CHECK(f.RequestMaintenance("e-1", Urgency::kNormal, Kind::kEndpoint).good);
  f.seen["m2"].state = peers::State::kDead;  // or disconnected, which nobody can distinguish
  f.RunLeader();
  f.Round();
  f.Round();
  CHECK(f.RequestOf("e-1", Kind::kEndpoint).state == State::kDraining);
  CHECK(f.machine.WaitsFor(f.RequestOf("e-1", Kind::kEndpoint)) == "the word of m2");
  SUBCASE("an operator states that it has ended") {
    Command c;
    c.verb = Verb::kEnded;
    c.name = "m1";
    CHECK_FALSE(f.Execute(c).good);  // m1 is alive
    c.name = "m2";
    CHECK(f.Execute(c).good);
    CHECK(f.RequestOf("e-1", Kind::kEndpoint).state == State::kOut);
  }
  SUBCASE("it restarts and excludes the endpoint") {
    f.seen["m2"] = {peers::State::kAlive, 2, 0};
    f.RunLeader();
    f.Round();
    f.Round();
    CHECK(f.RequestOf("e-1", Kind::kEndpoint).state == State::kOut);
    CHECK(f.excluded["m2"].contains("e-1"));
    CHECK(f.BringBack("e-1", Kind::kEndpoint).good);
    f.Round();
    CHECK(f.excluded["m2"].empty());
  }
  SUBCASE("a confirmation of an earlier process incarnation does not count") {
    f.seen["m0"].process_incarnation = 2;
    f.seen["m2"] = {peers::State::kAlive, 1, 0};
    f.RunLeader();
    f.CarryOutDuty("m2");
    f.CarryOutDuty("m2");
    CHECK(f.machine.WaitsFor(f.RequestOf("e-1", Kind::kEndpoint)) == "the word of m0");
  }
}

TEST_CASE("invalid requests are explained, and retries are idempotent") {
  Fleet f(RosterOf(3, 1, 1));
  CHECK(f.RequestMaintenance("m9").text.find("no machine m9") != std::string::npos);
  CHECK(f.RequestMaintenance("hall:north").text.find("hall north") != std::string::npos);
  CHECK(f.RequestMaintenance("m0").good);
  CHECK(f.RequestMaintenance("m0").text.find("already asked") != std::string::npos);
  Command c;
  c.verb = Verb::kRequest;
  c.name = "m1";
  c.token = 99;
  f.machine.Apply(c.Encode());
  const std::uint64_t id = f.RequestOf("m1").id;
  CHECK(f.BringBack("m1").good);
  f.machine.Apply(c.Encode());  // a delayed duplicate of the same request
  CHECK(f.machine.RequestFor(Kind::kMachine, "m1") == nullptr);
  Command cancel;
  cancel.verb = Verb::kCancel;
  cancel.request = id;
  CHECK_FALSE(f.Execute(cancel).good);
  Command pause;
  pause.verb = Verb::kPauseGrants;
  pause.flag = true;
  CHECK(f.Execute(pause).good);
  f.RunLeader();
  CHECK(f.order.empty());
  CHECK(f.machine.WaitsFor(f.RequestOf("m0")).find("held") != std::string::npos);
  pause.flag = false;
  f.Execute(pause);
  f.RunLeader();
  CHECK(f.order.size() == 1);
}

TEST_CASE("a new leader grants nothing until it has had time to detect dead members") {
  Fleet f(RosterOf(3, 1, 1));
  f.RequestMaintenance("m0");
  MaintenanceScheduler fresh;
  CHECK_FALSE(fresh.Next(f.machine, f.roster, f.seen, seconds(1), f.now).has_value());
  CHECK(fresh.Next(f.machine, f.roster, f.seen, seconds(4), f.now).has_value());
}

TEST_CASE("a saved state loads as it was, and invalid bytes are rejected") {
  std::mt19937_64 random(1);
  Fleet f(RosterOf(5, 2, 1));
  for (int step = 0; step < 300; ++step) {
    Command c;
    c.verb = static_cast<Verb>(1 + random() % 15);
    c.kind = random() % 4 == 0 ? Kind::kEndpoint : Kind::kMachine;
    c.name = random() % 9 == 0 ? "all" : "m" + std::to_string(random() % 6);
    c.request = random() % 40;
    c.process_incarnation = random() % 3;
    c.token = random() % 1000;
    c.flag = random() % 5 == 0;
    c.text = "east";
    if (c.verb == Verb::kLimits) c.process_incarnation = 2, c.token = 1;
    f.machine.Apply(c.Encode());
    MaintenanceState copy;
    REQUIRE(copy.Load(f.machine.Save()));
    REQUIRE(copy.Save() == f.machine.Save());
  }
  const std::string saved = f.machine.Save();
  for (std::size_t length = 0; length < saved.size(); ++length) {
    MaintenanceState copy;
    CHECK_FALSE(copy.Load(saved.substr(0, length)));
  }
  for (int i = 0; i < 2000; ++i) {
    std::string noise = saved;
    noise[random() % noise.size()] = static_cast<char>(random());
    MaintenanceState copy;
    copy.Load(noise);
    f.machine.Apply(noise.substr(0, random() % 60));
  }
}

// ---- large fleets ----

// Requests maintenance of all members and brings each machine back once it is out. Returns the
// number of rounds.
std::size_t CompleteMaintenanceOfAll(std::size_t count, std::size_t slots,
                                     std::size_t& max_state_bytes) {
  Fleet f(RosterOf(count, slots, slots));
  REQUIRE(f.RequestMaintenance("all").good);
  std::size_t rounds = 0, max_out = 0;
  for (;
       rounds < 4 * count && f.machine.finished_requests().size() + f.machine.requests().size() > 0;
       ++rounds) {
    f.Round();
    max_out = std::max(max_out, f.machine.SlotsInUse());
    max_state_bytes = std::max(max_state_bytes, f.machine.Save().size());
    std::vector<std::string> out;
    for (const auto& [id, r] : f.machine.requests()) {
      if (r.state == State::kOut) out.push_back(r.name);
    }
    for (const std::string& name : out) CHECK(f.BringBack(name).good);
    if (f.machine.requests().empty()) break;
  }
  CHECK(max_out == slots);
  CHECK(f.order.size() == count);
  return rounds;
}

TEST_CASE("three hundred members take turns, and the state fits into one frame") {
  std::size_t bytes = 0;
  const std::size_t rounds = CompleteMaintenanceOfAll(300, 30, bytes);
  MESSAGE("300 members: " << rounds << " rounds, maintenance state at most " << bytes << " B");
  CHECK(rounds <= 300 / 30 * 4 + 4);
  CHECK(bytes <= peers::kMaxFrameBytes / 2);
}

}  // namespace
}  // namespace brassfront::maintenance
