#include "dns/zone_file.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <tao/pegtl.hpp>
#include <utility>

namespace brassfront::dns {
namespace {

namespace peg = tao::pegtl;

constexpr std::size_t kMaxIncludeDepth = 16;               // nesting depth
constexpr std::uint64_t kMaxGeneratedRecords = 1'000'000;  // records from one $GENERATE

// ======== grammar: lines of tokens ========

struct Escaped : peg::seq<peg::one<'\\'>, peg::not_one<'\n', '\r'>> {};
struct QuotedByte : peg::sor<Escaped, peg::not_one<'"', '\\', '\n', '\r'>> {};
struct QuoteEnd : peg::one<'"'> {};
struct QuotedBody : peg::star<QuotedByte> {};
struct InQuotes : peg::seq<peg::one<'"'>, QuotedBody, peg::must<QuoteEnd>> {};
struct Quoted : peg::seq<InQuotes> {};
struct PlainByte
    : peg::sor<Escaped, peg::not_one<' ', '\t', '\n', '\r', ';', '(', ')', '"', '\\'>> {};
// A service parameter whose value is in quotes: key="a value".
struct WithQuotedValue : peg::seq<peg::plus<peg::seq<peg::not_at<peg::one<'='>>, PlainByte>>,
                                  peg::one<'='>, InQuotes> {};
struct Bare : peg::sor<WithQuotedValue, peg::plus<PlainByte>> {};
struct Comment : peg::seq<peg::one<';'>, peg::until<peg::at<peg::eolf>>> {};
struct GroupEnd : peg::one<')'> {};
struct Group
    : peg::seq<peg::one<'('>, peg::star<peg::sor<peg::blank, peg::eol, Comment, Quoted, Bare>>,
               peg::must<GroupEnd>> {};
struct Indent : peg::at<peg::blank> {};
struct EndOfLine : peg::eolf {};
struct Line : peg::seq<peg::opt<Indent>, peg::star<peg::sor<peg::blank, Quoted, Bare, Group>>,
                       peg::opt<Comment>, peg::must<EndOfLine>> {};
struct File : peg::until<peg::eof, Line> {};

template <typename Rule>
inline constexpr const char* kExpected = nullptr;
template <>
inline constexpr const char* kExpected<QuoteEnd> = "expected the closing quote on this line";
template <>
inline constexpr const char* kExpected<GroupEnd> =
    "expected ) to end what ( began; no ( may be inside";
template <>
inline constexpr const char* kExpected<EndOfLine> =
    "expected the line's end: a ) without (, or \\ before nothing?";
template <>
inline constexpr const char* kExpected<File> = "expected lines";

struct Errors {
  template <typename Rule>
  // NOLINTNEXTLINE(readability-identifier-naming): PEGTL looks the text up by this name.
  static constexpr auto message = kExpected<Rule>;
};
template <typename Rule>
using Control = peg::must_if<Errors>::control<Rule>;

struct Entry {
  bool indented = false;
  std::vector<Token> tokens;
};

template <typename Rule>
struct Action : peg::nothing<Rule> {};
template <>
struct Action<Indent> {
  template <typename Reader>
  static void apply0(Reader& reader) {
    reader.entry.indented = true;
  }
};
template <typename Input, typename Reader>
void TakeToken(const Input& in, Reader& reader, bool quoted) {
  std::string text = in.string();
  if (quoted) text = text.substr(1, text.size() - 2);
  const auto place = in.position();
  reader.entry.tokens.push_back({std::move(text), quoted, place.line, place.column});
}
template <>
struct Action<Bare> {
  template <typename Input, typename Reader>
  static void apply(const Input& in, Reader& reader) {
    TakeToken(in, reader, false);
  }
};

// ======== $GENERATE ========

struct Range {
  std::uint32_t from = 0, to = 0, step = 1;
};

std::optional<Range> RangeOf(std::string_view text) {
  const auto dash = text.find('-');
  if (dash == std::string_view::npos) return std::nullopt;
  const auto slash = text.find('/');
  const auto from = ParseUnsigned<std::uint32_t>(text.substr(0, dash));
  const auto to = ParseUnsigned<std::uint32_t>(text.substr(
      dash + 1, slash == std::string_view::npos ? std::string_view::npos : slash - dash - 1));
  const auto step =
      slash == std::string_view::npos ? 1 : ParseUnsigned<std::uint32_t>(text.substr(slash + 1));
  if (!from || !to || !step || *to < *from || *step == 0) return std::nullopt;
  return Range{*from, *to, *step};
}

std::string InBase(std::uint64_t value, char base, std::size_t width) {
  std::string out;
  // Uses a pointer, since GCC 12 with the undefined-behaviour sanitizer evaluates
  // (c ? "..." : "...")[n] to the first digit for every n.
  const char* const digits = base == 'N' || base == 'X' ? "0123456789ABCDEF" : "0123456789abcdef";
  if (base == 'n' || base == 'N') {  // nibbles separated by dots, lowest first
    while (out.size() < width || value > 0 || out.empty()) {
      if (!out.empty()) out += '.';
      out += digits[value % 16];
      value /= 16;
    }
    return out;
  }
  const unsigned radix = base == 'o' ? 8 : base == 'd' ? 10 : 16;
  do {
    out += digits[value % radix];
    value /= radix;
  } while (value > 0);
  if (out.size() < width) out.append(width - out.size(), '0');
  std::reverse(out.begin(), out.end());
  return out;
}

// Format of the number in a $GENERATE: `${offset,width,base}`.
struct GenerateFormat {
  std::int64_t offset = 0;
  std::size_t width = 0;
  char base = 'd';
};

constexpr std::uint32_t kMaxGenerateWidth = 255;

std::vector<std::string_view> SplitAtCommas(std::string_view text) {
  std::vector<std::string_view> parts;
  while (true) {
    const auto comma = text.find(',');
    parts.push_back(text.substr(0, comma));
    if (comma == std::string_view::npos) return parts;
    text.remove_prefix(comma + 1);
  }
}

// Parses the text between the braces; returns nullopt if it is malformed.
std::optional<GenerateFormat> ParseGenerateFormat(std::string_view inside) {
  const auto parts = SplitAtCommas(inside);
  GenerateFormat format;
  const char* const end = parts[0].data() + parts[0].size();
  const auto [stop, error] = std::from_chars(parts[0].data(), end, format.offset);
  if (error != std::errc() || stop != end || parts.size() > 3) return std::nullopt;
  if (parts.size() > 1) {
    const auto width = ParseUnsigned<std::uint32_t>(parts[1]);
    if (!width || *width > kMaxGenerateWidth) return std::nullopt;
    format.width = *width;
  }
  if (parts.size() > 2) {
    constexpr std::string_view kBases = "doxXnN";
    if (parts[2].size() != 1 || kBases.find(parts[2][0]) == std::string_view::npos) {
      return std::nullopt;
    }
    format.base = parts[2][0];
  }
  return format;
}

// Returns the pattern with `$` and `${offset,width,base}` replaced by the number; `\$` becomes a
// dollar sign. Returns nullopt if the pattern is malformed.
std::optional<std::string> ExpandGenerate(std::string_view pattern, std::uint32_t number) {
  std::string out;
  for (std::size_t at = 0; at < pattern.size(); ++at) {
    if (pattern[at] == '\\' && at + 1 < pattern.size()) {
      if (pattern[at + 1] != '$') out += '\\';
      out += pattern[++at];
      continue;
    }
    if (pattern[at] != '$') {
      out += pattern[at];
      continue;
    }
    GenerateFormat format;
    if (at + 1 < pattern.size() && pattern[at + 1] == '{') {
      const auto end = pattern.find('}', at);
      if (end == std::string_view::npos) return std::nullopt;
      const auto given = ParseGenerateFormat(pattern.substr(at + 2, end - at - 2));
      if (!given) return std::nullopt;
      format = *given;
      at = end;
    }
    if (format.offset < -std::int64_t{number} || format.offset > 0xffffffffLL) return std::nullopt;
    out += InBase(static_cast<std::uint64_t>(number + format.offset), format.base, format.width);
  }
  return out;
}

// ======== entries to records ========

class Reader {
 public:
  Reader(const Name& zone, const IncludeResolver& resolve_include,
         const std::function<void(Record)>& take, std::vector<ZoneFileError>& faults)
      : zone_(zone),
        origin_(zone),
        resolve_include_(resolve_include),
        take_(take),
        faults_(faults) {}

