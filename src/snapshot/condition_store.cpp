#include "snapshot/condition_store.hpp"

#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <string_view>

#include "observe/log.hpp"
#include "observe/metrics.hpp"
#include "spool/spool_clock.hpp"

namespace brassfront {
namespace {

using dispatch_policy::Time;
using observe::Concern;
using observe::Level;

constexpr const char* kFileName = "/conditions";
// The first bytes of a file; the digits are the version of the layout.
constexpr std::string_view kMagic = "BRCOND01";
constexpr std::size_t kHeaderBytes = 256;
constexpr std::size_t kInitialSlots = 64;
constexpr std::size_t kDiskDivisor = 8;  // the file takes at most one eighth of the disk limit

std::size_t FileBytes(std::size_t slots) { return kHeaderBytes + slots * kMaxConditionRecordBytes; }

std::string_view View(std::span<const char> bytes) { return {bytes.data(), bytes.size()}; }

}  // namespace

std::size_t ConditionStore::MaxBytes(std::size_t disk_bytes) {
  return std::max(disk_bytes / kDiskDivisor, FileBytes(kInitialSlots));
}

ConditionStore::ConditionStore(FolderOwner& owner, std::size_t max_bytes, Time now)
    : owner_(owner), max_bytes_(std::max(max_bytes, FileBytes(kInitialSlots))) {
  Open(now);
}

bool ConditionStore::Retry(Time now) {
  const bool was_open = file_.is_open();
  if (!was_open) Open(now);
  if (!file_.is_open() || unstored_ == 0) return file_.is_open() && !was_open;
  for (auto& [key, entry] : entries_) {
    if (entry.slot) continue;
    --unstored_;
    Store(entry);
  }
  return !was_open;
}

std::optional<ConditionRecord> ConditionStore::Find(const ConditionKey& key) const {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return std::nullopt;
  return found->second.record;
}

std::vector<ConditionRecord> ConditionStore::Destinations() const {
  std::vector<ConditionRecord> records;
  for (const auto& [key, entry] : entries_) {
    if (key.kind == ConditionKind::kDestination) records.push_back(entry.record);
  }
  return records;
}

void ConditionStore::Put(const ConditionRecord& record) {
  const auto found = entries_.find(record.key);
  if (found == entries_.end()) {
    if (FileBytes(entries_.size() + 1) > max_bytes_) EvictOldest(record.recorded_at);
    return Store(entries_.try_emplace(record.key, Entry{record, std::nullopt}).first->second);
  }
  Entry& entry = found->second;
  if (entry.record.Equals(record)) return;
  entry.record = record;
  if (entry.slot) Store(entry);  // otherwise Retry stores it
}

void ConditionStore::Erase(const ConditionKey& key) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return;
  if (const auto slot = found->second.slot) {
    --header_.records;
    WriteHeader();  // before the slot is cleared, so the file never has fewer records than this
    std::ranges::fill(SlotBytes(*slot), '\0');
    free_slots_.push_back(*slot);
  } else {
    --unstored_;
  }
  entries_.erase(found);
}

// Makes room for a newer condition by erasing the oldest one. Conditions with a wait that is not
// over are evicted last. The header then tells the next process that a condition is missing.
void ConditionStore::EvictOldest(Time now) {
  const auto is_older = [&](const auto& left, const auto& right) {
    const auto order = [&](const ConditionRecord& record) {
      return std::pair(record.limit.wait_until > now, record.recorded_at);
    };
    return order(left.second.record) < order(right.second.record);
  };
  const ConditionKey oldest = std::ranges::min_element(entries_, is_older)->first;
  Erase(oldest);
  MarkIncomplete();
}

void ConditionStore::MarkIncomplete() {
  observe::Count("conditions_not_stored_total");
  if (!file_.is_open() || !header_.is_complete) return;
  header_.is_complete = false;
  WriteHeader();
}

// ======== the file ========

