#include "protocol/json.hpp"

#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace brassfront::json {
namespace {

class Parser {
 public:
  Parser(std::string_view text, const Bounds& bounds) : text_(text), depth_left_(bounds.depth) {
    if (text.size() > bounds.bytes) Fail("too long");
  }

  Value ParseDocument() {
    Value value = ParseValue();
    SkipSpace();
    if (position_ != text_.size()) Fail("more than one value");
    return value;
  }

 private:
  [[noreturn]] void Fail(const std::string& what) const {
    throw Error("JSON at byte " + std::to_string(position_) + ": " + what);
  }

  [[nodiscard]] char Peek() const { return position_ < text_.size() ? text_[position_] : '\0'; }

  void SkipSpace() {
    while (position_ < text_.size() && std::string_view(" \t\r\n").find(text_[position_]) < 4) {
      ++position_;
    }
  }

  bool Skip(std::string_view word) {
    if (text_.substr(position_, word.size()) != word) return false;
    position_ += word.size();
    return true;
  }

  void Expect(char c) {
    SkipSpace();
    if (Peek() != c) Fail(std::string("expected '") + c + "'");
    ++position_;
  }

  Value ParseValue() {
    SkipSpace();
    if (Peek() == '{') return ParseNested(&Parser::ParseObject);
    if (Peek() == '[') return ParseNested(&Parser::ParseArray);
    if (Peek() == '"') return Value(ParseString());
    if (Skip("true")) return Value(true);
    if (Skip("false")) return Value(false);
    if (Skip("null")) return Value();
    return ParseNumber();
  }

  // Limits the nesting depth, as a deeply nested text could overflow a small stack.
  Value ParseNested(Value (Parser::*read)()) {
    if (depth_left_ == 0) Fail("nested too deeply");
    --depth_left_;
    ++position_;
    Value value = (this->*read)();
    ++depth_left_;
    return value;
  }

  // Called after an element. True if another element follows, false at the closing bracket.
  bool ConsumeSeparator(char close) {
    SkipSpace();
    if (Peek() == close) {
      ++position_;
      return false;
    }
    Expect(',');
    return true;
  }

  bool ConsumeClose(char close) {
    SkipSpace();
    if (Peek() != close) return false;
    ++position_;
    return true;
  }

  Value ParseObject() {
    Value::Object members;
    if (ConsumeClose('}')) return Value(std::move(members));
    do {
      SkipSpace();
      std::string name = ParseString();
      Expect(':');
      members.emplace_back(std::move(name), ParseValue());
    } while (ConsumeSeparator('}'));
    return Value(std::move(members));
  }

  Value ParseArray() {
    Value::Array items;
    if (ConsumeClose(']')) return Value(std::move(items));
    do {
      items.push_back(ParseValue());
    } while (ConsumeSeparator(']'));
    return Value(std::move(items));
  }

  bool SkipDigits() {
    const std::size_t from = position_;
    while (Peek() >= '0' && Peek() <= '9') ++position_;
    return position_ > from;
  }

  Value ParseNumber() {
    const std::size_t from = position_;
    Skip("-");
    if (!Skip("0") && !SkipDigits()) Fail("expected a value");
    if (Skip(".") && !SkipDigits()) Fail("expected digits");
    if (Peek() == 'e' || Peek() == 'E') {
      ++position_;
      if (!Skip("-")) Skip("+");
      if (!SkipDigits()) Fail("expected digits");
    }
    double number = 0;
    const auto [end, error] =
        std::from_chars(text_.data() + from, text_.data() + position_, number);
    if (error != std::errc() || end != text_.data() + position_) Fail("a number out of range");
    return Value(number);
  }

