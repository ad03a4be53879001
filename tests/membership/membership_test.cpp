// Tests of the merged endpoint list: precedence of sources, removals, damping and expiry.
#include "membership/membership.hpp"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <string>

namespace brassfront::membership {
namespace {

Member Endpoint(std::uint64_t destination, const std::string& address,
                Phase phase = Phase::kReady) {
  Member member;
  member.id = address;
  member.address = address;
  member.destination = destination;
  member.phase = phase;
  return member;
}

// The endpoints that an engine has after it applied all lists so far.
struct Known {
  std::map<std::string, Member> members;
  std::uint64_t revision = 0;

  void Take(const std::optional<MemberList>& list) {
    if (!list) return;
    REQUIRE(list->revision > revision);
    revision = list->revision;
    if (list->complete) members.clear();
    for (const Member& member : list->members) {
      if (member.phase == Phase::kGone) {
        REQUIRE(members.erase(member.id) == 1);
      } else {
        members[member.id] = member;
      }
    }
  }
  std::string Text() const {
    std::string out;
    for (const auto& [id, member] : members) {
      out += (out.empty() ? "" : " ") + id + (member.phase == Phase::kReady ? "" : "(drains)");
    }
    return out;
  }
};

struct Rig {
  explicit Rig(Damping damping = {}) : merged(damping, 7) {}
  std::string At(double now) {
    known.Take(merged.Changes(now));
    return known.Text();
  }
  Membership merged;
  Known known;
};

MemberList List(std::vector<Member> members, bool complete = true) {
  return {1, complete, std::move(members)};
}

TEST_CASE("one source: complete lists and changes to them") {
  Rig rig;
  const auto platform = rig.merged.AddSource({"platform"});
  CHECK_FALSE(rig.merged.Changes(0));
  rig.merged.TakeList(platform, List({Endpoint(1, "a"), Endpoint(1, "b"), Endpoint(2, "c")}), 0);
  CHECK(rig.At(0) == "a b c");
  CHECK(rig.known.revision == 8);
  CHECK_FALSE(rig.merged.Changes(0));
  rig.merged.TakeList(platform, List({Endpoint(1, "a", Phase::kGone)}, false), 1);
  CHECK(rig.At(1) == "b c");
  rig.merged.TakeList(platform, List({Endpoint(1, "b", Phase::kTerminating)}, false), 2);
  CHECK(rig.At(2) == "b(drains) c");
  rig.merged.TakeList(platform, List({Endpoint(2, "d")}), 3);
  CHECK(rig.At(3) == "d");
}

TEST_CASE("a complete list drops members that it omits, and an address may change its id") {
  Rig rig;
  const auto platform = rig.merged.AddSource({"platform"});
  Member renamed = Endpoint(1, "a");
  rig.merged.TakeList(platform, List({renamed, Endpoint(1, "b")}), 0);
  rig.At(0);
  renamed.id = "a2";
  rig.merged.TakeList(platform, List({renamed}), 1);
  CHECK(rig.At(1) == "a2");
  Member gone = renamed;
  gone.phase = Phase::kGone;
  renamed.id = "a3";
  rig.merged.TakeList(platform, List({gone, renamed}, false), 2);
  CHECK(rig.At(2) == "a3");
  rig.merged.TakeList(platform, List({}), 3);
  CHECK(rig.At(3) == "");
}

TEST_CASE("the owner of a destination decides alone, even when it no longer lists any endpoint") {
  Rig rig;
  const auto platform = rig.merged.AddSource({"platform", 10});
  const auto zone = rig.merged.AddSource({"zone", 1, true, 100});
  rig.merged.TakeList(platform, List({Endpoint(1, "a"), Endpoint(2, "b")}), 0);
  CHECK(rig.At(0) == "a b");
  rig.merged.Take(zone, "s", {Endpoint(1, "z")}, 1);
  CHECK(rig.At(1) == "b z");
  rig.merged.Take(zone, "s", {}, 2);
  CHECK(rig.At(2) == "b");  // the platform still lists a, but does not own the destination
  rig.merged.TakeList(platform, List({Endpoint(1, "a2"), Endpoint(2, "b")}), 3);
  CHECK(rig.At(3) == "b");
  // The source fails: its last report stays valid until it expires; then the source is ignored.
  rig.merged.Failed(zone, 4);
  CHECK(rig.At(101) == "b");
  CHECK(rig.merged.NextDue() == 102);
  CHECK(rig.At(102) == "a2 b");
  CHECK(rig.merged.Sources()[zone].expired);
  rig.merged.Confirm(zone, 200);
  CHECK(rig.At(200) == "b");
}

TEST_CASE("a confirmed source does not expire") {
  Rig rig;
  const auto zone = rig.merged.AddSource({"zone", 1, true, 10});
  rig.merged.Take(zone, "s", {Endpoint(1, "z")}, 0);
  CHECK(rig.At(0) == "z");
  for (double now = 5; now < 50; now += 5) {
    rig.merged.Confirm(zone, now);
    CHECK(rig.At(now + 4) == "z");
  }
  CHECK(rig.At(55) == "");
}

TEST_CASE("merged sources: a removal by one source is not undone by a late list of the other") {
  Rig rig;
  const auto platform = rig.merged.AddSource({"platform", 10});
  const auto zone = rig.merged.AddSource({"zone", 1});
  rig.merged.TakeList(platform, List({Endpoint(1, "a"), Endpoint(1, "b")}), 0);
  rig.merged.Take(zone, "s", {Endpoint(1, "a"), Endpoint(1, "c")}, 0);
  CHECK(rig.At(0) == "a b c");
  rig.merged.Take(zone, "s", {Endpoint(1, "c")}, 1);
  CHECK(rig.At(1) == "b c");
  rig.merged.TakeList(platform, List({Endpoint(1, "a"), Endpoint(1, "b")}), 2);  // late
  CHECK(rig.At(2) == "b c");
  SUBCASE("until the first source lists it again") {
    rig.merged.Take(zone, "s", {Endpoint(1, "a"), Endpoint(1, "c")}, 3);
    CHECK(rig.At(3) == "a b c");
  }
  SUBCASE("or the other source has dropped it and then lists it again") {
    rig.merged.TakeList(platform, List({Endpoint(1, "b")}), 3);
    CHECK(rig.At(3) == "b c");
    rig.merged.TakeList(platform, List({Endpoint(1, "a"), Endpoint(1, "b")}), 4);
    CHECK(rig.At(4) == "a b c");
  }
}

TEST_CASE("the worst phase applies, and other attributes are those of the highest-ranked source") {
  Rig rig;
  const auto platform = rig.merged.AddSource({"platform", 10});
  const auto zone = rig.merged.AddSource({"zone", 1});
  Member ready = Endpoint(1, "a");
  ready.weight = 3;
  Member draining = Endpoint(1, "a", Phase::kTerminating);
  draining.weight = 5;
  rig.merged.TakeList(platform, List({draining}), 0);
  rig.merged.Take(zone, "s", {ready}, 0);
  CHECK(rig.At(0) == "a(drains)");
  CHECK(rig.known.members["a"].weight == 3);
  rig.merged.Take(zone, "t", {Endpoint(1, "a")}, 1);  // two groups of one source
  rig.merged.Drop(zone, "s", 2);
  CHECK(rig.At(2) == "a(drains)");
  CHECK(rig.known.members["a"].weight == 1);
}

TEST_CASE("an address with another name is another endpoint, and the old one is reported as gone") {
  Rig rig;
  const auto zone = rig.merged.AddSource({"zone"});
  Member one = Endpoint(1, "10.0.0.1:80");
  one.id = "x@10.0.0.1:80";
  rig.merged.Take(zone, "s", {one}, 0);
  CHECK(rig.At(0) == "x@10.0.0.1:80");
  one.id = "y@10.0.0.1:80";
  rig.merged.Take(zone, "s", {one}, 1);
  CHECK(rig.At(1) == "y@10.0.0.1:80");
}

TEST_CASE("flapping delays an endpoint's return, but no removal, and never the last endpoint") {
  Damping damping;
  Rig rig(damping);
  const auto zone = rig.merged.AddSource({"zone"});
  const std::vector<Member> both = {Endpoint(1, "a"), Endpoint(1, "b")};
  const std::vector<Member> one = {Endpoint(1, "b")};
  rig.merged.Take(zone, "s", both, 0);
  CHECK(rig.At(0) == "a b");
  double now = 1;
  for (int n = 0; n < 3; ++n, now += 2) {
    rig.merged.Take(zone, "s", one, now);
    CHECK(rig.At(now) == "b");
    rig.merged.Take(zone, "s", both, now + 1);
    if (n < 2) CHECK(rig.At(now + 1) == "a b");
  }
  CHECK(rig.At(now) == "b");  // the third removal in six seconds exceeds the suppress threshold
  CHECK(rig.merged.suppressed() == 1);
  const double release = rig.merged.NextDue();
  CHECK(release > now + 5);
  CHECK(release <= now + damping.longest);
  CHECK(rig.At(release - 0.1) == "b");
  // The only other endpoint is removed: a flapping endpoint is better than none.
  rig.merged.Take(zone, "s", {Endpoint(1, "a")}, now + 1);
  CHECK(rig.At(now + 1) == "a");
  rig.merged.Take(zone, "s", {}, now + 2);
  CHECK(rig.At(now + 2) == "");  // its removal is again not delayed
  rig.merged.Take(zone, "s", both, now + 3);
  CHECK(rig.At(now + 3) == "b");
  CHECK(rig.At(now + 3 + damping.longest) == "a b");
}

TEST_CASE("after an hour without removals no penalty remains") {
  Rig rig;
  const auto zone = rig.merged.AddSource({"zone"});
  for (int n = 0; n < 10; ++n) {
    rig.merged.Take(zone, "s", {Endpoint(1, "a"), Endpoint(1, "b")}, n);
    rig.At(n);
    rig.merged.Take(zone, "s", {Endpoint(1, "b")}, n + 0.5);
    CHECK(rig.At(n + 0.5) == "b");
  }
  rig.merged.Take(zone, "s", {Endpoint(1, "a"), Endpoint(1, "b")}, 3600);
  CHECK(rig.At(3600) == "a b");
}

TEST_CASE("random reports of three sources: only reported endpoints are ever listed") {
  for (std::uint32_t seed = 0; seed < 60; ++seed) {
    std::mt19937 random(seed);
    Damping damping;
    damping.on = seed % 2 == 0;
    Rig rig(damping);
    const SourceId ids[] = {rig.merged.AddSource({"platform", 10}),
                            rig.merged.AddSource({"zone", 1, seed % 3 == 0}),
                            rig.merged.AddSource({"other", 5})};
    std::map<std::string, std::set<std::string>>
        reported_addresses;  // group of source to addresses
    double now = 0;
    for (int step = 0; step < 150; ++step) {
      now += static_cast<double>(random() % 30) / 10;
      const std::size_t source = random() % 3;
      const std::string group = "g" + std::to_string(random() % 3);
      std::vector<Member> members;
      auto& reported = reported_addresses[std::to_string(source) + group];
      reported.clear();
      for (int n = 0; n < 4; ++n) {
        if (random() % 2 == 0) continue;
        // The destination is the tens digit of the address.
        const std::string address = std::to_string(10 * (1 + random() % 2) + random() % 3);
        members.push_back(Endpoint(std::stoul(address) / 10, address));
        reported.insert(address);
      }
      rig.merged.Take(ids[source], group, members, now);
      rig.At(now);
      std::set<std::string> all;
      for (const auto& [who, addresses] : reported_addresses)
        all.insert(addresses.begin(), addresses.end());
      // An endpoint that no source reports is removed at once.
      for (const auto& [id, member] : rig.known.members) REQUIRE(all.contains(id));
      CHECK(rig.merged.endpoints() == rig.known.members.size());
      CHECK_FALSE(rig.merged.Changes(now));
    }
  }
}

}  // namespace
}  // namespace brassfront::membership