  void Read(const ZoneText& text) {
    const ZoneText* outer = std::exchange(text_, &text);
    files_.push_back(text.identity);
    peg::memory_input<peg::tracking_mode::eager, peg::eol::lf_crlf, const char*> input(
        text.text.data(), text.text.data() + text.text.size(), text.file.c_str());
    try {
      peg::parse<File, Action, Control>(input, *this);
    } catch (const peg::parse_error& error) {
      const auto& place = error.positions().front();
      AddFault(place.line, place.column, std::string(error.message()));
    }
    entry = {};
    files_.pop_back();
    text_ = outer;
  }

  void EndEntry() {
    const Entry ended = std::exchange(entry, {});
    if (ended.tokens.empty()) return;
    const Token& first = ended.tokens[0];
    if (!ended.indented && !first.quoted && first.text.starts_with('$')) {
      HandleDirective(ended.tokens);
    } else {
      const std::span<const Token> tokens(ended.tokens);
      TakeEntry(ended.indented ? std::nullopt : std::optional(first.text),
                tokens.subspan(ended.indented ? 0 : 1), first);
    }
  }

  Entry entry;  // the current line

 private:
  void AddFault(std::size_t line, std::size_t column, std::string why) {
    faults_.push_back({text_->file, line, column, std::move(why)});
    if (faults_.size() >= InvalidZone::kMaxFaults) throw InvalidZone(faults_);
  }
  void AddFault(const Token& at, std::string why) { AddFault(at.line, at.column, std::move(why)); }

