#include "dns/name.hpp"

#include <algorithm>
#include <cstdlib>

namespace brassfront::dns {
namespace {

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// Decodes the escape whose backslash is at `at`, and moves `at` past the escape.
std::optional<char> TakeEscape(std::string_view text, std::size_t& at) {
  if (at + 1 >= text.size()) return std::nullopt;
  if (!IsDigit(text[at + 1])) {
    at += 2;
    return text[at - 1];
  }
  if (at + 3 >= text.size() || !IsDigit(text[at + 2]) || !IsDigit(text[at + 3])) {
    return std::nullopt;
  }
  const int value = (text[at + 1] - '0') * 100 + (text[at + 2] - '0') * 10 + (text[at + 3] - '0');
  if (value > 255) return std::nullopt;
  at += 4;
  return static_cast<char>(value);
}

}  // namespace

bool SameIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return LowerOf(x) == LowerOf(y); });
}

std::optional<std::string> Unescape(std::string_view text) {
  std::string out;
  for (std::size_t at = 0; at < text.size();) {
    if (text[at] != '\\') {
      out += text[at++];
      continue;
    }
    const auto byte = TakeEscape(text, at);
    if (!byte) return std::nullopt;
    out += *byte;
  }
  return out;
}

std::string Escape(std::string_view bytes, std::string_view special) {
  std::string out;
  for (const char c : bytes) {
    const auto value = static_cast<unsigned char>(c);
    if (c == '\\' || special.find(c) != std::string_view::npos) {
      out += '\\';
      out += c;
    } else if (value < 0x20 || value > 0x7e) {
      out += '\\';
      for (const int unit : {100, 10, 1}) out += static_cast<char>('0' + value / unit % 10);
    } else {
      out += c;
    }
  }
  return out;
}

std::optional<Name> Name::FromText(std::string_view text, const Name& origin, std::string& why) {
  if (text == "@") return origin;
  if (text == ".") return Name();
  if (text.empty()) {
    why = "a name is empty";
    return std::nullopt;
  }
  std::string wire;
  std::string label;
  const auto end_label = [&] {
    if (label.empty()) why = "a name has an empty label";
    if (label.size() > kMaxLabelBytes) why = "a label is longer than 63 bytes";
    wire += static_cast<char>(label.size());
    wire += label;
    const bool good = !label.empty() && label.size() <= kMaxLabelBytes;
    label.clear();
    return good;
  };
  bool absolute = false;
  for (std::size_t at = 0; at < text.size();) {
    if (text[at] == '.') {
      if (!end_label()) return std::nullopt;
      absolute = ++at == text.size();
    } else if (text[at] == '\\') {
      const auto byte = TakeEscape(text, at);
      if (!byte) {
        why = "an escape in a name is neither \\DDD up to 255 nor \\ and a character";
        return std::nullopt;
      }
      label += *byte;
    } else {
      label += text[at++];
    }
  }
  if (!absolute && !end_label()) return std::nullopt;
  wire += absolute ? std::string(1, '\0') : origin.wire_;
  if (wire.size() > kMaxBytes) {
    why = "a name is longer than 255 bytes";
    return std::nullopt;
  }
  return Name(std::move(wire));
}

std::optional<std::size_t> Name::WireLength(std::string_view bytes) {
  for (std::size_t at = 0; at < bytes.size() && at < kMaxBytes;) {
    const auto length = static_cast<unsigned char>(bytes[at]);
    if (length > kMaxLabelBytes) return std::nullopt;
    at += 1 + length;
    if (length == 0) return at;
  }
  return std::nullopt;
}

std::optional<Name> Name::TakeWire(std::string_view& bytes) {
  const auto length = WireLength(bytes);
  if (!length) return std::nullopt;
  Name name{std::string(bytes.substr(0, *length))};
  bytes.remove_prefix(*length);
  return name;
}

std::optional<Name> Name::FromWire(std::string_view wire) {
  auto name = TakeWire(wire);
  return wire.empty() ? std::move(name) : std::nullopt;
}

Name Name::FromLiteral(std::string_view text) {
  std::string why;
  const auto name = FromText(text, Name(), why);
  if (!name) std::abort();
  return *name;
}

std::string Name::ToText() const {
  if (IsRoot()) return ".";
  std::string out;
  for (const auto label : Labels()) out += Escape(label, ".\"();@$ ") + ".";
  return out;
}

std::vector<std::string_view> Name::Labels() const {
  std::vector<std::string_view> labels;
  for (std::size_t at = 0; wire_[at] != 0;) {
    const auto length = static_cast<unsigned char>(wire_[at]);
    labels.push_back(std::string_view(wire_).substr(at + 1, length));
    at += 1 + length;
  }
  return labels;
}

std::string Name::Key() const {
  // Each label ends in a zero byte. The bytes 0 and 1 within a label are encoded as 1 1 and 1 2,
  // which preserves the order.
  std::string key;
  key.reserve(wire_.size());
  const auto labels = Labels();
  for (std::size_t i = labels.size(); i > 0; --i) {
    for (const char c : labels[i - 1]) {
      if (c == 0 || c == 1) key += '\1';
      key += c == 0 ? '\1' : c == 1 ? '\2' : LowerOf(c);
    }
    key += '\0';
  }
  return key;
}

Name Name::Parent() const {
  if (IsRoot()) return *this;
  return Name(wire_.substr(1 + static_cast<unsigned char>(wire_[0])));
}

Name Name::Lower() const {
  std::string wire = wire_;
  for (char& c : wire) c = LowerOf(c);  // a length byte is at most 63, thus never a letter
  return Name(std::move(wire));
}

bool Name::IsAtOrBelow(const Name& top) const {
  std::size_t at = 0;
  while (wire_.size() - at > top.wire_.size()) at += 1 + static_cast<unsigned char>(wire_[at]);
  return SameIgnoringCase(std::string_view(wire_).substr(at), top.wire_);
}

std::optional<Name> Name::WithLabel(std::string_view label) const {
  if (label.empty() || label.size() > kMaxLabelBytes ||
      1 + label.size() + wire_.size() > kMaxBytes) {
    return std::nullopt;
  }
  return Name(static_cast<char>(label.size()) + std::string(label) + wire_);
}

bool operator==(const Name& a, const Name& b) { return SameIgnoringCase(a.wire_, b.wire_); }

}  // namespace brassfront::dns
