// Fuzz targets: each accepts arbitrary bytes and aborts if a required property does not hold.
#ifndef BRASSFRONT_FUZZ_TARGETS_HPP_
#define BRASSFRONT_FUZZ_TARGETS_HPP_

#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace brassfront::fuzz {

void ProcessInput(std::string_view bytes);  // defined by the linked target

inline void Require(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "property violated: %s\n", what);
  std::abort();
}

}  // namespace brassfront::fuzz

#endif  // BRASSFRONT_FUZZ_TARGETS_HPP_
