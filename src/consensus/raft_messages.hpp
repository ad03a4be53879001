// Codec of the Raft messages between voters (RequestVote, AppendEntries, InstallSnapshot,
// TimeoutNow and their results). raft_messages.cpp lists each message's fields once, for both
// encoding and decoding.
//
//   receiver's folder id u64 | type u8 (libraft's RAFT_IO_*) | the fields of that type
//
// Numbers are in network byte order. The functions keep no state; any thread may call them.
#ifndef BRASSFRONT_CONSENSUS_RAFT_MESSAGES_HPP_
#define BRASSFRONT_CONSENSUS_RAFT_MESSAGES_HPP_

#include <cstdint>
#include <string>
#include <string_view>

#include "consensus/libraft.hpp"

namespace brassfront::consensus {

[[nodiscard]] std::string EncodeRaftMessage(const raft_message& message);

// Fills `message` and returns true; libraft then owns what was allocated for it. Returns false,
// with nothing allocated, if the bytes are not a valid message or are addressed to another folder
// than `own_id`: a voter whose folder was lost must not answer messages for its former folder.
[[nodiscard]] bool DecodeRaftMessage(std::string_view bytes, std::uint64_t own_id,
                                     raft_message& message);

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_RAFT_MESSAGES_HPP_
