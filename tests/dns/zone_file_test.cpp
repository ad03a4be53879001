// Tests zone files: valid forms, positions of errors, includes, and garbage.
#include "dns/zone_file.hpp"

#include <doctest/doctest.h>

#include <map>
#include <string>

#include "../network/cuts.hpp"

namespace brassfront::dns {
namespace {

const Name kZone = Name::FromLiteral("example.");
constexpr const char* kTop = "$TTL 1h\n@ SOA ns h 1 2 3 4 5\n@ NS ns\n";

// Files available for $INCLUDE, by name.
std::map<std::string, std::string> files;

std::optional<ZoneText> Include(const ZoneText&, const std::string& named, std::string& why) {
  const auto found = files.find(named);
  if (found != files.end()) return ZoneText{named, found->second, named};
  why = named + " is not there";
  return std::nullopt;
}

Zone Read(const std::string& text) { return ReadZone({"zone", text, "zone"}, kZone, Include); }

std::string Faults(const std::string& text) {
  try {
    Read(text);
  } catch (const InvalidZone& bad) {
    return bad.what();
  }
  return "";
}

std::string Written(const Zone& zone) {
  std::string out;
  WriteZone(zone, [&out](std::string_view part) { out += part; });
  return out;
}

TEST_CASE("the zone file syntax of RFC 1035") {
  const Zone zone = Read(
      "; a comment\n"
      "$ORIGIN example.\n"
      "$TTL 3600\n"
      "@\tIN SOA ns1 host\\.master (\n"
      "   2026120101 ; serial\n"
      "   1h 15m\n"
      "   2w 300 )\n"
      "\tNS ns1\n"
      "\tNS ns2.elsewhere.\n"
      "ns1 60 IN A 192.0.2.1\n"
      "    IN 120 AAAA 2001:db8::1 ; the owner is the last one\n"
      "\n"
      "text TXT ( \"semi ; colon\" plain \"par(en)\" )\n"
      "$ORIGIN sub\n"
      "a A 192.0.2.2\n"
      "@ A 192.0.2.3\r\n"
      "$ORIGIN example.\n"
      "alias CNAME ns1\n"
      "odd\\.label A 192.0.2.4\n"
      "unknown TYPE777 \\# 2 beef\n"
      "unknown CLASS1 TYPE1 \\# 4 C0000205");
  CHECK(Written(zone) ==
        "example. 3600 IN SOA ns1.example. host\\.master.example. 2026120101 3600 900 1209600 300\n"
        "example. 3600 IN NS ns1.example.\n"
        "example. 3600 IN NS ns2.elsewhere.\n"
        "alias.example. 3600 IN CNAME ns1.example.\n"
        "ns1.example. 60 IN A 192.0.2.1\n"
        "ns1.example. 120 IN AAAA 2001:db8::1\n"
        "odd\\.label.example. 3600 IN A 192.0.2.4\n"
        "sub.example. 3600 IN A 192.0.2.3\n"
        "a.sub.example. 3600 IN A 192.0.2.2\n"
        "text.example. 3600 IN TXT \"semi ; colon\" \"plain\" \"par(en)\"\n"
        "unknown.example. 3600 IN A 192.0.2.5\n"
        "unknown.example. 3600 IN TYPE777 \\# 2 beef\n");
  CHECK(Written(Read(Written(zone))) == Written(zone));
  CHECK(zone.records() == 12);
}

TEST_CASE(
    "the TTL comes from $TTL, the previous record or the SOA; an RRset has the smallest one") {
  CHECK(Written(Read("@ SOA ns h 1 2 3 4 77\n NS ns\n")).find("example. 77 IN NS") !=
        std::string::npos);
  CHECK(Written(Read("@ 9 SOA ns h 1 2 3 4 77\n NS ns\n")).find("example. 9 IN NS") !=
        std::string::npos);
  const Zone zone = Read(std::string(kTop) + "a 50 A 1.1.1.1\na 20 A 1.1.1.2\na 30 A 1.1.1.3\n");
  CHECK(zone.Find(Name::FromLiteral("a.example."), type::kA)->ttl == 20);
}

TEST_CASE("$GENERATE: ranges, steps, offsets, widths and bases") {
  const Zone zone = Read(std::string(kTop) +
                         "$GENERATE 1-3 h$ A 10.0.0.$\n"
                         "$GENERATE 0-20/10 w${1,3,x} 60 IN A 10.0.1.${5}\n"
                         "$GENERATE 10-10 n${0,5,n} PTR \\$x${0,0,X}.\n");
  for (const char* name : {"h1", "h2", "h3", "w001", "w00b", "w015"}) {
    CAPTURE(name);
    CHECK(zone.Find(*Name::FromText(name, kZone, files[""]), type::kA) != nullptr);
  }
  const auto* nibbles = zone.Find(Name::FromLiteral("na.0.0.example."), type::kPtr);
  REQUIRE(nibbles != nullptr);
  CHECK(RdataText(type::kPtr, nibbles->rdatas[0]) == "\\$xA.");
  const std::string top = kTop;
  CHECK(Faults(top + "$GENERATE 3-1 a$ A 1.1.1.1\n") ==
        "zone:4:11: expected a range such as 1-100 or 0-254/2");
  CHECK(Faults(top + "$GENERATE 1-9/0 a$ A 1.1.1.1\n") != "");
  CHECK(Faults(top + "$GENERATE 0-4000000000 a$ A 1.1.1.1\n") ==
        "zone:4:11: more than a million records from one $GENERATE");
  CHECK(Faults(top + "$GENERATE 1-2 a${x} A 1.1.1.1\n") ==
        "zone:4:15: expected $ or ${offset,width,base}");
  CHECK(Faults(top + "$GENERATE 1-2 a${-5} A 1.1.1.1\n") != "");
  CHECK(Faults(top + "$GENERATE 250-260 a$ A 1.1.1.$\n") ==
        "zone:4:24: A: '1.1.1.256' is no IPv4 address");
}

TEST_CASE("errors have file, line and column, and all are reported") {
  const std::string top = kTop;
  const std::pair<std::string, std::string> bad[] = {
      {"a A 1.2.3\n", "zone:4:5: A: '1.2.3' is no IPv4 address"},
      {"a A\n", "zone:4:1: A: a field is missing"},
      {"a A 1.2.3.4 5\n", "zone:4:13: A: '5' is more than A holds"},
      {"a FOO 1\n", "zone:4:3: 'FOO' is no type of a record in a zone"},
      {"a AXFR 1\n", "zone:4:3: 'AXFR' is no type of a record in a zone"},
      {"a CH A 1.2.3.4\n", "zone:4:3: class CH: zones of class IN alone are read"},
      {"a 99999999999 A 1.2.3.4\n", "zone:4:3: '99999999999' is no time from 0 to 2147483647 s"},
      {"a 60 IN\n", "zone:4:1: a record without a type"},
      {"a..b A 1.2.3.4\n", "zone:4:1: a name has an empty label"},
      {"a.other. A 1.2.3.4\n", "zone:4:1: a.other. is outside the zone example."},
      {"b SOA ns h 1 2 3 4 5\n", "zone:4:1: a SOA at b.example., not at the zone's top"},
      {"$FOO bar\n", "zone:4:1: '$FOO' is no directive"},
      {"$ORIGIN\n", "zone:4:1: $ORIGIN has too few or too many arguments"},
      {"$ORIGIN a..\n", "zone:4:9: a name has an empty label"},
      {"$TTL never\n", "zone:4:6: 'never' is no time"},
      {"$INCLUDE gone\n", "zone:4:10: gone is not there"},
      {"a TXT \"open\n", "zone:4:12: expected the closing quote on this line"},
      {"a A ( 1.2.3.4\n", "zone:5:1: expected ) to end what ( began; no ( may be inside"},
      {"a A ( ( 1.2.3.4 ) )\n", "zone:4:7: expected ) to end what ( began; no ( may be inside"},
      {"a A 1.2.3.4 )\n",
       "zone:4:13: expected the line's end: a ) without (, or \\ before nothing?"},
      {"a A 1.2.3.4 \\\n",
       "zone:4:13: expected the line's end: a ) without (, or \\ before nothing?"},
      {"a CNAME b\na A 1.2.3.4\n", "zone: CNAME beside other data at a.example."},
      {"a CNAME b\na CNAME c\n", "zone: more than one CNAME at a.example."},
      {"@ SOA ns h 2 2 3 4 5\n", "zone: more than one SOA"},
      {"a A 1\nb A 2\n",
       "zone:4:5: A: '1' is no IPv4 address\nzone:5:5: A: '2' is no IPv4 address"},
  };
  for (const auto& [text, fault] : bad) {
    CAPTURE(text);
    CHECK(Faults(top + text) == fault);
  }
  CHECK(Faults("") == "zone: no SOA at example.\nzone: no NS at example.");
  CHECK(Faults(" A 1.2.3.4\n").starts_with("zone:1:2: a record without a name"));
  CHECK(Faults("a A 1.2.3.4\n").starts_with("zone:1:1: no TTL"));
  std::string many = top;
  for (int n = 0; n < 50; ++n) many += "a A x\n";
  const std::string faults = Faults(many);
  CHECK(static_cast<std::size_t>(std::count(faults.begin(), faults.end(), '\n')) + 1 ==
        InvalidZone::kMaxFaults);
}

TEST_CASE("includes restore origin and owner, loops and depth are limited, errors name the file") {
  files = {{"part", "a A 1.1.1.1\n"},
           {"loop", "$INCLUDE loop\n"},
           {"round", "$INCLUDE trip\n"},
           {"trip", "$INCLUDE round\n"},
           {"bad", "\nx A y\n"}};
  const Zone zone = Read(std::string(kTop) +
                         "own A 1.1.1.0\n$INCLUDE part sub\n A 1.1.1.9\n"
                         "$INCLUDE part\n");
  CHECK(zone.Find(Name::FromLiteral("a.sub.example."), type::kA) != nullptr);
  CHECK(zone.Find(Name::FromLiteral("a.example."), type::kA) != nullptr);
  CHECK(zone.Find(Name::FromLiteral("own.example."), type::kA)->rdatas.size() == 2);
  const std::string top = kTop;
  CHECK(Faults(top + "$INCLUDE loop\n") == "loop:1:10: loop includes itself");
  CHECK(Faults(top + "$INCLUDE round\n") == "trip:1:10: round includes itself");
  CHECK(Faults(top + "$INCLUDE zone\n") != "");
  CHECK(Faults(top + "$INCLUDE bad\n") == "bad:2:5: A: 'y' is no IPv4 address");
  for (int n = 0; n < 30; ++n) {
    files["deep" + std::to_string(n)] = "$INCLUDE deep" + std::to_string(n + 1) + "\n";
  }
  CHECK(Faults(top + "$INCLUDE deep0\n").find("more than 16 files") != std::string::npos);
}

TEST_CASE("garbage is refused with a position or parsed, and parsed zones round trip") {
  const std::string good = std::string(kTop) +
                           "a 60 IN A 192.0.2.1\nb ( TXT \"x y\" ; c\n z )\n$ORIGIN s\n"
                           "c SRV 1 2 3 d\n$GENERATE 1-3 g$ A 10.0.0.$\nw HTTPS 1 . alpn=h2\n";
  int read = 0;
  for (std::uint32_t seed = 0; seed < 10 * testing::kRounds; ++seed) {
    const std::string text = testing::Garbage(good, seed);
    try {
      const Zone zone = Read(text);
      ++read;
      REQUIRE(Written(Read(Written(zone))) == Written(zone));
    } catch (const InvalidZone& bad) {
      REQUIRE(!bad.faults().empty());
      REQUIRE(bad.faults()[0].why != "");
    }
  }
  CHECK(read > 0);
}

}  // namespace
}  // namespace brassfront::dns
