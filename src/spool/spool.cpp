#include "spool/spool.hpp"

#include <zlib.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <optional>

namespace brassfront {
namespace {

constexpr std::string_view kMagic = "BRSPOOL1";
constexpr std::size_t kFrameBytes = 8;  // length and checksum
constexpr std::size_t kMaxPayloadBytes = 1 << 20;
constexpr std::size_t kBlockBytes = 512;  // disk use is counted in whole blocks
constexpr std::size_t kMaxEndpointBytes = 256;
constexpr std::size_t kCompactionThresholdBytes = 128 * 1024;  // of dead bytes

// Kept free for the attempts and ends of what was accepted: those records may not be refused.
// Twelve attempts with their outcomes take some 0.8 KiB, and 237 messages may be held.
constexpr std::size_t kReservedBytes = 192 * 1024;

enum class Kind : char {
  kAccepted = 'A',
  kAttemptStarted = 'B',
  kAttemptNotRun = 'N',
  kFinished = 'E'
};

// Numbers are written with the low byte first, texts with their length in front.
class Writer {
 public:
  explicit Writer(Kind kind) { out_ += static_cast<char>(kind); }
  Writer& Number(std::uint64_t value, int bytes = 8) {
    for (int i = 0; i < bytes; ++i) out_ += static_cast<char>(value >> (8 * i) & 0xFF);
    return *this;
  }
  Writer& Text(std::string_view text) {
    Number(text.size(), 4);
    out_.append(text);
    return *this;
  }
  std::string Take() { return std::move(out_); }

 private:
  std::string out_;
};

// Reading past the end yields zeros and is told by ok().
class Reader {
 public:
  explicit Reader(std::string_view in) : in_(in) {}
  std::uint64_t Number(int bytes = 8) {
    std::uint64_t value = 0;
    for (int i = 0; i < bytes; ++i) {
      value |= static_cast<std::uint64_t>(static_cast<unsigned char>(Next(1)[0])) << (8 * i);
    }
    return value;
  }
  std::string Text() { return std::string(Next(Number(4))); }
  [[nodiscard]] bool ok() const { return ok_; }
  [[nodiscard]] bool AtEnd() const { return ok_ && in_.empty(); }

