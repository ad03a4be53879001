// Numbers drawn from a seed alone (SplitMix64; Steele, Lea, Flood 2014): the same on every machine.
#ifndef BRASSFRONT_PEERS_RANDOM_HPP_
#define BRASSFRONT_PEERS_RANDOM_HPP_

#include <cstdint>

namespace brassfront::peers {

class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Below(std::uint64_t bound) {
    std::uint64_t z = state_ += 0x9E3779B97F4A7C15;
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EB;
    return (z ^ (z >> 31)) % bound;
  }

 private:
  std::uint64_t state_;
};

}  // namespace brassfront::peers

#endif  // BRASSFRONT_PEERS_RANDOM_HPP_
