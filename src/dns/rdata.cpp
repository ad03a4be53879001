#include "dns/rdata.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <map>
#include <utility>
#include <vector>

#include "protocol/base64.hpp"

namespace brassfront::dns {
namespace {

using enum Field;

constexpr auto kTypes = std::to_array<TypeInfo>({
    {type::kA, "A", {kIpv4}},
    {type::kNs, "NS", {kName}},
    {type::kCname, "CNAME", {kName}},
    {type::kSoa, "SOA", {kName, kName, kU32, kSeconds, kSeconds, kSeconds, kSeconds}},
    {type::kPtr, "PTR", {kName}},
    {type::kMx, "MX", {kU16, kName}},
    {type::kTxt, "TXT", {kStrings}},
    {type::kAaaa, "AAAA", {kIpv6}},
    {type::kSrv, "SRV", {kU16, kU16, kU16, kPlainName}},
    {type::kSvcb, "SVCB", {kU16, kStrictName, kSvcParams}},
    {type::kHttps, "HTTPS", {kU16, kStrictName, kSvcParams}},
});

// Mnemonics of query and meta types, which are not part of the data of a zone.
using Mnemonic = std::pair<std::uint16_t, const char*>;
constexpr auto kOtherTypes = std::to_array<Mnemonic>({{type::kOpt, "OPT"},
                                                      {type::kTsig, "TSIG"},
                                                      {type::kIxfr, "IXFR"},
                                                      {type::kAxfr, "AXFR"},
                                                      {type::kAny, "ANY"}});
constexpr auto kClasses = std::to_array<Mnemonic>(
    {{1, "IN"}, {3, "CH"}, {4, "HS"}, {klass::kNone, "NONE"}, {klass::kAny, "ANY"}});

// RFC 9460 §14.3.2, by number.
constexpr std::array kSvcKeys = {"mandatory", "alpn", "no-default-alpn", "port",
                                 "ipv4hint",  "ech",  "ipv6hint"};
enum : std::uint16_t { kMandatory, kAlpn, kNoDefaultAlpn, kPort, kIpv4Hint, kEch, kIpv6Hint };

std::optional<std::string> Address(int family, const std::string& text) {
  std::array<char, 16> bytes{};
  if (inet_pton(family, text.c_str(), bytes.data()) != 1) return std::nullopt;
  return std::string(bytes.data(), family == AF_INET ? 4 : 16);
}

std::string AddressText(int family, std::string_view bytes) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  inet_ntop(family, bytes.data(), text.data(), text.size());
  return text.data();
}

std::optional<std::string> HexBytes(std::string_view text) {
  if (text.size() % 2 != 0) return std::nullopt;
  std::string out;
  for (std::size_t at = 0; at < text.size(); at += 2) {
    unsigned value = 0;
    const char* end = text.data() + at + 2;
    const auto [stop, error] = std::from_chars(text.data() + at, end, value, 16);
    if (error != std::errc() || stop != end) return std::nullopt;
    out += static_cast<char>(value);
  }
  return out;
}

std::string HexText(std::string_view bytes) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out;
  for (const char c : bytes) {
    out += kDigits[static_cast<unsigned char>(c) >> 4];
    out += kDigits[static_cast<unsigned char>(c) & 15];
  }
  return out;
}

// ======== SvcParams (RFC 9460 §2.1, appendix A) ========

std::optional<std::uint16_t> SvcKeyOf(std::string_view text) {
  for (std::size_t key = 0; key < kSvcKeys.size(); ++key) {
    if (text == kSvcKeys[key]) return static_cast<std::uint16_t>(key);
  }
  if (!text.starts_with("key") || (text.size() > 4 && text[3] == '0')) return std::nullopt;
  const auto key = ParseUnsigned<std::uint16_t>(text.substr(3));
  return key == 65535 ? std::nullopt : key;
}

std::string SvcKeyText(std::uint16_t key) {
  return key < kSvcKeys.size() ? kSvcKeys[key] : "key" + std::to_string(key);
}

