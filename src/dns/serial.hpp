// Serial number arithmetic (RFC 1982 with 32 bits): comparison across the wraparound.
#ifndef BRASSFRONT_DNS_SERIAL_HPP_
#define BRASSFRONT_DNS_SERIAL_HPP_

#include <cstdint>

namespace brassfront::dns {

// True if `a` is newer than `b`. If two serials are exactly 2^31 apart, neither is newer
// (RFC 1982 §3.2).
inline bool IsNewer(std::uint32_t a, std::uint32_t b) {
  const std::uint32_t ahead = a - b;
  return ahead != 0 && ahead < 0x80000000u;
}

// Returns the next serial; skips 0, since some implementations read 0 as "none" (RFC 2136 §7.11).
inline std::uint32_t NextSerial(std::uint32_t serial) { return serial + 1 == 0 ? 1 : serial + 1; }

}  // namespace brassfront::dns

#endif  // BRASSFRONT_DNS_SERIAL_HPP_
