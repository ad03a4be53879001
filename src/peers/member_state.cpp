#include "peers/member_state.hpp"

#include <cstddef>

namespace brassfront::peers {

const char* ToString(State state) {
  constexpr const char* kNames[] = {"unknown", "alive", "suspect", "dead", "left"};
  return kNames[static_cast<std::size_t>(state)];
}

const char* ToString(Link link) {
  constexpr const char* kNames[] = {"whole", "one-way", "indirect"};
  return kNames[static_cast<std::size_t>(link)];
}

}  // namespace brassfront::peers