// Splits at commas. `\,` and `\\` stand for a comma and a backslash within a value (RFC 9460 A.1).
std::vector<std::string> CommaList(std::string_view text) {
  std::vector<std::string> parts(1);
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == ',') {
      parts.emplace_back();
      continue;
    }
    if (text[at] == '\\' && at + 1 < text.size()) ++at;
    parts.back() += text[at];
  }
  return parts;
}

// Encodes the keys that a client must support, sorted (RFC 9460 §8).
std::optional<std::string> MandatoryFromText(const std::string& text) {
  std::vector<std::uint16_t> keys;
  for (const auto& part : CommaList(text)) {
    const auto key = SvcKeyOf(part);
    if (!key) return std::nullopt;
    keys.push_back(*key);
  }
  std::sort(keys.begin(), keys.end());
  std::string out;
  for (const auto key : keys) Put16(out, key);
  return out;
}

std::optional<std::string> SvcValueFromText(std::uint16_t key, const std::string& text) {
  std::string out;
  switch (key) {
    case kMandatory:
      return MandatoryFromText(text);
    case kAlpn:
      for (const auto& part : CommaList(text)) {
        if (part.empty() || part.size() > 255) return std::nullopt;
        out += static_cast<char>(part.size()) + part;
      }
      return out;
    case kNoDefaultAlpn:
      return text.empty() ? std::optional(out) : std::nullopt;
    case kPort: {
      const auto port = ParseUnsigned<std::uint16_t>(text);
      if (!port) return std::nullopt;
      Put16(out, *port);
      return out;
    }
    case kIpv4Hint:
    case kIpv6Hint:
      for (const auto& part : CommaList(text)) {
        const auto address = Address(key == kIpv4Hint ? AF_INET : AF_INET6, part);
        if (!address) return std::nullopt;
        out += *address;
      }
      return out;
    case kEch:
      return FromBase64(text);
    default:
      return text;
  }
}

// True if the bytes are a valid value of the key.
bool IsSvcValue(std::uint16_t key, std::string_view value) {
  switch (key) {
    case kMandatory: {
      if (value.empty() || value.size() % 2 != 0) return false;
      for (std::size_t at = 0; at < value.size(); at += 2) {
        if (Get16(value, at) == kMandatory) return false;
        if (at > 0 && Get16(value, at) <= Get16(value, at - 2)) return false;
      }
      return true;
    }
    case kAlpn:
      for (std::size_t at = 0; at < value.size();) {
        const auto length = static_cast<unsigned char>(value[at]);
        at += 1 + length;
        if (length == 0 || at > value.size()) return false;
      }
      return !value.empty();
    case kNoDefaultAlpn:
      return value.empty();
    case kPort:
      return value.size() == 2;
    case kIpv4Hint:
      return !value.empty() && value.size() % 4 == 0;
    case kIpv6Hint:
      return !value.empty() && value.size() % 16 == 0;
    case kEch:
      return !value.empty();
    default:
      return true;
  }
}

// Calls `take(key, value)` for each parameter; returns false if the bytes are malformed.
template <typename Take>
bool EachSvcParam(std::string_view bytes, Take take) {
  std::int32_t last = -1;
  for (std::size_t at = 0; at < bytes.size();) {
    if (bytes.size() - at < 4) return false;
    const auto key = static_cast<std::uint16_t>(Get16(bytes, at));
    const std::size_t length = Get16(bytes, at + 2);
    at += 4;
    if (bytes.size() - at < length || key <= last) return false;
    take(key, bytes.substr(at, length));
    at += length;
    last = key;
  }
  return true;
}

bool AreSvcParams(std::string_view bytes) {
  std::map<std::uint16_t, std::string_view> values;
  bool good = true;
  const bool framed = EachSvcParam(bytes, [&](std::uint16_t key, std::string_view value) {
    good = good && IsSvcValue(key, value);
    values.emplace(key, value);
  });
  if (!framed || !good) return false;
  if (values.contains(kNoDefaultAlpn) && !values.contains(kAlpn)) return false;
  const auto mandatory = values.find(kMandatory);
  for (std::size_t at = 0; mandatory != values.end() && at < mandatory->second.size(); at += 2) {
    if (!values.contains(static_cast<std::uint16_t>(Get16(mandatory->second, at)))) return false;
  }
  return true;
}

