// When a secondary asks its primary, and what it makes of the answers (RFC 1035 §3.3.13, RFC 1996):
// the timers of the SOA, notices of changes, and the end of a zone that cannot be followed any
// more. A state machine without I/O; times are seconds on a clock that never goes back.
#ifndef BRASSFRONT_DNS_ZONE_TRANSFER_SESSION_HPP_
#define BRASSFRONT_DNS_ZONE_TRANSFER_SESSION_HPP_

#include <cstdint>
#include <optional>
#include <string_view>

namespace brassfront::dns {

struct SoaTimers {
  double refresh = 0, retry = 0, expire = 0;  // seconds

  // Those of a SOA's RDATA, within ZoneTransferSession's limits.
  static SoaTimers Of(std::string_view soa_rdata);
};

class ZoneTransferSession {
 public:
  // A SOA may ask for less or more than is good for either side.
  static constexpr double kMinWait = 1, kMaxWait = 86400;
  static constexpr double kFirstRetry = 1;  // as long as no SOA says otherwise
  // Notices are answered by one question at a time, and not by more than five a second.
  static constexpr double kMinQueryInterval = 0.2;

  enum class Step {
    kNothing,
    kQuerySerial,  // ask for the SOA
    kTransfer,     // ask for what is newer
    kExpire,       // what is held counts no more
  };

  explicit ZoneTransferSession(double now) : due_(now), last_query_(now - kMinQueryInterval) {}

  // What was kept from earlier: its serial, and how long ago it was confirmed.
  void Restore(std::uint32_t serial, const SoaTimers& timers, double age, double now);

  // What to do now. After kAskSerial and kTransfer one of the answers below must come.
  Step NextStep(double now);
  [[nodiscard]] double NextStepTime() const;

  // A notice of a change, with the serial it names if it does (RFC 1996 §3.7).
  void OnNotify(std::optional<std::uint32_t> serial, double now);
  void OnSerial(std::uint32_t serial, double now);  // the SOA's answer
  void OnTransferred(std::uint32_t serial, const SoaTimers& timers, double now);
  void OnUpToDate(double now);
  void OnFailure(double now);  // no answer, a refusal or a transfer that came to nothing

  [[nodiscard]] bool has_zone() const { return serial_.has_value(); }
  [[nodiscard]] std::uint32_t serial() const { return serial_.value_or(0); }
  [[nodiscard]] bool expired() const { return expired_; }

 private:
  enum class Phase { kWaiting, kQueryingSerial, kMustTransfer, kTransferring };

  // Until it is time to ask again: at once, if a notice came meanwhile.
  void Wait(double seconds, double now);

  Phase phase_ = Phase::kWaiting;
  std::optional<std::uint32_t> serial_;
  SoaTimers timers_{kMinWait, kFirstRetry, kMaxWait};
  double due_;
  double last_query_;  // last
  double confirmed_ = 0;
  bool notified_ = false;  // since the question that is out
  bool expired_ = false;
};

}  // namespace brassfront::dns

#endif  // BRASSFRONT_DNS_ZONE_TRANSFER_SESSION_HPP_
