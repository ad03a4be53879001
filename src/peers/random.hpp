// Pseudo-random numbers that depend only on a seed (SplitMix64; Steele, Lea, Flood 2014): the same
// sequence on every machine and with every standard library. Not for secrets.
#ifndef BRASSFRONT_PEERS_RANDOM_HPP_
#define BRASSFRONT_PEERS_RANDOM_HPP_

#include <cstdint>

namespace brassfront::peers {

class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  // Returns a number from 0 to bound - 1; `bound` must not be 0. The modulo bias is negligible for
  // bounds of the size of a fleet.
  [[nodiscard]] std::uint64_t Below(std::uint64_t bound) {
    std::uint64_t mixed = state_ += 0x9E3779B97F4A7C15;
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9;
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EB;
    return (mixed ^ (mixed >> 31)) % bound;
  }

 private:
  std::uint64_t state_;
};

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_RANDOM_HPP_
