// Entry point called by libFuzzer.
#include <cstddef>
#include <cstdint>

#include "targets.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  brassfront::fuzz::ProcessInput({reinterpret_cast<const char*>(data), size});
  return 0;
}
