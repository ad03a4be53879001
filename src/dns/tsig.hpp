// Signed messages (TSIG, RFC 8945): HMAC-SHA256 and HMAC-SHA512, the time window (that of the
// sender, limited by the local one), and the chained signatures of the messages of a transfer. The
// caller passes the current time in seconds since 1970.
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

// Maximum difference between the clocks of both sides (RFC 8945 §10).
inline constexpr std::uint16_t kFudgeSeconds = 300;
// Maximum number of consecutive unsigned messages in a transfer (RFC 8945 §5.3.1).
inline constexpr int kMaxUnsigned = 99;

using signing::Algorithm;

struct Key {
  Name name;
  Algorithm algorithm = Algorithm::kHmacSha256;
  std::string secret;  // bytes
};
std::optional<Algorithm> AlgorithmFromText(std::string_view text);  // "hmac-sha256"
std::string AlgorithmText(Algorithm algorithm);

// The signature of a request that changed a zone, and the time at which it was signed. It is stored
// so that a replay of the request is recognized and has no further effect.
struct UpdateSignature {
  std::string mac;
  std::uint64_t signed_at = 0;
};

using KeyRing = std::map<std::string, Key>;  // by the Key() of the name

// RFC 8945 §3.
enum class TsigError : std::uint16_t {
  kNone = 0,
  kBadSig = 16,
  kBadKey = 17,
  kBadTime = 18,
  kBadTrunc = 22,
};

// The signatures of one exchange: a request and its answer of one or more messages. Each side
// creates a session for each exchange. The MAC of each message that is signed or checked is an
// input of the next signature.
class TsigSession {
 public:
  // Creates a session that signs and checks with this key.
  explicit TsigSession(Key key) : key_(std::move(key)) {}

  [[nodiscard]] const Key& key() const { return key_; }

  // Returns the message with a TSIG appended, at most MaxTsigBytes() longer.
  std::string Sign(std::string message, std::uint64_t now);
  [[nodiscard]] std::size_t MaxTsigBytes() const;
  // Adds a message that is sent without a TSIG within an answer of several messages; the next TSIG
  // covers it as well.
  void AddUnsigned(std::string_view message) { unsigned_messages_ += message; }
  // Signs the answer to a request whose time is outside the window; the answer contains the local
  // time (RFC 8945 §5.2.3).
  std::string SignBadTime(std::string message, std::uint64_t signed_at, std::uint64_t now);

  // Checks the next message of the exchange; `message` is the decoded `bytes`. A message without a
  // TSIG is accepted only within an answer of several messages; the next TSIG covers it as well.
  TsigError Check(std::string_view bytes, const Message& message, std::uint64_t now);
  // Signing time in the TSIG of the message that was checked last.
  [[nodiscard]] std::uint64_t signed_at() const { return signed_at_; }
  // MAC of the message that was signed or checked last; only an identical message has the same one.
  [[nodiscard]] const std::string& mac() const { return prior_mac_; }

 private:
  std::string Append(std::string message, std::uint64_t time, TsigError error,
                     std::string_view other);

  Key key_;
  std::string prior_mac_;          // with a length prefix; empty before the first message
  std::string unsigned_messages_;  // unsigned messages since the last signed one
  int checked_ = 0;                // messages signed or checked
  int unsigned_ = 0;
  std::uint64_t signed_at_ = 0;
};

// Returns the key that a request is signed with. If the key is unknown, `error` is the error to
// answer with.
std::optional<Key> KeyOf(const Message& request, const KeyRing& keys, TsigError& error);
// Returns the answer with an unsigned TSIG that contains the error, for requests to which no signed
// answer is possible (RFC 8945 §5.2).
std::string WithTsigError(std::string message, const Message& request, TsigError error);
// Returns the error in the TSIG of an answer.
TsigError TsigErrorOf(const Message& message);

}  // namespace brassfront::dns

#endif  // BRASSFRONT_DNS_TSIG_HPP_
