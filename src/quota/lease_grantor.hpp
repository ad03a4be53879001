// Grants leases on the fleet's limits. Only the leader of the replicated log grants, so that at
// most one grantor is followed by a majority.
//
// No I/O, no clock, no threads; the caller passes its monotonic time. State is in memory alone: a
// new leader waits for QuietTime, until all earlier leases have expired. Invariant: no grant
// raises the outstanding leases above the limit less the reserves that are not lent.
#ifndef BRASSFRONT_QUOTA_LEASE_GRANTOR_HPP_
#define BRASSFRONT_QUOTA_LEASE_GRANTOR_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "quota/lease_settings.hpp"
#include "quota/messages.hpp"

namespace brassfront::quota {

class LeaseGrantor {
 public:
  explicit LeaseGrantor(LeaseSettings settings) : settings_(std::move(settings)) {}

  // This member leads from now on, or was suspended while it led: nothing is granted for QuietTime.
  void Begin(Time now);
  // This member leads no longer.
  void End() { leading_since_.reset(); }
  void Change(LeaseSettings settings) { settings_ = std::move(settings); }

  // Nothing: this member does not lead, or the request is old. During QuietTime the answer has
  // limits and no leases.
  std::optional<LeaseGrant> Answer(const std::string& holder, const LeaseRequestBatch& request,
                                   Time now);

  struct Lease {
    double amount = 0;
    Time ends{};  // expired for certain, on the grantor's clock
  };
  struct ReportedRate {  // of the limit, or of demand
    double rate = 0;
    Time at{};
  };
  struct Loan {  // of a reserve, by its member
    double amount = 0;
    Time until{};  // granted from no longer
  };
  struct Limit {
    std::map<std::string, Loan> lent;
    std::map<std::string, Lease> leases;           // by holder
    std::map<std::string, ReportedRate> reported;  // by reporting member
    std::map<std::string, ReportedRate> demands;   // by holder
    double limit = 0;                              // as last agreed
  };
  [[nodiscard]] const std::map<std::string, Limit>& limits() const { return limits_; }
  [[nodiscard]] bool grants(Time now) const {
    return leading_since_ && now - *leading_since_ >= settings_.QuietTime();
  }
  // Of a key, what is granted and has not surely ended.
  [[nodiscard]] double Outstanding(const std::string& key, Time now) const;

 private:
  double AgreedLimit(const std::string& key, Limit& limit, Time now) const;
  // Books and returns one holder's share of one limit.
  GrantedLease GrantShare(const std::string& key, const std::string& holder,
                          const LeaseRequest& wanted, std::optional<Time> lent_since,
                          bool may_lease, Time now);
  [[nodiscard]] double LentQuota(const Limit& limit, Time now) const;
  [[nodiscard]] double FairShare(const Limit& limit, const std::string& holder, double pool,
                                 double floor, Time now) const;

  LeaseSettings settings_;
  std::optional<Time> leading_since_;
  std::map<std::string, Limit> limits_;
  // The last requests of one holder, and when each was answered.
  struct RequestHistory {
    struct Answered {
      std::uint64_t number = 0;
      Time at{};
    };
    // When the request with this number was answered; nothing: unknown, or no longer.
    [[nodiscard]] std::optional<Time> AnsweredAt(std::uint64_t answered) const;
    void Add(std::uint64_t request, Time now);

    std::uint64_t number = 0;  // of the last request
    std::deque<Answered> answers;
  };
  std::map<std::string, RequestHistory> histories_;
};

}  // namespace brassfront::quota

#endif  // BRASSFRONT_QUOTA_LEASE_GRANTOR_HPP_
