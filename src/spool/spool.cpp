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
constexpr std::size_t kFrame = 8;  // length and checksum
constexpr std::size_t kMostPayload = 1 << 20;
constexpr std::size_t kBlock = 512;  // files are counted in whole ones
constexpr std::size_t kMostEndpoint = 256;
constexpr std::size_t kWorthCompacting = 128 * 1024;  // of dead bytes

// Kept free for the attempts and ends of what was accepted: those records may not be refused.
// Twelve attempts with their outcomes take some 0.8 KiB, and 237 messages may be held.
constexpr std::size_t kReserve = 192 * 1024;

enum class Kind : char { kAccepted = 'A', kBegun = 'B', kNothingRan = 'N', kEnded = 'E' };

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

std::string Framed(const std::string& payload) {
  std::string out;
  for (const std::uint32_t value :
       {static_cast<std::uint32_t>(payload.size()), Checksum(payload)}) {
    for (int i = 0; i < 4; ++i) out += static_cast<char>(value >> (8 * i) & 0xFF);
  }
  return out += payload;
}

std::string AcceptedRecord(SpoolId number, const SpooledMessage& m) {
  return Writer(Kind::kAccepted)
      .Number(number)
      .Text(m.id)
      .Text(m.key)
      .Text(m.class_name)
      .Text(m.tenant_name)
      .Number(m.destination)
      .Number(static_cast<std::uint64_t>(m.deadline.count()))
      .Text(m.body)
      .Take();
}

std::string BegunRecord(SpoolId number, const std::string& endpoint, UnixMs at) {
  return Writer(Kind::kBegun)
      .Number(number)
      .Text(endpoint)
      .Number(static_cast<std::uint64_t>(at.count()))
      .Take();
}

std::string NothingRanRecord(SpoolId number, std::size_t attempt) {
  return Writer(Kind::kNothingRan).Number(number).Number(attempt).Take();
}

SpooledMessage ReadMessage(Reader& in) {
  SpooledMessage m;
  m.id = in.Text();
  m.key = in.Text();
  m.class_name = in.Text();
  m.tenant_name = in.Text();
  m.destination = in.Number();
  m.deadline = UnixMs(static_cast<std::int64_t>(in.Number()));
  m.body = in.Text();
  return m;
}

std::size_t InBlocks(std::size_t bytes) { return (bytes + kBlock - 1) / kBlock * kBlock; }

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
  live_bytes_ = size_ = kMagic.size();
  const std::size_t whole = file_.Size().value_or(0);
  if (file_.Read(0, kMagic.size()) != kMagic) {
    if (whole > 0) report_("spool damaged: no header; nothing can be read from it");
    if (disk_bytes_ > 0 && (!file_.Cut(0) || !file_.Write(0, kMagic))) {
      report_("spool unusable: cannot write");
      file_ = File();
    }
    return;
  }
  while (size_ < whole) {
    const auto frame = file_.Read(size_, kFrame);
    if (!frame) break;
    Reader head(*frame);
    const std::size_t length = head.Number(4);
    const std::uint64_t checksum = head.Number(4);
    if (length > kMostPayload || size_ + kFrame + length > whole) break;
    const auto payload = file_.Read(size_ + kFrame, length);
    if (!payload || Checksum(*payload) != checksum) break;
    if (!Apply(*payload, size_, kFrame + length)) break;
    size_ += kFrame + length;
  }
  if (size_ < whole) {
    report_("spool tail unreadable: " + std::to_string(whole - size_) + " bytes");
    if (disk_bytes_ > 0) file_.Cut(size_);
  }
}