std::optional<std::string> SvcParamsFromText(std::span<const Token> tokens, std::string& why,
                                             std::size_t& at_token) {
  std::map<std::uint16_t, std::string> values;
  for (const Token& token : tokens) {
    const auto equals = token.text.find('=');
    const auto key = SvcKeyOf(std::string_view(token.text).substr(0, equals));
    std::string_view given;
    if (equals != std::string::npos) given = std::string_view(token.text).substr(equals + 1);
    if (given.size() >= 2 && given.front() == '"' && given.back() == '"') {
      given = given.substr(1, given.size() - 2);
    }
    const auto bytes = Unescape(given);
    const auto value = key && bytes ? SvcValueFromText(*key, *bytes) : std::nullopt;
    if (!key) {
      why = "'" + token.text + "' names no service parameter";
    } else if (!value || !IsSvcValue(*key, *value)) {
      why = "'" + token.text + "' is no value of " + SvcKeyText(*key);
    } else if (!values.emplace(*key, *value).second) {
      why = SvcKeyText(*key) + " is given twice";
    } else {
      ++at_token;
      continue;
    }
    return std::nullopt;
  }
  std::string out;
  for (const auto& [key, value] : values) {
    Put16(out, key);
    Put16(out, static_cast<std::uint32_t>(value.size()));
    out += value;
  }
  if (AreSvcParams(out)) return out;
  why = "a parameter that another one needs is missing (RFC 9460 §8)";
  return std::nullopt;
}

std::string SvcValueText(std::uint16_t key, std::string_view value) {
  std::string out;
  const auto add = [&out](const std::string& part) { out += (out.empty() ? "" : ",") + part; };
  switch (key) {
    case kMandatory:
      for (std::size_t at = 0; at < value.size(); at += 2) {
        add(SvcKeyText(static_cast<std::uint16_t>(Get16(value, at))));
      }
      return out;
    case kAlpn:
      for (std::size_t at = 0; at < value.size();) {
        const auto length = static_cast<unsigned char>(value[at]);
        std::string part;
        for (const char c : value.substr(at + 1, length)) {
          part += c == ',' || c == '\\' ? std::string("\\") + c : std::string(1, c);
        }
        add(part);
        at += 1 + length;
      }
      break;
    case kPort:
      return std::to_string(Get16(value, 0));
    case kIpv4Hint:
      for (std::size_t at = 0; at < value.size(); at += 4) {
        add(AddressText(AF_INET, value.substr(at, 4)));
      }
      return out;
    case kIpv6Hint:
      for (std::size_t at = 0; at < value.size(); at += 16) {
        add(AddressText(AF_INET6, value.substr(at, 16)));
      }
      return out;
    case kEch:
      return EncodeBase64(value);
    default:
      out = value;
  }
  return "\"" + Escape(out, "\"") + "\"";
}

std::string SvcParamsText(std::string_view bytes) {
  std::string out;
  EachSvcParam(bytes, [&out](std::uint16_t key, std::string_view value) {
    out += (out.empty() ? "" : " ") + SvcKeyText(key);
    if (!value.empty()) out += "=" + SvcValueText(key, value);
  });
  return out;
}

// ======== fields of RDATA ========

// Returns the length of the field at the start of the bytes; nullopt if it is incomplete or
// malformed.
std::optional<std::size_t> LengthOf(Field field, std::string_view bytes) {
  const auto fixed = [&](std::size_t length) {
    return bytes.size() >= length ? std::optional(length) : std::nullopt;
  };
  switch (field) {
    case kU16:
      return fixed(2);
    case kU32:
    case kSeconds:
    case kIpv4:
      return fixed(4);
    case kIpv6:
      return fixed(16);
    case kName:
    case kPlainName:
    case kStrictName:
      return Name::WireLength(bytes);
    case kStrings: {
      std::size_t at = 0;
      while (at < bytes.size()) at += 1 + static_cast<unsigned char>(bytes[at]);
      return at > 0 && at == bytes.size() ? std::optional(at) : std::nullopt;
    }
    case kSvcParams:
      return AreSvcParams(bytes) ? std::optional(bytes.size()) : std::nullopt;
    case kEnd:
      break;
  }
  return std::nullopt;
}

