// The settled log's store in a folder: `settled` is written at its end and synchronised before each
// call returns, `settled.snapshot` is written beside and renamed.
//
// A record that the file is too short for was being written when the process or the machine ended,
// and nobody was told of it: it is cut off. Anything else that does not check is damage: a bit that
// flipped may have been a vote, so nothing of such a log is used.
#ifndef BRASSFRONT_CONSENSUS_FILE_STORE_HPP_
#define BRASSFRONT_CONSENSUS_FILE_STORE_HPP_

#include <string>
#include <string_view>

#include "consensus/store.hpp"

namespace brassfront::consensus {

class FileStore : public Store {
 public:
  // Throws std::runtime_error where the folder cannot be written. `max_bytes` bounds the log and
  // the snapshot together; what does not fit fails as on a full disk.
  explicit FileStore(std::string folder, std::size_t max_bytes = 4 << 20);
  ~FileStore() override;
  FileStore(const FileStore&) = delete;
  FileStore& operator=(const FileStore&) = delete;

  PersistentState Load(bool& damaged) override;
  bool SetTerm(std::uint64_t term) override;
  bool SetVote(std::uint64_t id) override;
  bool Append(const std::vector<LogEntry>& entries) override;
  bool Truncate(std::uint64_t from) override;
  bool PutSnapshot(const Snapshot& snapshot, std::uint64_t trailing) override;
  bool Clear() override;

 private:
  bool WriteRecords(std::string_view records);
  bool OpenLog();
  [[nodiscard]] std::string LogPath() const { return folder_ + "/settled"; }
  [[nodiscard]] std::string SnapshotPath() const { return folder_ + "/settled.snapshot"; }

  const std::string folder_;
  const std::size_t max_bytes_;
  int log_ = -1;
  std::size_t log_bytes_ = 0, snapshot_bytes_ = 0;
  bool failed_ = false;         // what the file holds cannot be told
  PersistentState persistent_;  // what the file comes to
};

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_FILE_STORE_HPP_
