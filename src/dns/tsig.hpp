// Signed messages (RFC 8945): HMAC-SHA256 and HMAC-SHA512, a window of time (the sender's, but not
// more than this side's), and the chain of a transfer's messages. The clock is given by the caller,
// in seconds since 1970.
#ifndef BRASSFRONT_DNS_TSIG_HPP_
#define BRASSFRONT_DNS_TSIG_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "dns/message.hpp"
#include "signing/signing.hpp"

namespace brassfront::dns {

// What both sides' clocks may differ by (RFC 8945 §10).
inline constexpr std::uint16_t kFudgeSeconds = 300;
// Of a transfer's messages that come unsigned in a row (RFC 8945 §5.3.1).
inline constexpr int kMaxUnsigned = 99;

using signing::Algorithm;

struct Key {
  Name name;
  Algorithm algorithm = Algorithm::kHmacSha256;
  std::string secret;  // bytes
};
std::optional<Algorithm> AlgorithmFromText(std::string_view text);  // "hmac-sha256"
std::string AlgorithmText(Algorithm algorithm);

// The signature of a request that changed something, and when it says it was made: known again, the
// request does nothing a second time.
struct UpdateSignature {
  std::string mac;
  std::uint64_t signed_at = 0;
};

using KeyRing = std::map<std::string, Key>;  // by the name's Key()

// RFC 8945 §3.
enum class TsigError : std::uint16_t {
  kNone = 0,
  kBadSig = 16,
  kBadKey = 17,
  kBadTime = 18,
  kBadTrunc = 22,
};

// One exchange: a request, its answer, or an answer of many messages. Each side makes one for each
// exchange; a message that is signed or checked goes into what the next one is signed with.
class TsigSession {
 public:
  // To sign and check with this key.
  explicit TsigSession(Key key) : key_(std::move(key)) {}

  [[nodiscard]] const Key& key() const { return key_; }

  // The message with a TSIG at its end. At most MostBytes() longer.
  std::string Sign(std::string message, std::uint64_t now);
  [[nodiscard]] std::size_t MaxTsigBytes() const;
  // A message inside an answer of many that is sent without a TSIG; the next one vouches for it.
  void AddUnsigned(std::string_view message) { unsigned_messages_ += message; }
  // An answer that tells of a request's wrong time is signed and says this side's time
  // (RFC 8945 §5.2.3).
  std::string SignBadTime(std::string message, std::uint64_t signed_at, std::uint64_t now);

  // Checks the next message of the exchange, with what Decode made of it. A message without a TSIG
  // is taken inside an answer of many alone; the next one that has it vouches for it.
  TsigError Check(std::string_view bytes, const Message& message, std::uint64_t now);
  // When the message that was checked last says it was signed.
  [[nodiscard]] std::uint64_t signed_at() const { return signed_at_; }
  // What it was signed with: the same for the same message alone.
  [[nodiscard]] const std::string& mac() const { return prior_mac_; }

 private:
  std::string Append(std::string message, std::uint64_t time, TsigError error,
                     std::string_view other);

  Key key_;
  std::string prior_mac_;          // with its length before it; empty at the start
  std::string unsigned_messages_;  // messages since then that were not signed
  int checked_ = 0;                // messages signed or checked
  int unsigned_ = 0;
  std::uint64_t signed_at_ = 0;
};

// The key that a request is signed with. `error` tells what to answer where there is none for it.
std::optional<Key> KeyOf(const Message& request, const KeyRing& keys, TsigError& error);
// An answer that is not signed, for nothing can be: it holds a TSIG with the error (§5.2).
std::string WithTsigError(std::string message, const Message& request, TsigError error);
// The error that an answer's TSIG tells of.
TsigError TsigErrorOf(const Message& message);

}  // namespace brassfront::dns

#endif  // BRASSFRONT_DNS_TSIG_HPP_
