// The codec of the spool's records; their stored format is defined only here.
//
// A stored record is a frame (the payload's length and its CRC-32, 4 bytes each) and the payload: a
// one-byte tag and the fields of that kind of record. Numbers are little-endian; a text follows its
// 4-byte length. Files of earlier versions must stay readable: tags and fields may be added, never
// changed. No I/O.
#ifndef BRASSFRONT_SPOOL_SPOOL_RECORD_HPP_
#define BRASSFRONT_SPOOL_SPOOL_RECORD_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace brassfront {

using UnixMs = std::chrono::milliseconds;  // since 1970
using SpoolId = std::uint64_t;             // number of a message, never reused in the same file

// A message as it was accepted.
struct SpooledMessage {
  std::string id;  // assigned by the client
  std::string key;
  std::string class_name;
  std::string tenant_name;
  std::uint64_t destination = 0;
  UnixMs deadline{};
  std::string body;
};

// The decision that a message will not be delivered, as reported to the platform.
struct SpooledGiveUp {
  bool retry_allowed = false;  // true: the client may submit it again; false: undeliverable
  std::chrono::milliseconds retry_after{};  // if a retry is allowed; up to 49 days are stored
};

namespace spool {

// The first bytes of a spool file.
inline constexpr std::string_view kFileHeader = "BRSPOOL1";

// ---- the kinds of records ----

struct MessageAccepted {
  SpoolId number = 0;
  SpooledMessage message;
};

// Written before the attempt's first byte is sent.
struct AttemptStarted {
  SpoolId number = 0;
  std::string endpoint;
  UnixMs started_at{};
};

// The endpoint is known not to have executed the attempt.
struct AttemptNotRun {
  SpoolId number = 0;
  std::size_t attempt = 0;  // index among the message's AttemptStarted records
};

// Written before the platform is notified. No further attempt is made after this record.
struct MessageGivenUp {
  SpoolId number = 0;
  SpooledGiveUp give_up;
};

// The message needs no further attempt or recovery.
struct MessageFinished {
  SpoolId number = 0;
};

// Maps a reading of the machine's monotonic clock to a Unix time. All times in the file, before and
// after this record, are relative to it (spool_clock.hpp).
struct ClockAnchor {
  std::string boot_id;                    // the boot of the machine in which the anchor is valid
  std::chrono::milliseconds monotonic{};  // the reading of the monotonic clock
  UnixMs wall{};                          // the Unix time at that reading
};

using Record = std::variant<MessageAccepted, AttemptStarted, AttemptNotRun, MessageGivenUp,
                            MessageFinished, ClockAnchor>;

// ---- encoding ----

// Returns the stored record, including its frame.
std::string Encode(const MessageAccepted& record);
std::string Encode(const AttemptStarted& record);
std::string Encode(const AttemptNotRun& record);
std::string Encode(const MessageGivenUp& record);
std::string Encode(const MessageFinished& record);
std::string Encode(const ClockAnchor& record);

// ---- decoding ----

inline constexpr std::size_t kFrameBytes = 8;
// A greater stored length is treated as damage, before any payload is read.
inline constexpr std::size_t kMaxPayloadBytes = 1 << 20;

struct FrameHeader {
  std::size_t payload_bytes = 0;
  std::uint32_t checksum = 0;
};

// Decodes kFrameBytes bytes. The length may be damaged: the caller must check it against
// kMaxPayloadBytes and the end of the file.
[[nodiscard]] FrameHeader DecodeFrameHeader(std::string_view bytes);

// Returns whether a payload of the frame's length may begin with this byte: a cheap check before
// the payload of a possible frame is read while searching for records.
[[nodiscard]] bool MayBeginPayload(const FrameHeader& header, char first);

// Returns whether the payload has the length and the checksum in its frame.
[[nodiscard]] bool IsIntact(const FrameHeader& header, std::string_view payload);

// Returns nullopt if the tag is unknown or the payload does not consist of exactly its fields.
[[nodiscard]] std::optional<Record> DecodePayload(std::string_view payload);

}  // namespace spool
}  // namespace brassfront

#endif  // BRASSFRONT_SPOOL_SPOOL_RECORD_HPP_
