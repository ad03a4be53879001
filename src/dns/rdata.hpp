// What records hold, by type. RDATA is kept in wire form without compression; one table of the
// types' fields says how it is read, written, printed, checked and compared. A type that is not in
// the table is kept as the bytes that came (RFC 3597).
#ifndef BRASSFRONT_DNS_RDATA_HPP_
#define BRASSFRONT_DNS_RDATA_HPP_

#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <type_traits>

#include "dns/name.hpp"
#include "signing/signing.hpp"

namespace brassfront::dns {

// RFC 1035 §3.2.2, and where each was added. A type need not be one of these.
namespace type {
inline constexpr std::uint16_t kA = 1, kNs = 2, kCname = 5, kSoa = 6, kPtr = 12, kMx = 15,
                               kTxt = 16, kAaaa = 28, kSrv = 33, kOpt = 41, kSvcb = 64, kHttps = 65,
                               kTsig = 250, kIxfr = 251, kAxfr = 252, kAny = 255;
}  // namespace type

namespace klass {
inline constexpr std::uint16_t kIn = 1, kNone = 254, kAny = 255;
}  // namespace klass

enum class Field : std::uint8_t {
  kEnd,
  kName,        // compressed where RFC 1035 defines the type
  kPlainName,   // written in full; read with compression (RFC 3597 §4)
  kStrictName,  // no compression either way (RFC 9460 §2.2)
  kU16,
  kU32,
  kSeconds,  // 32 bits; `1h30m` will do in text
  kIpv4,
  kIpv6,
  kStrings,    // one character-string or more, up to the end
  kSvcParams,  // up to the end (RFC 9460 §2.1)
};

struct TypeInfo {
  std::uint16_t type;
  const char* mnemonic;
  std::array<Field, 8> fields;  // ends in kEnd
};

// Nothing for a type that has no fields known here.
const TypeInfo* InfoOf(std::uint16_t type);
// A mnemonic in any case, or TYPE123 (RFC 3597 §5).
std::optional<std::uint16_t> TypeFromText(std::string_view text);
std::string TypeText(std::uint16_t type);
// True for what may be in a zone: not OPT, TSIG, a transfer or ANY (RFC 6895 §3.1).
bool IsDataType(std::uint16_t type);
// IN, CH, HS, NONE, ANY or CLASS123.
std::optional<std::uint16_t> ClassFromText(std::string_view text);
std::string ClassText(std::uint16_t klass);
// All of the text as a number, without a sign. Nothing if it is not one, or too large.
template <typename Number>
std::optional<Number> ParseUnsigned(std::string_view text) {
  static_assert(std::is_unsigned_v<Number>);
  Number value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end) return std::nullopt;
  return value;
}
// Seconds, or with units as in `1h30m` or `2W`. Nothing beyond 2^31 - 1 (RFC 2181 §8).
std::optional<std::uint32_t> SecondsFromText(std::string_view text);

// A token of a zone file with its escapes still in it.
struct Token {
  std::string text;
  bool quoted = false;
  std::size_t line = 0;
  std::size_t column = 0;
};

// Nothing, why, and at which token (its place, or the number of tokens where one more was
// expected).
std::optional<std::string> RdataFromText(std::uint16_t type, std::span<const Token> tokens,
                                         const Name& origin, std::string& why,
                                         std::size_t& at_token);
std::string RdataText(std::uint16_t type, std::string_view rdata);

// Whether there are names in what the type holds.
bool HasNames(std::uint16_t type);
// True if the bytes are what a record of the type may hold.
bool IsRdata(std::uint16_t type, std::string_view rdata);
// With the names in it in small letters: what is equal so is the same record (RFC 4034 §6.2).
std::string CanonicalRdata(std::uint16_t type, std::string_view rdata);
// The n-th field of RDATA that IsRdata takes; the view is into it.
std::string_view FieldOf(std::uint16_t type, std::string_view rdata, std::size_t n);
Name NameField(std::uint16_t type, std::string_view rdata, std::size_t n);
std::uint32_t NumberField(std::uint16_t type, std::string_view rdata, std::size_t n);

// The fields of a SOA (RFC 1035 §3.3.13) by their numbers.
namespace soa {
inline constexpr std::size_t kSerial = 2, kRefresh = 3, kRetry = 4, kExpire = 5, kMinimum = 6;
}  // namespace soa
std::uint32_t SerialOf(std::string_view soa_rdata);
std::string WithSerial(std::string_view soa_rdata, std::uint32_t serial);

using signing::FromBase64;

// Numbers in network order.
void Put16(std::string& out, std::uint32_t value);
void Put32(std::string& out, std::uint32_t value);
std::uint32_t Get16(std::string_view bytes, std::size_t at);
std::uint32_t Get32(std::string_view bytes, std::size_t at);

}  // namespace brassfront::dns

#endif  // BRASSFRONT_DNS_RDATA_HPP_
