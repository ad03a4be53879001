// Tests the answers of the name server without its sockets: permissions, signatures, replays,
// limits.
#include "nameserver/responder.hpp"

#include <doctest/doctest.h>

#include <string>

#include "../network/cuts.hpp"
#include "dns/zone_file.hpp"
#include "nameserver/zone_managers.hpp"

namespace brassfront::nameserver {
namespace {

using namespace dns;

constexpr std::uint64_t kNow = 1'800'000'000;
const Name kOrigin = Name::FromLiteral("example.");
const Name kSecondary = Name::FromLiteral("followed.");

Key KeyNamed(const char* name) {
  return {Name::FromLiteral(name), Algorithm::kHmacSha256, std::string(32, name[0])};
}

Zone SmallZone(const Name& origin) {
  return ReadZone(
      {"zone", "$TTL 60\n@ SOA ns h 1 20 10 60 5\n@ NS ns\na A 10.0.0.1\n", "zone"}, origin,
      [](const ZoneText&, const std::string&, std::string&) { return std::optional<ZoneText>(); });
}

struct ResponderFixture {
  ResponderFixture() : primary(SmallZone(kOrigin)), secondary(kSecondary) {
    responder.AddZone(&primary);
    responder.AddZone(&secondary);
    KeyRing keys;
    for (const char* name : {"writer.", "reader."}) {
      keys.emplace(Name::FromLiteral(name).Key(), KeyNamed(name));
    }
    responder.SetKeys(std::move(keys), {{Name::FromLiteral("writer."), kOrigin, {}, true, true},
                                        {Name::FromLiteral("reader."), kOrigin, {}, false, true}});
  }

  Message Ask(const Message& message, bool stream = true) {
    const auto reply = responder.Answer(Encode(message), stream, kNow);
    REQUIRE(reply.messages.size() == 1);
    event = reply.event;
    const auto decoded = Decode(reply.messages[0]);
    REQUIRE_MESSAGE(decoded.message, decoded.why);
    return *decoded.message;
  }
  // Sends the bytes and returns the RCODE of the answer, with " unsigned" appended if its signature
  // is not valid, and " with error" if its TSIG contains an error.
  std::string Signed(const std::string& bytes, const TsigSession& asked, std::uint64_t now = kNow) {
    TsigSession session = asked;
    const auto reply = responder.Answer(bytes, true, now);
    REQUIRE(reply.messages.size() == 1);
    event = reply.event;
    const auto decoded = Decode(reply.messages[0]);
    REQUIRE(decoded.message);
    const TsigError error = session.Check(reply.messages[0], *decoded.message, kNow);
    return RcodeText(decoded.message->rcode) + (error == TsigError::kNone ? "" : " unsigned") +
           (TsigErrorOf(*decoded.message) == TsigError::kNone ? "" : " with error");
  }

