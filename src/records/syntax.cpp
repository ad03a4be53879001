#include "records/syntax.hpp"

#include <array>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <cstring>
#include <fstream>
#include <sstream>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>
#include <type_traits>
#include <utility>

namespace brassfront::records {
namespace {

namespace peg = tao::pegtl;

// ======== the grammar ========

struct Comment : peg::seq<peg::two<'/'>, peg::until<peg::at<peg::eolf>>> {};
struct Blank : peg::star<peg::sor<peg::space, Comment>> {};
struct SameLine : peg::star<peg::blank> {};

struct NameChar : peg::sor<peg::alnum, peg::one<'_'>> {};
struct Identifier : peg::seq<peg::sor<peg::alpha, peg::one<'_'>>, peg::star<NameChar>> {};
struct Definition : peg::seq<peg::one<'#'>, Identifier> {};

struct Hex4 : peg::rep<4, peg::xdigit> {};
struct EscapedChar
    : peg::sor<peg::one<'"', '\\', '/', 'n', 't', 'r'>, peg::seq<peg::one<'u'>, Hex4>> {};
struct Escape : peg::seq<peg::one<'\\'>, peg::must<EscapedChar>> {};
struct StringChar : peg::sor<Escape, peg::seq<peg::not_at<peg::one<'"', '\n', '\r'>>, peg::any>> {};
struct StringBody : peg::star<StringChar> {};
struct StringEnd : peg::one<'"'> {};
struct String : peg::seq<peg::one<'"'>, StringBody, peg::must<StringEnd>> {};

struct Digits
    : peg::seq<peg::digit,
               peg::star<peg::sor<peg::digit, peg::seq<peg::one<'_'>, peg::at<peg::digit>>>>> {};
struct NumberValue : peg::seq<peg::opt<peg::one<'-'>>, Digits, peg::opt<peg::one<'.'>, Digits>> {};
struct UnitName
    : peg::seq<peg::opt<peg::one<'/'>>, peg::plus<peg::sor<peg::alpha, peg::one<'%'>>>> {};
struct NumberLiteral : peg::seq<NumberValue, peg::opt<UnitName>> {};

struct RelationOperator : peg::sor<peg::string<'>', '='>, peg::string<'<', '='>,
                                   peg::string<'!', '='>, peg::one<'<'>, peg::one<'>'>> {};
struct Limit : peg::sor<NumberLiteral, String> {};
struct BoundRule : peg::seq<RelationOperator, SameLine, peg::must<Limit>> {};

struct Value;
struct Fields;

struct OpenBrace : peg::one<'{'> {};
struct CloseBrace : peg::one<'}'> {};
struct StructRule : peg::seq<OpenBrace, Blank, Fields, Blank, peg::must<CloseBrace>> {};

struct Rest : peg::seq<peg::string<'.', '.', '.'>, peg::opt<SameLine, Value>> {};
struct Item : peg::sor<Rest, Value> {};
struct OpenBracket : peg::one<'['> {};
struct CloseBracket : peg::one<']'> {};
struct Items
    : peg::opt<Item, peg::star<Blank, peg::one<','>, Blank, Item>, peg::opt<Blank, peg::one<','>>> {
};
struct ListRule : peg::seq<OpenBracket, Blank, Items, Blank, peg::must<CloseBracket>> {};

struct OpenParen : peg::one<'('> {};
struct CloseParen : peg::one<')'> {};
struct Group : peg::seq<OpenParen, Blank, peg::must<Value>, Blank, peg::must<CloseParen>> {};

struct Primary : peg::sor<StructRule, ListRule, String, NumberLiteral, BoundRule, Definition,
                          Identifier, Group> {};
struct NextPrimary : Primary {};
struct AndRule : peg::seq<Primary, peg::star<Blank, peg::one<'&'>, Blank, peg::must<NextPrimary>>> {
};
struct DefaultMark : peg::one<'*'> {};
struct Choice : peg::seq<peg::opt<DefaultMark, SameLine>, AndRule> {};
struct NextChoice : Choice {};
struct Value : peg::seq<Choice, peg::star<Blank, peg::one<'|'>, Blank, peg::must<NextChoice>>> {};

struct OptionalMark : peg::one<'?'> {};
struct Label : peg::sor<Definition, Identifier, String> {};
struct Colon : peg::one<':'> {};
struct FieldRule;
struct FieldValue : peg::sor<FieldRule, Value> {};
// `a: b: 1` is short for `a: {b: 1}`.
struct FieldRule
    : peg::seq<Label, peg::opt<OptionalMark>, SameLine, Colon, SameLine, peg::must<FieldValue>> {};
struct Open : peg::string<'.', '.', '.'> {};
struct Entry : peg::sor<Open, FieldRule> {};
struct EndOfEntry
    : peg::sor<peg::one<','>, peg::eolf, peg::seq<Comment, peg::eolf>, peg::at<CloseBrace>> {};
struct Fields : peg::star<Entry, SameLine, peg::must<EndOfEntry>, Blank> {};
struct EndOfFile : peg::eof {};
struct File : peg::seq<Blank, Fields, Blank, peg::must<EndOfFile>> {};

// What the parser expected, for fault messages.
template <typename Rule>
inline constexpr const char* kExpected = nullptr;
template <>
inline constexpr const char* kExpected<EscapedChar> =
    "expected one of \\\" \\\\ \\/ \\n \\t \\r \\u0000 after the backslash";
template <>
inline constexpr const char* kExpected<StringEnd> = "expected the string's closing quote";
template <>
inline constexpr const char* kExpected<Limit> = "expected a number or a string after the bound";
template <>
inline constexpr const char* kExpected<CloseBrace> = "expected a field `name: value` or }";
template <>
inline constexpr const char* kExpected<CloseBracket> = "expected a value, a comma or ]";
template <>
inline constexpr const char* kExpected<CloseParen> = "expected )";
template <>
inline constexpr const char* kExpected<Value> = "expected a value";
template <>
inline constexpr const char* kExpected<NextPrimary> = "expected a value after &";
template <>
inline constexpr const char* kExpected<NextChoice> = "expected a value after |";
template <>
inline constexpr const char* kExpected<FieldValue> =
    "expected a value: a number, \"text\", true, false, a type, a bound, #Name, {...} or [...]";
template <>
inline constexpr const char* kExpected<EndOfEntry> = "expected the end of the line or a comma";
template <>
inline constexpr const char* kExpected<EndOfFile> = "expected a field `name: value`";

struct Expected {
  template <typename Rule>
  // NOLINTNEXTLINE(readability-identifier-naming): PEGTL looks up the text by this name.
  static constexpr auto message = kExpected<Rule>;
  template <typename Rule>
  // NOLINTNEXTLINE(readability-identifier-naming): PEGTL looks up this setting by this name.
  static constexpr bool raise_on_failure = false;  // except where the grammar uses must
};
template <typename Rule>
using Control = peg::must_if<Expected, peg::normal, false>::control<Rule>;

template <typename Rule>
using Selector = peg::parse_tree::selector<
    Rule,
    peg::parse_tree::store_content::on<Identifier, Definition, StringBody, NumberValue, UnitName,
                                       RelationOperator, NumberLiteral>,
    peg::parse_tree::remove_content::on<String, BoundRule, StructRule, ListRule, Rest, AndRule,
                                        DefaultMark, Choice, NextChoice, Value, FieldRule,
                                        OptionalMark, Open, Group>>;

using Node = peg::parse_tree::node;

// ======== from the parse tree to expressions ========

class Builder {
 public:
  explicit Builder(const std::string& file) : file_(std::make_shared<const std::string>(file)) {}

