// Canonical's C-Raft, a C library whose header has no `extern "C"` of its own. For sources of this
// folder only: no public header includes it.
#ifndef BRASSFRONT_CONSENSUS_LIBRAFT_HPP_
#define BRASSFRONT_CONSENSUS_LIBRAFT_HPP_

extern "C" {
#include <raft.h>
}

#include <string_view>

namespace brassfront::consensus {

// A copy of the bytes in memory that libraft may free. Throws std::bad_alloc.
[[nodiscard]] raft_buffer AllocateBuffer(std::string_view bytes);

// The bytes of a buffer, which keeps owning them.
[[nodiscard]] std::string_view ViewBytes(const raft_buffer& buffer);

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_LIBRAFT_HPP_