  void HandleDirective(const std::vector<Token>& tokens) {
    const std::string& directive = tokens[0].text;
    const auto arguments = tokens.size() - 1;
    std::string why;
    if (SameIgnoringCase(directive, "$ORIGIN") && arguments == 1) {
      const auto name = Name::FromText(tokens[1].text, origin_, why);
      if (name) {
        origin_ = *name;
      } else {
        AddFault(tokens[1], why);
      }
    } else if (SameIgnoringCase(directive, "$TTL") && arguments == 1) {
      default_ttl_ = SecondsFromText(tokens[1].text);
      if (!default_ttl_) AddFault(tokens[1], "'" + tokens[1].text + "' is no time");
    } else if (SameIgnoringCase(directive, "$INCLUDE") && (arguments == 1 || arguments == 2)) {
      Include(tokens);
    } else if (SameIgnoringCase(directive, "$GENERATE") && arguments >= 4) {
      Generate(tokens);
    } else {
      static constexpr std::array kKnown = {"$ORIGIN", "$TTL", "$INCLUDE", "$GENERATE"};
      const bool known = std::any_of(kKnown.begin(), kKnown.end(), [&](const char* name) {
        return SameIgnoringCase(directive, name);
      });
      AddFault(tokens[0], known ? directive + " has too few or too many arguments"
                                : "'" + directive + "' is no directive");
    }
  }