  [[nodiscard]] Expression::Struct FieldsOf(const Node& parent) const {
    Expression::Struct out;
    for (const auto& child : parent.children) {
      if (child->is_type<Open>()) {
        out.open = true;
      } else {
        out.fields.push_back(FieldOf(*child));
      }
    }
    return out;
  }

  [[nodiscard]] Place At(const Node& node) const {
    const auto position = node.begin();
    return {file_, position.line, position.column};
  }

 private:
  [[noreturn]] void Fail(const Node& node, std::string message) const {
    ThrowFault(At(node), std::move(message));
  }

  [[nodiscard]] Field FieldOf(const Node& node) const {
    Field field;
    field.at = At(node);
    const Node& label = *node.children.front();
    field.name = label.is_type<String>() ? StringOf(label) : label.string();
    std::size_t next = 1;
    if (node.children[next]->is_type<OptionalMark>()) {
      field.optional = true;
      ++next;
    }
    const Node& value = *node.children[next];
    if (value.is_type<FieldRule>()) {
      Expression::Struct inner;
      inner.fields.push_back(FieldOf(value));
      field.value = Make(value, std::move(inner));
    } else {
      field.value = ValueOf(value);
    }
    return field;
  }

  template <typename Form>
  [[nodiscard]] [[nodiscard]] [[nodiscard]] [[nodiscard]] [[nodiscard]] [[nodiscard]] [[nodiscard]] [[nodiscard]] [[nodiscard]] ExpressionPtr
  Make(const Node& node, Form form) const {
    return std::make_shared<const Expression>(Expression{At(node), std::move(form)});
  }