bool IsName(Field field) { return field == kName || field == kPlainName || field == kStrictName; }

// Calls `take(field, bytes)` for each field; returns false if the bytes are not valid RDATA of the
// type.
template <typename Take>
bool EachField(const TypeInfo& info, std::string_view rdata, Take take) {
  for (const Field* field = info.fields.data(); *field != kEnd; ++field) {
    const auto length = LengthOf(*field, rdata);
    if (!length) return false;
    take(*field, rdata.substr(0, *length));
    rdata.remove_prefix(*length);
  }
  return rdata.empty();
}

// Parses all remaining tokens as character-strings (RFC 1035 §3.3).
std::optional<std::string> StringsFromText(std::span<const Token>& tokens, std::string& why,
                                           std::size_t& at_token) {
  std::string out;
  for (; !tokens.empty(); tokens = tokens.subspan(1), ++at_token) {
    const auto bytes = Unescape(tokens[0].text);
    if (!bytes || bytes->size() > 255) {
      why = bytes ? "a string is longer than 255 bytes" : "an escape in a string is not \\DDD";
      return std::nullopt;
    }
    out += static_cast<char>(bytes->size()) + *bytes;
  }
  return out;
}

std::optional<std::string> NumberFromText(Field field, const std::string& text, std::string& why) {
  std::optional<std::string> value;
  if (field == kU16) {
    if (const auto number = ParseUnsigned<std::uint16_t>(text)) Put16(value.emplace(), *number);
    if (!value) why = "'" + text + "' is no number from 0 to 65535";
    return value;
  }
  const auto number = field == kU32 ? ParseUnsigned<std::uint32_t>(text) : SecondsFromText(text);
  if (number) Put32(value.emplace(), *number);
  if (!value && field == kU32) why = "'" + text + "' is no number from 0 to 4294967295";
  if (!value && field == kSeconds) why = "'" + text + "' is no time such as 3600 or 1h30m";
  return value;
}

// Parses a field that consists of one token.
std::optional<std::string> WordFromText(Field field, const std::string& text, const Name& origin,
                                        std::string& why) {
  if (IsName(field)) {
    const auto name = Name::FromText(text, origin, why);
    return name ? std::optional(name->wire()) : std::nullopt;
  }
  if (field == kIpv4 || field == kIpv6) {
    auto value = Address(field == kIpv4 ? AF_INET : AF_INET6, text);
    if (!value) why = "'" + text + "' is no IPv" + (field == kIpv4 ? "4" : "6") + " address";
    return value;
  }
  return NumberFromText(field, text, why);
}

// Parses the field at the start of the tokens and removes its tokens.
std::optional<std::string> FieldFromText(Field field, std::span<const Token>& tokens,
                                         const Name& origin, std::string& why,
                                         std::size_t& at_token) {
  if (field == kSvcParams) {
    return SvcParamsFromText(std::exchange(tokens, {}), why, at_token);
  }
  if (tokens.empty()) {
    why = "a field is missing";
    return std::nullopt;
  }
  if (field == kStrings) return StringsFromText(tokens, why, at_token);
  auto value = WordFromText(field, tokens[0].text, origin, why);
  if (value) {
    tokens = tokens.subspan(1);
    ++at_token;
  }
  return value;
}

// Parses `\# LENGTH HEX...` (RFC 3597 §5), a form that is valid for every type.
std::optional<std::string> UnknownFromText(std::span<const Token> tokens, std::string& why,
                                           std::size_t& at_token) {
  const auto length =
      tokens.size() > 1 ? ParseUnsigned<std::uint16_t>(tokens[1].text) : std::nullopt;
  at_token = std::min<std::size_t>(1, tokens.size());
  if (!length) {
    why = "expected \\# and the number of bytes that follow in hexadecimal";
    return std::nullopt;
  }
  std::string digits;
  for (const Token& token : tokens.subspan(2)) digits += token.text;
  auto bytes = HexBytes(digits);
  if (bytes && bytes->size() == *length) return bytes;
  at_token = std::min<std::size_t>(2, tokens.size());
  why = bytes ? "there are " + std::to_string(bytes->size()) + " bytes where " +
                    std::to_string(*length) + " are announced"
              : "what follows \\# and the length is no hexadecimal";
  return std::nullopt;
}

}  // namespace

