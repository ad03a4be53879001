// Tests the answers of a zone and the evaluation of updates: each rule of RFC 2136.
#include "dns/update.hpp"

#include <doctest/doctest.h>

#include <random>
#include <string>

#include "dns/zone_file.hpp"
#include "dns_fixtures.hpp"

namespace brassfront::dns {
namespace {

const Name kOrigin = Name::FromLiteral("example.");

Zone Sample() {
  return ReadZone({"zone",
                   "$TTL 60\n@ SOA ns h 10 2 3 4 30\n@ NS ns\n@ NS ns2\nns A 10.0.0.1\n"
                   "ns2 A 10.0.0.2\nw A 10.0.0.3\nw A 10.0.0.4\nalias CNAME w\nround CNAME trip\n"
                   "trip CNAME round\nout CNAME a.elsewhere.\n*.wild TXT any\nx.y.deep A 10.0.0.5\n"
                   "child NS ns.child\nns.child A 10.0.0.6\n_s._tcp SRV 1 1 80 w\n",
                   "zone"},
                  kOrigin, [](const ZoneText&, const std::string&, std::string&) {
                    return std::optional<ZoneText>();
                  });
}

Name Below(const std::string& text) {
  std::string why;
  return *Name::FromText(text, kOrigin, why);
}

// Parses `name class ttl type rdata...`; the RDATA may be missing for the classes ANY and NONE.
Record Line(const std::string& text) {
  const auto tokens = testing::Tokens(text);
  Record record;
  record.name = Below(tokens[0].text);
  record.klass = *ClassFromText(tokens[1].text);
  record.ttl = *SecondsFromText(tokens[2].text);
  record.type = *TypeFromText(tokens[3].text);
  if (tokens.size() == 4) return record;
  std::string why;
  std::size_t at = 0;
  const auto rdata = RdataFromText(record.type, std::span(tokens).subspan(4), kOrigin, why, at);
  REQUIRE_MESSAGE(rdata, why);
  record.rdata = *rdata;
  return record;
}

struct UpdateText {
  std::vector<std::string> prerequisites;
  std::vector<std::string> updates;
};

const Name kKey = Name::FromLiteral("key.");

UpdateOutcome Outcome(const Zone& zone, const UpdateText& text_of_update,
                      std::vector<Grant> grants) {
  Message update;
  update.opcode = Opcode::kUpdate;
  update.question = {{kOrigin, type::kSoa, klass::kIn}};
  for (const auto& text : text_of_update.prerequisites) update.answer.push_back(Line(text));
  for (const auto& text : text_of_update.updates) update.authority.push_back(Line(text));
  const auto decoded = Decode(Encode(update));  // as if received from the network
  REQUIRE_MESSAGE(decoded.message, decoded.why);
  return EvaluateUpdate(zone, *decoded.message, kKey, grants);
}

UpdateOutcome Outcome(const Zone& zone, const UpdateText& text_of_update) {
  return Outcome(zone, text_of_update, {{kKey, kOrigin, {}, true, false}});
}

// Returns the change as text without the SOAs: `-` precedes removed records and `+` added ones.
std::string ChangeText(const UpdateOutcome& outcome) {
  if (outcome.rcode != Rcode::kNoError) return RcodeText(outcome.rcode);
  if (!outcome.change) return "nothing";
  std::string out;
  for (std::size_t n = 1; n < outcome.change->removed.size(); ++n) {
    out += "-" + outcome.change->removed[n].ToText() + "\n";
  }
  for (std::size_t n = 1; n < outcome.change->added.size(); ++n) {
    out += "+" + outcome.change->added[n].ToText() + "\n";
  }
  return out;
}

TEST_CASE("queries by RFC 1034 §4.3.2") {
  const Zone zone = Sample();
  CHECK(zone.Query(Below("w"), type::kA).answer.size() == 2);
  CHECK(zone.Query(Below("W"), type::kAny).answer.size() == 2);
  const Lookup none = zone.Query(Below("gone"), type::kA);
  CHECK(none.rcode == Rcode::kNxDomain);
  REQUIRE(none.authority.size() == 1);
  CHECK(none.authority[0].ttl == 30);  // RFC 2308 §3
  const Lookup other = zone.Query(Below("w"), type::kTxt);
  CHECK(other.rcode == Rcode::kNoError);
  CHECK(other.answer.empty());
  CHECK(other.authority.size() == 1);
  CHECK(zone.Query(Below("deep"), type::kA).rcode == Rcode::kNoError);  // an empty non-terminal
  CHECK(zone.Query(Below("y.deep"), type::kA).rcode == Rcode::kNoError);
  const Lookup alias = zone.Query(Below("alias"), type::kA);
  CHECK(alias.answer.size() == 3);
  CHECK(zone.Query(Below("alias"), type::kCname).answer.size() == 1);
  CHECK(zone.Query(Below("out"), type::kA).answer.size() == 1);
  CHECK(zone.Query(Below("round"), type::kA).answer.size() >= 2);  // the CNAME loop ends
  CHECK(zone.Query(Below("a.b.wild"), type::kTxt).answer.size() == 1);
  CHECK(zone.Query(Below("a.wild"), type::kA).rcode == Rcode::kNoError);
  CHECK(zone.Query(Below("wild"), type::kTxt).answer.empty());
  const Lookup referral = zone.Query(Below("far.child"), type::kA);
  CHECK_FALSE(referral.authoritative);
  CHECK(referral.authority.size() == 1);
  CHECK(referral.additional.size() == 1);
  const Lookup service = zone.Query(Below("_s._tcp"), type::kSrv);
  CHECK(service.answer.size() == 1);
  CHECK(service.additional.size() == 2);
}

TEST_CASE("prerequisites of RFC 2136 §2.4, satisfied and not satisfied") {
  const Zone zone = Sample();
  const std::string add = "n IN 5 A 1.1.1.1";
  const std::string done = "+n.example. 5 IN A 1.1.1.1\n";
  const std::pair<std::vector<std::string>, std::string> cases[] = {
      {{"w ANY 0 ANY"}, done},
      {{"gone ANY 0 ANY"}, "NXDOMAIN"},
      {{"deep ANY 0 ANY"}, "NXDOMAIN"},  // a name is in use only if it has records
      {{"w ANY 0 A"}, done},
      {{"w ANY 0 TXT"}, "NXRRSET"},
      {{"gone NONE 0 ANY"}, done},
      {{"w NONE 0 ANY"}, "YXDOMAIN"},
      {{"w NONE 0 TXT"}, done},
      {{"w NONE 0 A"}, "YXRRSET"},
      {{"w IN 0 A 10.0.0.4", "w IN 0 A 10.0.0.3"}, done},
      {{"w IN 0 A 10.0.0.4", "w IN 0 A 10.0.0.3", "w IN 0 A 10.0.0.3"}, done},
      {{"w IN 0 A 10.0.0.3"}, "NXRRSET"},
      {{"w IN 0 A 10.0.0.3", "w IN 0 A 10.0.0.4", "w IN 0 A 10.0.0.5"}, "NXRRSET"},
      {{"w IN 0 A 10.0.0.3", "w IN 0 A 10.0.0.5"}, "NXRRSET"},
      {{"alias IN 0 CNAME W"}, done},  // names in RDATA are compared without regard to case
      {{"w ANY 1 ANY"}, "FORMERR"},
      {{"w IN 1 A 10.0.0.3"}, "FORMERR"},
      {{"w CH 0 TXT x"}, "FORMERR"},
      {{"w ANY 0 A 1.1.1.1"}, "FORMERR"},
      {{"w NONE 0 A 1.1.1.1"}, "FORMERR"},
      {{"w ANY 0 AXFR"}, "FORMERR"},
      {{"a.other. ANY 0 ANY"}, "NOTZONE"},
  };
  for (const auto& [prerequisites, expected] : cases) {
    CAPTURE(prerequisites[0]);
    CHECK(ChangeText(Outcome(zone, {prerequisites, {add}})) == expected);
  }
}

TEST_CASE("updates of RFC 2136 §3.4.2") {
  const Zone zone = Sample();
  const std::pair<std::vector<std::string>, std::string> cases[] = {
      {{"w IN 60 A 10.0.0.9"}, "+w.example. 60 IN A 10.0.0.9\n"},
      {{"w IN 60 A 10.0.0.3"}, "nothing"},
      {{"w IN 5 A 10.0.0.3"},
       "-w.example. 60 IN A 10.0.0.3\n-w.example. 60 IN A 10.0.0.4\n"
       "+w.example. 5 IN A 10.0.0.3\n+w.example. 5 IN A 10.0.0.4\n"},
      {{"w NONE 0 A 10.0.0.3"}, "-w.example. 60 IN A 10.0.0.3\n"},
      {{"w NONE 0 A 10.0.0.7"}, "nothing"},
      {{"w ANY 0 A"}, "-w.example. 60 IN A 10.0.0.3\n-w.example. 60 IN A 10.0.0.4\n"},
      {{"w ANY 0 ANY"}, "-w.example. 60 IN A 10.0.0.3\n-w.example. 60 IN A 10.0.0.4\n"},
      {{"gone ANY 0 ANY"}, "nothing"},
      // The zone apex keeps its SOA and at least one NS.
      {{"@ ANY 0 ANY"}, "nothing"},
      {{"@ ANY 0 NS"}, "nothing"},
      {{"@ ANY 0 SOA"}, "nothing"},
      {{"@ NONE 0 NS ns", "@ NONE 0 NS ns2"}, "-example. 60 IN NS ns.example.\n"},
      {{"@ NONE 0 SOA ns h 10 2 3 4 30"}, "nothing"},
      {{"child ANY 0 NS"}, "-child.example. 60 IN NS ns.child.example.\n"},
      // A CNAME cannot coexist with other data.
      {{"w IN 60 CNAME ns"}, "nothing"},
      {{"alias IN 60 A 1.1.1.1"}, "nothing"},
      {{"alias IN 60 CNAME ns"},
       "-alias.example. 60 IN CNAME w.example.\n+alias.example. 60 IN CNAME ns.example.\n"},
      {{"w ANY 0 ANY", "w IN 60 CNAME ns"},
       "-w.example. 60 IN A 10.0.0.3\n-w.example. 60 IN A 10.0.0.4\n"
       "+w.example. 60 IN CNAME ns.example.\n"},
      // The steps apply in order; the change is the net result.
      {{"n IN 1 A 1.1.1.1", "n ANY 0 ANY"}, "nothing"},
      {{"w ANY 0 ANY", "w IN 60 A 10.0.0.3"}, "-w.example. 60 IN A 10.0.0.4\n"},
      {{"n IN 1 TYPE999 \\# 2 0102"}, "+n.example. 1 IN TYPE999 \\# 2 0102\n"},
      // Format errors.
      {{"n IN 1 ANY"}, "FORMERR"},
      {{"n IN 1 AXFR \\# 0"}, "FORMERR"},
      {{"n ANY 1 A"}, "FORMERR"},
      {{"n ANY 0 A 1.1.1.1"}, "FORMERR"},
      {{"n NONE 1 A 1.1.1.1"}, "FORMERR"},
      {{"n NONE 0 ANY"}, "FORMERR"},
      {{"n CH 0 A 1.1.1.1"}, "FORMERR"},
      {{"n.other. IN 1 A 1.1.1.1"}, "NOTZONE"},
      // An update with one invalid record changes nothing.
      {{"w ANY 0 ANY", "n.other. IN 1 A 1.1.1.1"}, "NOTZONE"},
  };
  for (const auto& [updates, expected] : cases) {
    CAPTURE(updates[0]);
    std::vector<Grant> all = {{kKey, Name(), {}, true, false}};
    CHECK(ChangeText(Outcome(zone, {{}, updates}, all)) == expected);
  }
}

TEST_CASE("the serial increases by itself or as the update sets it, also across the wraparound") {
  Zone zone = Sample();
  const auto serial_after = [&zone](const std::string& update) {
    const auto outcome = Outcome(zone, {{}, {update}});
    REQUIRE(outcome.change);
    return outcome.change->to();
  };
  CHECK(serial_after("n IN 1 A 1.1.1.1") == 11);
  CHECK(serial_after("@ IN 60 SOA ns h 500 2 3 4 30") == 500);
  CHECK(ChangeText(Outcome(zone, {{}, {"@ IN 60 SOA ns h 9 2 3 4 30"}})) == "nothing");
  Change last{{zone.Soa()}, {zone.Soa()}};
  last.added[0].rdata = WithSerial(last.added[0].rdata, 0x80000009);
  CHECK(zone.Apply(last));
  last.removed = last.added;
  last.added[0].rdata = WithSerial(last.added[0].rdata, 0xffffffff);
  CHECK(zone.Apply(last));
  CHECK(serial_after("n IN 1 A 1.1.1.1") == 1);
  CHECK(serial_after("@ IN 60 SOA ns h 7 2 3 4 30") == 7);
}

TEST_CASE("an update is refused entirely if the key lacks a permission for any part") {
  const Zone zone = Sample();
  const Grant addresses{kKey, Below("sub"), {type::kA}, true, false};
  const auto came = [&](std::vector<std::string> updates, std::vector<Grant> grants) {
    return ChangeText(Outcome(zone, {{}, std::move(updates)}, std::move(grants)));
  };
  CHECK(came({"a.sub IN 1 A 1.1.1.1"}, {addresses}) == "+a.sub.example. 1 IN A 1.1.1.1\n");
  CHECK(came({"sub IN 1 A 1.1.1.1"}, {addresses}) == "+sub.example. 1 IN A 1.1.1.1\n");
  CHECK(came({"a.sub IN 1 TXT x"}, {addresses}) == "REFUSED");
  CHECK(came({"a.sub ANY 0 ANY"}, {addresses}) == "REFUSED");
  CHECK(came({"asub IN 1 A 1.1.1.1"}, {addresses}) == "REFUSED");
  CHECK(came({"a.sub IN 1 A 1.1.1.1", "w ANY 0 A"}, {addresses}) == "REFUSED");
  Grant other = addresses;
  other.key = Name::FromLiteral("other.");
  CHECK(came({"a.sub IN 1 A 1.1.1.1"}, {other}) == "REFUSED");
  other = addresses;
  other.update = false;
  other.transfer = true;
  CHECK(came({"a.sub IN 1 A 1.1.1.1"}, {other}) == "REFUSED");
  CHECK(MayTransfer({other}, Below("sub"), kKey));
  CHECK_FALSE(MayTransfer({other}, kOrigin, kKey));
  CHECK_FALSE(MayTransfer({other}, Below("sub"), std::nullopt));
  Message update;
  update.opcode = Opcode::kUpdate;
  update.question = {{kOrigin, type::kSoa, klass::kIn}};
  update.authority = {Line("n IN 1 A 1.1.1.1")};
  CHECK(EvaluateUpdate(zone, update, std::nullopt, {addresses}).rcode == Rcode::kRefused);
  update.question[0].name = Name::FromLiteral("other.");
  CHECK(EvaluateUpdate(zone, update, kKey, {addresses}).rcode == Rcode::kNotAuth);
  update.question[0].type = type::kA;
  CHECK(EvaluateUpdate(zone, update, kKey, {addresses}).rcode == Rcode::kFormErr);
  update.question.clear();
  CHECK(EvaluateUpdate(zone, update, kKey, {addresses}).rcode == Rcode::kFormErr);
}

std::string Text(const Zone& zone) {
  std::string out;
  WriteZone(zone, [&out](std::string_view part) { out += part; });
  return out;
}

TEST_CASE("RRsets are in canonical order regardless of insertion order, without duplicates") {
  Zone zone(kOrigin);
  for (const char* host : {"c", "B", "a", "b", "C", "d"}) {
    zone.Add({kOrigin, type::kNs, klass::kIn, 1, Below(host).wire()});
  }
  std::string order;
  for (const auto& rdata : zone.Find(kOrigin, type::kNs)->rdatas) order += rdata[1];
  CHECK(order == "aBcd");
  CHECK(zone.Remove({kOrigin, type::kNs, klass::kIn, 1, Below("BC").wire()}) == false);
  CHECK(zone.Remove({kOrigin, type::kNs, klass::kIn, 1, Below("b").wire()}));
  CHECK(zone.records() == 3);
}

TEST_CASE("random updates: the stored changes lead from any stored serial to the current zone") {
  std::mt19937 random(7);
  Zone zone = Sample();
  std::vector<Zone> past = {zone};
  for (int n = 0; n < 200; ++n) {
    std::vector<std::string> updates;
    for (unsigned k = 0; k <= random() % 4; ++k) {
      const std::string name = "r" + std::to_string(random() % 6);
      const std::string rdata = " A 10.9.0." + std::to_string(random() % 4);
      const unsigned dice = random() % 4;
      updates.push_back(dice == 0   ? name + " ANY 0 ANY"
                        : dice == 1 ? name + " NONE 0" + rdata
                                    : name + " IN " + std::to_string(60 + random() % 2) + rdata);
    }
    const auto outcome = Outcome(zone, {{}, updates});
    if (!outcome.change) continue;
    REQUIRE(zone.Apply(*outcome.change));
    past.push_back(zone);
  }
  REQUIRE(past.size() > 100);
  for (std::size_t n = 0; n < past.size(); n += 7) {
    Zone from = past[n];
    const auto changes = zone.ChangesSince(from.serial());
    REQUIRE(changes);
    for (const Change* change : *changes) REQUIRE(from.Apply(*change));
    CHECK(from.serial() == zone.serial());
    CHECK(Difference(from, zone).removed.size() == 1);
    CHECK(Difference(from, zone).added.size() == 1);
    CHECK(from.records() == zone.records());
    Zone at_once = past[n];
    const Change whole = Difference(past[n], zone);
    if (n + 1 < past.size()) REQUIRE(at_once.Apply(whole));
    CHECK(Difference(at_once, zone).added.size() == 1);
  }
  CHECK_FALSE(zone.ChangesSince(4711));
  Change wrong{{zone.Soa(), Line("never IN 1 A 1.1.1.1")}, {zone.Soa()}};
  const std::string before = Text(zone);
  CHECK_FALSE(zone.Apply(wrong));
  CHECK(Text(zone) == before);
  zone.LimitChangeRecords(3);
  const auto small = Outcome(zone, {{}, {"z IN 1 A 1.1.1.1"}});
  REQUIRE(zone.Apply(*small.change));
  CHECK(zone.ChangesSince(small.change->from()));
  CHECK_FALSE(zone.ChangesSince(past[past.size() - 2].serial()));
}

}  // namespace
}  // namespace brassfront::dns
