// Decides when a secondary queries its primary, and processes the outcomes (RFC 1035 §3.3.13,
// RFC 1996): the timers of the SOA, NOTIFY messages, and the expiry of a zone whose primary does
// not answer any more. A state machine without I/O; times are seconds of a monotonic clock.
#ifndef BRASSFRONT_DNS_ZONE_TRANSFER_SESSION_HPP_
#define BRASSFRONT_DNS_ZONE_TRANSFER_SESSION_HPP_

#include <cstdint>
#include <optional>
#include <string_view>

namespace brassfront::dns {

struct SoaTimers {
  double refresh = 0, retry = 0, expire = 0;  // seconds

  // Returns the timers in the RDATA of a SOA, clamped to the limits of ZoneTransferSession.
  static SoaTimers Of(std::string_view soa_rdata);
};

class ZoneTransferSession {
 public:
  // Limits in seconds for the timers of a SOA, which may be too short or too long for either side.
  static constexpr double kMinWait = 1, kMaxWait = 86400;
  static constexpr double kFirstRetry = 1;  // seconds; applies until a SOA is known
  // Seconds. NOTIFY messages cause at most one query at a time, and at most five per second.
  static constexpr double kMinQueryInterval = 0.2;

  enum class Step {
    kNothing,
    kQuerySerial,  // query the SOA
    kTransfer,     // request a transfer
    kExpire,       // stop answering from the zone
  };

  explicit ZoneTransferSession(double now) : due_(now), last_query_(now - kMinQueryInterval) {}

  // Continues with a copy of the zone that was stored earlier. `age` is the time in seconds since
  // the primary last confirmed it.
  void Restore(std::uint32_t serial, const SoaTimers& timers, double age, double now);

  // Returns what to do now. After kQuerySerial and kTransfer the caller must report the outcome
  // with one of the functions below.
  Step NextStep(double now);
  [[nodiscard]] double NextStepTime() const;

  // Processes a NOTIFY, with the serial if it contains one (RFC 1996 §3.7).
  void OnNotify(std::optional<std::uint32_t> serial, double now);
  void OnSerial(std::uint32_t serial, double now);  // from the answer to kQuerySerial
  void OnTransferred(std::uint32_t serial, const SoaTimers& timers, double now);
  void OnUpToDate(double now);
  void OnFailure(double now);  // no answer, a refusal or a failed transfer

  [[nodiscard]] bool has_zone() const { return serial_.has_value(); }
  [[nodiscard]] std::uint32_t serial() const { return serial_.value_or(0); }
  [[nodiscard]] bool expired() const { return expired_; }

 private:
  enum class Phase { kWaiting, kQueryingSerial, kMustTransfer, kTransferring };

  // Schedules the next query: after `seconds`, or as soon as allowed if a NOTIFY has been received
  // since the last query.
  void Wait(double seconds, double now);

  Phase phase_ = Phase::kWaiting;
  std::optional<std::uint32_t> serial_;
  SoaTimers timers_{kMinWait, kFirstRetry, kMaxWait};
  double due_;
  double last_query_;
  double confirmed_ = 0;
  bool notified_ = false;  // since the last query
  bool expired_ = false;
};

}  // namespace brassfront::dns

#endif  // BRASSFRONT_DNS_ZONE_TRANSFER_SESSION_HPP_