const TypeInfo* InfoOf(std::uint16_t type) {
  const auto found = std::find_if(std::begin(kTypes), std::end(kTypes),
                                  [type](const TypeInfo& info) { return info.type == type; });
  return found == std::end(kTypes) ? nullptr : found;
}

std::optional<std::uint16_t> TypeFromText(std::string_view text) {
  for (const TypeInfo& info : kTypes) {
    if (SameIgnoringCase(text, info.mnemonic)) return info.type;
  }
  for (const auto& [type, mnemonic] : kOtherTypes) {
    if (SameIgnoringCase(text, mnemonic)) return type;
  }
  if (!SameIgnoringCase(text.substr(0, 4), "TYPE")) return std::nullopt;
  return ParseUnsigned<std::uint16_t>(text.substr(4));
}

std::string TypeText(std::uint16_t type) {
  if (const TypeInfo* info = InfoOf(type)) return info->mnemonic;
  for (const auto& [other, mnemonic] : kOtherTypes) {
    if (type == other) return mnemonic;
  }
  return "TYPE" + std::to_string(type);
}

bool IsDataType(std::uint16_t type) {
  return type != 0 && type != type::kOpt && (type < 128 || type > 255);
}

std::optional<std::uint16_t> ClassFromText(std::string_view text) {
  for (const auto& [value, mnemonic] : kClasses) {
    if (SameIgnoringCase(text, mnemonic)) return value;
  }
  if (!SameIgnoringCase(text.substr(0, 5), "CLASS")) return std::nullopt;
  return ParseUnsigned<std::uint16_t>(text.substr(5));
}

std::string ClassText(std::uint16_t klass) {
  for (const auto& [value, mnemonic] : kClasses) {
    if (value == klass) return mnemonic;
  }
  return "CLASS" + std::to_string(klass);
}

std::optional<std::uint32_t> SecondsFromText(std::string_view text) {
  constexpr std::uint64_t kMost = 0x7fffffff;
  std::uint64_t sum = 0;
  std::uint64_t number = 0;
  bool digits = false;
  bool units = false;
  for (const char c : text) {
    if (c >= '0' && c <= '9') {
      number = number * 10 + static_cast<std::uint64_t>(c - '0');
      digits = true;
    } else {
      const auto unit = std::string_view("smhdw").find(LowerOf(c));
      constexpr std::array<std::uint64_t, 5> kSeconds = {1, 60, 3600, 86400, 604800};
      if (!digits || unit == std::string_view::npos) return std::nullopt;
      sum += number * kSeconds[unit];
      number = 0;
      digits = false;
      units = true;
    }
    if (number > kMost || sum > kMost) return std::nullopt;
  }
  if (!digits && !units) return std::nullopt;
  if (sum + number > kMost) return std::nullopt;
  return static_cast<std::uint32_t>(sum + number);
}

std::optional<std::string> RdataFromText(std::uint16_t type, std::span<const Token> tokens,
                                         const Name& origin, std::string& why,
                                         std::size_t& at_token) {
  at_token = 0;
  const TypeInfo* info = InfoOf(type);
  if (!tokens.empty() && tokens[0].text == "\\#" && !tokens[0].quoted) {
    auto bytes = UnknownFromText(tokens, why, at_token);
    if (!bytes || IsRdata(type, *bytes)) return bytes;
    why = "these bytes are no RDATA of " + TypeText(type);
    return std::nullopt;
  }
  if (info == nullptr) {
    why = TypeText(type) + " has no text format of its own here: write its RDATA as \\# LENGTH HEX";
    return std::nullopt;
  }
  std::string rdata;
  for (const Field* field = info->fields.data(); *field != kEnd; ++field) {
    const auto bytes = FieldFromText(*field, tokens, origin, why, at_token);
    if (!bytes) return std::nullopt;
    rdata += *bytes;
  }
  if (!tokens.empty()) {
    why = "'" + tokens[0].text + "' is more than " + TypeText(type) + " holds";
    return std::nullopt;
  }
  if (rdata.size() > 65535) {
    why = "the record is longer than 65535 bytes";
    return std::nullopt;
  }
  return rdata;
}

