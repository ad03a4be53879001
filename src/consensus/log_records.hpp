// Codec of FileStore's two files. Both formats are stored data: every later version must be able to
// read what this one writes.
//
//   settled            a sequence of records:
//                      length u32 | hash of the length u32 | hash of the payload u64 | payload
//                      payload: tag u8 | the fields of that record
//   settled.snapshot   hash of the remaining bytes u64 | index, term, index of the configuration:
//                      u64 each | servers | state
//
// Hashes are XXH64; numbers are in network byte order. The functions do no I/O and may be called
// from any thread.
#ifndef BRASSFRONT_CONSENSUS_LOG_RECORDS_HPP_
#define BRASSFRONT_CONSENSUS_LOG_RECORDS_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "consensus/store.hpp"

namespace brassfront::consensus {

// ---- log records; each one changes the persistent state ----

[[nodiscard]] std::string EncodeTermRecord(std::uint64_t term);
[[nodiscard]] std::string EncodeVoteRecord(std::uint64_t id);
[[nodiscard]] std::string EncodeEntryRecord(const LogEntry& entry);
[[nodiscard]] std::string EncodeTruncateRecord(std::uint64_t from);
// Encodes a complete log: one record with the term, the vote and the first index, then one record
// for each entry.
[[nodiscard]] std::string EncodeLog(const PersistentState& state);

struct ReplayedLog {
  PersistentState state;        // without the snapshot; not to be used if `damaged` is set
  std::size_t valid_bytes = 0;  // length of the valid records; an incomplete one may follow
  bool damaged = false;         // a complete record differs from what was written
};
[[nodiscard]] ReplayedLog ReplayLog(std::string_view log);

// ---- the snapshot ----

[[nodiscard]] std::string EncodeSnapshot(const Snapshot& snapshot);
// Returns nullopt if the bytes differ from what was written.
[[nodiscard]] std::optional<Snapshot> DecodeSnapshot(std::string_view bytes);

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_LOG_RECORDS_HPP_
