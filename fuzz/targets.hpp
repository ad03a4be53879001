// What the fuzzers feed: each takes any bytes and aborts where something that must hold does not.
#ifndef BRASSFRONT_FUZZ_TARGETS_HPP_
#define BRASSFRONT_FUZZ_TARGETS_HPP_

#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace brassfront::fuzz {

void Take(std::string_view bytes);  // of the target that is linked

inline void Must(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "does not hold: %s\n", what);
  std::abort();
}

}  // namespace brassfront::fuzz

#endif  // BRASSFRONT_FUZZ_TARGETS_HPP_
