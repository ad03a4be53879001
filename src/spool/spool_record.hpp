// The codec of the spool's records, and the only place that knows their stored form.
//
// A stored record is a frame (the payload's length and its CRC-32, 4 bytes each) and the payload: a
// tag of one byte and the fields of that kind of record. Numbers are stored low byte first, texts
// behind their length in 4 bytes. Files of earlier versions must stay readable: tags and fields may
// be added, never changed. No I/O.
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
using SpoolId = std::uint64_t;             // of a message; not reused in the file's life

// A message as it was accepted.
struct SpooledMessage {
  std::string id;  // the client's
  std::string key;
  std::string class_name;
  std::string tenant_name;
  std::uint64_t destination = 0;
  UnixMs deadline{};
  std::string body;
};

// The decision that a message will not be delivered, as the platform is told it.
struct SpooledGiveUp {
  bool retry_allowed = false;               // the client may hand it in again; else undeliverable
  std::chrono::milliseconds retry_after{};  // if a retry is allowed; up to 49 days are stored
};

namespace spool {

// The first bytes of a file.
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

// The attempt is known not to have run at the endpoint.
struct AttemptNotRun {
  SpoolId number = 0;
  std::size_t attempt = 0;  // index among the message's AttemptStarted records
};

// Written before the platform is told: no further attempt is made.
struct MessageGivenUp {
  SpoolId number = 0;
  SpooledGiveUp give_up;
};

// The message needs no further attempt or recovery.
struct MessageFinished {
  SpoolId number = 0;
};

// From here on, and for all records before: times count by the machine's monotonic clock from this
// moment (spool_clock.hpp).
struct ClockAnchor {
  std::string boot_id;                    // of the machine's start
  std::chrono::milliseconds monotonic{};  // the moment
  UnixMs wall{};                          // the time that it stands for
};

using Record = std::variant<MessageAccepted, AttemptStarted, AttemptNotRun, MessageGivenUp,
                            MessageFinished, ClockAnchor>;

// ---- encoding ----

// The stored record, its frame included.
std::string Encode(const MessageAccepted& record);
std::string Encode(const AttemptStarted& record);
std::string Encode(const AttemptNotRun& record);
std::string Encode(const MessageGivenUp& record);
std::string Encode(const MessageFinished& record);
std::string Encode(const ClockAnchor& record);

// ---- decoding ----

inline constexpr std::size_t kFrameBytes = 8;
// A stored length above this is taken for damage, before anything is read for it.
inline constexpr std::size_t kMaxPayloadBytes = 1 << 20;

struct FrameHeader {
  std::size_t payload_bytes = 0;
  std::uint32_t checksum = 0;
};

// From kFrameBytes bytes. The length may be damaged: compare it with kMaxPayloadBytes and the file.
[[nodiscard]] FrameHeader DecodeFrameHeader(std::string_view bytes);

// Whether a payload of the frame's length may begin with this byte: a cheap test before a frame
// that was met by chance is read.
[[nodiscard]] bool MayBeginPayload(const FrameHeader& header, char first);

// True if the payload has the length and the checksum that its frame says.
[[nodiscard]] bool IsIntact(const FrameHeader& header, std::string_view payload);

// Nothing if the tag is unknown or the fields are not exactly the kind's.
[[nodiscard]] std::optional<Record> DecodePayload(std::string_view payload);

}  // namespace spool
}  // namespace brassfront

#endif  // BRASSFRONT_SPOOL_SPOOL_RECORD_HPP_
