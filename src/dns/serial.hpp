// Serial numbers (RFC 1982 with 32 bits): which of two is the newer, round the wrap.
#ifndef BRASSFRONT_DNS_SERIAL_HPP_
#define BRASSFRONT_DNS_SERIAL_HPP_

#include <cstdint>

namespace brassfront::dns {

// True if `a` is newer than `b`. Of two that are just 2^31 apart neither is (RFC 1982 §3.2).
inline bool IsNewer(std::uint32_t a, std::uint32_t b) {
  const std::uint32_t ahead = a - b;
  return ahead != 0 && ahead < 0x80000000u;
}

// The serial after this one; 0 is passed over, for some take it for "none" (RFC 2136 §7.11).
inline std::uint32_t NextSerial(std::uint32_t serial) { return serial + 1 == 0 ? 1 : serial + 1; }

}  // namespace brassfront::dns

#endif  // BRASSFRONT_DNS_SERIAL_HPP_
