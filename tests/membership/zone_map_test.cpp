// Tests of the mapping of DNS records to endpoints: the mapping itself, faults, and incremental
// changes.
#include "membership/zone_map.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>

#include "dns/update.hpp"
#include "dns/zone_file.hpp"

namespace brassfront::membership {
namespace {

using dns::Name;
using dns::Zone;

const Name kOrigin = Name::FromLiteral("pay.example.");
constexpr const char* kTop = "$TTL 60\n@ SOA ns h 1 2 3 4 5\n@ NS ns\n";

Zone Read(const std::string& text) {
  return dns::ReadZone({"zone", kTop + text, "zone"}, kOrigin,
                       [](const dns::ZoneText&, const std::string&, std::string&) {
                         return std::optional<dns::ZoneText>();
                       });
}

std::string Text(const std::vector<ZoneMap::Service>& services) {
  std::string out;
  for (const auto& service : services) {
    out += service.name + ":\n";
    std::vector<std::string> lines;
    for (const Member& member : service.members) {
      std::string weight = std::to_string(member.weight);
      weight.resize(weight.find('.') + 2);
      lines.push_back("  " + member.address + " d" + std::to_string(member.destination) + " " +
                      member.kind + " " + member.zone + " " + weight +
                      (member.phase == Phase::kReady ? "" : " drains") + "\n");
    }
    std::sort(lines.begin(), lines.end());
    for (const auto& line : lines) out += line;
    for (const auto& fault : service.faults) out += "  ! " + fault + "\n";
  }
  return out;
}

std::string Mapped(const std::string& text) {
  ZoneMap map({"small-shop", "north"});
  return Text(map.Replace(Read(text)));
}

TEST_CASE("SRV, TXT and A records are mapped to endpoints") {
  CHECK(Mapped("_e._tcp.p1 SRV 10 5 8080 h1\n SRV 10 0 8081 h2\n"
               " TXT \"destination=17 kind=big-retail\" \"zone=south\"\n"
               "h1 A 10.0.0.1\nh1 A 10.0.0.2\nh2 A 10.0.0.3\nh2 TXT zone=east phase=drain\n"
               "h1 AAAA ::1\n") ==
        "_e._tcp.p1.pay.example:\n"
        "  10.0.0.1:8080 d17 big-retail south 5.0\n"
        "  10.0.0.2:8080 d17 big-retail south 5.0\n"
        "  10.0.0.3:8081 d17 big-retail east 0.1 drains\n");
  CHECK(Mapped("s SRV 0 1 1 a\ns TXT DESTINATION=1\na CNAME b\nb CNAME c\nc A 10.0.0.1\n") ==
        "s.pay.example:\n  10.0.0.1:1 d1 small-shop north 1.0\n");
  CHECK(Mapped("s SRV 0 1 1 a\ns TXT destination=1 phase=drain\na A 10.0.0.1\n") ==
        "s.pay.example:\n  10.0.0.1:1 d1 small-shop north 1.0 drains\n");
  CHECK(Mapped("s SRV 0 0 0 .\ns TXT destination=1\n") == "s.pay.example:\n");
}

TEST_CASE("the lowest priority with a ready endpoint is used; draining endpoints are listed") {
  const std::string top = "s TXT destination=1\ns SRV 1 1 1 a\ns SRV 2 1 1 b\ns SRV 3 1 1 c\n";
  CHECK(Mapped(top + "a A 10.0.0.1\nb A 10.0.0.2\nc A 10.0.0.3\n") ==
        "s.pay.example:\n  10.0.0.1:1 d1 small-shop north 1.0\n");
  CHECK(Mapped(top + "a A 10.0.0.1\na TXT phase=drain\nb A 10.0.0.2\nc A 10.0.0.3\n") ==
        "s.pay.example:\n  10.0.0.1:1 d1 small-shop north 1.0 drains\n"
        "  10.0.0.2:1 d1 small-shop north 1.0\n");
}

TEST_CASE("records that cannot be used are reported and do not affect other services") {
  const std::pair<std::string, std::string> bad[] = {
      {"s SRV 0 1 1 a\na A 10.0.0.1\n", "no TXT record with destination=NUMBER beside its SRV"},
      {"s SRV 0 1 1 a\ns TXT destination=x\na A 10.0.0.1\n", "destination=NUMBER"},
      {"s SRV 0 1 1 a\ns TXT destination=1\n", "a.pay.example has no A record"},
      {"s SRV 0 1 0 a\ns TXT destination=1\na A 10.0.0.1\n", "port 0"},
      {"s SRV 0 1 1 a\ns TXT destination=1\na CNAME b\nb CNAME a\n", "an alias without an end"},
      {"s SRV 0 1 1 a.other.\ns TXT destination=1\n", "leads out of the zone to a.other."},
      {"s SRV 0 1 1 a\ns TXT destination=1 phase=maybe\na A 10.0.0.1\n",
       "phase=maybe is neither ready nor drain"},
      {"s SRV 0 1 1 a\ns TXT destination=1\ns TXT destination=2\na A 10.0.0.1\n",
       "destination is said in two ways"},
  };
  for (const auto& [text, fault] : bad) {
    CAPTURE(text);
    const std::string mapped =
        Mapped(text + "t SRV 0 1 1 good\nt TXT destination=2\ngood A 10.0.0.9\n");
    CHECK(mapped.find(fault) != std::string::npos);
    CHECK(mapped.find("  10.0.0.9:1 d2 ") != std::string::npos);
  }
}

TEST_CASE("a change maps only the affected services, with the same result as a complete mapping") {
  std::string text;
  for (int n = 0; n < 12; ++n) {
    const std::string name = "s" + std::to_string(n);
    text += name + " SRV 0 1 80 h" + std::to_string(n % 5) + "\n" + name +
            " TXT destination=" + std::to_string(n) + "\n";
  }
  for (int n = 0; n < 4; ++n) {
    text += "h" + std::to_string(n) + " A 10.0.0." + std::to_string(n) + "\n";
  }
  text += "h4 CNAME h1\n";
  Zone zone = Read(text);
  ZoneMap map({"k", "z"});
  std::map<std::string, std::string> now;
  for (const auto& service : map.Replace(zone)) now[service.name] = Text({service});
  CHECK(map.services() == 12);
  const Name key = Name::FromLiteral("k.");
  const std::vector<dns::Grant> grants = {{key, kOrigin, {}, true, false}};
  std::mt19937 random(3);
  std::size_t mapped_services = 0;
  for (int step = 0; step < 300; ++step) {
    dns::Message update;
    update.question = {{kOrigin, dns::type::kSoa, dns::klass::kIn}};
    const auto number = std::to_string(random() % 5);
    std::string why;
    const auto host = *Name::FromText("h" + number, kOrigin, why);
    const auto service = *Name::FromText("s" + std::to_string(random() % 12), kOrigin, why);
    const std::string address = {10, 0, 1, static_cast<char>(random() % 4)};
    switch (random() % 5) {
      case 0:
        update.authority = {{host, dns::type::kAny, dns::klass::kAny, 0, ""}};
        break;
      case 1:
        update.authority = {{host, dns::type::kA, dns::klass::kIn, 60, address}};
        break;
      case 2:
        update.authority = {{service, dns::type::kTxt, dns::klass::kAny, 0, ""},
                            {service, dns::type::kTxt, dns::klass::kIn, 60,
                             random() % 2 == 0 ? "\x0d"
                                                 "destination=3"
                                               : "\x0d"
                                                 "destination=4"}};
        break;
      case 3:
        update.authority = {{service, dns::type::kSrv, dns::klass::kAny, 0, ""}};
        break;
      default:
        update.authority = {{service, dns::type::kSrv, dns::klass::kIn, 60,
                             std::string("\0\1\0\1\0\7", 6) + host.wire()}};
    }
    const auto outcome = EvaluateUpdate(zone, update, key, grants);
    REQUIRE(outcome.rcode == dns::Rcode::kNoError);
    if (!outcome.change) continue;
    REQUIRE(zone.Apply(*outcome.change));
    for (const auto& changed : map.Apply(zone, *outcome.change)) {
      ++mapped_services;
      now[changed.name] = Text({changed});
      if (changed.members.empty() && changed.faults.empty()) now.erase(changed.name);
    }
    ZoneMap scratch({"k", "z"});
    std::map<std::string, std::string> fresh;
    for (const auto& changed : scratch.Replace(zone)) {
      if (!changed.members.empty() || !changed.faults.empty()) {
        fresh[changed.name] = Text({changed});
      }
    }
    REQUIRE(now == fresh);
    REQUIRE(map.services() == scratch.services());
  }
  CHECK(mapped_services < 300 * 6);
  for (const auto& gone : map.Replace(Read(""))) CHECK(gone.members.empty());
  CHECK(map.services() == 0);
}

}  // namespace
}  // namespace brassfront::membership
