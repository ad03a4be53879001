// Tests names, RDATA and messages: round trips, refused input, and garbage.
#include <doctest/doctest.h>

#include <random>
#include <string>

#include "../network/cuts.hpp"
#include "dns/message.hpp"
#include "dns/serial.hpp"
#include "dns_fixtures.hpp"

namespace brassfront::dns {
namespace {

std::string NameFault(const std::string& text) {
  std::string why;
  return Name::FromText(text, Name::FromLiteral("example."), why) ? "" : why;
}

TEST_CASE("names: text, origin, escapes and limits") {
  const Name origin = Name::FromLiteral("Example.");
  std::string why;
  CHECK(Name::FromText("a.b", origin, why)->ToText() == "a.b.Example.");
  CHECK(Name::FromText("@", origin, why)->ToText() == "Example.");
  CHECK(Name::FromText("a.b.", origin, why)->ToText() == "a.b.");
  CHECK(Name::FromText(".", origin, why)->IsRoot());
  CHECK(Name::FromText("a\\.b", origin, why)->Labels()[0] == "a.b");
  CHECK(Name::FromText("a\\.b", origin, why)->ToText() == "a\\.b.Example.");
  CHECK(Name::FromText("\\000\\255\\097", origin, why)->ToText() == "\\000\\255a.Example.");
  CHECK(NameFault("") == "a name is empty");
  CHECK(NameFault("a..b") == "a name has an empty label");
  CHECK(NameFault(".a") == "a name has an empty label");
  CHECK(NameFault("a\\256") != "");
  CHECK(NameFault("a\\25") != "");
  CHECK(NameFault("a\\") != "");
  CHECK(NameFault(std::string(63, 'a')) == "");
  CHECK(NameFault(std::string(64, 'a')) == "a label is longer than 63 bytes");
  std::string longest;
  for (int n = 0; n < 3; ++n) longest += std::string(63, 'a') + ".";
  CHECK(NameFault(longest + std::string(61, 'a') + ".") == "");  // 255 bytes with the root label
  CHECK(NameFault(longest + std::string(62, 'a') + ".") == "a name is longer than 255 bytes");
}

TEST_CASE("names: case, order and position in the tree") {
  CHECK(Name::FromLiteral("WWW.Example.") == Name::FromLiteral("www.example."));
  CHECK(Name::FromLiteral("a.example.").Key() == Name::FromLiteral("A.EXAMPLE.").Key());
  CHECK_FALSE(Name::FromLiteral("a.") == Name::FromLiteral("b."));
  // The example of RFC 4034 §6.1.
  const char* sorted[] = {"example.",         "a.example.",      "yljkjljk.a.example.",
                          "Z.a.example.",     "zABC.a.EXAMPLE.", "z.example.",
                          "\\001.z.example.", "*.z.example.",    "\\200.z.example."};
  for (std::size_t n = 1; n < std::size(sorted); ++n) {
    CHECK(Name::FromLiteral(sorted[n - 1]).Key() < Name::FromLiteral(sorted[n]).Key());
  }
  CHECK(Name::FromLiteral("\\000.z.").Key() < Name::FromLiteral("\\000\\000.z.").Key());
  CHECK(Name::FromLiteral("\\001.z.").Key() < Name::FromLiteral("\\002.z.").Key());
  CHECK(Name::FromLiteral("x.a.example.").Key().starts_with(Name::FromLiteral("a.example.").Key()));
  CHECK_FALSE(
      Name::FromLiteral("ba.example.").Key().starts_with(Name::FromLiteral("a.example.").Key()));
  CHECK(Name::FromLiteral("x.a.example.").IsAtOrBelow(Name::FromLiteral("A.example.")));
  CHECK_FALSE(Name::FromLiteral("xa.example.").IsAtOrBelow(Name::FromLiteral("a.example.")));
  CHECK(Name::FromLiteral("x.").IsAtOrBelow(Name()));
  CHECK(Name::FromLiteral("a.b.").Parent() == Name::FromLiteral("b."));
}

TEST_CASE("serials wrap around") {
  CHECK(IsNewer(1, 0));
  CHECK_FALSE(IsNewer(0, 1));
  CHECK_FALSE(IsNewer(7, 7));
  CHECK(IsNewer(0, 0xffffffff));
  CHECK(IsNewer(5, 0xfffffff0));
  CHECK_FALSE(IsNewer(0x80000000, 0));  // exactly 2^31 apart: undefined, so neither is newer
  CHECK_FALSE(IsNewer(0, 0x80000000));
  CHECK(IsNewer(0x7fffffff, 0));
  CHECK(NextSerial(0xffffffff) == 1);
  CHECK(NextSerial(0) == 1);
}

struct Sample {
  const char* type;
  const char* text;
  const char* printed;  // null if equal to the input
};

constexpr Sample kSamples[] = {
    {"A", "192.0.2.1", nullptr},
    {"AAAA", "2001:DB8:0:0::1", "2001:db8::1"},
    {"NS", "ns.example.", nullptr},
    {"CNAME", "\\@.Example.", nullptr},
    {"PTR", ".", nullptr},
    {"SOA", "ns.example. h\\.m.example. 4294967295 1h 15M 2w 0",
     "ns.example. h\\.m.example. 4294967295 3600 900 1209600 0"},
    {"MX", "65535 mx.example.", nullptr},
    {"TXT", "plain \"in \\\"quotes\\\"; (so)\" \"\" \\007",
     "\"plain\" \"in \\\"quotes\\\"; (so)\" \"\" \"\\007\""},
    {"SRV", "1 2 65535 host.example.", nullptr},
    {"SVCB", "0 alias.example.", nullptr},
    {"HTTPS", "1 . alpn=h2,h3 port=8443 ipv4hint=192.0.2.1,192.0.2.2 ech=AQIDBA==",
     "1 . alpn=\"h2,h3\" port=8443 ipv4hint=192.0.2.1,192.0.2.2 ech=AQIDBA=="},
    {"SVCB", "16 f.example. key667=hello\\210qoo mandatory=port port=53 no-default-alpn alpn=x",
     "16 f.example. mandatory=port alpn=\"x\" no-default-alpn port=53 key667=\"hello\\210qoo\""},
    {"SVCB", "1 f. alpn=\"f\\\\\\\\oo\\\\,bar,h2\" ipv6hint=2001:db8::1",
     "1 f. alpn=\"f\\\\\\\\oo\\\\,bar,h2\" ipv6hint=2001:db8::1"},
    {"TYPE731", "\\# 6 abcd ef 01 23 45", "\\# 6 abcdef012345"},
    {"TYPE62347", "\\# 0", nullptr},
    {"A", "\\# 4 0A000001", "10.0.0.1"},
};

TEST_CASE("RDATA round trips through text and wire format") {
  for (const Sample& sample : kSamples) {
    CAPTURE(sample.text);
    const auto type = *TypeFromText(sample.type);
    std::string why;
    std::size_t at = 0;
    const auto tokens = testing::Tokens(sample.text);
    const auto rdata = RdataFromText(type, tokens, Name(), why, at);
    REQUIRE_MESSAGE(rdata, why);
    CHECK(IsRdata(type, *rdata));
    const std::string printed = RdataText(type, *rdata);
    CHECK(printed == (sample.printed != nullptr ? sample.printed : sample.text));
    const auto again = RdataFromText(type, testing::Tokens(printed), Name(), why, at);
    REQUIRE_MESSAGE(again, why);
    CHECK(*again == *rdata);
    Message message;
    message.answer = {{Name::FromLiteral("x.example."), type, klass::kIn, 5, *rdata},
                      {Name::FromLiteral("x.example."), type, klass::kIn, 5, *rdata}};
    const Decoded decoded = Decode(Encode(message));
    REQUIRE_MESSAGE(decoded.message, decoded.why);
    CHECK(decoded.message->answer[1].rdata == *rdata);
  }
}

TEST_CASE("invalid RDATA is refused with a reason") {
  const std::pair<const char*, const char*> bad[] = {
      {"A", ""},
      {"A", "1.2.3"},
      {"A", "1.2.3.4 5"},
      {"AAAA", "1.2.3.4"},
      {"MX", "65536 a."},
      {"MX", "-1 a."},
      {"MX", "1"},
      {"SOA", "a. b. 4294967296 1 1 1 1"},
      {"SOA", "a. b. 1 1 1 1"},
      {"SOA", "a. b. 1 1x 1 1 1"},
      {"SRV", "1 2 3 a..b"},
      {"TXT", ""},
      {"TXT", "\\300"},
      {"SVCB", "1 a. port=65536"},
      {"SVCB", "1 a. port=1 port=2"},
      {"SVCB", "1 a. mandatory=port"},
      {"SVCB", "1 a. mandatory=mandatory"},
      {"SVCB", "1 a. no-default-alpn"},
      {"SVCB", "1 a. ipv4hint=1.2.3"},
      {"SVCB", "1 a. ech=AQID*"},
      {"SVCB", "1 a. what=ever"},
      {"SVCB", "1 a. key65535=x"},
      {"SVCB", "1 a. alpn="},
      {"TYPE731", "abcd"},
      {"TYPE731", "\\# 3 abcd"},
      {"TYPE731", "\\# 2 abcg"},
      {"TYPE731", "\\# x"},
      {"A", "\\# 3 010203"},
  };
  for (const auto& [type, text] : bad) {
    CAPTURE(type);
    CAPTURE(text);
    std::string why;
    std::size_t at = 0;
    CHECK_FALSE(RdataFromText(*TypeFromText(type), testing::Tokens(text), Name(), why, at));
    CHECK(why != "");
  }
  std::string why;
  std::size_t at = 0;
  CHECK_FALSE(RdataFromText(type::kTxt, testing::Tokens(std::string(256, 'x')), Name(), why, at));
}

Message Rich() {
  Message message;
  message.id = 4711;
  message.response = message.authoritative = true;
  message.question = {{Name::FromLiteral("www.example."), type::kA, klass::kIn}};
  for (int n = 0; n < 40; ++n) {
    message.answer.push_back({Name::FromLiteral("www.example."), type::kA, klass::kIn, 60,
                              std::string("\x0a\0\0", 3) + char(n)});
  }
  message.authority = {{Name::FromLiteral("example."), type::kNs, klass::kIn, 60,
                        Name::FromLiteral("ns.www.example.").wire()}};
  message.additional = {
      {Name::FromLiteral("ns.www.example."), type::kTxt, klass::kIn, 60, "\x01x"}};
  message.edns = Edns{1400, 0, true, {}};
  return message;
}

TEST_CASE("messages round trip, are compressed, and are truncated to the limit with TC") {
  const Message rich = Rich();
  const std::string bytes = Encode(rich);
  CHECK(bytes.size() < 12 + 17 + 40 * 16 + 60);  // each name after the first takes two bytes
  const Decoded decoded = Decode(bytes);
  REQUIRE(decoded.message);
  CHECK(Encode(*decoded.message) == bytes);
  CHECK(decoded.message->edns->udp_bytes == 1400);
  CHECK(decoded.message->edns->dnssec_ok);
  CHECK_FALSE(decoded.message->truncated);
  const std::string cut = Encode(rich, 512);
  CHECK(cut.size() <= 512);
  const Decoded less = Decode(cut);
  REQUIRE(less.message);
  CHECK(less.message->truncated);
  CHECK(less.message->answer.size() < 40);
  CHECK(less.message->answer.size() > 20);
  CHECK(less.message->edns);
  // Leaving out records of the additional section alone does not set TC (RFC 2181 §9).
  const Decoded most = Decode(Encode(rich, bytes.size() - 1));
  REQUIRE(most.message);
  CHECK_FALSE(most.message->truncated);
  CHECK(most.message->additional.empty());
  CHECK(most.message->answer.size() == 40);
}

std::string Header(int questions, int answers) {
  std::string out;
  for (const int value : {9, 0, questions, answers, 0, 0}) Put16(out, static_cast<unsigned>(value));
  return out;
}

TEST_CASE(
    "compression pointers that loop, point forward or point outside the message are refused") {
  const auto refused = [](const std::string& bytes) {
    const Decoded decoded = Decode(bytes);
    CHECK_FALSE(decoded.message);
    REQUIRE(decoded.refusal);
    CHECK(decoded.refusal->rcode == Rcode::kFormErr);
    CHECK(decoded.refusal->id == 9);
    return decoded.why;
  };
  const std::string type_and_class("\0\1\0\1", 4);
  CHECK(refused(Header(1, 0) + "\xc0\x0c" + type_and_class).find("points") != std::string::npos);
  CHECK(refused(Header(1, 0) + "\xc0\x20" + type_and_class).find("points") != std::string::npos);
  CHECK(refused(Header(1, 0) + "\1a\xc0\x0c" + type_and_class).find("points") != std::string::npos);
  CHECK(refused(Header(1, 0) + "\xc0\x0b" + type_and_class) == "a name points into the header");
  CHECK(refused(Header(1, 0) + "\x40" + "a" + type_and_class) != "");
  CHECK(refused(Header(1, 0) + "\1a") != "");
  CHECK(refused(Header(2, 0) + std::string("\1a\0", 3) + type_and_class) != "");
  CHECK(refused(Header(1, 0) + std::string("\1a\0", 3) + type_and_class + "x") ==
        "bytes follow the last record");
  // A pointer may lead to another one as long as each points back.
  std::string chain = Header(2, 0) + std::string("\1a\0", 3) + type_and_class;
  chain += std::string("\1b\xc0\x0c", 4) + type_and_class;
  const Decoded decoded = Decode(chain);
  REQUIRE(decoded.message);
  CHECK(decoded.message->question[1].name == Name::FromLiteral("b.a."));
  // A name that exceeds 255 bytes through pointers.
  std::string grown = Header(6, 0);
  std::size_t last = grown.size();
  grown += "\x3f" + std::string(63, 'a') + std::string(1, '\0') + type_and_class;
  for (int n = 0; n < 5; ++n) {
    const std::size_t here = grown.size();
    grown += "\x3f" + std::string(63, 'a');
    Put16(grown, 0xc000u | static_cast<unsigned>(last));
    grown += type_and_class;
    last = here;
  }
  CHECK(refused(grown).find("too long") != std::string::npos);
}

TEST_CASE("incomplete headers and responses get no answer") {
  CHECK_FALSE(Decode("").refusal);
  CHECK_FALSE(Decode(std::string(11, 'x')).refusal);
  std::string response = Header(9, 0);
  response[2] = '\x80';
  const Decoded decoded = Decode(response);
  CHECK_FALSE(decoded.message);
  CHECK_FALSE(decoded.refusal);
  CHECK(decoded.why != "");
}

TEST_CASE("a second OPT, or a TSIG that is not the last record, is refused") {
  Message message = Rich();
  std::string twice = Encode(message);
  const std::string opt = std::string("\0\0\x29\x05\x78\0\0\0\0\0\0", 11);
  twice += opt;
  twice[11] = static_cast<char>(twice[11] + 1);
  CHECK_FALSE(Decode(twice).message);
  message.additional.insert(message.additional.begin(),
                            {Name(), type::kTsig, klass::kAny, 0, "whatever"});
  CHECK_FALSE(Decode(Encode(message)).message);
}

TEST_CASE("a stream of messages in chunks of any size") {
  std::string stream;
  for (int n = 0; n < 20; ++n)
    stream += WithLengthPrefix(std::string(static_cast<std::size_t>(n * 7), 'm'));
  for (std::uint32_t seed = 0; seed < testing::kRounds; ++seed) {
    StreamReader reader;
    testing::InCuts(stream, seed, [&reader](std::string_view part) { reader.Feed(part); });
    REQUIRE(reader.messages().size() == 20);
    for (std::size_t n = 0; n < 20; ++n) REQUIRE(reader.messages()[n].size() == n * 7);
    CHECK(reader.between_messages());
  }
}

TEST_CASE("the decoder handles garbage, and messages that it accepts round trip") {
  const std::string bytes = Encode(Rich());
  int taken = 0;
  for (std::uint32_t seed = 0; seed < 20 * testing::kRounds; ++seed) {
    const std::string garbage = testing::Garbage(bytes.substr(0, 60 + seed % 700), seed);
    const Decoded decoded = Decode(garbage);
    CHECK((decoded.message.has_value() || !decoded.why.empty()));
    if (!decoded.message) continue;
    ++taken;
    REQUIRE(Decode(Encode(*decoded.message)).message);
  }
  std::mt19937 random(1);
  for (int n = 0; n < 3000; ++n) {
    std::string flipped = bytes;
    flipped[random() % flipped.size()] = static_cast<char>(random() % 256);
    const Decoded decoded = Decode(flipped);
    if (decoded.message) ++taken;
  }
  CHECK(taken > 500);
}

}  // namespace
}  // namespace brassfront::dns
