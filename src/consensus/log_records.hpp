// The bytes of FileStore's two files. Both formats are stored data: what is written today must be
// read by every later version.
//
//   settled            records one after the other:
//                      length u32 | check of the length u32 | hash of the payload u64 | payload
//                      payload: tag u8 | the fields of that record
//   settled.snapshot   hash of the rest u64 | index, term, servers' index: u64 each | servers |
//                      state
//
// Hashes are XXH64, numbers in network order. No I/O here; any thread may call.
#ifndef BRASSFRONT_CONSENSUS_LOG_RECORDS_HPP_
#define BRASSFRONT_CONSENSUS_LOG_RECORDS_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "consensus/store.hpp"

namespace brassfront::consensus {

// ---- records of the log: each one changes the persistent state ----

[[nodiscard]] std::string EncodeTermRecord(std::uint64_t term);
[[nodiscard]] std::string EncodeVoteRecord(std::uint64_t id);
[[nodiscard]] std::string EncodeEntryRecord(const LogEntry& entry);
[[nodiscard]] std::string EncodeTruncateRecord(std::uint64_t from);
// A whole log: one record with all but the entries, then the entries.
[[nodiscard]] std::string EncodeLog(const PersistentState& state);

struct ReplayedLog {
  PersistentState state;        // without the snapshot, and not to be used where damaged
  std::size_t valid_bytes = 0;  // after these stands nothing, or a record that was cut short
  bool damaged = false;         // a record that is all there differs from what was written
};
[[nodiscard]] ReplayedLog ReplayLog(std::string_view log);

// ---- the snapshot ----

[[nodiscard]] std::string EncodeSnapshot(const Snapshot& snapshot);
// Nothing if the bytes differ from what was written.
[[nodiscard]] std::optional<Snapshot> DecodeSnapshot(std::string_view bytes);

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_LOG_RECORDS_HPP_
