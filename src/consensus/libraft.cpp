#include "consensus/libraft.hpp"

#include <algorithm>
#include <cstring>
#include <new>

namespace brassfront::consensus {

raft_buffer AllocateBuffer(std::string_view bytes) {
  // malloc(0) may return a null pointer, which would look like a failure.
  raft_buffer buffer{raft_malloc(std::max<std::size_t>(1, bytes.size())), bytes.size()};
  if (buffer.base == nullptr) throw std::bad_alloc();
  std::memcpy(buffer.base, bytes.data(), bytes.size());
  return buffer;
}

std::string_view ViewBytes(const raft_buffer& buffer) {
  return {static_cast<const char*>(buffer.base), buffer.len};
}

}  // namespace brassfront::consensus
