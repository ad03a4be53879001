// Domain names (RFC 1035 §3.1, RFC 4343): kept in wire form, without compression, in the case that
// they came in. Names are equal whatever the case of their ASCII letters.
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

  // From a zone file's form (RFC 1035 §5.1): `\.` and `\DDD` are taken as they are, `@` is the
  // origin, and a name without a dot at its end is below the origin. Nothing, and why, if it is no
  // name.
  static std::optional<Name> FromText(std::string_view text, const Name& origin, std::string& why);
  // From labels with their lengths, the root's included. Nothing if that is not all of the bytes.
  static std::optional<Name> FromWire(std::string_view wire);
  // How many of the bytes the name is that starts them; nothing if none does.
  static std::optional<std::size_t> WireLength(std::string_view bytes);
  // The name that starts the bytes, which is taken off; nothing, and all left, if none does.
  static std::optional<Name> TakeWire(std::string_view& bytes);
  // A name that is written in this program.
  static Name FromLiteral(std::string_view text);

  [[nodiscard]] const std::string& wire() const { return wire_; }
  [[nodiscard]] bool IsRoot() const { return wire_.size() == 1; }
  // With a dot at its end and with what needs it escaped, so that FromText reads the same name.
  [[nodiscard]] std::string ToText() const;
  // From the left, without the root's.
  [[nodiscard]] std::vector<std::string_view> Labels() const;
  // Sorts as RFC 4034 §6.1 has it, so that a name comes just before all below it; the key of a name
  // is how the keys of all below it start. Equal for equal names.
  [[nodiscard]] std::string Key() const;
  [[nodiscard]] Name Parent() const;  // the root's is the root
  [[nodiscard]] Name Lower() const;
  [[nodiscard]] bool IsAtOrBelow(const Name& top) const;
  // Nothing if that would be too long.
  [[nodiscard]] std::optional<Name> WithLabel(std::string_view label) const;

  friend bool operator==(const Name& a, const Name& b);

 private:
  explicit Name(std::string wire) : wire_(std::move(wire)) {}

  std::string wire_;
};

// ASCII letters alone, as RFC 4343 has it: no locale has a say.
inline char LowerOf(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }
bool SameIgnoringCase(std::string_view a, std::string_view b);

// `\DDD` and `\c` undone. Nothing if an escape is cut short or above 255.
std::optional<std::string> Unescape(std::string_view text);
// What is not printable, and each of `special`, escaped.
std::string Escape(std::string_view bytes, std::string_view special);

}  // namespace brassfront::dns

#endif  // BRASSFRONT_DNS_NAME_HPP_
