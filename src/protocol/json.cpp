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

  Value Whole() {
    Value value = Any();
    Space();
    if (at_ != text_.size()) Fail("more than one value");
    return value;
  }

 private:
  [[noreturn]] void Fail(const std::string& what) const {
    throw Error("JSON at byte " + std::to_string(at_) + ": " + what);
  }

  [[nodiscard]] char Peek() const { return at_ < text_.size() ? text_[at_] : '\0'; }

  void Space() {
    while (at_ < text_.size() && std::string_view(" \t\r\n").find(text_[at_]) < 4) ++at_;
  }

  bool Skip(std::string_view word) {
    if (text_.substr(at_, word.size()) != word) return false;
    at_ += word.size();
    return true;
  }

  void Expect(char c) {
    Space();
    if (Peek() != c) Fail(std::string("expected '") + c + "'");
    ++at_;
  }

  Value Any() {
    Space();
    if (Peek() == '{') return Nested(&Parser::AnObject);
    if (Peek() == '[') return Nested(&Parser::AnArray);
    if (Peek() == '"') return Value(AString());
    if (Skip("true")) return Value(true);
    if (Skip("false")) return Value(false);
    if (Skip("null")) return Value();
    return ANumber();
  }

  // Guards against a text that nests deep enough to use up a small stack.
  Value Nested(Value (Parser::*read)()) {
    if (depth_left_ == 0) Fail("nested too deep");
    --depth_left_;
    ++at_;
    Value value = (this->*read)();
    ++depth_left_;
    return value;
  }

  // After an element: true if another follows, false at the closing mark.
  bool More(char close) {
    Space();
    if (Peek() == close) {
      ++at_;
      return false;
    }
    Expect(',');
    return true;
  }

  bool Empty(char close) {
    Space();
    if (Peek() != close) return false;
    ++at_;
    return true;
  }

  Value AnObject() {
    Value::Object members;
    if (Empty('}')) return Value(std::move(members));
    do {
      Space();
      std::string name = AString();
      Expect(':');
      members.emplace_back(std::move(name), Any());
    } while (More('}'));
    return Value(std::move(members));
  }

  Value AnArray() {
    Value::Array items;
    if (Empty(']')) return Value(std::move(items));
    do {
      items.push_back(Any());
    } while (More(']'));
    return Value(std::move(items));
  }

  bool Digits() {
    const std::size_t from = at_;
    while (Peek() >= '0' && Peek() <= '9') ++at_;
    return at_ > from;
  }

  Value ANumber() {
    const std::size_t from = at_;
    Skip("-");
    if (!Skip("0") && !Digits()) Fail("expected a value");
    if (Skip(".") && !Digits()) Fail("expected digits");
    if (Peek() == 'e' || Peek() == 'E') {
      ++at_;
      if (!Skip("-")) Skip("+");
      if (!Digits()) Fail("expected digits");
    }
    double number = 0;
    const auto [end, error] = std::from_chars(text_.data() + from, text_.data() + at_, number);
    if (error != std::errc() || end != text_.data() + at_) Fail("a number out of range");
    return Value(number);
  }

  unsigned Hex4() {
    unsigned code = 0;
    const std::string_view digits = text_.substr(at_, 4);
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), code, 16);
    if (error != std::errc() || digits.size() < 4 || end != digits.data() + 4) Fail("bad escape");
    at_ += 4;
    return code;
  }

  static void PutUtf8(std::string& out, unsigned code) {
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

  void Escape(std::string& out) {
    static constexpr std::string_view kNames = "\"\\/bfnrt";
    static constexpr std::string_view kChars = "\"\\/\b\f\n\r\t";
    const char c = Peek();
    ++at_;
    if (c != 'u') {
      const std::size_t which = c == '\0' ? std::string_view::npos : kNames.find(c);
      if (which == std::string_view::npos) Fail("bad escape");
      out += kChars[which];
      return;
    }
    unsigned code = Hex4();
    if (code >= 0xD800 && code < 0xDC00) {
      if (!Skip("\\u")) Fail("half a surrogate pair");
      const unsigned low = Hex4();
      if (low < 0xDC00 || low > 0xDFFF) Fail("half a surrogate pair");
      code = 0x10000 + ((code - 0xD800) << 10) + (low - 0xDC00);
    } else if (code >= 0xDC00 && code < 0xE000) {
      Fail("half a surrogate pair");
    }
    PutUtf8(out, code);
  }

  std::string AString() {
    if (Peek() != '"') Fail("expected a string");
    ++at_;
    std::string out;
    while (true) {
      if (at_ >= text_.size()) Fail("a string without end");
      const char c = text_[at_++];
      if (c == '"') return out;
      if (static_cast<unsigned char>(c) < 0x20) Fail("a control character in a string");
      if (c == '\\') {
        Escape(out);
      } else {
        out += c;
      }
    }
  }

  std::string_view text_;
  std::size_t at_ = 0;
  std::size_t depth_left_;
};

template <typename T>
const T& Get(const Value::Data& data, const char* what) {
  const T* held = std::get_if<T>(&data);
  if (held == nullptr) throw Error(std::string("expected ") + what);
  return *held;
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
  if (value == nullptr) throw Error("no '" + std::string(name) + "'");
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

Value Parse(std::string_view text, const Bounds& bounds) { return Parser(text, bounds).Whole(); }

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
