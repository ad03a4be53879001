// One member's shares of the fleet-wide limits. A share consists of a reserved minimum, which needs
// no grant, and a lease in addition, which expires on this member's own clock.
//
// No I/O, no clock, no threads: the caller passes its monotonic time, which never goes back, and
// serializes the calls. Invariants: a lease yields no tokens after its expiry; a lent reserve is
// not used until its cool-down has passed.
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

  // Called when a message has arrived that will need a call.
  void OnDemand(const std::string& key, Time now);
  // Takes a token for a call, immediately before its first byte is sent. Returns false if the call
  // may not start; always returns true if no limit is known.
  [[nodiscard]] bool TryAcquire(const std::string& key, Time now);
  // Called when the response to one of our own calls reported the limit, in calls a second.
  void OnLimitReported(const std::string& key, double limit, Time now);

  // Returns the next request to the grantor, or nullopt if none is due.
  std::optional<LeaseRequestBatch> NextRequest(Time now);
  [[nodiscard]] Time Next() const { return next_request_at_; }
  // Applies the answer to the last request; answers to earlier requests are ignored.
  void ApplyGrant(const LeaseGrant& grant, Time now);
  // Applies new settings after a change of the roster's members or limits.
  void Change(LeaseSettings settings, Time now);

  // The usable rate in calls a second; nullopt if no limit is known.
  [[nodiscard]] std::optional<double> RateOf(const std::string& key, Time now) const;
  // Makes the next call of Changes include this key again, for an endpoint that was added to it.
  void ReportAgain(const std::string& key);
  // Keys whose rate has changed by more than a tenth, or became known or unknown, since the last
  // call of Changes.
  std::vector<std::pair<std::string, std::optional<double>>> Changes(Time now);

  // A part of the reserve that was lent to others and is not used until its cool-down has passed.
  struct LentQuota {
    double rate = 0;  // calls a second
    Time until{};
  };
  // All rates are in calls a second.
  struct Share {
    double limit = 0;     // the last granted limit, or the listed one; 0: unknown
    double reported = 0;  // the limit reported in responses to our own calls; 0: none
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
    std::optional<double> last_published;  // the rate in the last result of Changes
    std::uint64_t begun = 0;               // calls that TryAcquire allowed
    std::uint64_t held_back = 0;           // calls that TryAcquire rejected
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
  std::uint64_t last_request_number_ = 0;
  std::uint64_t last_answered_ = 0;  // number of the last answered request
  Time last_request_at_{};           // when the last request was written; a lease starts here
  Time next_request_at_{};
};

}  // namespace brassfront::quota

#endif  // BRASSFRONT_QUOTA_LEASE_HOLDER_HPP_
