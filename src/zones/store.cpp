#include "zones/store.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>

#include "spool/file.hpp"

namespace brassfront::zones {
namespace {

namespace fs = std::filesystem;
using dns::Get16;
using dns::Get32;
using dns::Put16;
using dns::Put32;

// A file starts with one of these lines and the name of the zone. The digit is the format version.
constexpr std::string_view kJournalMagic = "brassfront zone journal 1\n";
constexpr std::string_view kSnapshotMagic = "brassfront zone snapshot 1\n";
// An entry consists of the length of the body (4 bytes), its checksum (8 bytes), and the body,
// whose first 8 bytes are the number of the entry.
constexpr std::size_t kEntryHeaderBytes = 12;
constexpr std::size_t kMaxSignatures = 100'000;
constexpr std::size_t kSnapshotEntryBytes =
    1 << 16;  // a snapshot is split into entries of about this size

void Put64(std::string& out, std::uint64_t value) {
  Put32(out, static_cast<std::uint32_t>(value >> 32));
  Put32(out, static_cast<std::uint32_t>(value));
}

std::uint64_t Get64(std::string_view bytes, std::size_t at) {
  return std::uint64_t{Get32(bytes, at)} << 32 | Get32(bytes, at + 4);
}

std::string Entry(std::string_view body) {
  std::string out;
  Put32(out, static_cast<std::uint32_t>(body.size()));
  Put64(out, XXH64(body.data(), body.size(), body.size()));
  return out.append(body);
}

void PutRecord(std::string& out, const dns::Record& record) {
  out += record.name.wire();
  Put16(out, record.type);
  Put32(out, record.ttl);
  Put16(out, static_cast<std::uint32_t>(record.rdata.size()));
  out += record.rdata;
}

// Parses the record at the start of the bytes and removes it; returns nullopt if it is malformed.
std::optional<dns::Record> TakeRecord(std::string_view& bytes) {
  const auto name = dns::Name::TakeWire(bytes);
  if (!name || bytes.size() < 8) return std::nullopt;
  const std::size_t length = Get16(bytes, 6);
  if (bytes.size() < 8 + length) return std::nullopt;
  dns::Record record{*name, static_cast<std::uint16_t>(Get16(bytes, 0)), dns::klass::kIn,
                     Get32(bytes, 2), std::string(bytes.substr(8, length))};
  bytes.remove_prefix(8 + length);
  if (!dns::IsRdata(record.type, record.rdata)) return std::nullopt;
  return record;
}

// The start of the body of a journal entry: its number and its signature, which may be empty. The
// change follows, if there is one.
std::string SignatureBody(std::uint64_t number, const dns::UpdateSignature* signature) {
  std::string body;
  Put64(body, number);
  Put16(body, signature == nullptr ? 0 : static_cast<std::uint32_t>(signature->mac.size()));
  if (signature != nullptr) body += signature->mac;
  Put64(body, signature == nullptr ? 0 : signature->signed_at);
  return body;
}

// Parses the signature at the start of a body, after its number, and removes it; returns false if
// it is malformed.
bool TakeSignature(std::string_view& body, dns::UpdateSignature& signature) {
  if (body.size() < 2) return false;
  const std::size_t length = Get16(body, 0);
  if (body.size() < 2 + length + 8) return false;
  signature.mac = body.substr(2, length);
  signature.signed_at = Get64(body, 2 + length);
  body.remove_prefix(2 + length + 8);
  return true;
}

std::string ChangeBody(std::uint64_t number, const dns::Change& change,
                       const dns::UpdateSignature* signature) {
  std::string body = SignatureBody(number, signature);
  for (const auto* records : {&change.removed, &change.added}) {
    Put32(body, static_cast<std::uint32_t>(records->size()));
    for (const auto& record : *records) PutRecord(body, record);
  }
  return body;
}

std::optional<dns::Change> ChangeIn(std::string_view body) {
  dns::Change change;
  for (auto* records : {&change.removed, &change.added}) {
    if (body.size() < 4) return std::nullopt;
    std::uint32_t count = Get32(body, 0);
    body.remove_prefix(4);
    for (; count > 0; --count) {
      auto record = TakeRecord(body);
      if (!record) return std::nullopt;
      records->push_back(*std::move(record));
    }
  }
  if (!body.empty() || change.removed.empty() || change.added.empty()) return std::nullopt;
  return change;
}

enum class Next { kEntry, kEnd, kBad };

// Reads the entry at `at` and moves `at` past it. The body starts with the number of the entry.
Next TakeEntry(std::string_view bytes, std::size_t& at, std::string_view& body) {
  const std::size_t left = bytes.size() - at;
  if (left == 0) return Next::kEnd;
  if (left < kEntryHeaderBytes) return Next::kBad;
  const std::size_t length = Get32(bytes, at);
  if (length < 8 || left - kEntryHeaderBytes < length) return Next::kBad;
  body = bytes.substr(at + kEntryHeaderBytes, length);
  if (XXH64(body.data(), length, length) != Get64(bytes, at + 4)) return Next::kBad;
  at += kEntryHeaderBytes + length;
  return Next::kEntry;
}

// True if a complete entry with a number above `number` starts anywhere after `at`. An incomplete
// write has none after it, so an invalid entry that is followed by a valid one is damage.
bool HasEntryAfter(std::string_view bytes, std::size_t at, std::uint64_t number) {
  constexpr std::uint64_t kMaxEntries = std::uint64_t{1}
                                        << 32;  // maximum plausible distance of entry numbers
  while (++at + kEntryHeaderBytes + 8 <= bytes.size()) {
    const std::uint64_t found = Get64(bytes, at + kEntryHeaderBytes);
    if (found <= number || found - number > kMaxEntries) continue;
    std::size_t tried = at;
    std::string_view body;
    if (TakeEntry(bytes, tried, body) == Next::kEntry) return true;
  }
  return false;
}

std::string FileHeader(std::string_view magic, const dns::Name& origin) {
  return std::string(magic) + origin.Lower().ToText() + "\n";
}

std::optional<std::string> ReadFile(const std::string& path) {
  const File file = File::OpenToRead(path);
  const auto size = file.is_open() ? file.Size() : std::nullopt;
  return size ? file.Read(0, *size) : std::nullopt;
}

bool SynchroniseFolder(Disk& disk, const std::string& folder) {
  const int fd = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return false;
  const bool done = disk.Synchronise(fd) == 0;
  close(fd);
  return done;
}

}  // namespace

ssize_t Disk::Write(int fd, const char* bytes, std::size_t length) {
  return write(fd, bytes, length);
}
int Disk::Synchronise(int fd) { return fdatasync(fd); }
int Disk::Truncate(int fd, std::size_t size) { return ftruncate(fd, static_cast<off_t>(size)); }
int Disk::Rename(const char* from, const char* to) { return std::rename(from, to); }

ZoneStore::ZoneStore(std::string folder, const dns::Name& origin, Options options)
    : folder_(std::move(folder)),
      options_(options),
      disk_(options.disk != nullptr ? *options.disk : system_),
      zone_(origin) {
  std::error_code error;
  fs::create_directories(folder_, error);
  switch (lock_.TryLock(folder_ + "/lock")) {
    case FileLock::Outcome::kAcquired:
      break;
    case FileLock::Outcome::kHeldByOther:
      throw StoreError(folder_ + " is held by another process");
    case FileLock::Outcome::kUnsupported:
    case FileLock::Outcome::kFailed:
      throw StoreError(folder_ + " cannot be locked: " + std::strerror(errno));
  }
  try {
    Read();
  } catch (...) {
    if (journal_ >= 0) close(journal_);
    throw;
  }
}

ZoneStore::~ZoneStore() {
  if (journal_ >= 0) close(journal_);
}

void ZoneStore::Read() {
  std::error_code error;
  for (const char* half : {"/snapshot.new", "/journal.new"}) fs::remove(folder_ + half, error);
  if (fs::exists(folder_ + "/snapshot", error)) ReadSnapshot();
  const std::string journal = folder_ + "/journal";
  if (!fs::exists(journal, error)) {
    if (!StartJournal()) throw StoreError(why_);
    return;
  }
  const auto bytes = ReadFile(journal);
  if (!bytes) throw StoreError(journal + " cannot be read: " + std::strerror(errno));
  journal_ = open(journal.c_str(), O_RDWR | O_APPEND | O_CLOEXEC);
  if (journal_ < 0) throw StoreError(journal + " cannot be written to: " + std::strerror(errno));
  ReplayJournal(*bytes);
}

void ZoneStore::ReadSnapshot() {
  const std::string snapshot = folder_ + "/snapshot";
  const auto bytes = ReadFile(snapshot);
  const std::string start = FileHeader(kSnapshotMagic, zone_.origin());
  if (!bytes) throw StoreError(snapshot + " cannot be read: " + std::strerror(errno));
  if (!bytes->starts_with(start)) {
    throw StoreError(snapshot + " is no snapshot of " + zone_.origin().ToText() +
                     " in this version's format");
  }
  snapshot_bytes_ = bytes->size();
  std::size_t at = start.size();
  std::string_view body;
  bool ended = false;
  while (TakeEntry(*bytes, at, body) == Next::kEntry) {
    if (ended) throw StoreError(snapshot + " contains data after its end");
    entries_ = Get64(body, 0);
    body.remove_prefix(8);
    ended = body.empty();
    while (!body.empty()) {
      const auto record = TakeRecord(body);
      if (!record) throw StoreError(snapshot + " holds a damaged record");
      zone_.Add(*record);
    }
  }
  if (!ended || at != bytes->size()) {
    throw StoreError(snapshot + " is damaged at byte " + std::to_string(at));
  }
}

void ZoneStore::ReplayJournal(std::string_view bytes) {
  const std::string journal = folder_ + "/journal";
  const std::string start = FileHeader(kJournalMagic, zone_.origin());
  if (!bytes.starts_with(start)) {
    throw StoreError(journal + " is no journal of " + zone_.origin().ToText() +
                     " in this version's format");
  }
  std::size_t at = start.size();
  std::string_view body;
  while (true) {
    const std::size_t before = at;
    const Next next = TakeEntry(bytes, at, body);
    if (next == Next::kEnd) break;
    const std::string place = journal + " at byte " + std::to_string(before);
    if (next == Next::kBad) {
      if (HasEntryAfter(bytes, before, entries_)) {
        throw StoreError(place +
                         " is damaged, and valid entries follow: restore the journal from a copy");
      }
      cut_bytes_ = bytes.size() - before;
      if (disk_.Truncate(journal_, before) != 0 || disk_.Synchronise(journal_) != 0) {
        throw StoreError(journal + ": its half last entry cannot be cut off");
      }
      break;
    }
    const std::uint64_t number = Get64(body, 0);
    body.remove_prefix(8);
    dns::UpdateSignature signature;
    if (!TakeSignature(body, signature)) throw StoreError(place + " has no signature field");
    if (!signature.mac.empty()) Remember(signature);
    if (number <= entries_) continue;  // in the snapshot
    const auto change = ChangeIn(body);
    if (number != entries_ + 1 || !change || !zone_.Apply(*change)) {
      throw StoreError(place + " does not follow from the entries before it");
    }
    entries_ = number;
  }
  journal_bytes_ = bytes.size() - cut_bytes_;
}

bool ZoneStore::Fail(const std::string& what) {
  why_ = what + ": " + std::strerror(errno);
  return false;
}

bool ZoneStore::WriteAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = disk_.Write(fd, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

bool ZoneStore::WriteNew(const std::string& name, const std::function<bool(int fd)>& fill) {
  const std::string path = folder_ + "/" + name;
  const std::string fresh = path + ".new";
  const int fd = open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0) return Fail(fresh);
  bool done = fill(fd) && disk_.Synchronise(fd) == 0;
  done = close(fd) == 0 && done;
  if (!done || disk_.Rename(fresh.c_str(), path.c_str()) != 0) {
    Fail(fresh);
    unlink(fresh.c_str());
    return false;
  }
  if (SynchroniseFolder(disk_, folder_)) return true;
  // It is unknown whether the new or the old file will have the name after a power failure.
  write_failed_ = true;
  return Fail(folder_);
}

bool ZoneStore::WriteSnapshot(const dns::Zone& zone) {
  std::size_t size = 0;
  const bool done = WriteNew("snapshot", [&](int fd) {
    std::string out = FileHeader(kSnapshotMagic, zone.origin());
    std::string body;
    bool good = true;
    const auto flush = [&] {
      out += Entry(body);
      size += out.size();
      good = good && WriteAll(fd, out);
      out.clear();
      body.clear();
      Put64(body, entries_);
    };
    Put64(body, entries_);
    PutRecord(body, zone.Soa());
    zone.EachRecord([&](const dns::Record& record) {
      PutRecord(body, record);
      if (body.size() >= kSnapshotEntryBytes) flush();
    });
    if (body.size() > 8) flush();
    flush();  // an empty entry marks the end
    return good;
  });
  if (done) snapshot_bytes_ = size;
  return done;
}

bool ZoneStore::StartJournal() {
  std::string start = FileHeader(kJournalMagic, zone_.origin());
  for (const dns::UpdateSignature& signature : signatures_) {
    start += Entry(SignatureBody(entries_, &signature));
  }
  if (!WriteNew("journal", [&](int fd) { return WriteAll(fd, start); })) return false;
  const int fd = open((folder_ + "/journal").c_str(), O_RDWR | O_APPEND | O_CLOEXEC);
  if (fd < 0) {
    write_failed_ = true;  // the open file has been replaced, so nothing more may be written to it
    return Fail(folder_ + "/journal");
  }
  if (journal_ >= 0) close(journal_);
  journal_ = fd;
  journal_bytes_ = start.size();
  return true;
}

bool ZoneStore::Append(std::string_view entry) {
  if (WriteAll(journal_, entry) && disk_.Synchronise(journal_) == 0) {
    journal_bytes_ += entry.size();
    return true;
  }
  Fail(folder_ + "/journal");
  // An incomplete entry must not remain before a later complete one.
  if (disk_.Truncate(journal_, journal_bytes_) != 0 || disk_.Synchronise(journal_) != 0) {
    write_failed_ = true;
    why_ += "; the half entry cannot be cut off";
  }
  return false;
}

void ZoneStore::Remember(const dns::UpdateSignature& signature) {
  signatures_.push_back(signature);
  while (signatures_.size() > kMaxSignatures ||
         signatures_.front().signed_at + std::uint64_t{2} * dns::kFudgeSeconds <
             signature.signed_at) {
    signatures_.pop_front();
  }
}

bool ZoneStore::MayWrite() {
  why_.clear();
  if (write_failed_) {
    why_ = folder_ +
           " could not be written to before; no further changes are stored until the next start";
  }
  return !write_failed_;
}

bool ZoneStore::Commit(const dns::Change& change, const dns::UpdateSignature* signature) {
  if (!MayWrite()) return false;
  if (!zone_.CanApply(change)) {
    why_ = "the change does not start from what the zone holds";
    return false;
  }
  if (!Append(Entry(ChangeBody(entries_ + 1, change, signature)))) return false;
  ++entries_;
  if (signature != nullptr) Remember(*signature);
  zone_.ApplyUnchecked(change);
  if (journal_bytes_ > options_.compact_bytes && journal_bytes_ > snapshot_bytes_) {
    // The change is committed whether or not this succeeds; on failure the old journal is
    // continued.
    if (WriteSnapshot(zone_)) StartJournal();
  }
  return true;
}

bool ZoneStore::Replace(const dns::Zone& zone) {
  if (!MayWrite()) return false;
  if (zone_.has_soa() && zone_.serial() != zone.serial()) {
    return Commit(dns::Difference(zone_, zone));
  }
  // The new number makes the snapshot newer than every journal entry, even if starting a new
  // journal fails.
  ++entries_;
  if (!WriteSnapshot(zone)) {
    --entries_;
    return false;
  }
  zone_ = zone;
  StartJournal();
  return true;
}

}  // namespace brassfront::zones
