// When the kernel sent what was last written on a TCP connection, and when what is unread was
// received: software timestamps, as Linux's Documentation/networking/timestamping describes them.
// An answer that was received before its request was sent is the answer to something else.
#ifndef BRASSFRONT_NET_SEGMENT_TIMES_HPP_
#define BRASSFRONT_NET_SEGMENT_TIMES_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace brassfront {

// Of one connection, for the thread that uses it. The caller passes its descriptor. Where nothing
// was enabled, several threads may write.
class SegmentTimes {
 public:
  // Asks the kernel for timestamps. Without effect where it has none, or refuses them: then nothing
  // is known. The connection is up, and nothing was written on it.
  void Enable(int fd);

  // To be called before and after each write, of which so many bytes were taken.
  void OnWriteBegins(int fd);
  void OnWritten(std::size_t bytes) {
    if (enabled_) written_ += static_cast<std::uint32_t>(bytes);
  }

  // Reads the timestamps that have come, which poll(2) tells as an error. False if there was none.
  bool ReadSent(int fd);

  // Whether the unread input was received before the last byte written was sent. False where a
  // timestamp is missing, or the wall clock was stepped since: it is not known then.
  [[nodiscard]] bool InputPrecedesWrite(int fd);

 private:
  using Time = std::chrono::nanoseconds;

  bool enabled_ = false;
  std::uint32_t written_ = 0;    // bytes in all, as the kernel counts them
  std::optional<Time> sent_at_;  // of the last one; by the wall clock
  Time clock_offset_{};          // of the wall clock, as the last write began
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_SEGMENT_TIMES_HPP_
