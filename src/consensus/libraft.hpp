// Includes the header of Canonical's C-Raft, a C library whose header lacks `extern "C"`, and
// converts its buffers. Only for use inside src/consensus.
#ifndef BRASSFRONT_CONSENSUS_LIBRAFT_HPP_
#define BRASSFRONT_CONSENSUS_LIBRAFT_HPP_

extern "C" {
#include <raft.h>
}

#include <string_view>

namespace brassfront::consensus {

// Copies the bytes into memory that libraft may free. Throws std::bad_alloc.
[[nodiscard]] raft_buffer AllocateBuffer(std::string_view bytes);

// A view of the buffer's bytes; the buffer keeps owning them.
[[nodiscard]] std::string_view ViewBytes(const raft_buffer& buffer);

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_LIBRAFT_HPP_