void ConditionStore::Open(Time now) {
  if (!owner_.Owns()) return;
  MappedFile file =
      MappedFile::Open(owner_.folder() + kFileName, std::min(FileBytes(kInitialSlots), max_bytes_));
  if (!file.is_open()) {
    observe::LogRateLimited(
        Concern::kSpool, Level::kWarning, "conditions not stored",
        {{"file", owner_.folder() + kFileName}, {"error", std::strerror(errno)}});
    return;
  }
  file_ = std::move(file);
  const auto predecessor = TakeOverHeader();
  const auto read = ReadSlots(now);
  is_complete_ = predecessor && read && *read >= *predecessor;
  WriteHeader();
  observe::Log(Concern::kSpool, Level::kInfo, "conditions read",
               {{"known", entries_.size()},
                {"complete", is_complete_ ? "yes" : "no"},
                {"bytes", file_.bytes().size()}});
}

// Returns the number of records that the predecessor left, or nullopt if the file does not have
// everything that the predecessor observed. Clears a file that is from an earlier boot of the
// machine, has another layout or has a damaged header.
std::optional<std::uint64_t> ConditionStore::TakeOverHeader() {
  const std::int64_t predecessor = owner_.predecessor().process_id;
  const std::string_view stored = View(file_.bytes().first(kHeaderBytes));
  const auto header =
      stored.starts_with(kMagic) ? DecodeHeader(stored.substr(kMagic.size())) : std::nullopt;
  header_ = {.boot_id = ReadMachineTime().boot_id, .process_id = getpid()};
  const bool same_clock = header && !header->boot_id.empty() && header->boot_id == header_.boot_id;
  if (!same_clock) {
    std::ranges::fill(file_.bytes(), '\0');
    if (predecessor != 0) return std::nullopt;
    return 0;
  }
  if (header->process_id != predecessor || !header->is_complete) return std::nullopt;
  return header->records;
}

// Returns the number of records, or nullopt if any is damaged. Ignores records whose key is already
// in memory, because the entry in memory is newer.
std::optional<std::uint64_t> ConditionStore::ReadSlots(Time now) {
  std::uint64_t intact_records = 0;
  bool any_damaged = false;
  for (std::size_t slot = slots(); slot-- > 0;) {
    DecodedSlot decoded = DecodeSlot(View(SlotBytes(slot)));
    const ConditionRecord& record = decoded.record;
    // A record time in the future means damage.
    const bool damaged = decoded.state == SlotState::kDamaged || record.recorded_at > now;
    const bool is_record = decoded.state == SlotState::kUsed && !damaged;
    any_damaged = any_damaged || damaged;
    intact_records += is_record ? 1 : 0;
    if (is_record && entries_.try_emplace(record.key, Entry{record, slot}).second) {
      ++header_.records;
      continue;
    }
    std::ranges::fill(SlotBytes(slot), '\0');
    free_slots_.push_back(slot);
  }
  if (any_damaged) return std::nullopt;
  return intact_records;
}

void ConditionStore::WriteHeader() {
  const std::string text = std::string(kMagic) + Encode(header_);
  std::ranges::copy(text, file_.bytes().begin());
}

// Writes the entry to its slot, or to a free one if it has none.
void ConditionStore::Store(Entry& entry) {
  const bool is_new = !entry.slot;
  if (is_new) entry.slot = TakeFreeSlot();
  if (!entry.slot) {
    ++unstored_;
    return MarkIncomplete();
  }
  const std::string encoded = Encode(entry.record);
  std::ranges::copy(encoded, SlotBytes(*entry.slot).begin());
  if (!is_new) return;
  ++header_.records;
  WriteHeader();
}

std::optional<std::size_t> ConditionStore::TakeFreeSlot() {
  if (!file_.is_open()) return std::nullopt;
  if (free_slots_.empty()) {
    const std::size_t present = slots();
    const std::size_t size = std::min(FileBytes(2 * present), max_bytes_);
    if (size < FileBytes(present + 1) || !file_.Grow(size)) return std::nullopt;
    AddFreeSlots(present);
  }
  const std::size_t slot = free_slots_.back();
  free_slots_.pop_back();
  return slot;
}

void ConditionStore::AddFreeSlots(std::size_t first) {
  for (std::size_t slot = slots(); slot > first; --slot) free_slots_.push_back(slot - 1);
}

std::size_t ConditionStore::slots() const {
  return (file_.bytes().size() - kHeaderBytes) / kMaxConditionRecordBytes;
}

std::span<char> ConditionStore::SlotBytes(std::size_t slot) const {
  return file_.bytes().subspan(FileBytes(slot), kMaxConditionRecordBytes);
}

}  // namespace brassfront
