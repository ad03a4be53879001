// RDATA of the record types. RDATA is stored in wire format without compression. One table lists
// the fields of each type and determines how its RDATA is parsed, encoded, printed, validated and
// compared. RDATA of a type that is not in the table is stored as opaque bytes (RFC 3597).
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

// Type numbers of RFC 1035 §3.2.2 and of the later RFCs that added types. Other type numbers are
// valid as well.
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
  kPlainName,   // written uncompressed; compression is accepted (RFC 3597 §4)
  kStrictName,  // never compressed (RFC 9460 §2.2)
  kU16,
  kU32,
  kSeconds,  // 32 bits; the text form may have units such as `1h30m`
  kIpv4,
  kIpv6,
  kStrings,    // one or more character-strings, up to the end of the RDATA
  kSvcParams,  // up to the end of the RDATA (RFC 9460 §2.1)
};

struct TypeInfo {
  std::uint16_t type;
  const char* mnemonic;
  std::array<Field, 8> fields;  // ends in kEnd
};

// Returns null for a type that is not in the table.
const TypeInfo* InfoOf(std::uint16_t type);
// Parses a mnemonic in any case, or TYPE123 (RFC 3597 §5).
std::optional<std::uint16_t> TypeFromText(std::string_view text);
std::string TypeText(std::uint16_t type);
// True for types of records that a zone may contain: not OPT, TSIG, AXFR, IXFR or ANY
// (RFC 6895 §3.1).
bool IsDataType(std::uint16_t type);
// Parses IN, CH, HS, NONE, ANY or CLASS123.
std::optional<std::uint16_t> ClassFromText(std::string_view text);
std::string ClassText(std::uint16_t klass);
// Parses the entire text as an unsigned number. Returns nullopt if it is not one, or too large.
template <typename Number>
std::optional<Number> ParseUnsigned(std::string_view text) {
  static_assert(std::is_unsigned_v<Number>);
  Number value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end) return std::nullopt;
  return value;
}
// Parses a number of seconds, or a time with units such as `1h30m` or `2W`. Returns nullopt above
// 2^31 - 1 (RFC 2181 §8).
std::optional<std::uint32_t> SecondsFromText(std::string_view text);

// A token of a zone file; its escapes are not decoded yet.
struct Token {
  std::string text;
  bool quoted = false;
  std::size_t line = 0;
  std::size_t column = 0;
};

// Parses the RDATA of a record. On failure returns nullopt, and sets `why` and `at_token`, which is
// the index of the wrong token, or the number of tokens if one more was expected.
std::optional<std::string> RdataFromText(std::uint16_t type, std::span<const Token> tokens,
                                         const Name& origin, std::string& why,
                                         std::size_t& at_token);
std::string RdataText(std::uint16_t type, std::string_view rdata);

// True if RDATA of the type contains domain names.
bool HasNames(std::uint16_t type);
// True if the bytes are valid RDATA of the type.
bool IsRdata(std::uint16_t type, std::string_view rdata);
// Returns the RDATA with its names in lower case. Records with equal canonical RDATA are the same
// record (RFC 4034 §6.2).
std::string CanonicalRdata(std::uint16_t type, std::string_view rdata);
// Returns the n-th field of RDATA that is valid by IsRdata, as a view into `rdata`.
std::string_view FieldOf(std::uint16_t type, std::string_view rdata, std::size_t n);
Name NameField(std::uint16_t type, std::string_view rdata, std::size_t n);
std::uint32_t NumberField(std::uint16_t type, std::string_view rdata, std::size_t n);

// Field numbers in the RDATA of a SOA (RFC 1035 §3.3.13).
namespace soa {
inline constexpr std::size_t kSerial = 2, kRefresh = 3, kRetry = 4, kExpire = 5, kMinimum = 6;
}  // namespace soa
std::uint32_t SerialOf(std::string_view soa_rdata);
std::string WithSerial(std::string_view soa_rdata, std::uint32_t serial);

using signing::FromBase64;

// Big-endian numbers.
void Put16(std::string& out, std::uint32_t value);
void Put32(std::string& out, std::uint32_t value);
std::uint32_t Get16(std::string_view bytes, std::size_t at);
std::uint32_t Get32(std::string_view bytes, std::size_t at);

}  // namespace brassfront::dns

#endif  // BRASSFRONT_DNS_RDATA_HPP_
