#include "spool/spool_reader.hpp"

#include <algorithm>
#include <cerrno>
#include <string_view>
#include <utility>

namespace brassfront::spool {
namespace {

// Read at once while looking for the next record.
constexpr std::size_t kSearchBlockBytes = std::size_t{64} * 1024;
// A frame and the first byte of its payload, which is the least that tells a record from others.
constexpr std::size_t kProbeBytes = kFrameBytes + 1;

}  // namespace

Reader::Item Reader::Next() {
  if (next_ >= end_) return {.outcome = Outcome::kEnd};
  Probe probe = ProbeAt(next_);
  if (probe.failed) return {.outcome = Outcome::kFailed};
  if (!probe.record) return ReadDamage();
  next_ = probe.extent.end();
  return {Outcome::kRecord, probe.extent, std::move(*probe.record)};
}

Reader::Probe Reader::ProbeAt(std::size_t offset) const {
  if (offset + kFrameBytes > end_) return {};
  const auto frame = file_.Read(offset, kFrameBytes);
  if (!frame) return {.failed = errno != 0};
  const FrameHeader header = DecodeFrameHeader(*frame);
  const Extent extent{offset, kFrameBytes + header.payload_bytes};
  if (header.payload_bytes > kMaxPayloadBytes || extent.end() > end_) return {};
  const auto payload = file_.Read(offset + kFrameBytes, header.payload_bytes);
  if (!payload) return {.failed = errno != 0};
  if (!IsIntact(header, *payload)) return {};
  return {.failed = false, .record = DecodePayload(*payload), .extent = extent};
}

Reader::Item Reader::ReadDamage() {
  const auto found = FindNextRecord();
  const Extent lost{next_, found.value_or(end_) - next_};
  const bool torn = !failed_ && !found && IsTorn();
  if (failed_) return {.outcome = Outcome::kFailed};
  next_ = lost.end();
  return {.outcome = torn ? Outcome::kTornTail : Outcome::kDamage, .extent = lost};
}

// The offset of the first intact record behind the damaged one at next_; none if there is none or a
// read failed. The damaged record's own length is tried first: what a message's body holds then is
// not looked at.
std::optional<std::size_t> Reader::FindNextRecord() {
  const auto is_record = [&](std::size_t offset) {
    const Probe probe = ProbeAt(offset);
    failed_ = failed_ || probe.failed;
    return probe.record.has_value();
  };
  if (const auto header = ReadFrame(next_)) {
    const std::size_t behind = next_ + kFrameBytes + header->payload_bytes;
    if (behind == end_) return std::nullopt;
    if (behind < end_ && is_record(behind)) return behind;
  }
  for (std::size_t begin = next_ + 1; !failed_ && begin + kProbeBytes <= end_;) {
    const auto block = file_.Read(begin, std::min(kSearchBlockBytes, end_ - begin));
    failed_ = !block && errno != 0;
    if (!block) return std::nullopt;
    const std::string_view bytes = *block;
    const std::size_t offsets = bytes.size() - kFrameBytes;
    for (std::size_t i = 0; i < offsets && !failed_; ++i) {
      const FrameHeader header = DecodeFrameHeader(bytes.substr(i, kFrameBytes));
      const bool fits = begin + i + kFrameBytes + header.payload_bytes <= end_;
      if (!fits || !MayBeginPayload(header, bytes[i + kFrameBytes])) continue;
      if (is_record(begin + i)) return begin + i;
    }
    begin += offsets;
  }
  return std::nullopt;
}

// None if there are not so many bytes, or the read failed.
std::optional<FrameHeader> Reader::ReadFrame(std::size_t offset) const {
  if (offset + kFrameBytes > end_) return std::nullopt;
  const auto frame = file_.Read(offset, kFrameBytes);
  if (!frame) return std::nullopt;
  return DecodeFrameHeader(*frame);
}

// Whether what lies at next_, which is the end of the file, is the begin of a record. One that is
// whole but for a damaged length is none: its payload still has its checksum.
bool Reader::IsTorn() {
  const std::size_t left = end_ - next_;
  if (left < kFrameBytes) return true;
  const auto header = ReadFrame(next_);
  if (!header) {
    failed_ = errno != 0;
    return false;
  }
  if (header->payload_bytes > kMaxPayloadBytes) return false;
  if (next_ + kFrameBytes + header->payload_bytes <= end_) return false;
  const auto rest = file_.Read(next_ + kFrameBytes, left - kFrameBytes);
  failed_ = !rest && errno != 0;
  if (!rest) return false;
  return !IsIntact({.payload_bytes = rest->size(), .checksum = header->checksum}, *rest);
}

}  // namespace brassfront::spool