// Guards against a record that checks but does not make sense, as an older program might leave.
bool Spool::Apply(std::string_view payload, std::size_t offset, std::size_t length) {
  if (payload.empty()) return false;
  Reader in(payload.substr(1));
  const SpoolId number = in.Number();
  next_number_ = std::max(next_number_, number + 1);
  const auto it = live_.find(number);
  switch (static_cast<Kind>(payload[0])) {
    case Kind::kAccepted:
      ReadMessage(in);
      if (!in.AtEnd() || it != live_.end()) return false;
      live_[number] = {offset, length, {}};
      live_bytes_ += length;
      return true;
    case Kind::kBegun: {
      SpooledAttempt attempt;
      attempt.endpoint = in.Text();
      attempt.started_at = UnixMs(static_cast<std::int64_t>(in.Number()));
      if (!in.AtEnd()) return false;
      if (it == live_.end()) return true;
      it->second.attempts.push_back(std::move(attempt));
      live_bytes_ += length;
      return true;
    }
    case Kind::kNothingRan: {
      const std::size_t which = in.Number();
      if (!in.AtEnd()) return false;
      if (it == live_.end() || which >= it->second.attempts.size()) return true;
      it->second.attempts[which].known_not_run = true;
      live_bytes_ += length;
      return true;
    }
    case Kind::kEnded:
      if (!in.AtEnd()) return false;
      if (it == live_.end()) return true;
      live_bytes_ -= it->second.length;
      for (std::size_t i = 0; i < it->second.attempts.size(); ++i) {
        const SpooledAttempt& a = it->second.attempts[i];
        live_bytes_ -= kFrame + BegunRecord(number, a.endpoint, a.started_at).size();
        if (a.known_not_run) live_bytes_ -= kFrame + NothingRanRecord(number, i).size();
      }
      live_.erase(it);
      return true;
  }
  return false;
}

std::vector<RecoveredMessage> Spool::Recover() {
  std::vector<RecoveredMessage> owed;
  for (const auto& [number, live] : live_) {
    const auto record = file_.Read(live.offset, live.length);
    if (!record) {
      report_("spool: a message could not be read again");
      continue;
    }
    Reader in(std::string_view(*record).substr(kFrame + 1));
    in.Number();
    owed.push_back({number, ReadMessage(in), live.attempts});
  }
  return owed;
}

// The compacted file must fit beside the one in use.
bool Spool::Fits(std::size_t file, std::size_t live) const {
  return InBlocks(file) + InBlocks(live) <= disk_bytes_;
}

bool Spool::Append(const std::string& payload, bool forced) {
  if (!file_.is_open()) return false;
  const std::string record = Framed(payload);
  const std::size_t spare = forced ? 0 : kReserve;
  const auto fits = [&] {
    return Fits(size_ + record.size() + spare, live_bytes_ + record.size() + spare);
  };
  const bool crowded = size_ > live_bytes_ + kWorthCompacting;
  const bool wanted = crowded || (!fits() && size_ > live_bytes_);
  // Guards against a failing disk that is written anew for each record.
  if (wanted && size_ >= compact_from_ && !Compact()) compact_from_ = size_ + kWorthCompacting;
  if (!fits() || !file_.Write(size_, record)) return false;
  Apply(payload, size_, record.size());
  size_ += record.size();
  return true;
}

bool Spool::Accept(SpoolId number, const SpooledMessage& message) {
  return Append(AcceptedRecord(number, message), false);
}

bool Spool::BeginAttempt(SpoolId number, const std::string& endpoint, UnixMs at) {
  return Append(BegunRecord(number, endpoint.substr(0, kMostEndpoint), at), true);
}

void Spool::MarkNotRun(SpoolId number, std::size_t attempt) {
  Append(NothingRanRecord(number, attempt), true);
}

void Spool::Finish(SpoolId number) {
  if (live_.count(number) == 0) return;
  if (!Append(Writer(Kind::kEnded).Number(number).Take(), true)) {
    report_("spool: an end could not be noted");
  }
}

// Writes what is owed to a new file, which then takes the old one's name.
bool Spool::Compact() {
  const std::string path = folder_ + "/spool.new";
  File next = File::OpenEmpty(path);
  std::size_t size = 0;
  std::map<SpoolId, std::size_t> offsets;
  const auto put = [&](std::string_view bytes) {
    if (!next.is_open() || !next.Write(size, bytes)) return false;
    size += bytes.size();
    return true;
  };
  bool good = put(kMagic);
  for (const auto& [number, live] : live_) {
    offsets[number] = size;
    const auto record = file_.Read(live.offset, live.length);
    good = good && record && put(*record);
    for (std::size_t i = 0; good && i < live.attempts.size(); ++i) {
      const SpooledAttempt& a = live.attempts[i];
      good = put(Framed(BegunRecord(number, a.endpoint, a.started_at))) &&
             (!a.known_not_run || put(Framed(NothingRanRecord(number, i))));
    }
  }
  if (!good || std::rename(path.c_str(), (folder_ + "/spool").c_str()) != 0) {
    report_("spool: could not be compacted");
    std::remove(path.c_str());
    return false;
  }
  file_ = std::move(next);
  size_ = size;
  for (auto& [number, offset] : offsets) live_[number].offset = offset;
  return true;
}

}  // namespace brassfront
