#include "peers/frame.hpp"

#include "peers/bytes.hpp"
#include "signing/signing.hpp"

namespace brassfront::peers {
namespace {

constexpr auto kAlgorithm = signing::Algorithm::kHmacSha256;

}  // namespace

const char* ToString(Drop drop) {
  switch (drop) {
    case Drop::kNone:
      return "none";
    case Drop::kShort:
      return "cut or too long";
    case Drop::kVersion:
      return "other version";
    case Drop::kKind:
      return "unknown kind";
    case Drop::kSignature:
      return "wrong signature";
    case Drop::kFleet:
      return "other fleet";
    case Drop::kNotForUs:
      return "for another member";
  }
  return "";
}

std::string Encode(const Frame& frame, std::string_view fleet, std::string_view secret) {
  Writer head;
  head.U8(kFrameVersion).U8(static_cast<std::uint8_t>(frame.kind));
  head.Name(fleet).Name(frame.from).Name(frame.to);
  head.U64(frame.identity).U64(frame.incarnation).Raw(frame.body);
  Writer all;
  all.U32(4 + head.size() + signing::MacBytes(kAlgorithm)).Raw(head.bytes());
  const std::string mac = signing::Hmac(kAlgorithm, secret, all.bytes());
  return all.Raw(mac).Take();
}

Drop Decode(std::string_view bytes, std::string_view fleet, std::string_view secret,
            std::string_view self, Frame& frame) {
  const std::size_t mac_bytes = signing::MacBytes(kAlgorithm);
  Reader length(bytes);
  if (bytes.size() > kMaxFrameBytes || length.U32() != bytes.size() ||
      bytes.size() < 4 + mac_bytes) {
    return Drop::kShort;
  }
  const std::string_view signed_part = bytes.substr(0, bytes.size() - mac_bytes);
  Reader reader(signed_part.substr(4));
  if (reader.U8() != kFrameVersion) return Drop::kVersion;
  const std::uint8_t kind = reader.U8();
  const std::string its_fleet = reader.Name();
  frame.from = reader.Name();
  frame.to = reader.Name();
  frame.identity = reader.U64();
  frame.incarnation = reader.U64();
  if (reader.broken()) return Drop::kShort;
  if (!signing::IsSame(signing::Hmac(kAlgorithm, secret, signed_part),
                       bytes.substr(signed_part.size()))) {
    return Drop::kSignature;
  }
  if (its_fleet != fleet) return Drop::kFleet;
  if (kind == 0 || kind > kLastKind) return Drop::kKind;
  if (frame.to != self) return Drop::kNotForUs;
  frame.kind = static_cast<Kind>(kind);
  frame.body = std::string(reader.Raw(reader.left()));
  return Drop::kNone;
}

}  // namespace brassfront::peers
