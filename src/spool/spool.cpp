#include "spool/spool.hpp"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>
#include <variant>

namespace brassfront {
namespace {

constexpr std::string_view kFileHeader = "BRSPOOL1";
constexpr const char* kFileName = "/spool";
constexpr const char* kCompactedFileName = "/spool.new";
constexpr std::size_t kBlockBytes = 512;  // the disk limit counts files in whole blocks
constexpr std::size_t kMaxEndpointBytes = 256;
// Bytes of finished messages that make a compaction worth its writes.
constexpr std::size_t kCompactionThresholdBytes = std::size_t{128} * 1024;
// Kept free for the attempts and ends of accepted messages: those records may not be refused.
// Twelve attempts with their outcomes take some 0.8 KiB, and 237 messages may be in flight.
constexpr std::size_t kReservedBytes = std::size_t{192} * 1024;

std::size_t RoundUpToBlocks(std::size_t bytes) {
  return (bytes + kBlockBytes - 1) / kBlockBytes * kBlockBytes;
}

// The records of a message's attempts, as a compaction writes them.
std::string EncodeAttempts(SpoolId number, const std::vector<SpooledAttempt>& attempts) {
  std::string records;
  for (std::size_t i = 0; i < attempts.size(); ++i) {
    const SpooledAttempt& attempt = attempts[i];
    records += spool::Encode(spool::AttemptStarted{number, attempt.endpoint, attempt.started_at});
    if (attempt.known_not_run) records += spool::Encode(spool::AttemptNotRun{number, i});
  }
  return records;
}

}  // namespace

Spool::Spool(std::string folder, std::size_t disk_bytes, Report report)
    : folder_(std::move(folder)), disk_bytes_(disk_bytes), report_(std::move(report)) {
  std::remove((folder_ + kCompactedFileName).c_str());  // of an interrupted compaction
  file_ = File::Open(folder_ + kFileName);
  if (!file_.is_open()) {
    report_("spool unusable: " + folder_ + ": " + std::strerror(errno));
    return;
  }
  Load();
}

Spool::Spool(std::string folder, Report report)
    : folder_(std::move(folder)), disk_bytes_(0), report_(std::move(report)) {
  file_ = File::OpenToRead(folder_ + kFileName);
  if (!file_.is_open()) {
    report_("no spool in " + folder_ + ": " + std::strerror(errno));
    return;
  }
  Load();
}

Spool Spool::OpenToRead(std::string folder, Report report) {
  return Spool(std::move(folder), std::move(report));
}

std::vector<RecoveredMessage> Spool::Recover() {
  std::vector<RecoveredMessage> recovered;
  for (const auto& [number, open] : open_messages_) {
    const std::size_t payload_bytes = open.record_bytes - spool::kFrameBytes;
    const auto payload = file_.Read(open.offset + spool::kFrameBytes, payload_bytes);
    auto record = payload ? spool::DecodePayload(*payload) : std::nullopt;
    auto* accepted = record ? std::get_if<spool::MessageAccepted>(&*record) : nullptr;
    if (accepted == nullptr) {
      report_("spool: a message could not be read again");
      continue;
    }
    recovered.push_back({number, std::move(accepted->message), open.attempts});
  }
  return recovered;
}

bool Spool::Accept(SpoolId number, const SpooledMessage& message) {
  return Append(spool::MessageAccepted{number, message}, Space::kUnreserved);
}

bool Spool::BeginAttempt(SpoolId number, const std::string& endpoint, UnixMs at) {
  const spool::AttemptStarted record{number, endpoint.substr(0, kMaxEndpointBytes), at};
  return Append(record, Space::kReserved);
}

void Spool::MarkNotRun(SpoolId number, std::size_t attempt) {
  Append(spool::AttemptNotRun{number, attempt}, Space::kReserved);
}

void Spool::Finish(SpoolId number) {
  if (open_messages_.count(number) == 0) return;
  if (!Append(spool::MessageFinished{number}, Space::kReserved)) {
    report_("spool: an end could not be noted");
  }
}

// ======== reading ========

void Spool::Load() {
  compacted_bytes_ = file_bytes_ = kFileHeader.size();
  const std::size_t stored_bytes = file_.Size().value_or(0);
  const bool read_only = disk_bytes_ == 0;
  if (file_.Read(0, kFileHeader.size()) != kFileHeader) {
    if (stored_bytes > 0) report_("spool damaged: no header; nothing can be read from it");
    if (!read_only && (!file_.Truncate(0) || !file_.Write(0, kFileHeader))) {
      report_("spool unusable: cannot write");
      file_ = File();
    }
    return;
  }
  while (const auto stored = ReadRecord(file_bytes_, stored_bytes)) {
    const auto apply = [&](const auto& record) { return Apply(record, stored->extent); };
    if (!std::visit(apply, stored->record)) break;
    file_bytes_ += stored->extent.bytes;
  }
  if (file_bytes_ < stored_bytes) {
    report_("spool tail unreadable: " + std::to_string(stored_bytes - file_bytes_) + " bytes");
    if (!read_only) file_.Truncate(file_bytes_);
  }
}

// Nothing at the end of the file, and from a damaged record on.
std::optional<Spool::StoredRecord> Spool::ReadRecord(std::size_t offset,
                                                     std::size_t stored_bytes) const {
  if (offset >= stored_bytes) return std::nullopt;
  const auto frame = file_.Read(offset, spool::kFrameBytes);
  if (!frame) return std::nullopt;
  const spool::FrameHeader header = spool::DecodeFrameHeader(*frame);
  const std::size_t record_bytes = spool::kFrameBytes + header.payload_bytes;
  if (header.payload_bytes > spool::kMaxPayloadBytes || offset + record_bytes > stored_bytes) {
    return std::nullopt;
  }
  const auto payload = file_.Read(offset + spool::kFrameBytes, header.payload_bytes);
  if (!payload || !spool::IsIntact(header, *payload)) return std::nullopt;
  auto record = spool::DecodePayload(*payload);
  if (!record) return std::nullopt;
  return StoredRecord{std::move(*record), {offset, record_bytes}};
}

// ======== what a record changes ========

bool Spool::Apply(const spool::MessageAccepted& record, const Extent& extent) {
  next_number_ = std::max(next_number_, record.number + 1);
  const OpenMessage opened{extent.offset, extent.bytes, {}};
  if (!open_messages_.emplace(record.number, opened).second) return false;
  compacted_bytes_ += extent.bytes;
  return true;
}

bool Spool::Apply(const spool::AttemptStarted& record, const Extent& extent) {
  next_number_ = std::max(next_number_, record.number + 1);
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

bool Spool::Apply(const spool::MessageFinished& record, const Extent&) {
  next_number_ = std::max(next_number_, record.number + 1);
  const auto found = open_messages_.find(record.number);
  if (found == open_messages_.end()) return true;
  compacted_bytes_ -= found->second.record_bytes;
  compacted_bytes_ -= EncodeAttempts(record.number, found->second.attempts).size();
  open_messages_.erase(found);
  return true;
}

// ======== writing ========

template <typename Record>
bool Spool::Append(const Record& record, Space space) {
  if (!file_.is_open()) return false;
  const std::string bytes = spool::Encode(record);
  const std::size_t additional_bytes =
      bytes.size() + (space == Space::kUnreserved ? kReservedBytes : 0);
  if (IsCompactionDue(additional_bytes) && !Compact()) {
    // On a failing disk, not again for each record.
    next_compaction_bytes_ = file_bytes_ + kCompactionThresholdBytes;
  }
  if (!Fits(additional_bytes) || !file_.Write(file_bytes_, bytes)) return false;
  Apply(record, {file_bytes_, bytes.size()});
  file_bytes_ += bytes.size();
  return true;
}

// The file and its compaction must fit on the disk together.
bool Spool::Fits(std::size_t additional_bytes) const {
  return RoundUpToBlocks(file_bytes_ + additional_bytes) +
             RoundUpToBlocks(compacted_bytes_ + additional_bytes) <=
         disk_bytes_;
}

bool Spool::IsCompactionDue(std::size_t additional_bytes) const {
  if (file_bytes_ < next_compaction_bytes_) return false;
  if (file_bytes_ > compacted_bytes_ + kCompactionThresholdBytes) return true;
  return !Fits(additional_bytes) && file_bytes_ > compacted_bytes_;
}

// Writes the open messages to a new file, which then replaces the old one.
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
  bool written = write(kFileHeader);
  for (const auto& [number, open] : open_messages_) {
    if (!written) break;
    offsets[number] = size;
    const auto accepted = file_.Read(open.offset, open.record_bytes);
    written = accepted && write(*accepted) && write(EncodeAttempts(number, open.attempts));
  }
  if (!written || std::rename(path.c_str(), (folder_ + kFileName).c_str()) != 0) {
    report_("spool: could not be compacted");
    std::remove(path.c_str());
    return false;
  }
  file_ = std::move(compacted);
  file_bytes_ = size;
  for (const auto& [number, offset] : offsets) open_messages_[number].offset = offset;
  return true;
}

}  // namespace brassfront
