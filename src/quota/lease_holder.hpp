// One member's shares of the limits of the whole fleet: its reserved minimum, which needs no grant,
// and a lease on top, which expires on this member's own clock.
//
// No I/O, no clock, no threads: the caller passes its monotonic time, which never goes back, and
// serializes the calls. Invariants: no token accrues from a lease after its expiry; of a lent
// reserve nothing is used until its cool-down has passed.
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

  // A message arrived that will need a call.
  void OnDemand(const std::string& key, Time now);
  // Takes a token for a call, immediately before its first byte; false: the call may not start.
  // Always true where no limit is known.
  [[nodiscard]] bool TryAcquire(const std::string& key, Time now);
  // The response to our own call named the limit, in calls a second.
  void OnLimitReported(const std::string& key, double limit, Time now);

  // The next request to the grantor, if one is due.
  std::optional<LeaseRequestBatch> NextRequest(Time now);
  [[nodiscard]] Time Next() const { return next_request_at_; }
  // Applies the answer to the last request; an answer to any other is ignored.
  void ApplyGrant(const LeaseGrant& grant, Time now);
  // The roster has other members, or the operator file other limits.
  void Change(LeaseSettings settings, Time now);

  // Calls a second that may start now; nothing: no limit is known.
  [[nodiscard]] std::optional<double> RateOf(const std::string& key, Time now) const;
  // The next Changes includes this key again, for an endpoint that is new to it.
  void ReportAgain(const std::string& key);
  // Keys whose rate has changed by a tenth since the last call of Changes, or become unknown.
  std::vector<std::pair<std::string, std::optional<double>>> Changes(Time now);

  // Part of the reserve that was offered to others, and is not used until its cool-down has passed.
  struct LentQuota {
    double rate = 0;  // calls a second
    Time until{};
  };
  // All rates in calls a second.
  struct Share {
    double limit = 0;     // as last granted, or listed; 0: unknown
    double reported = 0;  // the limit in responses to our own calls; 0: none
    Time reported_at{};
    double lease = 0;
    Time ends{};        // expiry of the lease
    double demand = 0;  // estimate as of demand_at
    Time demand_at{};
    double used = 0;  // estimate of the calls started, as of used_at
    Time used_at{};
    std::vector<LentQuota> lent;
    double tokens = 0;  // token bucket as of tokens_at; one token is one call
    Time tokens_at{};
    std::optional<double> last_published;  // rate in the last result of Changes
    std::uint64_t begun = 0;               // calls that TryAcquire let start
    std::uint64_t held_back = 0;           // calls that it did not
  };
  [[nodiscard]] const std::map<std::string, Share>& shares() const { return shares_; }

 private:
  [[nodiscard]] LeaseRequest RenewShare(Share& share, Time now) const;
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
  std::uint64_t last_answered_ = 0;        // the last one that was answered
  Time last_request_at_{};  // when the last request was written: a lease runs from here
  Time next_request_at_{};
};

}  // namespace brassfront::quota

#endif  // BRASSFRONT_QUOTA_LEASE_HOLDER_HPP_
