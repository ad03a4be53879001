#include "consensus/file_store.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

#include "consensus/log_records.hpp"
#include "peers/atomic_file.hpp"

namespace brassfront::consensus {
namespace {

constexpr int kOwnerOnly = 0600;

// Returns an empty string if the file does not exist.
std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace

FileStore::FileStore(std::string folder, std::size_t max_bytes)
    : folder_(std::move(folder)), max_bytes_(max_bytes) {
  std::filesystem::create_directories(folder_);
  if (!OpenLog()) throw std::runtime_error("cannot write " + LogPath());
}

bool FileStore::OpenLog() {
  log_ = peers::FileDescriptor(open(LogPath().c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kOwnerOnly));
  if (!log_.valid()) return false;
  const off_t size = lseek(log_.get(), 0, SEEK_END);
  log_bytes_ = size < 0 ? 0 : static_cast<std::size_t>(size);
  return size >= 0;
}

// ---- reading ----

PersistentState FileStore::Load(bool& damaged) {
  const bool log_intact = LoadLog();
  const bool snapshot_intact = LoadSnapshot();
  const bool start_missing = persistent_.first > 1 && !persistent_.snapshot;
  damaged = !log_intact || !snapshot_intact || start_missing;
  if (damaged) persistent_ = {};
  return persistent_;
}

bool FileStore::LoadLog() {
  const std::string log = ReadFile(LogPath());
  ReplayedLog replayed = ReplayLog(log);
  persistent_ = std::move(replayed.state);
  if (replayed.damaged) return false;
  if (replayed.valid_bytes < log.size()) {
    if (!CutLog(replayed.valid_bytes)) failed_ = true;
    log_bytes_ = replayed.valid_bytes;
  }
  return true;
}

bool FileStore::LoadSnapshot() {
  const std::string bytes = ReadFile(SnapshotPath());
  snapshot_bytes_ = bytes.size();
  if (bytes.empty()) return true;
  std::optional<Snapshot> snapshot = DecodeSnapshot(bytes);
  if (!snapshot) return false;
  // The process may have ended after it wrote the snapshot and before it compacted the log. A log
  // that neither contains the snapshot's last entry nor begins right after it is outdated.
  const std::uint64_t index = snapshot->index;
  const bool contained = index >= persistent_.first && index <= persistent_.last() &&
                         persistent_.entries[index - persistent_.first].term == snapshot->term;
  const bool follows = index + 1 == persistent_.first;
  if (!contained && !follows) {
    persistent_.entries.clear();
    persistent_.first = index + 1;
  }
  persistent_.snapshot = std::move(snapshot);
  return true;
}

// ---- writing ----

bool FileStore::CutLog(std::size_t bytes) {
  return ftruncate(log_.get(), static_cast<off_t>(bytes)) == 0 && fdatasync(log_.get()) == 0;
}

bool FileStore::WriteRecords(std::string_view records) {
  if (failed_) return false;
  if (log_bytes_ + snapshot_bytes_ + records.size() > max_bytes_) return false;
  std::size_t written = 0;
  while (written < records.size()) {
    const ssize_t count = pwrite(log_.get(), records.data() + written, records.size() - written,
                                 static_cast<off_t>(log_bytes_ + written));
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) break;
    written += static_cast<std::size_t>(count);
  }
  if (written == records.size() && fdatasync(log_.get()) == 0) {
    log_bytes_ += records.size();
    return true;
  }
  // Removes the partial record, so that the next record does not follow it.
  failed_ = !CutLog(log_bytes_);
  return false;
}

bool FileStore::SetTerm(std::uint64_t term) {
  if (!WriteRecords(EncodeTermRecord(term))) return false;
  persistent_.term = term;
  persistent_.vote = 0;
  return true;
}

bool FileStore::SetVote(std::uint64_t id) {
  if (!WriteRecords(EncodeVoteRecord(id))) return false;
  persistent_.vote = id;
  return true;
}

bool FileStore::Append(const std::vector<LogEntry>& entries) {
  std::string records;
  for (const LogEntry& entry : entries) records += EncodeEntryRecord(entry);
  if (!WriteRecords(records)) return false;
  persistent_.entries.insert(persistent_.entries.end(), entries.begin(), entries.end());
  return true;
}

bool FileStore::Truncate(std::uint64_t from) {
  if (from < persistent_.first || !WriteRecords(EncodeTruncateRecord(from))) return false;
  persistent_.Truncate(from);
  return true;
}

bool FileStore::PutSnapshot(const Snapshot& snapshot, std::uint64_t trailing) {
  if (failed_) return false;
  PersistentState next = persistent_;
  next.Compact(snapshot, trailing);
  const std::string snapshot_bytes = EncodeSnapshot(snapshot);
  const std::string log = EncodeLog(next);
  if (snapshot_bytes.size() + log.size() > max_bytes_) return false;
  if (!peers::WriteAtomically(SnapshotPath(), snapshot_bytes)) return false;
  snapshot_bytes_ = snapshot_bytes.size();
  if (!peers::WriteAtomically(LogPath(), log) || !OpenLog()) {
    failed_ = true;  // the snapshot was replaced, but the log may still be the old one
    return false;
  }
  persistent_ = std::move(next);
  return true;
}

bool FileStore::Clear() {
  unlink(SnapshotPath().c_str());
  persistent_ = {};
  snapshot_bytes_ = 0;
  failed_ = !peers::WriteAtomically(LogPath(), "") || !OpenLog();
  return !failed_;
}

}  // namespace brassfront::consensus
