// Domain names (RFC 1035 §3.1, RFC 4343). A name is stored in wire format, without compression and
// in its original case. Comparison ignores the case of ASCII letters.
#ifndef BRASSFRONT_DNS_NAME_HPP_
#define BRASSFRONT_DNS_NAME_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace brassfront::dns {

class Name {
 public:
  static constexpr std::size_t kMaxBytes = 255;
  static constexpr std::size_t kMaxLabelBytes = 63;

  Name() : wire_(1, '\0') {}  // the root

  // Parses a name in zone file format (RFC 1035 §5.1): `\.` and `\DDD` are escapes, `@` is the
  // origin, and a name without a trailing dot is relative to the origin. Returns nullopt and sets
  // `why` if the text is not a valid name.
  static std::optional<Name> FromText(std::string_view text, const Name& origin, std::string& why);
  // Parses length-prefixed labels up to the root label. Returns nullopt if the name does not take
  // up all of the bytes.
  static std::optional<Name> FromWire(std::string_view wire);
  // Returns the length of the name at the start of the bytes; nullopt if there is no valid name.
  static std::optional<std::size_t> WireLength(std::string_view bytes);
  // Parses the name at the start of the bytes and removes it from them. Returns nullopt and leaves
  // the bytes unchanged if there is no valid name.
  static std::optional<Name> TakeWire(std::string_view& bytes);
  // Parses an absolute name that is written in the source code; aborts if it is not valid.
  static Name FromLiteral(std::string_view text);

  [[nodiscard]] const std::string& wire() const { return wire_; }
  [[nodiscard]] bool IsRoot() const { return wire_.size() == 1; }
  // Returns the absolute name with special characters escaped, so that FromText parses it back.
  [[nodiscard]] std::string ToText() const;
  // Returns the labels from left to right, without the root label.
  [[nodiscard]] std::vector<std::string_view> Labels() const;
  // Returns a key that sorts in canonical order (RFC 4034 §6.1), in which a name comes directly
  // before all names below it. The key of a name is a prefix of the keys of all names below it.
  // Equal names have equal keys.
  [[nodiscard]] std::string Key() const;
  [[nodiscard]] Name Parent() const;  // the parent of the root is the root
  [[nodiscard]] Name Lower() const;
  [[nodiscard]] bool IsAtOrBelow(const Name& top) const;
  // Returns the name with the label prepended; nullopt if the label is invalid or the result too
  // long.
  [[nodiscard]] std::optional<Name> WithLabel(std::string_view label) const;

  friend bool operator==(const Name& a, const Name& b);

 private:
  explicit Name(std::string wire) : wire_(std::move(wire)) {}

  std::string wire_;
};

// Converts ASCII letters only, independently of the locale (RFC 4343).
inline char LowerOf(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }
bool SameIgnoringCase(std::string_view a, std::string_view b);

// Decodes the escapes `\DDD` and `\c`. Returns nullopt if an escape is incomplete or above 255.
std::optional<std::string> Unescape(std::string_view text);
// Escapes backslashes, unprintable bytes and each character of `special`.
std::string Escape(std::string_view bytes, std::string_view special);

}  // namespace brassfront::dns

#endif  // BRASSFRONT_DNS_NAME_HPP_
