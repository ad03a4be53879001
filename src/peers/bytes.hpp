// Numbers in network byte order and length-prefixed texts: the encoding of all frames between
// forwarders and of the data that a fleet member stores.
#ifndef BRASSFRONT_PEERS_BYTES_HPP_
#define BRASSFRONT_PEERS_BYTES_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace brassfront::peers {

// Appends encoded values to a string that it owns.
class Writer {
 public:
  Writer& U8(std::uint64_t value) { return Number(value, 1); }
  Writer& U16(std::uint64_t value) { return Number(value, 2); }
  Writer& U32(std::uint64_t value) { return Number(value, 4); }
  Writer& U64(std::uint64_t value) { return Number(value, 8); }
  // Length-prefixed strings: a name has at most 255 bytes, a text at most 2^32 - 1.
  Writer& Name(std::string_view name) { return U8(name.size()).Raw(name); }
  Writer& Text(std::string_view text) { return U32(text.size()).Raw(text); }
  Writer& Raw(std::string_view bytes) {
    bytes_ += bytes;
    return *this;
  }
  [[nodiscard]] std::size_t size() const { return bytes_.size(); }
  [[nodiscard]] const std::string& bytes() const { return bytes_; }
  [[nodiscard]] std::string Take() { return std::move(bytes_); }

 private:
  Writer& Number(std::uint64_t value, int bytes) {
    for (int i = bytes - 1; i >= 0; --i) bytes_ += static_cast<char>(value >> (8 * i));
    return *this;
  }
  std::string bytes_;
};

// Decodes what Writer has written; the bytes must outlive the reader. A read past the end returns
// zero or an empty string and marks the reader as broken for good, so that a decoder needs only one
// check, done(), at its end.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : left_(bytes) {}
  std::uint8_t U8() { return static_cast<std::uint8_t>(Number(1)); }
  std::uint16_t U16() { return static_cast<std::uint16_t>(Number(2)); }
  std::uint32_t U32() { return static_cast<std::uint32_t>(Number(4)); }
  std::uint64_t U64() { return Number(8); }
  std::string Name() { return std::string(Raw(U8())); }
  std::string Text() { return std::string(Raw(U32())); }
  std::string_view Raw(std::size_t bytes) {
    if (bytes > left_.size()) {
      broken_ = true;
      left_ = {};
      return {};
    }
    const std::string_view taken = left_.substr(0, bytes);
    left_.remove_prefix(bytes);
    return taken;
  }
  [[nodiscard]] std::size_t left() const { return left_.size(); }
  [[nodiscard]] bool broken() const { return broken_; }
  // All bytes were read, and no read went past the end.
  [[nodiscard]] bool done() const { return !broken_ && left_.empty(); }

 private:
  std::uint64_t Number(std::size_t bytes) {
    std::uint64_t value = 0;
    for (const char c : Raw(bytes)) value = value << 8 | static_cast<unsigned char>(c);
    return value;
  }
  std::string_view left_;
  bool broken_ = false;
};

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_BYTES_HPP_
