// A Store in a folder: `settled` is appended to and synchronized before each call returns,
// `settled.snapshot` is written beside and renamed. log_records.hpp has their formats.
//
// A record that the file is too short for was being written when the process or the machine ended,
// and no caller was told that it had succeeded: it is cut off. Anything else that fails its check
// is damage: a flipped bit may have been a vote, so nothing of such a log is used.
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
  // Throws std::runtime_error where the folder cannot be written. `max_bytes` bounds the log and
  // the snapshot together; what does not fit fails as on a full disk.
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
  [[nodiscard]] bool LoadLog();       // false: damaged
  [[nodiscard]] bool LoadSnapshot();  // false: damaged
  [[nodiscard]] std::string LogPath() const { return folder_ + "/settled"; }
  [[nodiscard]] std::string SnapshotPath() const { return folder_ + "/settled.snapshot"; }

  const std::string folder_;
  const std::size_t max_bytes_;
  peers::FileDescriptor log_;
  std::size_t log_bytes_ = 0, snapshot_bytes_ = 0;
  bool failed_ = false;         // what the log file holds is not known: nothing more is written
  PersistentState persistent_;  // what the files amount to
};

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_FILE_STORE_HPP_
