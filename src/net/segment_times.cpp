#include "net/segment_times.hpp"

#include <linux/errqueue.h>
#include <linux/net_tstamp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cstring>

namespace brassfront {
namespace {

using std::chrono::nanoseconds;

constexpr int kTimestampFlags = SOF_TIMESTAMPING_TX_SOFTWARE | SOF_TIMESTAMPING_RX_SOFTWARE |
                                SOF_TIMESTAMPING_SOFTWARE | SOF_TIMESTAMPING_OPT_ID |
                                SOF_TIMESTAMPING_OPT_TSONLY;
// Maximum deviation between two readings of the offset of the clocks; a larger one is a step of the
// wall clock.
constexpr std::chrono::microseconds kMaxClockError{50};
constexpr int kMaxClockReadings = 3;
constexpr std::size_t kControlBytes = 256;

// The kernel's timestamp of one segment.
struct SegmentTime {
  std::optional<nanoseconds> at{};
  std::optional<std::uint32_t> last_byte{};  // its number in the stream; only for a sent segment
};

template <typename T>
T ReadData(const cmsghdr& header) {
  T value{};
  std::memcpy(&value, CMSG_DATA(&header), sizeof value);
  return value;
}

void Apply(const cmsghdr& header, SegmentTime& segment) {
  if (header.cmsg_level == SOL_SOCKET && header.cmsg_type == SCM_TIMESTAMPING) {
    const timespec software = ReadData<scm_timestamping>(header).ts[0];
    const nanoseconds at = std::chrono::seconds(software.tv_sec) + nanoseconds(software.tv_nsec);
    if (at != nanoseconds(0)) segment.at = at;
  }
  if (header.cmsg_level == SOL_IP && header.cmsg_type == IP_RECVERR) {
    const auto error = ReadData<sock_extended_err>(header);
    if (error.ee_origin == SO_EE_ORIGIN_TIMESTAMPING && error.ee_info == SCM_TSTAMP_SND) {
      segment.last_byte = error.ee_data;
    }
  }
}

// Receives exactly `bytes` (0 or 1) with their timestamp, without waiting. Returns nothing if they
// are not available.
std::optional<SegmentTime> ReceiveTime(int fd, std::size_t bytes, int flags) {
  char byte = 0;
  iovec buffer{.iov_base = &byte, .iov_len = bytes};
  alignas(cmsghdr) std::array<char, kControlBytes> control{};
  msghdr message{};
  message.msg_iov = &buffer;
  message.msg_iovlen = bytes;
  message.msg_control = control.data();
  message.msg_controllen = control.size();
  const ssize_t received = recvmsg(fd, &message, flags | MSG_DONTWAIT);
  if (received < static_cast<ssize_t>(bytes)) return std::nullopt;
  SegmentTime segment;
  for (cmsghdr* header = CMSG_FIRSTHDR(&message); header != nullptr;
       header = CMSG_NXTHDR(&message, header)) {
    Apply(*header, segment);
  }
  return segment;
}

// Returns the wall clock minus the steady clock. Reads the clocks again if this thread was delayed
// between the two readings.
nanoseconds ClockOffset() {
  nanoseconds offset{};
  for (int reading = 0; reading < kMaxClockReadings; ++reading) {
    const auto before = std::chrono::steady_clock::now();
    offset = std::chrono::system_clock::now().time_since_epoch() - before.time_since_epoch();
    if (std::chrono::steady_clock::now() - before <= kMaxClockError / 2) break;
  }
  return offset;
}

}  // namespace

void SegmentTimes::Enable(int fd) {
  const int wanted = kTimestampFlags;
  enabled_ = setsockopt(fd, SOL_SOCKET, SO_TIMESTAMPING, &wanted, sizeof wanted) == 0;
}

void SegmentTimes::OnWriteBegins(int fd) {
  if (!enabled_) return;
  ReadSent(fd);
  sent_at_.reset();
  clock_offset_ = ClockOffset();
}

bool SegmentTimes::ReadSent(int fd) {
  if (!enabled_) return false;
  bool found = false;
  while (const auto segment = ReceiveTime(fd, 0, MSG_ERRQUEUE)) {
    if (!segment->at) break;  // not a timestamp: this kernel has no error queue for them
    found = true;
    // A retransmitted byte also gets a later time, at which its answer may already have been
    // received, so the first time counts.
    const bool is_last = segment->last_byte == written_ - 1;
    if (is_last && !sent_at_) sent_at_ = segment->at;
  }
  return found;
}

bool SegmentTimes::InputPrecedesWrite(int fd) {
  ReadSent(fd);
  if (!sent_at_) return false;
  const auto input = ReceiveTime(fd, 1, MSG_PEEK);
  if (!input || !input->at || *input->at >= *sent_at_) return false;
  const nanoseconds step = ClockOffset() - clock_offset_;
  return std::chrono::abs(step) <= kMaxClockError;
}

}  // namespace brassfront
