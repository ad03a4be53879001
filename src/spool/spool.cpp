#include "spool/spool.hpp"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>
#include <variant>

#include "observe/metrics.hpp"

namespace brassfront {
namespace {

using spool::kFileHeader;
constexpr const char* kFileName = "/spool";
constexpr const char* kCompactedFileName = "/spool.new";
constexpr const char* kDamagedBytesFileName = "/spool.cut";
constexpr std::size_t kMaxSavedDamageBytes = std::size_t{64} * 1024;
constexpr std::size_t kBlockBytes = 512;  // file sizes count towards the disk limit in whole blocks
constexpr std::size_t kMaxEndpointBytes = 256;
// The endpoint of an attempt whose record was lost.
constexpr const char* kUnknownEndpoint = "";
// A compaction is due once it would free more than this; less does not justify the writes.
constexpr std::size_t kCompactionThresholdBytes = std::size_t{128} * 1024;
// Reserved for the attempts and outcomes of accepted messages, because those records must not be
// rejected. Twelve attempts with their outcomes take about 0.8 KiB, and 237 messages may be in
// flight.
constexpr std::size_t kReservedBytes = std::size_t{192} * 1024;

std::size_t RoundUpToBlocks(std::size_t bytes) {
  return (bytes + kBlockBytes - 1) / kBlockBytes * kBlockBytes;
}

// Decodes a stored MessageAccepted record. Returns nullopt if it is damaged or is not the
// MessageAccepted record of this message.
std::optional<SpooledMessage> DecodeAccepted(SpoolId number, std::string_view stored) {
  const auto header = spool::DecodeFrameHeader(stored.substr(0, spool::kFrameBytes));
  const std::string_view payload = stored.substr(spool::kFrameBytes);
  if (!spool::IsIntact(header, payload)) return std::nullopt;
  auto record = spool::DecodePayload(payload);
  auto* accepted = record ? std::get_if<spool::MessageAccepted>(&*record) : nullptr;
  if (accepted == nullptr || accepted->number != number) return std::nullopt;
  return std::move(accepted->message);
}

}  // namespace

std::string Spool::EncodeProgress(SpoolId number, const OpenMessage& open) {
  std::string records;
  for (std::size_t i = 0; i < open.attempts.size(); ++i) {
    const SpooledAttempt& attempt = open.attempts[i];
    records += spool::Encode(spool::AttemptStarted{number, attempt.endpoint, attempt.started_at});
    if (attempt.known_not_run) records += spool::Encode(spool::AttemptNotRun{number, i});
  }
  if (open.give_up) records += spool::Encode(spool::MessageGivenUp{number, *open.give_up});
  return records;
}

Spool::Spool(FolderOwner& owner, std::size_t disk_bytes, Report report)
    : owner_(&owner), folder_(owner.folder()), disk_bytes_(disk_bytes), report_(std::move(report)) {
  clock_.Begin(std::nullopt, {}, ReadMachineTime());
  Open();
}

Spool::Spool(std::string folder, Report report)
    : owner_(nullptr), folder_(std::move(folder)), disk_bytes_(0), report_(std::move(report)) {
  file_ = File::OpenToRead(folder_ + kFileName);
  if (!file_.is_open()) {
    report_("no spool in " + folder_ + ": " + std::strerror(errno));
    return;
  }
  if (!Load()) report_("spool cannot be read: " + folder_ + ": " + std::strerror(errno));
}

Spool Spool::OpenToRead(std::string folder, Report report) {
  return Spool(std::move(folder), std::move(report));
}

// Acquires the ownership of the folder, before any file in it is accessed. Reports a failure once.
bool Spool::AcquireFolder() {
  const FileLock::Outcome outcome = owner_->Acquire();
  if (FolderOwner::IsOwned(outcome)) return true;
  const std::string why =
      outcome == FileLock::Outcome::kHeldByOther
          ? " is owned by process " + std::to_string(owner_->ReadHolder().process_id)
          : std::string(" cannot be locked: ") + std::strerror(errno);
  ReportOnce("spool unusable: " + folder_ + why);
  return false;
}

// Opens and reads the file, and discards the state of an earlier failed attempt. Writes only what
// Prepare writes.
void Spool::Open() {
  if (!AcquireFolder()) return;
  std::remove((folder_ + kCompactedFileName).c_str());  // left by an interrupted compaction
  open_messages_.clear();
  unrecovered_.clear();
  file_ = File::Open(folder_ + kFileName);
  if (!file_.is_open() || !Load()) {
    ReportOnce("spool unusable: " + folder_ + ": " + std::strerror(errno));
    file_ = File();
    return;
  }
  if (reported_) report_("spool in use again: " + folder_);
  reported_ = false;
  anchor_is_due_ = clock_.Begin(stored_anchor_, latest_time_, ReadMachineTime());
  static_cast<void>(Prepare());
}

void Spool::ReportOnce(const std::string& text) {
  if (!std::exchange(reported_, true)) report_(text);
}

void Spool::Retry() {
  if (!is_available()) return Open();
  next_compaction_bytes_ = 0;
  static_cast<void>(Prepare() && FlushPending());
}

UnixMs Spool::Now() const {
  const auto monotonic = std::chrono::steady_clock::now().time_since_epoch();
  return clock_.TimeAt(std::chrono::duration_cast<std::chrono::milliseconds>(monotonic));
}

std::optional<std::size_t> Spool::CountStoredOpenMessages() const {
  if (!is_available()) return std::nullopt;
  bool readable = true;
  const Spool stored = OpenToRead(folder_, [&](const std::string&) { readable = false; });
  const std::size_t excluded = pending_finishes_.size() + unrecovered_.size();
  if (!readable || stored.open_messages() < excluded) return std::nullopt;
  return stored.open_messages() - excluded;
}

std::vector<RecoveredMessage> Spool::Recover() {
  std::vector<RecoveredMessage> recovered;
  bool has_replaced = false;
  for (const SpoolId number : std::exchange(unrecovered_, {})) {
    const auto found = open_messages_.find(number);
    if (found == open_messages_.end()) continue;
    OpenMessage& open = found->second;
    const auto stored = file_.Read(open.offset, open.record_bytes);
    if (!stored && errno != 0) {
      unrecovered_.insert(number);
      continue;
    }
    auto message = stored ? DecodeAccepted(number, *stored) : std::nullopt;
    if (!message) {
      report_("spool: message could not be read again: id=" + open.client_id);
      if (owner_ == nullptr) continue;
      message = ReplaceRecord(number, open);
      has_replaced = true;
    }
    recovered.push_back({number, std::move(*message), open.attempts, open.give_up});
    // RecordLostAttempts writes this attempt to the file before any other record is written.
    if (open.attempt_may_be_lost) {
      recovered.back().attempts.push_back(
          {.endpoint = kUnknownEndpoint, .started_at = latest_time_});
    }
  }
  if (has_replaced) static_cast<void>(Prepare());
  return recovered;
}

// Returns a substitute for a message whose record was intact when the file was read but has been
// damaged since. The substitute has only what is needed to give the message up. The next compaction
// writes it in place of the damaged record, whose bytes are first saved to a separate file.
SpooledMessage Spool::ReplaceRecord(SpoolId number, OpenMessage& open) {
  observe::Count("spool_unreadable_messages_total");
  SpooledMessage message;
  message.id = open.client_id;
  message.deadline = Now();
  damaged_.push_back({open.offset, open.record_bytes});
  compaction_is_due_ = true;
  compacted_bytes_ -= open.record_bytes;
  open.replacement = spool::Encode(spool::MessageAccepted{number, message});
  open.record_bytes = open.replacement.size();
  compacted_bytes_ += open.record_bytes;
  return message;
}

bool Spool::Accept(SpoolId number, const SpooledMessage& message) {
  return Append(spool::MessageAccepted{number, message}, Space::kUnreserved);
}

bool Spool::BeginAttempt(SpoolId number, const std::string& endpoint, UnixMs at) {
  const spool::AttemptStarted record{number, endpoint.substr(0, kMaxEndpointBytes), at};
  return Append(record, Space::kReserved);
}

void Spool::MarkNotRun(SpoolId number, std::size_t attempt) {
  const spool::AttemptNotRun record{number, attempt};
  if (Append(record, Space::kReserved)) return;
  pending_not_run_.push_back({number, attempt});
}

void Spool::GiveUp(SpoolId number, const SpooledGiveUp& give_up) {
  const auto found = open_messages_.find(number);
  if (found == open_messages_.end() || found->second.give_up) return;
  if (Append(spool::MessageGivenUp{number, give_up}, Space::kReserved)) return;
  if (pending_give_ups_.emplace(number, give_up).second) {
    report_("spool: a give-up could not be recorded yet");
  }
}

bool Spool::FinishTogether(std::span<const SpoolId> numbers) {
  std::vector<spool::MessageFinished> records;
  std::string bytes;
  for (const SpoolId number : numbers) {
    if (open_messages_.count(number) == 0) continue;
    records.push_back({number});
    bytes += spool::Encode(records.back());
  }
  if (records.empty()) return true;
  if (!Prepare() || !FlushPending()) return false;
  if (IsCompactionDue(bytes.size()) || !Fits(bytes.size())) return false;
  if (!file_.Write(file_bytes_, bytes)) return false;
  for (const spool::MessageFinished& record : records) Apply(record, {});
  file_bytes_ += bytes.size();
  return true;
}

void Spool::Finish(SpoolId number) {
  if (open_messages_.count(number) == 0) return;
  if (Append(spool::MessageFinished{number}, Space::kReserved)) return;
  pending_finishes_.insert(number);
  report_("spool: the end of a message could not be recorded yet");
}

// ======== reading ========

// Returns false if a read failed, with errno set. The content of the file is then unknown.
bool Spool::Load() {
  file_bytes_ = compacted_bytes_ = kFileHeader.size();
  damaged_.clear();
  header_is_due_ = compaction_is_due_ = false;
  stored_anchor_.reset();
  const auto stored_bytes = file_.Size();
  if (!stored_bytes) return false;
  stored_bytes_ = *stored_bytes;
  const File damage_file = File::OpenToRead(folder_ + kDamagedBytesFileName);
  saved_damage_bytes_ =
      damage_file.is_open() ? damage_file.Size().value_or(kMaxSavedDamageBytes) : 0;
  const std::size_t header_bytes = std::min(stored_bytes_, kFileHeader.size());
  const auto header = file_.Read(0, header_bytes);
  if (!header) return false;
  if (*header == kFileHeader) return LoadRecords(header_bytes);
  file_bytes_ = 0;
  // A prefix of the header is not damage: the process ended while it created the file.
  if (!kFileHeader.starts_with(*header)) NoteDamage({0, header_bytes});
  if (!LoadRecords(header_bytes)) return false;
  // If there are intact records after a damaged header, a compaction writes a new header.
  header_is_due_ = file_bytes_ == 0;
  return true;
}

bool Spool::LoadRecords(std::size_t begin) {
  spool::Reader reader(file_, begin, stored_bytes_);
  while (true) {
    const spool::Reader::Item item = reader.Next();
    switch (item.outcome) {
      case spool::Reader::Outcome::kFailed:
        return false;
      case spool::Reader::Outcome::kEnd:
        for (const auto& [number, open] : open_messages_) unrecovered_.insert(number);
        return true;
      case spool::Reader::Outcome::kTornTail:
        NoteTornTail(item.extent);
        break;
      case spool::Reader::Outcome::kDamage:
        NoteDamage(item.extent);
        break;
      case spool::Reader::Outcome::kRecord:
        const auto apply = [&](const auto& record) { return Apply(record, item.extent); };
        if (!std::visit(apply, item.record)) NoteDamage(item.extent);
        // Damage before this record can't be removed by truncating the file.
        compaction_is_due_ = compaction_is_due_ || !damaged_.empty();
        file_bytes_ = item.extent.end();
    }
  }
}

// The lost records may include an attempt of any message that is open at this point of the file.
void Spool::NoteDamage(const Extent& extent) {
  report_("spool damaged: " + std::to_string(extent.bytes) + " bytes at offset " +
          std::to_string(extent.offset) + " left out");
  damaged_.push_back(extent);
  for (auto& [number, open] : open_messages_) open.attempt_may_be_lost = true;
}

// The last record was never completely written, so nothing that depends on it was done.
void Spool::NoteTornTail(const Extent& extent) {
  report_("spool tail unreadable: " + std::to_string(extent.bytes) + " bytes");
  damaged_.push_back(extent);
}

// ======== applying records ========

bool Spool::Apply(const spool::MessageAccepted& record, const Extent& extent) {
  next_number_ = std::max(next_number_, record.number + 1);
  OpenMessage opened;
  opened.offset = extent.offset;
  opened.record_bytes = extent.bytes;
  opened.client_id = record.message.id;
  if (!open_messages_.emplace(record.number, std::move(opened)).second) return false;
  compacted_bytes_ += extent.bytes;
  return true;
}

bool Spool::Apply(const spool::AttemptStarted& record, const Extent& extent) {
  next_number_ = std::max(next_number_, record.number + 1);
  latest_time_ = std::max(latest_time_, record.started_at);
  const auto found = open_messages_.find(record.number);
  if (found == open_messages_.end()) return true;
  found->second.attempts.push_back({.endpoint = record.endpoint, .started_at = record.started_at});
  compacted_bytes_ += extent.bytes;
  return true;
}

bool Spool::Apply(const spool::AttemptNotRun& record, const Extent& extent) {
  next_number_ = std::max(next_number_, record.number + 1);
  const auto found = open_messages_.find(record.number);
  if (found == open_messages_.end()) return true;
  std::vector<SpooledAttempt>& attempts = found->second.attempts;
  if (record.attempt >= attempts.size()) return true;
  attempts[record.attempt].known_not_run = true;
  compacted_bytes_ += extent.bytes;
  return true;
}

bool Spool::Apply(const spool::MessageGivenUp& record, const Extent& extent) {
  next_number_ = std::max(next_number_, record.number + 1);
  const auto found = open_messages_.find(record.number);
  if (found == open_messages_.end() || found->second.give_up) return true;
  found->second.give_up = record.give_up;
  compacted_bytes_ += extent.bytes;
  return true;
}

bool Spool::Apply(const spool::MessageFinished& record, const Extent&) {
  next_number_ = std::max(next_number_, record.number + 1);
  const auto found = open_messages_.find(record.number);
  if (found == open_messages_.end()) return true;
  compacted_bytes_ -= found->second.record_bytes;
  compacted_bytes_ -= EncodeProgress(record.number, found->second).size();
  open_messages_.erase(found);
  return true;
}

bool Spool::Apply(const spool::ClockAnchor& record, const Extent& extent) {
  if (stored_anchor_) compacted_bytes_ -= spool::Encode(*stored_anchor_).size();
  stored_anchor_ = record;
  compacted_bytes_ += extent.bytes;
  latest_time_ = std::max(latest_time_, record.wall);
  return true;
}

// ======== writing ========

// Prepares the file for appending records. Returns false on failure; it is called again before the
// next record.
bool Spool::Prepare() {
  if (!file_.is_open() || !RemoveDamage()) return false;
  if (header_is_due_) {
    if (!file_.Write(0, kFileHeader)) return false;
    header_is_due_ = false;
    file_bytes_ = kFileHeader.size();
  }
  if (anchor_is_due_) anchor_is_due_ = !Write(clock_.anchor(), Space::kReserved);
  if (anchor_is_due_ || !RecordLostAttempts()) return false;
  // If the compaction fails, the damage stays in the file and is skipped again at the next start.
  if (std::exchange(compaction_is_due_, false)) Compact();
  return true;
}

// Saves the damaged bytes to a separate file, and truncates the spool after its last intact record.
bool Spool::RemoveDamage() {
  if (!damaged_.empty() && !SaveDamagedBytes()) return false;
  damaged_.clear();
  if (stored_bytes_ > file_bytes_ && !file_.Truncate(file_bytes_)) return false;
  stored_bytes_ = 0;
  return true;
}

// Saves the first bytes of the damaged parts to a separate file for inspection, after those that
// this process has already saved. Returns false if they can't be read or written now, and is then
// called again later. If the disk is full, they are discarded and the result is true.
bool Spool::SaveDamagedBytes() {
  const std::size_t begin =
      has_saved_damage_ ? std::min(saved_damage_bytes_, kMaxSavedDamageBytes) : 0;
  std::string saved_bytes;
  for (const Extent& extent : damaged_) {
    const auto bytes = file_.Read(
        extent.offset, std::min(extent.bytes, kMaxSavedDamageBytes - begin - saved_bytes.size()));
    if (!bytes && errno != 0) return false;
    if (bytes) saved_bytes += *bytes;
  }
  const std::string path = folder_ + kDamagedBytesFileName;
  File damage_file = has_saved_damage_ ? File::Open(path) : File::OpenEmpty(path);
  if (!damage_file.is_open()) return false;
  if (!damage_file.Write(begin, saved_bytes)) return errno == ENOSPC || errno == EDQUOT;
  saved_damage_bytes_ = begin + saved_bytes.size();
  has_saved_damage_ = true;
  return true;
}

// Records an attempt of unknown outcome for each message that may have lost an attempt record.
bool Spool::RecordLostAttempts() {
  for (auto& [number, open] : open_messages_) {
    if (!open.attempt_may_be_lost) continue;
    if (!Write(spool::AttemptStarted{number, kUnknownEndpoint, latest_time_}, Space::kReserved)) {
      return false;
    }
    open.attempt_may_be_lost = false;
  }
  return true;
}

// Writes the pending records. Returns false if some of them are still pending.
bool Spool::FlushPending() {
  while (!pending_not_run_.empty()) {
    const PendingNotRun pending = pending_not_run_.back();
    const spool::AttemptNotRun record{pending.number, pending.attempt};
    if (!Write(record, Space::kReserved)) return false;
    pending_not_run_.pop_back();
  }
  while (!pending_give_ups_.empty()) {
    const auto [number, give_up] = *pending_give_ups_.begin();
    if (!Write(spool::MessageGivenUp{number, give_up}, Space::kReserved)) return false;
    pending_give_ups_.erase(number);
  }
  while (!pending_finishes_.empty()) {
    const SpoolId number = *pending_finishes_.begin();
    if (!Write(spool::MessageFinished{number}, Space::kReserved)) return false;
    pending_finishes_.erase(number);
  }
  return true;
}

template <typename Record>
bool Spool::Append(const Record& record, Space space) {
  return Prepare() && FlushPending() && Write(record, space);
}

template <typename Record>
bool Spool::Write(const Record& record, Space space) {
  const std::string bytes = spool::Encode(record);
  const std::size_t additional_bytes =
      bytes.size() + (space == Space::kUnreserved ? kReservedBytes : 0);
  if (IsCompactionDue(additional_bytes) && !Compact()) {
    // Avoids another attempt for each record while the disk fails.
    next_compaction_bytes_ = file_bytes_ + kCompactionThresholdBytes;
  }
  if (!Fits(additional_bytes) || !file_.Write(file_bytes_, bytes)) return false;
  Apply(record, {file_bytes_, bytes.size()});
  file_bytes_ += bytes.size();
  return true;
}

// Returns whether the file and its compacted copy fit within the disk limit at the same time.
bool Spool::Fits(std::size_t additional_bytes) const {
  return RoundUpToBlocks(file_bytes_ + additional_bytes) +
             RoundUpToBlocks(compacted_bytes_ + additional_bytes) +
             RoundUpToBlocks(saved_damage_bytes_) <=
         disk_bytes_;
}

bool Spool::IsCompactionDue(std::size_t additional_bytes) const {
  if (file_bytes_ < next_compaction_bytes_) return false;
  if (file_bytes_ > compacted_bytes_ + kCompactionThresholdBytes) return true;
  return !Fits(additional_bytes) && file_bytes_ > compacted_bytes_;
}

// Writes the open messages to a new file, and replaces the current file with it.
bool Spool::Compact() {
  const std::string path = folder_ + kCompactedFileName;
  File compacted = File::OpenEmpty(path);
  std::size_t size = 0;
  const auto write = [&](std::string_view bytes) {
    if (!compacted.is_open() || !compacted.Write(size, bytes)) return false;
    size += bytes.size();
    return true;
  };
  std::map<SpoolId, std::size_t> offsets;
  bool written = write(kFileHeader) && write(spool::Encode(clock_.anchor()));
  for (const auto& [number, open] : open_messages_) {
    if (!written) break;
    offsets[number] = size;
    const auto accepted = open.replacement.empty() ? file_.Read(open.offset, open.record_bytes)
                                                   : std::optional(open.replacement);
    written = accepted && write(*accepted) && write(EncodeProgress(number, open));
  }
  if (!written || std::rename(path.c_str(), (folder_ + kFileName).c_str()) != 0) {
    report_("spool: could not be compacted");
    std::remove(path.c_str());
    return false;
  }
  file_ = std::move(compacted);
  file_bytes_ = size;
  stored_anchor_ = clock_.anchor();
  for (const auto& [number, offset] : offsets) open_messages_[number].offset = offset;
  return true;
}

}  // namespace brassfront