std::string RdataText(std::uint16_t type, std::string_view rdata) {
  std::string out;
  const TypeInfo* info = InfoOf(type);
  const bool known =
      info != nullptr && EachField(*info, rdata, [&](Field field, std::string_view bytes) {
        std::string text;
        switch (field) {
          case kU16:
            text = std::to_string(Get16(bytes, 0));
            break;
          case kU32:
          case kSeconds:
            text = std::to_string(Get32(bytes, 0));
            break;
          case kIpv4:
            text = AddressText(AF_INET, bytes);
            break;
          case kIpv6:
            text = AddressText(AF_INET6, bytes);
            break;
          case kStrings:
            for (std::size_t at = 0; at < bytes.size();) {
              const auto length = static_cast<unsigned char>(bytes[at]);
              text += at == 0 ? "\"" : " \"";
              text += Escape(bytes.substr(at + 1, length), "\"") + "\"";
              at += 1 + length;
            }
            break;
          case kSvcParams:
            text = SvcParamsText(bytes);
            break;
          default:
            text = Name::FromWire(bytes)->ToText();
        }
        out += (out.empty() || text.empty() ? "" : " ") + text;
      });
  if (known) return out;
  out = "\\# " + std::to_string(rdata.size());
  return rdata.empty() ? out : out + " " + HexText(rdata);
}

bool HasNames(std::uint16_t type) {
  const TypeInfo* info = InfoOf(type);
  return info != nullptr && std::any_of(std::begin(info->fields), std::end(info->fields), IsName);
}

bool IsRdata(std::uint16_t type, std::string_view rdata) {
  const TypeInfo* info = InfoOf(type);
  return rdata.size() <= 65535 &&
         (info == nullptr || EachField(*info, rdata, [](Field, std::string_view) {}));
}

std::string CanonicalRdata(std::uint16_t type, std::string_view rdata) {
  std::string out;
  const TypeInfo* info = InfoOf(type);
  const bool known =
      info != nullptr && EachField(*info, rdata, [&out](Field field, std::string_view bytes) {
        for (const char c : bytes) out += IsName(field) ? LowerOf(c) : c;
      });
  return known ? out : std::string(rdata);
}

std::string_view FieldOf(std::uint16_t type, std::string_view rdata, std::size_t n) {
  std::string_view found;
  if (const TypeInfo* info = InfoOf(type)) {
    std::size_t at = 0;
    EachField(*info, rdata, [&](Field, std::string_view bytes) {
      if (at++ == n) found = bytes;
    });
  }
  return found;
}

Name NameField(std::uint16_t type, std::string_view rdata, std::size_t n) {
  return Name::FromWire(FieldOf(type, rdata, n)).value_or(Name());
}

std::uint32_t NumberField(std::uint16_t type, std::string_view rdata, std::size_t n) {
  const auto field = FieldOf(type, rdata, n);
  return field.size() == 2 ? Get16(field, 0) : field.size() == 4 ? Get32(field, 0) : 0;
}

std::uint32_t SerialOf(std::string_view soa_rdata) {
  return NumberField(type::kSoa, soa_rdata, soa::kSerial);
}

std::string WithSerial(std::string_view soa_rdata, std::uint32_t serial) {
  std::string out(soa_rdata.substr(0, soa_rdata.size() - 20));
  Put32(out, serial);
  return out.append(soa_rdata.substr(soa_rdata.size() - 16));
}

void Put16(std::string& out, std::uint32_t value) {
  out += static_cast<char>(value >> 8);
  out += static_cast<char>(value);
}

void Put32(std::string& out, std::uint32_t value) {
  Put16(out, value >> 16);
  Put16(out, value & 0xffff);
}

std::uint32_t Get16(std::string_view bytes, std::size_t at) {
  return static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[at])) << 8 |
         static_cast<unsigned char>(bytes[at + 1]);
}

std::uint32_t Get32(std::string_view bytes, std::size_t at) {
  return Get16(bytes, at) << 16 | Get16(bytes, at + 2);
}

}  // namespace brassfront::dns
