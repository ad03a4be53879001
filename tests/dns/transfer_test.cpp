// Tests full and incremental transfers, incomplete and invalid ones, and the timers of a secondary.
#include "dns/transfer.hpp"

#include <doctest/doctest.h>

#include <random>
#include <string>

#include "dns/zone_file.hpp"
#include "dns/zone_transfer_session.hpp"

namespace brassfront::dns {
namespace {

const Name kOrigin = Name::FromLiteral("example.");
constexpr std::uint64_t kNow = 1'800'000'000;

Zone ZoneWithHosts(int hosts) {
  std::string text = "$TTL 60\n@ SOA ns h 1 20 10 60 5\n@ NS ns\n";
  for (int n = 0; n < hosts; ++n) {
    text += "h" + std::to_string(n) + " A 10.0." + std::to_string(n / 256) + "." +
            std::to_string(n % 256) + "\n";
  }
  return ReadZone(
      {"zone", text, "zone"}, kOrigin,
      [](const ZoneText&, const std::string&, std::string&) { return std::optional<ZoneText>(); });
}

// Changes the address of one random host.
void ChangeRandomHost(Zone& zone, std::mt19937& random) {
  Change change{{zone.Soa()}, {zone.Soa()}};
  change.added[0].rdata = WithSerial(change.added[0].rdata, zone.serial() + 1);
  const auto n = random() % 50;
  const Record old = zone.RecordsOf(Name::FromLiteral("h" + std::to_string(n) + ".example.")).at(0);
  change.removed.push_back(old);
  change.added.push_back(old);
  change.added[1].rdata[3] = static_cast<char>(random());
  change.added[1].rdata[1] = static_cast<char>(zone.serial());
  REQUIRE(zone.Apply(change));
}

Key SomeKey() { return {Name::FromLiteral("k."), Algorithm::kHmacSha256, std::string(32, 's')}; }

struct Exchange {
  std::vector<std::string> messages;
  TransferReader reader;
};

Exchange Begin(const Zone& zone, const std::optional<Record>& have, bool with_key = false) {
  const Message request = TransferRequest(kOrigin, have, 99);
  std::optional<TsigSession> client;
  std::optional<TsigSession> server;
  if (with_key) {
    client.emplace(SomeKey());
    server.emplace(SomeKey());
    const std::string bytes = client->Sign(Encode(request), kNow);
    REQUIRE(server->Check(bytes, *Decode(bytes).message, kNow) == TsigError::kNone);
  }
  auto messages =
      TransferAnswer(zone, request, true, kMaxMessageBytes, server ? &*server : nullptr, kNow);
  return {std::move(messages), TransferReader(kOrigin, have, 99, client)};
}

TransferResult Run(Exchange& exchange) {
  for (const auto& message : exchange.messages) {
    if (auto done = exchange.reader.Take(message, kNow)) return *std::move(done);
  }
  return exchange.reader.Interrupted("the end");
}

std::string FailureOf(const TransferResult& result) {
  const auto* unfit = std::get_if<ValidationError>(&result);
  return unfit != nullptr ? unfit->why : "";
}

bool SameZone(const Zone& a, const Zone& b) {
  const Change change = Difference(a, b);
  return change.removed.size() == 1 && change.added.size() == 1 && a.serial() == b.serial();
}

TEST_CASE("a full zone in many messages, signed and unsigned") {
  const Zone zone = ZoneWithHosts(3000);
  for (const bool with_key : {false, true}) {
    Exchange exchange = Begin(zone, std::nullopt, with_key);
    CHECK(exchange.messages.size() > 3);
    const TransferResult result = Run(exchange);
    CAPTURE(FailureOf(result));
    REQUIRE(std::holds_alternative<FullZone>(result));
    CHECK(SameZone(std::get<FullZone>(result).zone, zone));
  }
}

TEST_CASE(
    "an IXFR returns the changes since a stored serial, and the full zone for other serials") {
  std::mt19937 random(5);
  Zone zone = ZoneWithHosts(50);
  std::vector<Zone> past;
  for (int n = 0; n < 30; ++n) {
    past.push_back(zone);
    ChangeRandomHost(zone, random);
  }
  for (const Zone& before : past) {
    Exchange exchange = Begin(zone, before.Soa(), true);
    const TransferResult result = Run(exchange);
    CAPTURE(FailureOf(result));
    REQUIRE(std::holds_alternative<Changes>(result));
    Zone after = before;
    for (const Change& change : std::get<Changes>(result).changes) REQUIRE(after.Apply(change));
    CHECK(SameZone(after, zone));
  }
  Exchange same = Begin(zone, zone.Soa());
  CHECK(std::holds_alternative<UpToDate>(Run(same)));
  Record ahead = zone.Soa();
  ahead.rdata = WithSerial(ahead.rdata, zone.serial() + 9);
  Exchange newer = Begin(zone, ahead);
  CHECK(std::holds_alternative<UpToDate>(Run(newer)));
  zone.ForgetChanges();
  Exchange forgotten = Begin(zone, past[20].Soa());
  CHECK(std::holds_alternative<FullZone>(Run(forgotten)));
}

TEST_CASE("over UDP an IXFR returns the changes if they fit, otherwise the SOA alone") {
  std::mt19937 random(5);
  Zone zone = ZoneWithHosts(50);
  const Record first = zone.Soa();
  ChangeRandomHost(zone, random);
  const Message small = TransferRequest(kOrigin, first, 1);
  auto messages = TransferAnswer(zone, small, false, 512, nullptr, kNow);
  REQUIRE(messages.size() == 1);
  CHECK(Decode(messages[0]).message->answer.size() > 1);
  for (int n = 0; n < 50; ++n) ChangeRandomHost(zone, random);
  messages = TransferAnswer(zone, small, false, 512, nullptr, kNow);
  REQUIRE(messages.size() == 1);
  CHECK(messages[0].size() <= 512);
  CHECK(Decode(messages[0]).message->answer.size() == 1);
}

TEST_CASE("an incomplete transfer fails, wherever it ends") {
  const Zone zone = ZoneWithHosts(3000);
  Exchange whole = Begin(zone, std::nullopt, true);
  for (std::size_t parts = 0; parts < whole.messages.size(); ++parts) {
    Exchange exchange = Begin(zone, std::nullopt, true);
    exchange.messages.resize(parts);
    CHECK(FailureOf(Run(exchange)).starts_with("cut short after"));
  }
  // A message in the middle is missing.
  Exchange exchange = Begin(zone, std::nullopt, true);
  exchange.messages.erase(exchange.messages.begin() + 1);
  CHECK(FailureOf(Run(exchange)) == "the signature does not hold: BADVERS/BADSIG");
}

TEST_CASE("unsigned messages are covered by the next signature; the last message must be signed") {
  const Zone zone = ZoneWithHosts(3000);
  for (const bool last_signed : {true, false}) {
    const Message request = TransferRequest(kOrigin, std::nullopt, 99);
    TsigSession client(SomeKey());
    TsigSession server(SomeKey());
    const std::string asked = client.Sign(Encode(request), kNow);
    REQUIRE(server.Check(asked, *Decode(asked).message, kNow) == TsigError::kNone);
    const auto parts = TransferAnswer(zone, request, true, kMaxMessageBytes, nullptr, kNow);
    REQUIRE(parts.size() > 3);
    TransferReader reader(kOrigin, std::nullopt, 99, client);
    std::optional<TransferResult> done;
    for (std::size_t n = 0; n < parts.size(); ++n) {
      const bool last = n + 1 == parts.size();
      std::string bytes = parts[n];
      if (n == 0 || (last && last_signed)) {
        bytes = server.Sign(bytes, kNow);
      } else {
        server.AddUnsigned(bytes);
      }
      done = reader.Take(bytes, kNow);
      REQUIRE(done.has_value() == last);
    }
    CAPTURE(FailureOf(*done));
    CHECK(std::holds_alternative<FullZone>(*done) == last_signed);
    if (!last_signed) CHECK(FailureOf(*done) == "its last message is not signed");
  }
}

std::string FailureOfRecords(const std::vector<Record>& records,
                             const std::optional<Record>& have) {
  Message message = ReplyTo(TransferRequest(kOrigin, have, 99), Rcode::kNoError);
  message.answer = records;
  TransferReader reader(kOrigin, have, 99, std::nullopt);
  const auto done = reader.Take(Encode(message), kNow);
  return done ? FailureOf(*done) : "more is awaited";
}

Record Soa(std::uint32_t serial) {
  Record soa = ZoneWithHosts(0).Soa();
  soa.rdata = WithSerial(soa.rdata, serial);
  return soa;
}

TEST_CASE("invalid transfers are rejected") {
  const Record ns = ZoneWithHosts(0).RecordsOf(kOrigin).at(0);
  const Record a{Name::FromLiteral("a.example."), type::kA, klass::kIn, 1, "\1\2\3\4"};
  Record outside = a;
  outside.name = Name::FromLiteral("a.other.");
  Record not_ns = ns.type == type::kNs ? ns : ZoneWithHosts(0).RecordsOf(kOrigin).at(1);
  CHECK(FailureOfRecords({Soa(5), not_ns, a, Soa(5)}, std::nullopt) == "");
  CHECK(FailureOfRecords({a}, std::nullopt) == "it does not begin with the SOA");
  CHECK(FailureOfRecords({Soa(5), outside}, std::nullopt).starts_with("a record that is none"));
  CHECK(FailureOfRecords({Soa(5), not_ns, Soa(6)}, std::nullopt) ==
        "the zone changed during the transfer");
  CHECK(FailureOfRecords({Soa(5), not_ns, Soa(5), a}, std::nullopt) == "records after its end");
  CHECK(FailureOfRecords({Soa(5), a, Soa(5)}, std::nullopt) == "no whole zone: no NS at example.");
  CHECK(FailureOfRecords({Soa(5), not_ns, a}, std::nullopt) == "more is awaited");
  // The primary claims a newer serial and then sends a zone that is not newer.
  CHECK(FailureOfRecords({Soa(4), not_ns, Soa(4)}, Soa(4)).find("not newer than 4") !=
        std::string::npos);
  CHECK(FailureOfRecords({Soa(9), Soa(3), a, Soa(9), Soa(9)}, Soa(4)) ==
        "its changes begin at another serial");
  CHECK(FailureOfRecords({Soa(9), Soa(4), a, Soa(3)}, Soa(4)) ==
        "its changes lead to an older serial");
  CHECK(FailureOfRecords({Soa(9), Soa(4), a, Soa(6), Soa(7)}, Soa(4)) ==
        "a change that does not start where the last one ended");
  CHECK(FailureOfRecords({Soa(9), Soa(4), a, Soa(9), Soa(10)}, Soa(4)) ==
        "changes beyond the newest serial");
  CHECK(FailureOfRecords({Soa(9), Soa(4), a, Soa(9), Soa(9)}, Soa(4)) == "");
  CHECK(FailureOfRecords({Soa(9), Soa(4), a, Soa(9)}, Soa(4)) == "more is awaited");
  Message refusal = ReplyTo(TransferRequest(kOrigin, Soa(4), 99), Rcode::kNotImp);
  TransferReader reader(kOrigin, Soa(4), 99, std::nullopt);
  const auto done = reader.Take(Encode(refusal), kNow);
  REQUIRE(done);
  CHECK(std::get<ValidationError>(*done).ixfr_unsupported);
  TransferReader bounded(kOrigin, std::nullopt, 99, std::nullopt, 3);
  Message much = ReplyTo(TransferRequest(kOrigin, std::nullopt, 99), Rcode::kNoError);
  much.answer = {Soa(1), not_ns, a, a};
  CHECK(FailureOf(*bounded.Take(Encode(much), kNow)) == "more records than are kept");
}

constexpr SoaTimers kTimers{20, 5, 100};
using Step = ZoneTransferSession::Step;

TEST_CASE("a secondary queries according to the timers of the SOA") {
  ZoneTransferSession session(0);
  CHECK(session.NextStep(0) == Step::kTransfer);  // no zone yet: transfer without a serial query
  CHECK(session.NextStep(0) == Step::kNothing);
  session.OnFailure(1);
  CHECK(session.NextStep(1) == Step::kNothing);
  CHECK(session.NextStepTime() == 1 + ZoneTransferSession::kFirstRetry);
  CHECK(session.NextStep(2) == Step::kTransfer);
  session.OnTransferred(7, kTimers, 3);
  CHECK(session.NextStepTime() == 23);
  CHECK(session.NextStep(22.9) == Step::kNothing);
  CHECK(session.NextStep(23) == Step::kQuerySerial);
  session.OnSerial(7, 23.5);
  CHECK(session.NextStepTime() == 43.5);
  CHECK(session.NextStep(43.5) == Step::kQuerySerial);
  session.OnFailure(44);
  CHECK(session.NextStep(48.9) == Step::kNothing);
  CHECK(session.NextStep(49) == Step::kQuerySerial);
  session.OnSerial(8, 49);
  CHECK(session.NextStep(49) == Step::kTransfer);
  session.OnFailure(50);  // an incomplete transfer
  CHECK(session.serial() == 7);
  CHECK(session.NextStep(55) == Step::kQuerySerial);
  session.OnSerial(8, 55);
  CHECK(session.NextStep(55) == Step::kTransfer);
  session.OnTransferred(8, kTimers, 56);
  CHECK(session.serial() == 8);
}

TEST_CASE("the zone expires if the primary is silent or its serial goes back, and recovers") {
  ZoneTransferSession session(0);
  session.Restore(7, kTimers, 0, 0);
  double now = 0;
  bool expired = false;
  int asked = 0;
  while (now < 200 && !expired) {
    now = std::max(now, session.NextStepTime());
    const Step step = session.NextStep(now);
    if (step == Step::kQuerySerial) {
      ++asked;
      if (asked % 2 == 0) {
        session.OnSerial(6, now);
      } else {
        session.OnFailure(now);
      }
    }
    expired = step == Step::kExpire;
  }
  CHECK(expired);
  CHECK(now == 100);
  CHECK(asked == 20);
  CHECK(session.expired());
  now = session.NextStepTime();
  CHECK(session.NextStep(now) == Step::kQuerySerial);
  session.OnSerial(7, now);
  CHECK_FALSE(session.expired());
}

TEST_CASE("a restored zone expires relative to its last confirmation and is queried at once") {
  ZoneTransferSession session(50);
  session.Restore(7, kTimers, 90, 50);
  CHECK(session.NextStep(50) == Step::kQuerySerial);
  CHECK(session.NextStepTime() == 60);
  CHECK(session.NextStep(60) == Step::kExpire);
}

TEST_CASE("NOTIFY causes an immediate query, one at a time and at most about five per second") {
  ZoneTransferSession session(0);
  session.Restore(7, kTimers, 0, 0);
  CHECK(session.NextStep(0) == Step::kQuerySerial);
  session.OnSerial(7, 0);
  session.OnNotify(7, 5);  // not newer
  CHECK(session.NextStepTime() == 20);
  session.OnNotify(8, 5);
  CHECK(session.NextStep(5) == Step::kQuerySerial);
  session.OnNotify(9, 5.01);  // during a query: one more query after it
  session.OnNotify(10, 5.02);
  session.OnSerial(8, 5.05);
  CHECK(session.NextStep(5.05) == Step::kTransfer);
  session.OnTransferred(8, kTimers, 5.1);
  CHECK(session.NextStepTime() == doctest::Approx(5.2));
  CHECK(session.NextStep(5.2) == Step::kQuerySerial);
  session.OnSerial(8, 5.21);
  CHECK(session.NextStepTime() == 25.21);
  int asked = 0;
  for (double now = 30; now < 31; now += 0.001) {
    session.OnNotify(std::nullopt, now);
    if (session.NextStep(now) == Step::kQuerySerial) {
      ++asked;
      session.OnSerial(8, now);
    }
  }
  CHECK(asked <= 6);
  CHECK(asked >= 4);
}

TEST_CASE("the serial wraps around, and SOA timers are clamped") {
  ZoneTransferSession session(0);
  session.Restore(0xffffffff, kTimers, 0, 0);
  CHECK(session.NextStep(0) == Step::kQuerySerial);
  session.OnSerial(1, 0);
  CHECK(session.NextStep(0) == Step::kTransfer);
  session.OnTransferred(1, kTimers, 0);
  CHECK(session.serial() == 1);
  std::string soa = Name().wire() + Name().wire();
  for (const unsigned n : {1u, 0u, 0u, 0u, 0u}) Put32(soa, n);
  const SoaTimers least = SoaTimers::Of(soa);
  CHECK(least.refresh == ZoneTransferSession::kMinWait);
  CHECK(least.retry == ZoneTransferSession::kMinWait);
  CHECK(least.expire >= least.refresh + least.retry);
}

}  // namespace
}  // namespace brassfront::dns
