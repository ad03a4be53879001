#include "dns/tsig.hpp"

#include <algorithm>
#include <array>

namespace brassfront::dns {
namespace {

constexpr auto kAlgorithms = std::to_array<std::pair<Algorithm, const char*>>(
    {{Algorithm::kHmacSha256, "hmac-sha256"}, {Algorithm::kHmacSha512, "hmac-sha512"}});

std::string Hmac(const Key& key, std::string_view bytes) {
  return signing::Hmac(key.algorithm, key.secret, bytes);
}

Name AlgorithmName(Algorithm algorithm) { return Name::FromLiteral(AlgorithmText(algorithm)); }

void Put48(std::string& out, std::uint64_t value) {
  Put16(out, static_cast<std::uint32_t>(value >> 32) & 0xffff);
  Put32(out, static_cast<std::uint32_t>(value));
}

// RDATA fields of a TSIG (RFC 8945 §4.2).
struct Fields {
  Name algorithm;
  std::uint64_t time = 0;
  std::uint16_t fudge = kFudgeSeconds;
  std::string mac;
  std::uint16_t original_id = 0;
  TsigError error = TsigError::kNone;
  std::string other;

  [[nodiscard]] std::string Bytes() const {
    std::string out = algorithm.wire();
    Put48(out, time);
    Put16(out, fudge);
    Put16(out, static_cast<std::uint32_t>(mac.size()));
    out += mac;
    Put16(out, original_id);
    Put16(out, static_cast<std::uint32_t>(error));
    Put16(out, static_cast<std::uint32_t>(other.size()));
    return out + other;
  }
};

std::optional<Fields> FieldsOf(std::string_view rdata) {
  const auto algorithm = Name::TakeWire(rdata);
  if (!algorithm || rdata.size() < 10) return std::nullopt;
  Fields fields;
  fields.algorithm = *algorithm;
  fields.time = std::uint64_t{Get16(rdata, 0)} << 32 | Get32(rdata, 2);
  fields.fudge = static_cast<std::uint16_t>(Get16(rdata, 6));
  const std::size_t mac_length = Get16(rdata, 8);
  if (rdata.size() < 10 + mac_length + 6) return std::nullopt;
  fields.mac = rdata.substr(10, mac_length);
  rdata.remove_prefix(10 + mac_length);
  fields.original_id = static_cast<std::uint16_t>(Get16(rdata, 0));
  fields.error = static_cast<TsigError>(Get16(rdata, 2));
  fields.other = rdata.substr(6);
  if (fields.other.size() != Get16(rdata, 4)) return std::nullopt;
  return fields;
}

void AddToCount(std::string& message, int change) {
  const auto count = Get16(message, 10) + static_cast<std::uint32_t>(change);
  message[10] = static_cast<char>(count >> 8);
  message[11] = static_cast<char>(count);
}

std::string WithTsig(std::string message, const Name& key, const Fields& fields) {
  AddToCount(message, 1);
  message += key.wire();
  Put16(message, type::kTsig);
  Put16(message, klass::kAny);
  Put32(message, 0);
  const std::string rdata = fields.Bytes();
  Put16(message, static_cast<std::uint32_t>(rdata.size()));
  return message + rdata;
}

std::string WithLength(std::string_view mac) {
  std::string out;
  Put16(out, static_cast<std::uint32_t>(mac.size()));
  return out.append(mac);
}

// Returns the input of the MAC (RFC 8945 §4.3). From the third message of an exchange on, it
// includes only the timers of the TSIG (§5.3.1).
std::string MacInput(std::string_view prior, std::string_view message, const Name& key,
                     const Fields& fields, bool timers_only) {
  std::string out(prior);
  out += message;
  if (!timers_only) {
    out += key.Lower().wire();
    Put16(out, klass::kAny);
    Put32(out, 0);
    out += fields.algorithm.Lower().wire();
  }
  Put48(out, fields.time);
  Put16(out, fields.fudge);
  if (!timers_only) {
    Put16(out, static_cast<std::uint32_t>(fields.error));
    Put16(out, static_cast<std::uint32_t>(fields.other.size()));
    out += fields.other;
  }
  return out;
}

}  // namespace

std::optional<Algorithm> AlgorithmFromText(std::string_view text) {
  for (const auto& [algorithm, name] : kAlgorithms) {
    if (SameIgnoringCase(text, name)) return algorithm;
  }
  return std::nullopt;
}

std::string AlgorithmText(Algorithm algorithm) {
  for (const auto& [known, name] : kAlgorithms) {
    if (known == algorithm) return name;
  }
  return {};
}

std::string TsigSession::Append(std::string message, std::uint64_t time, TsigError error,
                                std::string_view other) {
  Fields fields;
  fields.algorithm = AlgorithmName(key_.algorithm);
  fields.time = time;
  fields.original_id = static_cast<std::uint16_t>(Get16(message, 0));
  fields.error = error;
  fields.other = other;
  fields.mac = Hmac(
      key_, MacInput(prior_mac_ + unsigned_messages_, message, key_.name, fields, checked_ >= 2));
  prior_mac_ = WithLength(fields.mac);
  unsigned_messages_.clear();
  ++checked_;
  return WithTsig(std::move(message), key_.name, fields);
}

std::string TsigSession::Sign(std::string message, std::uint64_t now) {
  return Append(std::move(message), now, TsigError::kNone, {});
}

std::size_t TsigSession::MaxTsigBytes() const {
  constexpr std::size_t kFixed =
      10 + 16 + 6;  // fixed fields of the record and of its RDATA, and a time in it
  return key_.name.wire().size() + AlgorithmName(key_.algorithm).wire().size() + kFixed +
         signing::MacBytes(key_.algorithm);
}

std::string TsigSession::SignBadTime(std::string message, std::uint64_t signed_at,
                                     std::uint64_t now) {
  std::string other;
  Put48(other, now);
  return Append(std::move(message), signed_at, TsigError::kBadTime, other);
}

TsigError TsigSession::Check(std::string_view bytes, const Message& message, std::uint64_t now) {
  if (!message.tsig) {
    // The request and the first message of the answer must be signed (RFC 8945 §5.3.1).
    if (checked_ < 2 || ++unsigned_ > kMaxUnsigned) return TsigError::kBadSig;
    AddUnsigned(bytes);
    return TsigError::kNone;
  }
  const auto fields = FieldsOf(message.tsig->rdata);
  if (!fields || !(message.tsig->name == key_.name) ||
      !(fields->algorithm == AlgorithmName(key_.algorithm))) {
    return TsigError::kBadKey;
  }
  if (message.tsig->klass != klass::kAny || message.tsig->ttl != 0) return TsigError::kBadSig;
  if (fields->mac.size() != signing::MacBytes(key_.algorithm)) {
    return fields->mac.empty() ? TsigError::kBadSig : TsigError::kBadTrunc;
  }
  std::string plain(bytes.substr(0, message.tsig_at));
  AddToCount(plain, -1);
  plain[0] = static_cast<char>(fields->original_id >> 8);
  plain[1] = static_cast<char>(fields->original_id);
  const std::string mac = Hmac(
      key_, MacInput(prior_mac_ + unsigned_messages_, plain, key_.name, *fields, checked_ >= 2));
  if (!signing::IsSame(mac, fields->mac)) return TsigError::kBadSig;
  prior_mac_ = WithLength(mac);
  unsigned_messages_.clear();
  ++checked_;
  unsigned_ = 0;
  signed_at_ = fields->time;
  const std::uint64_t apart = now > fields->time ? now - fields->time : fields->time - now;
  return apart > std::min(fields->fudge, kFudgeSeconds) ? TsigError::kBadTime : TsigError::kNone;
}

std::optional<Key> KeyOf(const Message& request, const KeyRing& keys, TsigError& error) {
  error = TsigError::kNone;
  if (!request.tsig) return std::nullopt;
  error = TsigError::kBadKey;
  const auto fields = FieldsOf(request.tsig->rdata);
  const auto found = keys.find(request.tsig->name.Key());
  if (!fields || found == keys.end() ||
      !(fields->algorithm == AlgorithmName(found->second.algorithm))) {
    return std::nullopt;
  }
  error = TsigError::kNone;
  return found->second;
}

std::string WithTsigError(std::string message, const Message& request, TsigError error) {
  const auto asked = FieldsOf(request.tsig->rdata);
  Fields fields;
  if (asked) {
    fields.algorithm = asked->algorithm;
    fields.time = asked->time;
  }
  fields.original_id = request.id;
  fields.error = error;
  return WithTsig(std::move(message), request.tsig->name, fields);
}

TsigError TsigErrorOf(const Message& message) {
  const auto fields = message.tsig ? FieldsOf(message.tsig->rdata) : std::nullopt;
  return fields ? fields->error : TsigError::kNone;
}

}  // namespace brassfront::dns