  void Include(const std::vector<Token>& tokens) {
    std::string why;
    const auto named = Unescape(tokens[1].text);
    const auto text = named ? resolve_include_(*text_, *named, why) : std::nullopt;
    if (!text) {
      AddFault(tokens[1], named ? why : "an escape in the file's name is not \\DDD");
      return;
    }
    if (std::find(files_.begin(), files_.end(), text->identity) != files_.end()) {
      AddFault(tokens[1], text->file + " includes itself");
      return;
    }
    if (files_.size() >= kMaxIncludeDepth) {
      AddFault(tokens[1], "more than 16 files, one inside the other");
      return;
    }
    const Name origin = origin_;
    const auto owner = owner_;
    if (tokens.size() > 2) {
      const auto name = Name::FromText(tokens[2].text, origin_, why);
      if (!name) {
        AddFault(tokens[2], why);
        return;
      }
      origin_ = *name;
    }
    Read(*text);
    origin_ = origin;
    owner_ = owner;
  }

  void Generate(const std::vector<Token>& tokens) {
    const auto range = RangeOf(tokens[1].text);
    if (!range) {
      AddFault(tokens[1], "expected a range such as 1-100 or 0-254/2");
      return;
    }
    const std::uint64_t steps = (std::uint64_t{range->to} - range->from) / range->step + 1;
    if (steps > kMaxGeneratedRecords) {
      AddFault(tokens[1], "more than a million records from one $GENERATE");
      return;
    }
    const std::size_t faults = faults_.size();
    for (std::uint64_t n = 0; n < steps && faults_.size() == faults; ++n) {
      const auto number = static_cast<std::uint32_t>(range->from + n * range->step);
      std::vector<Token> made(tokens.begin() + 2, tokens.end());
      for (Token& token : made) {
        const auto text = ExpandGenerate(token.text, number);
        if (!text) {
          AddFault(token, "expected $ or ${offset,width,base}");
          return;
        }
        token.text = *text;
      }
      TakeEntry(made[0].text, std::span<const Token>(made).subspan(1), tokens[0]);
    }
  }

  // The fields between the owner and the RDATA of a record.
  struct EntryHeader {
    std::optional<std::uint32_t> ttl;
    std::uint16_t type = 0;
  };

  // Sets the owner of the record; without one the last owner applies. Returns false after a fault.
  bool TakeOwner(const std::optional<std::string>& owner, const Token& at) {
    if (!owner) {
      if (!owner_) AddFault(at, "a record without a name, and none before it");
      return owner_.has_value();
    }
    std::string why;
    owner_ = Name::FromText(*owner, origin_, why);
    if (!owner_) AddFault(at, why);
    return owner_.has_value();
  }

  // Parses TTL and class in either order and then the type, and removes their tokens. Returns
  // nullopt after a fault.
  std::optional<EntryHeader> TakeEntryHeader(std::span<const Token>& tokens, const Token& at) {
    std::optional<std::uint32_t> ttl;
    std::optional<std::uint16_t> klass;
    for (; !tokens.empty(); tokens = tokens.subspan(1)) {
      const std::string& text = tokens[0].text;
      if (!ttl && !text.empty() && text[0] >= '0' && text[0] <= '9') {
        ttl = SecondsFromText(text);
        if (!ttl) {
          AddFault(tokens[0], "'" + text + "' is no time from 0 to 2147483647 s");
          return std::nullopt;
        }
        continue;
      }
      if (const auto given = klass ? std::nullopt : ClassFromText(text)) {
        klass = given;
        if (*klass != klass::kIn) {
          AddFault(tokens[0], "class " + text + ": zones of class IN alone are read");
          return std::nullopt;
        }
        continue;
      }
      const auto type = TypeFromText(text);
      if (!type || !IsDataType(*type)) {
        AddFault(tokens[0], "'" + text + "' is no type of a record in a zone");
        return std::nullopt;
      }
      tokens = tokens.subspan(1);
      return EntryHeader{ttl, *type};
    }
    AddFault(at, "a record without a type");
    return std::nullopt;
  }