 private:
  std::string_view Next(std::size_t length) {
    if (!ok_ || length > in_.size()) {
      ok_ = false;
      return std::string_view("\0", 1);
    }
    const std::string_view part = in_.substr(0, length);
    in_.remove_prefix(length);
    return part;
  }
  std::string_view in_;
  bool ok_ = true;
};

std::uint32_t Checksum(std::string_view bytes) {
  return static_cast<std::uint32_t>(
      crc32(0, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}

std::string Frame(const std::string& payload) {
  std::string out;
  for (const std::uint32_t value :
       {static_cast<std::uint32_t>(payload.size()), Checksum(payload)}) {
    for (int i = 0; i < 4; ++i) out += static_cast<char>(value >> (8 * i) & 0xFF);
  }
  return out += payload;
}

std::string EncodeAccepted(SpoolId number, const SpooledMessage& message) {
  return Writer(Kind::kAccepted)
      .Number(number)
      .Text(message.id)
      .Text(message.key)
      .Text(message.class_name)
      .Text(message.tenant_name)
      .Number(message.destination)
      .Number(static_cast<std::uint64_t>(message.deadline.count()))
      .Text(message.body)
      .Take();
}

std::string EncodeAttemptStarted(SpoolId number, const std::string& endpoint, UnixMs at) {
  return Writer(Kind::kAttemptStarted)
      .Number(number)
      .Text(endpoint)
      .Number(static_cast<std::uint64_t>(at.count()))
      .Take();
}

std::string EncodeAttemptNotRun(SpoolId number, std::size_t attempt) {
  return Writer(Kind::kAttemptNotRun).Number(number).Number(attempt).Take();
}

SpooledMessage ReadMessage(Reader& in) {
  SpooledMessage message;
  message.id = in.Text();
  message.key = in.Text();
  message.class_name = in.Text();
  message.tenant_name = in.Text();
  message.destination = in.Number();
  message.deadline = UnixMs(static_cast<std::int64_t>(in.Number()));
  message.body = in.Text();
  return message;
}

std::size_t RoundUpToBlocks(std::size_t bytes) {
  return (bytes + kBlockBytes - 1) / kBlockBytes * kBlockBytes;
}

}  // namespace

Spool::Spool(std::string folder, std::size_t disk_bytes, Report report)
    : folder_(std::move(folder)), disk_bytes_(disk_bytes), report_(std::move(report)) {
  std::remove((folder_ + "/spool.new").c_str());  // of a compaction that was cut short
  file_ = File::Open(folder_ + "/spool");
  if (!file_.is_open()) {
    report_("spool unusable: " + folder_ + ": " + std::strerror(errno));
    return;
  }
  Load();
}

Spool::Spool(std::string folder, Report report)
    : folder_(std::move(folder)), disk_bytes_(0), report_(std::move(report)) {
  file_ = File::OpenToRead(folder_ + "/spool");
  if (!file_.is_open()) {
    report_("no spool in " + folder_ + ": " + std::strerror(errno));
    return;
  }
  Load();
}

Spool Spool::OpenToRead(std::string folder, Report report) {
  return Spool(std::move(folder), std::move(report));
}

void Spool::Load() {
  compacted_bytes_ = size_ = kMagic.size();
  const std::size_t file_size = file_.Size().value_or(0);
  if (file_.Read(0, kMagic.size()) != kMagic) {
    if (file_size > 0) report_("spool damaged: no header; nothing can be read from it");
    if (disk_bytes_ > 0 && (!file_.Truncate(0) || !file_.Write(0, kMagic))) {
      report_("spool unusable: cannot write");
      file_ = File();
    }
    return;
  }
  while (size_ < file_size) {
    const auto frame = file_.Read(size_, kFrameBytes);
    if (!frame) break;
    Reader header(*frame);
    const std::size_t length = header.Number(4);
    const std::uint64_t checksum = header.Number(4);
    if (length > kMaxPayloadBytes || size_ + kFrameBytes + length > file_size) break;
    const auto payload = file_.Read(size_ + kFrameBytes, length);
    if (!payload || Checksum(*payload) != checksum) break;
    if (!Apply(*payload, size_, kFrameBytes + length)) break;
    size_ += kFrameBytes + length;
  }
  if (size_ < file_size) {
    report_("spool tail unreadable: " + std::to_string(file_size - size_) + " bytes");
    if (disk_bytes_ > 0) file_.Truncate(size_);
  }
}

// Guards against a record that checks but does not make sense, as an older program might leave.
bool Spool::Apply(std::string_view payload, std::size_t offset, std::size_t length) {
  if (payload.empty()) return false;
  Reader in(payload.substr(1));
  const SpoolId number = in.Number();
  next_number_ = std::max(next_number_, number + 1);
  const auto found = open_messages_.find(number);
  switch (static_cast<Kind>(payload[0])) {
    case Kind::kAccepted:
      ReadMessage(in);
      if (!in.AtEnd() || found != open_messages_.end()) return false;
      open_messages_[number] = {offset, length, {}};
      compacted_bytes_ += length;
      return true;
    case Kind::kAttemptStarted: {
      SpooledAttempt attempt;
      attempt.endpoint = in.Text();
      attempt.started_at = UnixMs(static_cast<std::int64_t>(in.Number()));
      if (!in.AtEnd()) return false;
      if (found == open_messages_.end()) return true;
      found->second.attempts.push_back(std::move(attempt));
      compacted_bytes_ += length;
      return true;
    }
    case Kind::kAttemptNotRun: {
      const std::size_t index = in.Number();
      if (!in.AtEnd()) return false;
      if (found == open_messages_.end() || index >= found->second.attempts.size()) return true;
      found->second.attempts[index].known_not_run = true;
      compacted_bytes_ += length;
      return true;
    }
    case Kind::kFinished:
      if (!in.AtEnd()) return false;
      if (found == open_messages_.end()) return true;
      compacted_bytes_ -= found->second.length;
      for (std::size_t i = 0; i < found->second.attempts.size(); ++i) {
        const SpooledAttempt& attempt = found->second.attempts[i];
        compacted_bytes_ -=
            kFrameBytes + EncodeAttemptStarted(number, attempt.endpoint, attempt.started_at).size();
        if (attempt.known_not_run)
          compacted_bytes_ -= kFrameBytes + EncodeAttemptNotRun(number, i).size();
      }
      open_messages_.erase(found);
      return true;
  }
  return false;
}

std::vector<RecoveredMessage> Spool::Recover() {
  std::vector<RecoveredMessage> recovered;
  for (const auto& [number, open] : open_messages_) {
    const auto record = file_.Read(open.offset, open.length);
    if (!record) {
      report_("spool: a message could not be read again");
      continue;
    }
    Reader in(std::string_view(*record).substr(kFrameBytes + 1));
    in.Number();
    recovered.push_back({number, ReadMessage(in), open.attempts});
  }
  return recovered;
}

// The compacted file must fit beside the one in use.
bool Spool::Fits(std::size_t file, std::size_t open) const {
  return RoundUpToBlocks(file) + RoundUpToBlocks(open) <= disk_bytes_;
}

bool Spool::Append(const std::string& payload, bool use_reserve) {
  if (!file_.is_open()) return false;
  const std::string record = Frame(payload);
  const std::size_t reserve = use_reserve ? 0 : kReservedBytes;
  const auto fits = [&] {
    return Fits(size_ + record.size() + reserve, compacted_bytes_ + record.size() + reserve);
  };
  const bool mostly_obsolete = size_ > compacted_bytes_ + kCompactionThresholdBytes;
  const bool should_compact = mostly_obsolete || (!fits() && size_ > compacted_bytes_);
  // Guards against a failing disk that is written anew for each record.
  if (should_compact && size_ >= next_compaction_size_ && !Compact())
    next_compaction_size_ = size_ + kCompactionThresholdBytes;
  if (!fits() || !file_.Write(size_, record)) return false;
  Apply(payload, size_, record.size());
  size_ += record.size();
  return true;
}

bool Spool::Accept(SpoolId number, const SpooledMessage& message) {
  return Append(EncodeAccepted(number, message), false);
}

bool Spool::BeginAttempt(SpoolId number, const std::string& endpoint, UnixMs at) {
  return Append(EncodeAttemptStarted(number, endpoint.substr(0, kMaxEndpointBytes), at), true);
}

void Spool::MarkNotRun(SpoolId number, std::size_t attempt) {
  Append(EncodeAttemptNotRun(number, attempt), true);
}

void Spool::Finish(SpoolId number) {
  if (open_messages_.count(number) == 0) return;
  if (!Append(Writer(Kind::kFinished).Number(number).Take(), true)) {
    report_("spool: an end could not be noted");
  }
}

// Writes what is owed to a new file, which then takes the old one's name.
bool Spool::Compact() {
  const std::string path = folder_ + "/spool.new";
  File next = File::OpenEmpty(path);
  std::size_t size = 0;
  std::map<SpoolId, std::size_t> offsets;
  const auto write = [&](std::string_view bytes) {
    if (!next.is_open() || !next.Write(size, bytes)) return false;
    size += bytes.size();
    return true;
  };
  bool written = write(kMagic);
  for (const auto& [number, open] : open_messages_) {
    offsets[number] = size;
    const auto record = file_.Read(open.offset, open.length);
    written = written && record && write(*record);
    for (std::size_t i = 0; written && i < open.attempts.size(); ++i) {
      const SpooledAttempt& attempt = open.attempts[i];
      written = write(Frame(EncodeAttemptStarted(number, attempt.endpoint, attempt.started_at))) &&
                (!attempt.known_not_run || write(Frame(EncodeAttemptNotRun(number, i))));
    }
  }
  if (!written || std::rename(path.c_str(), (folder_ + "/spool").c_str()) != 0) {
    report_("spool: could not be compacted");
    std::remove(path.c_str());
    return false;
  }
  file_ = std::move(next);
  size_ = size;
  for (auto& [number, offset] : offsets) open_messages_[number].offset = offset;
  return true;
}

}  // namespace brassfront
