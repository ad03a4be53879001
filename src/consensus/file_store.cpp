#include "consensus/file_store.hpp"

#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "peers/atomic_file.hpp"
#include "peers/bytes.hpp"

namespace brassfront::consensus {
namespace {

using peers::Reader;
using peers::Writer;

enum class Tag : std::uint8_t { kBase = 1, kTerm, kVote, kEntry, kTruncate };

constexpr std::size_t kHeaderBytes = 16;  // length and its check, u32 each; the payload's hash, u64
constexpr std::size_t kMaxRecordBytes = 1 << 20;

std::uint32_t HashLength(std::uint32_t length) {
  return static_cast<std::uint32_t>(XXH64(&length, sizeof length, 0x6C656E67));
}

std::string EncodeRecord(Writer payload) {
  Writer out;
  const auto length = static_cast<std::uint32_t>(payload.size());
  out.U32(length).U32(HashLength(length)).U64(XXH64(payload.bytes().data(), payload.size(), 0));
  return out.Raw(payload.bytes()).Take();
}

std::string EncodeRecord(Tag tag, std::uint64_t value) {
  Writer payload;
  return EncodeRecord(std::move(payload.U8(static_cast<std::uint64_t>(tag)).U64(value)));
}

std::string EncodeRecord(const LogEntry& entry) {
  Writer payload;
  payload.U8(static_cast<std::uint64_t>(Tag::kEntry)).U64(entry.term).U16(entry.type);
  return EncodeRecord(std::move(payload.Text(entry.data)));
}

std::string EncodeLog(const PersistentState& state) {
  Writer payload;
  payload.U8(static_cast<std::uint64_t>(Tag::kBase)).U64(state.term).U64(state.vote);
  std::string all = EncodeRecord(std::move(payload.U64(state.first)));
  for (const LogEntry& entry : state.entries) all += EncodeRecord(entry);
  return all;
}

// False if the payload is no record at all.
bool ReplayRecord(std::string_view payload, PersistentState& state) {
  Reader in(payload);
  switch (static_cast<Tag>(in.U8())) {
    case Tag::kBase:
      state.term = in.U64();
      state.vote = in.U64();
      state.first = in.U64();
      state.entries.clear();
      break;
    case Tag::kTerm:
      state.term = in.U64();
      state.vote = 0;
      break;
    case Tag::kVote:
      state.vote = in.U64();
      break;
    case Tag::kEntry: {
      LogEntry entry;
      entry.term = in.U64();
      entry.type = in.U16();
      entry.data = in.Text();
      state.entries.push_back(std::move(entry));
      break;
    }
    case Tag::kTruncate: {
      const std::uint64_t from = in.U64();
      if (from < state.first) return false;
      if (from - state.first < state.entries.size()) state.entries.resize(from - state.first);
      break;
    }
    default:
      return false;
  }
  return in.done();
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

std::string EncodeSnapshot(const Snapshot& snapshot) {
  Writer payload;
  payload.U64(snapshot.index).U64(snapshot.term).U64(snapshot.servers_index);
  payload.U8(snapshot.servers.size());
  for (const Server& s : snapshot.servers) {
    payload.U64(s.id).Name(s.name).U8(static_cast<std::uint64_t>(s.role));
  }
  payload.Text(snapshot.state);
  Writer all;
  return all.U64(XXH64(payload.bytes().data(), payload.size(), 1)).Raw(payload.bytes()).Take();
}

bool DecodeSnapshot(const std::string& bytes, Snapshot& snapshot) {
  Reader in(bytes);
  const std::uint64_t hash = in.U64();
  if (in.broken() || XXH64(bytes.data() + 8, bytes.size() - 8, 1) != hash) return false;
  snapshot.index = in.U64();
  snapshot.term = in.U64();
  snapshot.servers_index = in.U64();
  snapshot.servers.resize(in.U8());
  for (Server& s : snapshot.servers) {
    s.id = in.U64();
    s.name = in.Name();
    s.role = in.U8();
  }
  snapshot.state = in.Text();
  return in.done();
}

}  // namespace

FileStore::FileStore(std::string folder, std::size_t max_bytes)
    : folder_(std::move(folder)), max_bytes_(max_bytes) {
  std::filesystem::create_directories(folder_);
  if (!OpenLog()) throw std::runtime_error("cannot write " + LogPath());
}

FileStore::~FileStore() { close(log_); }

bool FileStore::OpenLog() {
  if (log_ >= 0) close(log_);
  log_ = open(LogPath().c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (log_ < 0) return false;
  const off_t size = lseek(log_, 0, SEEK_END);
  log_bytes_ = size < 0 ? 0 : static_cast<std::size_t>(size);
  return size >= 0;
}

PersistentState FileStore::Load(bool& damaged) {
  damaged = false;
  persistent_ = {};
  const std::string log = ReadFile(LogPath());
  std::size_t at = 0;
  while (at + kHeaderBytes <= log.size()) {
    Reader header(std::string_view(log).substr(at, kHeaderBytes));
    const std::uint32_t length = header.U32(), check = header.U32();
    const std::uint64_t hash = header.U64();
    if (check != HashLength(length) || length > kMaxRecordBytes) {
      damaged = true;
      break;
    }
    if (at + kHeaderBytes + length > log.size()) break;  // torn
    const std::string_view payload = std::string_view(log).substr(at + kHeaderBytes, length);
    if (XXH64(payload.data(), payload.size(), 0) != hash || !ReplayRecord(payload, persistent_)) {
      damaged = true;
      break;
    }
    at += kHeaderBytes + length;
  }
  if (!damaged && at < log.size()) {
    if (ftruncate(log_, static_cast<off_t>(at)) != 0 || fdatasync(log_) != 0) failed_ = true;
    log_bytes_ = at;
  }
  const std::string bytes = ReadFile(SnapshotPath());
  snapshot_bytes_ = bytes.size();
  if (!bytes.empty()) {
    Snapshot snapshot;
    if (!DecodeSnapshot(bytes, snapshot)) {
      damaged = true;
    } else {
      // The process may have ended between the snapshot and the log's new beginning.
      const std::uint64_t index = snapshot.index;
      const bool holds = index >= persistent_.first && index <= persistent_.last() &&
                         persistent_.entries[index - persistent_.first].term == snapshot.term;
      const bool follows = index + 1 == persistent_.first;
      if (!holds && !follows) {
        persistent_.entries.clear();
        persistent_.first = index + 1;
      }
      persistent_.snapshot = std::move(snapshot);
    }
  }
  if (!damaged && persistent_.first > 1 && !persistent_.snapshot) damaged = true;
  if (damaged) persistent_ = {};
  return persistent_;
}

bool FileStore::WriteRecords(std::string_view records) {
  if (failed_) return false;
  if (log_bytes_ + snapshot_bytes_ + records.size() > max_bytes_) return false;
  std::size_t at = 0;
  while (at < records.size()) {
    const ssize_t n =
        pwrite(log_, records.data() + at, records.size() - at, static_cast<off_t>(log_bytes_ + at));
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) break;
    at += static_cast<std::size_t>(n);
  }
  if (at == records.size() && fdatasync(log_) == 0) {
    log_bytes_ += records.size();
    return true;
  }
  // Half a record must not stand before the next one.
  failed_ = ftruncate(log_, static_cast<off_t>(log_bytes_)) != 0 || fdatasync(log_) != 0;
  return false;
}

bool FileStore::SetTerm(std::uint64_t term) {
  if (!WriteRecords(EncodeRecord(Tag::kTerm, term))) return false;
  persistent_.term = term;
  persistent_.vote = 0;
  return true;
}

bool FileStore::SetVote(std::uint64_t id) {
  if (!WriteRecords(EncodeRecord(Tag::kVote, id))) return false;
  persistent_.vote = id;
  return true;
}

bool FileStore::Append(const std::vector<LogEntry>& entries) {
  std::string records;
  for (const LogEntry& entry : entries) records += EncodeRecord(entry);
  if (!WriteRecords(records)) return false;
  persistent_.entries.insert(persistent_.entries.end(), entries.begin(), entries.end());
  return true;
}

bool FileStore::Truncate(std::uint64_t from) {
  if (from < persistent_.first || !WriteRecords(EncodeRecord(Tag::kTruncate, from))) return false;
  if (from - persistent_.first < persistent_.entries.size())
    persistent_.entries.resize(from - persistent_.first);
  return true;
}

bool FileStore::PutSnapshot(const Snapshot& snapshot, std::uint64_t trailing) {
  if (failed_) return false;
  PersistentState next = persistent_;
  MemoryStore::Compact(next, snapshot, trailing);
  const std::string bytes = EncodeSnapshot(snapshot);
  const std::string log = EncodeLog(next);
  if (bytes.size() + log.size() > max_bytes_ || !peers::WriteAtomically(SnapshotPath(), bytes)) {
    return false;
  }
  snapshot_bytes_ = bytes.size();
  if (!peers::WriteAtomically(LogPath(), log) || !OpenLog()) {
    failed_ = true;  // the snapshot stands and the log may not: nothing more is written
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
