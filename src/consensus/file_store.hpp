// A Store in a folder. Records are appended to the file `settled` and synchronized to disk before
// each call returns; `settled.snapshot` is replaced by writing a temporary file and renaming it.
// log_records.hpp describes both formats.
//
// An incomplete record at the end of the log was being written when the process or the machine
// ended. No caller was told that it was stored, so it is cut off. Any other record that fails its
// check is damage. A flipped bit may have changed a vote, so nothing of a damaged log is used.
#ifndef BRASSFRONT_CONSENSUS_FILE_STORE_HPP_
#define BRASSFRONT_CONSENSUS_FILE_STORE_HPP_

#include <cstddef>
#include <string>
#include <string_view>

#include "consensus/store.hpp"
#include "peers/file_descriptor.hpp"

namespace brassfront::consensus {

class FileStore : public Store {
 public:
  // Throws std::runtime_error if the folder cannot be written. `max_bytes` bounds the total size of
  // the log and the snapshot; a write that would exceed it fails as on a full disk.
  explicit FileStore(std::string folder, std::size_t max_bytes = 4 << 20);

  PersistentState Load(bool& damaged) override;
  [[nodiscard]] bool SetTerm(std::uint64_t term) override;
  [[nodiscard]] bool SetVote(std::uint64_t id) override;
  [[nodiscard]] bool Append(const std::vector<LogEntry>& entries) override;
  [[nodiscard]] bool Truncate(std::uint64_t from) override;
  [[nodiscard]] bool PutSnapshot(const Snapshot& snapshot, std::uint64_t trailing) override;
  bool Clear() override;

 private:
  [[nodiscard]] bool OpenLog();
  [[nodiscard]] bool WriteRecords(std::string_view records);
  [[nodiscard]] bool CutLog(std::size_t bytes);
  [[nodiscard]] bool LoadLog();       // returns false if the log is damaged
  [[nodiscard]] bool LoadSnapshot();  // returns false if the snapshot is damaged
  [[nodiscard]] std::string LogPath() const { return folder_ + "/settled"; }
  [[nodiscard]] std::string SnapshotPath() const { return folder_ + "/settled.snapshot"; }

  const std::string folder_;
  const std::size_t max_bytes_;
  peers::FileDescriptor log_;
  std::size_t log_bytes_ = 0, snapshot_bytes_ = 0;
  bool failed_ = false;         // the contents of the log file are unknown; nothing more is written
  PersistentState persistent_;  // the state that the two files contain
};

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_FILE_STORE_HPP_
