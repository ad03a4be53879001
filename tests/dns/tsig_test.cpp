// Tests signed messages: valid ones and each kind of error (RFC 8945 §5).
#include "dns/tsig.hpp"

#include <doctest/doctest.h>

#include <string>

#include "../network/cuts.hpp"

namespace brassfront::dns {
namespace {

constexpr std::uint64_t kNow = 1'800'000'000;

Key SomeKey(Algorithm algorithm = Algorithm::kHmacSha256) {
  return {Name::FromLiteral("Key.Example."), algorithm, "0123456789abcdef0123456789abcdef"};
}

Message Query() {
  Message message;
  message.id = 77;
  message.question = {{Name::FromLiteral("a.example."), type::kA, klass::kIn}};
  return message;
}

TsigError Checked(TsigSession& session, const std::string& bytes, std::uint64_t now = kNow) {
  const Decoded decoded = Decode(bytes);
  REQUIRE_MESSAGE(decoded.message, decoded.why);
  return session.Check(bytes, *decoded.message, now);
}

TEST_CASE("a request and its answer, with both algorithms") {
  for (const auto algorithm : {Algorithm::kHmacSha256, Algorithm::kHmacSha512}) {
    TsigSession client(SomeKey(algorithm));
    TsigSession server(SomeKey(algorithm));
    const std::string plain = Encode(Query());
    const std::string request = client.Sign(plain, kNow);
    CHECK(request.size() <= plain.size() + client.MaxTsigBytes());
    CHECK(Checked(server, request) == TsigError::kNone);
    CHECK(server.signed_at() == kNow);
    const std::string answer = server.Sign(Encode(ReplyTo(Query(), Rcode::kNoError)), kNow);
    CHECK(Checked(client, answer) == TsigError::kNone);
    // The answer to another request is not accepted.
    TsigSession other(SomeKey(algorithm));
    other.Sign(Encode(Query()), kNow + 1);
    CHECK(Checked(other, answer) == TsigError::kBadSig);
  }
}

TEST_CASE("a change of any bit of a signed message is detected, except in its ID") {
  TsigSession client(SomeKey());
  const std::string request = client.Sign(Encode(Query()), kNow);
  for (std::size_t bit = 0; bit < request.size() * 8; ++bit) {
    std::string changed = request;
    changed[bit / 8] = static_cast<char>(changed[bit / 8] ^ (1 << bit % 8));
    const Decoded decoded = Decode(changed);
    if (!decoded.message) continue;
    TsigSession server(SomeKey());
    const bool taken = server.Check(changed, *decoded.message, kNow) == TsigError::kNone;
    // A forwarder may change the ID of a message (§5.1 stores the original one), and the names of
    // the key and of the algorithm are compared without regard to case.
    const std::size_t byte = bit / 8;
    const std::size_t tsig_at = decoded.message->tsig_at;
    const std::size_t rdata_at = tsig_at + SomeKey().name.wire().size() + 10;
    const bool in_name =
        (byte >= tsig_at && byte < rdata_at - 10) || (byte >= rdata_at && byte < rdata_at + 13);
    const bool free = bit < 16 || (in_name && bit % 8 == 5);
    if (!free) CHECK_MESSAGE(!taken, "bit ", bit);
  }
}

TEST_CASE("another key, another secret, no TSIG") {
  KeyRing keys;
  keys.emplace(SomeKey().name.Key(), SomeKey());
  TsigSession client(SomeKey());
  const std::string request = client.Sign(Encode(Query()), kNow);
  TsigError error = TsigError::kNone;
  auto key = KeyOf(*Decode(request).message, keys, error);
  REQUIRE(key);
  CHECK(error == TsigError::kNone);
  CHECK_FALSE(KeyOf(Query(), keys, error));
  CHECK(error == TsigError::kNone);
  CHECK_FALSE(KeyOf(*Decode(request).message, {}, error));
  CHECK(error == TsigError::kBadKey);
  key->secret += "x";
  TsigSession server(*key);
  CHECK(Checked(server, request) == TsigError::kBadSig);
  KeyRing other;
  other.emplace(SomeKey().name.Key(), SomeKey(Algorithm::kHmacSha512));
  CHECK_FALSE(KeyOf(*Decode(request).message, other, error));
  CHECK(error == TsigError::kBadKey);
  TsigSession strict(SomeKey());
  CHECK(Checked(strict, Encode(Query())) == TsigError::kBadSig);
  const std::string refusal = WithTsigError(Encode(ReplyTo(Query(), Rcode::kNotAuth)),
                                            *Decode(request).message, TsigError::kBadKey);
  CHECK(TsigErrorOf(*Decode(refusal).message) == TsigError::kBadKey);
  CHECK(Checked(client, refusal) ==
        TsigError::kBadSig);  // the answer is not signed, so it proves nothing
}

TEST_CASE("a request outside the time window gets a signed BADTIME answer") {
  for (const long long off : {-301LL, -600LL, 301LL, 600LL}) {
    TsigSession client(SomeKey());
    TsigSession server(SomeKey());
    const std::string request = client.Sign(Encode(Query()), kNow);
    CHECK(Checked(server, request, kNow + static_cast<std::uint64_t>(off)) == TsigError::kBadTime);
    const std::string answer =
        server.SignBadTime(Encode(ReplyTo(Query(), Rcode::kNotAuth)), server.signed_at(),
                           kNow + static_cast<std::uint64_t>(off));
    CHECK(Checked(client, answer) ==
          TsigError::kNone);  // the signature proves that the server sent it
    CHECK(TsigErrorOf(*Decode(answer).message) == TsigError::kBadTime);
  }
  TsigSession client(SomeKey());
  TsigSession server(SomeKey());
  CHECK(Checked(server, client.Sign(Encode(Query()), kNow), kNow + 300) == TsigError::kNone);
}

TEST_CASE(
    "the signatures of a transfer are chained; a limited number of messages may be unsigned") {
  TsigSession client(SomeKey());
  TsigSession server(SomeKey());
  REQUIRE(Checked(server, client.Sign(Encode(Query()), kNow)) == TsigError::kNone);
  const auto part = [](int n) {
    Message message = ReplyTo(Query(), Rcode::kNoError);
    message.answer = {
        {Name::FromLiteral("a."), type::kA, klass::kIn, 1, std::string("\1\2\3") + char(n)}};
    return Encode(message);
  };
  std::vector<std::string> parts;
  for (int n = 0; n < 5; ++n) parts.push_back(server.Sign(part(n), kNow));
  for (const auto& bytes : parts) CHECK(Checked(client, bytes) == TsigError::kNone);
  CHECK(Checked(client, part(9)) == TsigError::kNone);

  // A missing or reordered message is detected.
  TsigSession again(SomeKey());
  again.Sign(Encode(Query()), kNow);
  CHECK(Checked(again, parts[0]) == TsigError::kNone);
  TsigSession swapped = again;
  CHECK(Checked(again, parts[2]) == TsigError::kBadSig);
  CHECK(Checked(swapped, parts[1]) == TsigError::kNone);
  for (int n = 0; n < kMaxUnsigned; ++n) REQUIRE(Checked(swapped, part(n)) == TsigError::kNone);
  CHECK(Checked(swapped, part(1)) == TsigError::kBadSig);
}

TEST_CASE("parsing of secrets and algorithms") {
  CHECK(*FromBase64("AQID") == "\1\2\3");
  CHECK(*FromBase64("AQ==") == "\1");
  CHECK_FALSE(FromBase64(""));
  CHECK_FALSE(FromBase64("AQI"));
  CHECK_FALSE(FromBase64("AQI*"));
  CHECK(AlgorithmFromText("HMAC-SHA512") == Algorithm::kHmacSha512);
  CHECK_FALSE(AlgorithmFromText("hmac-md5"));
}

TEST_CASE("garbage never passes as signed") {
  TsigSession client(SomeKey());
  const std::string request = client.Sign(Encode(Query()), kNow);
  KeyRing keys;
  keys.emplace(SomeKey().name.Key(), SomeKey());
  for (std::uint32_t seed = 0; seed < 10 * testing::kRounds; ++seed) {
    const std::string garbage = testing::Garbage(request, seed);
    const Decoded decoded = Decode(garbage);
    if (!decoded.message || garbage == request) continue;
    TsigError error = TsigError::kNone;
    const auto key = KeyOf(*decoded.message, keys, error);
    if (!key) continue;
    TsigSession server(*key);
    if (garbage.substr(2) != request.substr(2)) {
      CHECK(server.Check(garbage, *decoded.message, kNow) != TsigError::kNone);
    }
  }
}

}  // namespace
}  // namespace brassfront::dns
