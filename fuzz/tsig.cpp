// Fuzz target for TSIG signatures: only messages signed with the key are accepted.
#include "dns/tsig.hpp"

#include "targets.hpp"

namespace brassfront::fuzz {

void ProcessInput(std::string_view bytes) {
  constexpr std::uint64_t kNow = 1'800'000'000;
  const dns::Key key{dns::Name::FromLiteral("key."), dns::Algorithm::kHmacSha256,
                     std::string(32, 'k')};
  dns::KeyRing keys;
  keys.emplace(key.name.Key(), key);
  const dns::Decoded decoded = dns::Decode(bytes);
  if (!decoded.message) return;
  dns::TsigError error = dns::TsigError::kNone;
  if (const auto found = KeyOf(*decoded.message, keys, error)) {
    dns::TsigSession session(*found);
    Require(session.Check(bytes, *decoded.message, kNow) != dns::TsigError::kNone,
            "no fuzzed message has a valid signature");
  }
  TsigErrorOf(*decoded.message);
  if (decoded.message->tsig) {
    WithTsigError(Encode(ReplyTo(*decoded.message, dns::Rcode::kNotAuth)), *decoded.message,
                  dns::TsigError::kBadKey);
    return;
  }
  if (bytes.size() + 200 > dns::kMaxMessageBytes) return;
  dns::TsigSession signer(key);
  dns::TsigSession checker(key);
  std::string sealed = signer.Sign(std::string(bytes), kNow);
  const dns::Decoded whole = dns::Decode(sealed);
  Require(whole.message && whole.message->tsig, "a signed message can be decoded");
  Require(checker.Check(sealed, *whole.message, kNow + 10) == dns::TsigError::kNone,
          "a signed message is accepted");
  // Flip one bit of the message, chosen by its bytes, but no bit of its ID.
  std::size_t sum = 0;
  for (const char c : bytes) sum = sum * 31 + static_cast<unsigned char>(c);
  const std::size_t bit = 16 + sum % (bytes.size() * 8 - 16);
  sealed[bit / 8] = static_cast<char>(sealed[bit / 8] ^ (1 << bit % 8));
  const dns::Decoded broken = dns::Decode(sealed);
  dns::TsigSession other(key);
  Require(!broken.message || other.Check(sealed, *broken.message, kNow) != dns::TsigError::kNone,
          "a changed bit is detected");
}

}  // namespace brassfront::fuzz
