// The times at which the kernel sent the last written bytes of a TCP connection and received its
// unread input: software timestamps as described in Linux's Documentation/networking/timestamping.
// An answer that was received before its request was sent is the answer to something else.
#ifndef BRASSFRONT_NET_SEGMENT_TIMES_HPP_
#define BRASSFRONT_NET_SEGMENT_TIMES_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace brassfront {

// The timestamps of one connection, whose descriptor the caller passes. For use by one thread only;
// unless Enable was called, several threads may write.
class SegmentTimes {
 public:
  // Enables timestamps in the kernel. To be called on an established connection on which nothing
  // has been written. No effect if the kernel does not support or refuses timestamps: then no times
  // are known.
  void Enable(int fd);

  // To be called before a write, and after each part of it with the number of bytes that were
  // written.
  void OnWriteBegins(int fd);
  void OnWritten(std::size_t bytes) {
    if (enabled_) written_ += static_cast<std::uint32_t>(bytes);
  }

  // Reads the available timestamps of sent segments, which poll(2) reports as an error. Returns
  // false if there were none.
  bool ReadSent(int fd);

  // True if the unread input was received before the last written byte was sent. False if this is
  // unknown, because a timestamp is missing or the wall clock was stepped in the meantime.
  [[nodiscard]] bool InputPrecedesWrite(int fd);

 private:
  using Time = std::chrono::nanoseconds;

  bool enabled_ = false;
  std::uint32_t written_ = 0;    // total number of bytes, as counted by the kernel
  std::optional<Time> sent_at_;  // time of the last written byte, by the wall clock
  Time clock_offset_{};          // wall clock minus steady clock, when the last write began
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_SEGMENT_TIMES_HPP_
