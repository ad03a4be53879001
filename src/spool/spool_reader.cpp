#include "spool/spool_reader.hpp"

#include <algorithm>
#include <cerrno>
#include <string_view>
#include <utility>

namespace brassfront::spool {
namespace {

// Bytes per read while searching for the next record.
constexpr std::size_t kSearchBlockBytes = std::size_t{64} * 1024;
// A frame and the first byte of its payload: the minimum for MayBeginPayload.
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

// Returns the offset of the first intact record after the damaged one at next_, or nullopt if there
// is none or a read failed. Tries the length in the damaged record's frame first, so that the
// contents of a message's body are not searched for records.
std::optional<std::size_t> Reader::FindNextRecord() {
  const auto is_record = [&](std::size_t offset) {
    const Probe probe = ProbeAt(offset);
    failed_ = failed_ || probe.failed;
    return probe.record.has_value();
  };
  if (const auto header = ReadFrame(next_)) {
    const std::size_t following = next_ + kFrameBytes + header->payload_bytes;
    if (following == end_) return std::nullopt;
    if (following < end_ && is_record(following)) return following;
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

// Returns nullopt if too few bytes are left or the read failed.
std::optional<FrameHeader> Reader::ReadFrame(std::size_t offset) const {
  if (offset + kFrameBytes > end_) return std::nullopt;
  const auto frame = file_.Read(offset, kFrameBytes);
  if (!frame) return std::nullopt;
  return DecodeFrameHeader(*frame);
}

// Returns whether the bytes from next_ to the end of the file are an incompletely written record. A
// complete record whose length field is damaged is not: its payload still matches its checksum.
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