  unsigned ParseHex4() {
    unsigned code = 0;
    const std::string_view digits = text_.substr(position_, 4);
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), code, 16);
    if (error != std::errc() || digits.size() < 4 || end != digits.data() + 4) Fail("bad escape");
    position_ += 4;
    return code;
  }

  static void AppendUtf8(std::string& out, unsigned code) {
    if (code < 0x80) {
      out += static_cast<char>(code);
      return;
    }
    const int more = code < 0x800 ? 1 : code < 0x10000 ? 2 : 3;
    static constexpr std::array<unsigned, 4> kLead = {0, 0xC0, 0xE0, 0xF0};
    out += static_cast<char>(kLead[static_cast<std::size_t>(more)] | (code >> (6 * more)));
    for (int i = more - 1; i >= 0; --i) {
      out += static_cast<char>(0x80 | ((code >> (6 * i)) & 0x3F));
    }
  }

  void ParseEscape(std::string& out) {
    static constexpr std::string_view kNames = "\"\\/bfnrt";
    static constexpr std::string_view kChars = "\"\\/\b\f\n\r\t";
    const char c = Peek();
    ++position_;
    if (c != 'u') {
      const std::size_t which = c == '\0' ? std::string_view::npos : kNames.find(c);
      if (which == std::string_view::npos) Fail("bad escape");
      out += kChars[which];
      return;
    }
    unsigned code = ParseHex4();
    if (code >= 0xD800 && code < 0xDC00) {
      if (!Skip("\\u")) Fail("half a surrogate pair");
      const unsigned low = ParseHex4();
      if (low < 0xDC00 || low > 0xDFFF) Fail("half a surrogate pair");
      code = 0x10000 + ((code - 0xD800) << 10) + (low - 0xDC00);
    } else if (code >= 0xDC00 && code < 0xE000) {
      Fail("half a surrogate pair");
    }
    AppendUtf8(out, code);
  }

  std::string ParseString() {
    if (Peek() != '"') Fail("expected a string");
    ++position_;
    std::string out;
    while (true) {
      if (position_ >= text_.size()) Fail("unterminated string");
      const char c = text_[position_++];
      if (c == '"') return out;
      if (static_cast<unsigned char>(c) < 0x20) Fail("a control character in a string");
      if (c == '\\') {
        ParseEscape(out);
      } else {
        out += c;
      }
    }
  }

  std::string_view text_;
  std::size_t position_ = 0;
  std::size_t depth_left_;
};

template <typename T>
const T& Get(const Value::Data& data, const char* what) {
  const T* value = std::get_if<T>(&data);
  if (value == nullptr) throw Error(std::string("expected ") + what);
  return *value;
}

}  // namespace

const Value* Value::Find(std::string_view name) const {
  const Object* members = std::get_if<Object>(&data_);
  if (members == nullptr) return nullptr;
  for (const auto& [key, value] : *members) {
    if (key == name) return &value;
  }
  return nullptr;
}

const Value& Value::At(std::string_view name) const {
  const Value* value = Find(name);
  if (value == nullptr) throw Error("missing field '" + std::string(name) + "'");
  return *value;
}

const std::string& Value::Text() const { return Get<std::string>(data_, "a string"); }
double Value::Number() const { return Get<double>(data_, "a number"); }
bool Value::Boolean() const { return Get<bool>(data_, "true or false"); }
const Value::Array& Value::Items() const { return Get<Array>(data_, "a list"); }

std::uint64_t Value::UnsignedInteger() const {
  const double number = Number();
  if (number < 0 || number > 9007199254740992.0 || number != std::floor(number)) {
    throw Error("expected a whole number");
  }
  return static_cast<std::uint64_t>(number);
}

Value Parse(std::string_view text, const Bounds& bounds) {
  return Parser(text, bounds).ParseDocument();
}

std::string Quote(std::string_view text) {
  static constexpr std::string_view kHex = "0123456789abcdef";
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      out += "\\u00";
      out += kHex[static_cast<unsigned char>(c) >> 4];
      out += kHex[static_cast<unsigned char>(c) & 15];
    } else {
      out += c;
    }
  }
  return out += '"';
}

}  // namespace brassfront::json