  MemoryZone primary;
  SecondaryZoneCopy secondary;
  Responder responder;
  std::string event;
};

Message Query(const std::string& name, std::uint16_t type = type::kA) {
  Message message;
  message.id = 5;
  message.recursion_desired = true;
  message.question = {{Name::FromLiteral(name), type, klass::kIn}};
  return message;
}

Message Add(const std::string& name) {
  Message message;
  message.id = 6;
  message.opcode = Opcode::kUpdate;
  message.question = {{kOrigin, type::kSoa, klass::kIn}};
  message.authority = {{Name::FromLiteral(name), type::kA, klass::kIn, 60, "\1\2\3\4"}};
  return message;
}

Message Remove(const std::string& name) {
  Message message = Add(name);
  message.authority = {{Name::FromLiteral(name), type::kAny, klass::kAny, 0, ""}};
  return message;
}

TEST_CASE(
    "queries for names in a zone, outside all zones and in a zone that is not loaded or expired") {
  ResponderFixture fixture;
  const Message answer = fixture.Ask(Query("A.Example."));
  CHECK(answer.authoritative);
  CHECK(answer.recursion_desired);
  CHECK_FALSE(answer.recursion_available);
  CHECK(answer.answer.size() == 1);
  CHECK(fixture.Ask(Query("gone.example.")).rcode == Rcode::kNxDomain);
  CHECK(fixture.Ask(Query("a.other.")).rcode == Rcode::kRefused);
  CHECK(fixture.Ask(Query("a.followed.")).rcode == Rcode::kServFail);
  std::string why;
  REQUIRE(fixture.secondary.Replace(SmallZone(kSecondary), why));
  CHECK(fixture.Ask(Query("a.followed.")).answer.size() == 1);
  fixture.secondary.set_expired(true);
  CHECK(fixture.Ask(Query("a.followed.")).rcode == Rcode::kServFail);
  Message two = Query("a.example.");
  two.question.push_back(two.question[0]);
  CHECK(fixture.Ask(two).rcode == Rcode::kFormErr);
  Message edns = Query("a.example.");
  edns.edns.emplace().version = 1;
  CHECK(fixture.Ask(edns).rcode == Rcode::kBadVers);
  Message odd = Query("a.example.");
  odd.opcode = static_cast<Opcode>(2);
  CHECK(fixture.Ask(odd).rcode == Rcode::kNotImp);
  Message response = Query("a.example.");
  response.response = true;
  CHECK(fixture.responder.Answer(Encode(response), true, kNow).messages.empty());
}

TEST_CASE("over UDP an answer is truncated to the size that the client accepts, signed or not") {
  ResponderFixture fixture;
  std::string why;
  for (int n = 0; n < 100; ++n) {
    Change change{{fixture.primary.zone().Soa()}, {fixture.primary.zone().Soa()}};
    change.added[0].rdata = WithSerial(change.added[0].rdata, fixture.primary.zone().serial() + 1);
    change.added.push_back({Name::FromLiteral("a.example."), type::kA, klass::kIn, 60,
                            std::string("\1\1\1") + static_cast<char>(n)});
    REQUIRE(fixture.primary.Commit(change, nullptr, why));
  }
  CHECK(fixture.Ask(Query("a.example."), false).truncated);
  CHECK_FALSE(fixture.Ask(Query("a.example."), true).truncated);
  for (const unsigned size : {0u, 512u, 900u, 1232u, 4096u}) {
    Message query = Query("a.example.");
    if (size > 0) query.edns.emplace().udp_bytes = static_cast<std::uint16_t>(size);
    const std::size_t most = std::min<std::size_t>(std::max(size, 512u), kUdpBytes);
    CHECK(fixture.responder.Answer(Encode(query), false, kNow).messages[0].size() <= most);
    TsigSession session(KeyNamed("reader."));
    const auto reply = fixture.responder.Answer(session.Sign(Encode(query), kNow), false, kNow);
    CHECK(reply.messages[0].size() <= most);
    CHECK(session.Check(reply.messages[0], *Decode(reply.messages[0]).message, kNow) ==
          TsigError::kNone);
  }
}

TEST_CASE("transfers require a grant and TCP") {
  ResponderFixture fixture;
  CHECK(fixture.Ask(Query("example.", type::kAxfr)).rcode == Rcode::kRefused);
  CHECK(fixture.Ask(Query("a.example.", type::kAxfr)).rcode == Rcode::kNotAuth);
  TsigSession session(KeyNamed("reader."));
  const std::string request = session.Sign(Encode(Query("example.", type::kAxfr)), kNow);
  CHECK(fixture.Signed(request, session) == "NOERROR");
  CHECK(fixture.event.starts_with("sent AXFR of example."));
  const auto reply = fixture.responder.Answer(request, false, kNow);
  CHECK(Decode(reply.messages[0]).message->rcode == Rcode::kFormErr);
}

TEST_CASE("updates require a key with a grant, and are stored before they are confirmed") {
  ResponderFixture fixture;
  CHECK(fixture.Ask(Add("b.example.")).rcode == Rcode::kRefused);
  TsigSession reader(KeyNamed("reader."));
  CHECK(fixture.Signed(reader.Sign(Encode(Add("b.example.")), kNow), reader) == "REFUSED");
  TsigSession stranger(KeyNamed("stranger."));
  CHECK(fixture.Signed(stranger.Sign(Encode(Add("b.example.")), kNow), stranger) ==
        "NOTAUTH unsigned with error");
  CHECK(fixture.primary.zone().serial() == 1);
  TsigSession writer(KeyNamed("writer."));
  CHECK(fixture.Signed(writer.Sign(Encode(Add("b.example.")), kNow), writer) == "NOERROR");
  CHECK(fixture.event == "updated example. to serial 2");
  Message secondary = Add("b.followed.");
  secondary.question[0].name = kSecondary;
  TsigSession again(KeyNamed("writer."));
  CHECK(fixture.Signed(again.Sign(Encode(secondary), kNow), again) == "REFUSED");
}

TEST_CASE("a request whose time is ten minutes off gets a signed BADTIME and has no effect") {
  ResponderFixture fixture;
  for (const std::uint64_t now : {kNow - 600, kNow + 600}) {
    TsigSession writer(KeyNamed("writer."));
    CHECK(fixture.Signed(writer.Sign(Encode(Add("b.example.")), kNow), writer, now) ==
          "NOTAUTH with error");
    CHECK(fixture.event == "refused: BADTIME with key writer.");
  }
  CHECK(fixture.primary.zone().serial() == 1);
}

TEST_CASE("a replayed update has no further effect") {
  ResponderFixture fixture;
  TsigSession first(KeyNamed("writer."));
  const std::string add = first.Sign(Encode(Add("b.example.")), kNow);
  TsigSession second(KeyNamed("writer."));
  const std::string remove = second.Sign(Encode(Remove("b.example.")), kNow);
  CHECK(fixture.Signed(add, first) == "NOERROR");
  CHECK(fixture.Signed(remove, second) == "NOERROR");
  CHECK(fixture.primary.zone().serial() == 3);
  // The name of the key in another case does not make the signature a different one.
  std::string shouted = add;
  const auto at = shouted.rfind("\6writer");
  REQUIRE(at != std::string::npos);
  shouted[at + 1] = 'W';
  for (const auto& bytes : {add, shouted}) {
    CHECK(fixture.Signed(bytes, first, kNow + 200) == "NOERROR");
    CHECK(fixture.event == "an update that was answered before");
  }
  CHECK(fixture.primary.zone().serial() == 3);
  CHECK(fixture.primary.zone().Find(Name::FromLiteral("b.example.")) == nullptr);
  CHECK(fixture.Signed(add, first, kNow + 301) == "NOTAUTH with error");
}

TEST_CASE("stored signatures expire with their time window, and their number is bounded") {
  UpdateSignatureCache signatures;
  signatures.Add("m", 10, 310, Rcode::kNoError);
  signatures.RemoveExpired(310);
  CHECK(signatures.Find("m"));
  signatures.RemoveExpired(311);
  CHECK_FALSE(signatures.Find("m"));
  CHECK_FALSE(signatures.IsTooOld(10));
  for (std::size_t n = 0; n <= UpdateSignatureCache::kMaxEntries; ++n) {
    signatures.Add(std::to_string(n), 100 + n, 400 + n, Rcode::kNoError);
  }
  CHECK_FALSE(signatures.Find("0"));
  CHECK(signatures.IsTooOld(100));
  CHECK_FALSE(signatures.IsTooOld(101));
}

class FullDisk : public MemoryZone {
 public:
  using MemoryZone::MemoryZone;
  bool Commit(const Change&, const UpdateSignature*, std::string& why) override {
    why = "no space left";
    return false;
  }
};

TEST_CASE("an update that cannot be stored gets SERVFAIL and may be sent again") {
  ResponderFixture fixture;
  FullDisk full(SmallZone(kOrigin));
  fixture.responder.AddZone(&full);
  TsigSession writer(KeyNamed("writer."));
  const std::string add = writer.Sign(Encode(Add("b.example.")), kNow);
  CHECK(fixture.Signed(add, writer) == "SERVFAIL");
  fixture.responder.AddZone(&fixture.primary);
  CHECK(fixture.Signed(add, writer) == "NOERROR");
  CHECK(fixture.primary.zone().serial() == 2);
}

TEST_CASE("NOTIFY is accepted only for secondary zones") {
  ResponderFixture fixture;
  Message notice = Query("example.", type::kSoa);
  notice.opcode = Opcode::kNotify;
  CHECK(fixture.Ask(notice).rcode == Rcode::kNotAuth);
  notice.question[0].name = kSecondary;
  notice.answer = {SmallZone(kSecondary).Soa()};
  const auto reply = fixture.responder.Answer(Encode(notice), false, kNow);
  REQUIRE(reply.notified != nullptr);
  CHECK(*reply.notified == kSecondary);
  CHECK(reply.notified_serial == 1);
}

TEST_CASE("malformed packets change nothing") {
  ResponderFixture fixture;
  TsigSession writer(KeyNamed("writer."));
  const std::string add = writer.Sign(Encode(Add("b.example.")), kNow);
  for (std::uint32_t seed = 0; seed < 20 * testing::kRounds; ++seed) {
    const std::string garbage = testing::Garbage(add, seed);
    if (garbage == add || garbage.substr(2) == add.substr(2)) continue;
    const auto reply = fixture.responder.Answer(garbage, seed % 2 == 0, kNow);
    REQUIRE(reply.changed == nullptr);
    REQUIRE(reply.messages.size() <= 1);
  }
  CHECK(fixture.primary.zone().serial() == 1);
}

}  // namespace
}  // namespace brassfront::nameserver
