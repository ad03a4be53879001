// One member's shares of limits that the whole fleet keeps: its floor, which nobody has to grant,
// and a lease on top, which ends on this member's own clock.
//
// A core: no I/O, no clock, no threads. Time goes only forward.
#ifndef BRASSFRONT_QUOTA_LEASE_HOLDER_HPP_
#define BRASSFRONT_QUOTA_LEASE_HOLDER_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "quota/lease_settings.hpp"
#include "quota/messages.hpp"

namespace brassfront::quota {

class LeaseHolder {
 public:
  explicit LeaseHolder(LeaseSettings settings);

  // Something came that will want a call.
  void OnDemand(const std::string& key, Time now);
  // The last question before a call's first byte. Books the call if it may begin. Where no limit is
  // known it may.
  bool TryAcquire(const std::string& key, Time now);
  // Our own call was reported the limit, calls a second.
  void OnLimitReported(const std::string& key, double limit, Time now);

  // The next request to the grantor, if one is due.
  std::optional<LeaseRequestBatch> Ask(Time now);
  [[nodiscard]] Time Next() const { return next_request_at_; }
  void Take(const LeaseGrant& grant, Time now);
  // The roster has other members, or the operator file other limits.
  void Change(LeaseSettings settings, Time now);

  // Calls a second that we may begin now; none: no limit is known.
  [[nodiscard]] std::optional<double> RateOf(const std::string& key, Time now) const;
  // Whoever was reported of the key's rate is to be reported again.
  void ReportAgain(const std::string& key);
  // Keys whose rate has changed by a tenth since this was last asked, or ended.
  std::vector<std::pair<std::string, std::optional<double>>> Changes(Time now);

  struct Share {
    double limit = 0;     // as granted with, or listed; 0: unknown
    double reported = 0;  // by our own calls
    Time reported_at{};
    double lease = 0;   // calls a second
    Time ends{};        // of the lease
    double demand = 0;  // calls a second, of the last seconds
    Time demand_at{};
    double used = 0;  // calls a second that were begun, likewise
    Time used_at{};
    // ShareFor the floor, what was lent and is left alone until then.
    std::vector<std::pair<double, Time>> lent;
    double tokens = 0;
    Time tokens_at{};
    std::optional<double> last_published;  // as Changes reported it
    std::uint64_t begun = 0, held_back = 0;
  };
  [[nodiscard]] const std::map<std::string, Share>& shares() const { return shares_; }

 private:
  Share& ShareFor(const std::string& key, Time now);
  [[nodiscard]] double EffectiveLimit(const Share& share, Time now) const;
  [[nodiscard]] double EffectiveLease(const Share& share, Time now) const;
  [[nodiscard]] double RequestedRate(const Share& share, Time now) const;
  [[nodiscard]] double CurrentDemand(const Share& share, Time now) const;
  [[nodiscard]] double UsableReserve(const Share& share, Time now) const;
  void Refill(Share& share, Time now) const;

  LeaseSettings settings_;
  std::map<std::string, Share> shares_;
  std::uint64_t last_request_number_ = 0;  // of the last request
  std::uint64_t last_answered_ = 0;        // of the last one that was answered
  Time last_request_at_{};                 // when that was
  Time next_request_at_{};
};

}  // namespace brassfront::quota

#endif  // BRASSFRONT_QUOTA_LEASE_HOLDER_HPP_
