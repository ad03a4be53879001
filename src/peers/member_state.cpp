#include "peers/member_state.hpp"

#include <array>
#include <cstddef>

namespace brassfront::peers {

const char* ToString(State state) {
  constexpr std::array kNames = {"unknown", "alive", "suspect", "dead", "left"};
  return kNames[static_cast<std::size_t>(state)];
}

const char* ToString(Link link) {
  constexpr std::array kNames = {"whole", "one-way", "indirect"};
  return kNames[static_cast<std::size_t>(link)];
}

}  // namespace brassfront::peers
