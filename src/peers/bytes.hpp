// Numbers in network order and length-prefixed texts: the encoding of all frames between forwarders
// and of what a fleet member stores.
#ifndef BRASSFRONT_PEERS_BYTES_HPP_
#define BRASSFRONT_PEERS_BYTES_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace brassfront::peers {

// Appends to a string of its own.
class Writer {
 public:
  Writer& U8(std::uint64_t value) { return Number(value, 1); }
  Writer& U16(std::uint64_t value) { return Number(value, 2); }
  Writer& U32(std::uint64_t value) { return Number(value, 4); }
  Writer& U64(std::uint64_t value) { return Number(value, 8); }
  // With its length before it: a name has 255 bytes at most, a text 2^32 - 1.
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

// Reads what Writer has written, from bytes that outlive it. What is missing reads as zero or empty
// and leaves the reader broken for good, so that a decoder checks once, by done(), at its end.
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
  // Everything was read, and everything was there.
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
