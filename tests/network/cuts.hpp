// The one helper of the parsers' tests: random cuts of valid input and random garbage, from fixed
// seeds, so that every run sees the same.
#ifndef BRASSFRONT_TESTS_NETWORK_CUTS_HPP_
#define BRASSFRONT_TESTS_NETWORK_CUTS_HPP_

#include <cstddef>
#include <random>
#include <string>
#include <string_view>

namespace brassfront::testing {

inline constexpr int kRounds = 300;

// Hands the text to `feed` in pieces of random sizes.
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

// Bytes that resemble the given text: some of it, with pieces changed, lost or made up.
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