  void TakeEntry(const std::optional<std::string>& owner, std::span<const Token> tokens,
                 const Token& at) {
    if (!TakeOwner(owner, at)) return;
    const auto header = TakeEntryHeader(tokens, at);
    if (!header) return;
    std::string why;
    std::size_t at_token = 0;
    auto rdata = RdataFromText(header->type, tokens, origin_, why, at_token);
    if (!rdata) {
      AddFault(at_token < tokens.size() ? tokens[at_token] : at,
               TypeText(header->type) + ": " + why);
      return;
    }
    const bool is_soa = header->type == type::kSoa;
    auto ttl = header->ttl;
    if (!ttl) ttl = default_ttl_ ? default_ttl_ : last_ttl_;
    if (!ttl && is_soa) ttl = NumberField(type::kSoa, *rdata, soa::kMinimum);
    if (!ttl) {
      AddFault(at, "no TTL: neither here, nor in $TTL, nor in a record before this one");
      return;
    }
    last_ttl_ = ttl;
    if (!owner_->IsAtOrBelow(zone_)) {
      AddFault(at, owner_->ToText() + " is outside the zone " + zone_.ToText());
    } else if (is_soa && !(*owner_ == zone_)) {
      AddFault(at, "a SOA at " + owner_->ToText() + ", not at the zone's top");
    } else {
      take_({*owner_, header->type, klass::kIn, *ttl, *std::move(rdata)});
    }
  }

  const Name zone_;
  Name origin_;
  const IncludeResolver& resolve_include_;
  const std::function<void(Record)>& take_;
  std::vector<ZoneFileError>& faults_;
  const ZoneText* text_ = nullptr;
  std::vector<std::string> files_;  // identities of the files being read, for loop detection
  std::optional<Name> owner_;
  std::optional<std::uint32_t> default_ttl_;
  std::optional<std::uint32_t> last_ttl_;
};

template <>
struct Action<Quoted> {
  template <typename Input>
  static void apply(const Input& in, Reader& reader) {
    TakeToken(in, reader, true);
  }
};
template <>
struct Action<Line> {
  static void apply0(Reader& reader) { reader.EndEntry(); }
};

std::string JoinErrors(const std::vector<ZoneFileError>& faults) {
  std::string out;
  for (const ZoneFileError& fault : faults) out += (out.empty() ? "" : "\n") + fault.ToText();
  return out;
}

}  // namespace

std::string ZoneFileError::ToText() const {
  if (line == 0) return file + ": " + why;
  return file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": " + why;
}

InvalidZone::InvalidZone(std::vector<ZoneFileError> faults)
    : std::runtime_error(JoinErrors(faults)), faults_(std::move(faults)) {}

void ReadRecords(const ZoneText& text, const Name& origin, const IncludeResolver& resolve_include,
                 const std::function<void(Record)>& take) {
  std::vector<ZoneFileError> faults;
  Reader reader(origin, resolve_include, take, faults);
  reader.Read(text);
  if (!faults.empty()) throw InvalidZone(std::move(faults));
}

Zone ReadZone(const ZoneText& text, const Name& origin, const IncludeResolver& resolve_include) {
  Zone zone(origin);
  ReadRecords(text, origin, resolve_include, [&zone](Record record) {
    // All records of an RRset have one TTL: the smallest of those given (RFC 2181 §5.2).
    if (const RecordSet* set = zone.Find(record.name, record.type)) {
      record.ttl = std::min(record.ttl, set->ttl);
    }
    zone.Add(record);
  });
  std::vector<ZoneFileError> faults;
  for (std::string& why : FindZoneErrors(zone)) {
    faults.push_back({text.file, 0, 0, std::move(why)});
    if (faults.size() == InvalidZone::kMaxFaults) break;
  }
  if (!faults.empty()) throw InvalidZone(std::move(faults));
  return zone;
}

void WriteZone(const Zone& zone, const std::function<void(std::string_view)>& write) {
  if (zone.has_soa()) write(zone.Soa().ToText() + "\n");
  zone.EachRecord([&write](const Record& record) { write(record.ToText() + "\n"); });
}

}  // namespace brassfront::dns
