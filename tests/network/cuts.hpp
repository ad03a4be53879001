// Helpers for the tests of parsers: valid input in random chunks, and random garbage. The seeds are
// fixed, so that every run has the same input.
#ifndef BRASSFRONT_TESTS_NETWORK_CUTS_HPP_
#define BRASSFRONT_TESTS_NETWORK_CUTS_HPP_

#include <cstddef>
#include <random>
#include <string>
#include <string_view>

namespace brassfront::testing {

inline constexpr int kRounds = 300;

// Passes the text to `feed` in chunks of random sizes.
template <typename Feed>
void InCuts(std::string_view text, std::uint32_t seed, Feed feed) {
  std::mt19937 random(seed);
  while (!text.empty()) {
    const std::size_t most = random() % 4 == 0 ? 1 : 40;
    const std::string_view part = text.substr(0, 1 + random() % most);
    text.remove_prefix(part.size());
    feed(part);
  }
}

// Returns bytes that resemble the given text, with some bytes changed, removed or added.
inline std::string Garbage(std::string_view like, std::uint32_t seed) {
  std::mt19937 random(seed);
  std::string out;
  for (const char c : like) {
    const auto dice = random() % 100;
    if (dice < 3) continue;
    out += dice < 8 ? static_cast<char>(random() % 256) : c;
    if (dice == 99) out.append(random() % 50, static_cast<char>(random() % 256));
  }
  return out;
}

}  // namespace brassfront::testing

#endif  // BRASSFRONT_TESTS_NETWORK_CUTS_HPP_