  [[nodiscard]] ExpressionPtr ValueOf(const Node& node) const {
    if (node.is_type<Value>()) {
      Expression::Or choices;
      for (const auto& child : node.children) {
        const bool preferred = child->children.front()->is_type<DefaultMark>();
        choices.choices.push_back({preferred, ValueOf(*child->children.back())});
      }
      if (choices.choices.size() == 1 && !choices.choices[0].preferred) {
        return choices.choices[0].value;
      }
      return Make(node, std::move(choices));
    }
    if (node.is_type<AndRule>()) {
      Expression::And parts;
      for (const auto& child : node.children) parts.parts.push_back(ValueOf(*child));
      if (parts.parts.size() == 1) return parts.parts[0];
      return Make(node, std::move(parts));
    }
    if (node.is_type<Group>()) return ValueOf(*node.children.front());
    if (node.is_type<StructRule>()) return Make(node, FieldsOf(node));
    if (node.is_type<ListRule>()) return Make(node, ListOf(node));
    if (node.is_type<String>()) return Make(node, StringOf(node));
    if (node.is_type<NumberLiteral>()) return Make(node, NumberOf(node));
    if (node.is_type<BoundRule>()) return Make(node, BoundOf(node));
    if (node.is_type<Definition>()) return Make(node, Expression::Reference{node.string()});
    return Make(node, Expression::Name{node.string()});
  }

  [[nodiscard]] Expression::List ListOf(const Node& node) const {
    Expression::List list;
    for (const auto& child : node.children) {
      if (list.rest) Fail(*child, "nothing may follow ... in a list");
      if (!child->is_type<Rest>()) {
        list.items.push_back(ValueOf(*child));
      } else if (child->children.empty()) {
        list.rest = Make(*child, Expression::Name{"any"});
      } else {
        list.rest = ValueOf(*child->children.front());
      }
    }
    return list;
  }

  [[nodiscard]] Expression::Bound BoundOf(const Node& node) const {
    const std::string relation = node.children[0]->string();
    const Node& limit = *node.children[1];
    Expression::Bound bound{relation == ">="   ? Relation::kAtLeast
                            : relation == "<=" ? Relation::kAtMost
                            : relation == ">"  ? Relation::kMore
                            : relation == "<"  ? Relation::kLess
                                               : Relation::kNot,
                            {}};
    if (limit.is_type<String>()) {
      if (bound.relation != Relation::kNot) Fail(limit, "strings have no order: use !=");
      bound.limit = StringOf(limit);
    } else {
      bound.limit = NumberOf(limit);
    }
    return bound;
  }

  [[nodiscard]] std::string StringOf(const Node& node) const {
    const std::string raw = node.children.empty() ? "" : node.children.front()->string();
    std::string out;
    for (std::size_t i = 0; i < raw.size(); ++i) {
      if (raw[i] != '\\') {
        out += raw[i];
        continue;
      }
      switch (raw[++i]) {
        case 'n':
          out += '\n';
          break;
        case 't':
          out += '\t';
          break;
        case 'r':
          out += '\r';
          break;
        case 'u':
          if (!AppendUtf8(out, std::stoul(raw.substr(i + 1, 4), nullptr, 16))) {
            Fail(node, "half of a surrogate pair is no character");
          }
          i += 4;
          break;
        default:
          out += raw[i];
      }
    }
    return out;
  }

  static bool AppendUtf8(std::string& out, std::uint32_t code) {
    if (code >= 0xD800 && code < 0xE000) return false;
    if (code < 0x80) {
      out += static_cast<char>(code);
    } else if (code < 0x800) {
      out += static_cast<char>(0xC0 | (code >> 6));
      out += static_cast<char>(0x80 | (code & 0x3F));
    } else {
      out += static_cast<char>(0xE0 | (code >> 12));
      out += static_cast<char>(0x80 | ((code >> 6) & 0x3F));
      out += static_cast<char>(0x80 | (code & 0x3F));
    }
    return true;
  }

  struct UnitOf {
    const char* name;
    Unit unit;
    double factor;
  };

