#include "dns/zone_transfer_session.hpp"

#include <algorithm>

#include "dns/rdata.hpp"
#include "dns/serial.hpp"

namespace brassfront::dns {

SoaTimers SoaTimers::Of(std::string_view soa_rdata) {
  const auto field = [soa_rdata](std::size_t n) {
    return std::clamp<double>(NumberField(type::kSoa, soa_rdata, n), ZoneTransferSession::kMinWait,
                              ZoneTransferSession::kMaxWait);
  };
  SoaTimers timers{field(soa::kRefresh), field(soa::kRetry), 0};
  // A zone that expires before it is queried again would alternately disappear and return
  // (RFC 1912 §2.2).
  timers.expire = std::max<double>(NumberField(type::kSoa, soa_rdata, soa::kExpire),
                                   timers.refresh + timers.retry);
  return timers;
}

void ZoneTransferSession::Restore(std::uint32_t serial, const SoaTimers& timers, double age,
                                  double now) {
  serial_ = serial;
  timers_ = timers;
  confirmed_ = now - std::max(age, 0.0);
  due_ = now;
}

ZoneTransferSession::Step ZoneTransferSession::NextStep(double now) {
  if (has_zone() && !expired_ && now >= confirmed_ + timers_.expire) {
    expired_ = true;
    return Step::kExpire;
  }
  if (phase_ == Phase::kMustTransfer) {
    phase_ = Phase::kTransferring;
    return Step::kTransfer;
  }
  if (phase_ != Phase::kWaiting || now < due_) return Step::kNothing;
  last_query_ = now;
  notified_ = false;
  // Without a zone there is no serial to compare: transfer at once.
  phase_ = has_zone() ? Phase::kQueryingSerial : Phase::kTransferring;
  return has_zone() ? Step::kQuerySerial : Step::kTransfer;
}

double ZoneTransferSession::NextStepTime() const {
  const double expiry = has_zone() && !expired_ ? confirmed_ + timers_.expire : 1e18;
  switch (phase_) {
    case Phase::kWaiting:
      return std::min(due_, expiry);
    case Phase::kMustTransfer:
      return 0;
    default:
      return expiry;
  }
}

void ZoneTransferSession::OnNotify(std::optional<std::uint32_t> serial, double now) {
  // A serial that is not newer needs no query. A NOTIFY has no other effect than a query, since its
  // claims are not trusted.
  if (serial && serial_ && !expired_ && !IsNewer(*serial, *serial_)) return;
  if (phase_ == Phase::kWaiting) {
    due_ = std::min(due_, std::max(now, last_query_ + kMinQueryInterval));
  } else {
    notified_ = true;
  }
}

void ZoneTransferSession::OnSerial(std::uint32_t serial, double now) {
  if (phase_ != Phase::kQueryingSerial) return;
  if (IsNewer(serial, *serial_)) {
    phase_ = Phase::kMustTransfer;
  } else if (serial == *serial_) {
    OnUpToDate(now);
  } else {
    OnFailure(now);  // the serial went back: the data of the primary is wrong
  }
}

void ZoneTransferSession::OnTransferred(std::uint32_t serial, const SoaTimers& timers, double now) {
  serial_ = serial;
  timers_ = timers;
  OnUpToDate(now);
}

void ZoneTransferSession::OnUpToDate(double now) {
  confirmed_ = now;
  expired_ = false;
  Wait(timers_.refresh, now);
}

void ZoneTransferSession::OnFailure(double now) { Wait(timers_.retry, now); }

void ZoneTransferSession::Wait(double seconds, double now) {
  phase_ = Phase::kWaiting;
  due_ = notified_ ? std::max(now, last_query_ + kMinQueryInterval) : now + seconds;
}

}  // namespace brassfront::dns