  [[nodiscard]] Number NumberOf(const Node& node) const {
    constexpr double kKi = 1024;
    static constexpr auto kUnits = std::to_array<UnitOf>({{"ns", Unit::kDuration, 1},
                                                          {"us", Unit::kDuration, 1e3},
                                                          {"ms", Unit::kDuration, 1e6},
                                                          {"s", Unit::kDuration, 1e9},
                                                          {"m", Unit::kDuration, 60e9},
                                                          {"h", Unit::kDuration, 3600e9},
                                                          {"d", Unit::kDuration, 86400e9},
                                                          {"B", Unit::kSize, 1},
                                                          {"KiB", Unit::kSize, kKi},
                                                          {"MiB", Unit::kSize, kKi * kKi},
                                                          {"GiB", Unit::kSize, kKi * kKi * kKi},
                                                          {"kB", Unit::kSize, 1e3},
                                                          {"MB", Unit::kSize, 1e6},
                                                          {"GB", Unit::kSize, 1e9},
                                                          {"/s", Unit::kRate, 1},
                                                          {"/m", Unit::kRate, 1.0 / 60},
                                                          {"/h", Unit::kRate, 1.0 / 3600},
                                                          {"%", Unit::kNone, 0.01}});
    std::string digits;
    for (const char c : node.children[0]->string()) {
      if (c != '_') digits += c;
    }
    const bool fraction = digits.find('.') != std::string::npos;
    Number number;
    std::from_chars(digits.data(), digits.data() + digits.size(), number.value);
    double factor = 1;
    if (node.children.size() > 1) {
      const std::string unit = node.children[1]->string();
      const UnitOf* found = nullptr;
      std::vector<std::string> known;
      for (const UnitOf& candidate : kUnits) {
        if (unit == candidate.name) found = &candidate;
        known.push_back(candidate.name);
      }
      if (found == nullptr) {
        std::string list;
        for (const std::string& name : known) list += " " + name;
        Fail(*node.children[1], "unknown unit " + unit + "; units are" + list);
      }
      number.unit = found->unit;
      factor = found->factor;
    }
    const bool percent = number.unit == Unit::kNone && factor != 1;
    number.whole = !fraction && !percent;
    if (number.unit == Unit::kNone && number.whole) {
      const auto [end, error] =
          std::from_chars(digits.data(), digits.data() + digits.size(), number.exact);
      if (error != std::errc()) Fail(node, "the number does not fit into 64 bits");
    }
    number.value *= factor;
    if (number.unit == Unit::kDuration || number.unit == Unit::kSize) {
      if (std::abs(number.value) > 9e18) Fail(node, "the quantity is too large");
      number.exact = std::llround(number.value);
      number.value = static_cast<double>(number.exact);
      number.whole = true;
    }
    if (number.unit == Unit::kRate) number.whole = false;
    return number;
  }

  std::shared_ptr<const std::string> file_;
};

// Rejects a file whose nesting would overflow the stack: the parser recurses once for each level of
// brackets outside strings and comments. `a: b: c:` nests as well.
void CheckDepth(std::string_view text, const std::string& file) {
  std::size_t depth = 0, line = 1, line_start = 0, colons = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '\n') {
      ++line;
      line_start = i + 1;
      in_string = false;
      colons = 0;
    } else if (in_string) {
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
    } else if (c == '"') {
      in_string = true;
    } else if (c == '/' && text.substr(i, 2) == "//") {
      i = std::min(text.find('\n', i), text.size()) - 1;
    } else if (c == '{' || c == '[' || c == '(') {
      ++depth;
    } else if ((c == '}' || c == ']' || c == ')') && depth > 0) {
      --depth;
    } else if (c == ':') {
      ++colons;
    } else if (c == ',') {
      colons = 0;
    }
    if (depth <= kMaxDepth && colons <= kMaxDepth) continue;
    const Place at{std::make_shared<const std::string>(file), line, i - line_start + 1};
    ThrowFault(at, "nested deeper than " + std::to_string(kMaxDepth) + " levels");
  }
}

}  // namespace

std::string ShortestText(double value) {
  std::array<char, 40> text{};
  const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), value);
  return std::string(text.data(), end);
}

ExpressionPtr ParseRecords(std::string_view text, const std::string& file) {
  const auto name = std::make_shared<const std::string>(file);
  if (text.size() > kMaxBytes) {
    ThrowFault(Place{name, 1, 1}, "larger than 1 MiB");
  }
  CheckDepth(text, file);
  peg::memory_input in(text.data(), text.size(), file);
  try {
    const auto root = peg::parse_tree::parse<File, Selector, peg::nothing, Control>(in);
    const Builder builder(file);
    Expression::Struct fields = builder.FieldsOf(*root);
    return std::make_shared<const Expression>(Expression{{name, 1, 1}, std::move(fields)});
  } catch (const peg::parse_error& error) {
    const auto& position = error.positions().front();
    const Place at{name, position.line, position.column};
    std::string found = "the end of the file";
    if (position.byte < text.size()) {
      const std::string_view rest = text.substr(position.byte, 16);
      const std::string_view word = rest.substr(0, rest.find_first_of(" \t\r\n"));
      found = word.empty() ? "the end of the line" : Quote(word);
    }
    ThrowFault(at, std::string(error.message()) + ", found " + found);
  }
}

std::string ReadRecordFile(const std::string& path) {
  const auto name = std::make_shared<const std::string>(path);
  std::ifstream in(path, std::ios::binary);
  if (!in) ThrowFault(Place{}, path + ": " + std::strerror(errno));
  std::string text(kMaxBytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (in.bad()) ThrowFault(Place{}, path + ": cannot be read");
  text.resize(static_cast<std::size_t>(in.gcount()));
  return text;
}

}  // namespace brassfront::records
