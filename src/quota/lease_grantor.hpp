// Grants leases on the fleet-wide limits. Only the leader of the replicated log grants leases, so
// that at most one grantor is followed by a majority.
//
// No I/O, no clock, no threads; the caller passes its monotonic time. The state is kept only in
// memory, so a new leader waits for QuietTime, until all earlier leases have expired. Invariant: no
// grant raises the outstanding leases above the limit minus the reserves that are not lent.
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

  // Called when this member becomes the leader, or resumes after a suspension while it led. Nothing
  // is granted for QuietTime.
  void Begin(Time now);
  // Called when this member is no longer the leader.
  void End() { leading_since_.reset(); }
  void Change(LeaseSettings settings) { settings_ = std::move(settings); }

  // Returns nullopt if this member is not the leader or the request is outdated. During QuietTime
  // the answer contains limits but no leases.
  std::optional<LeaseGrant> Answer(const std::string& holder, const LeaseRequestBatch& request,
                                   Time now);

  struct Lease {
    double amount = 0;
    Time ends{};  // when it has certainly expired, on the grantor's clock
  };
  struct ReportedRate {  // a limit or a demand that a member reported
    double rate = 0;
    Time at{};
  };
  struct Loan {  // the part of its reserve that a member lends
    double amount = 0;
    Time until{};  // after this time no lease is granted from it
  };
  struct Limit {
    std::map<std::string, Loan> lent;
    std::map<std::string, Lease> leases;           // by holder
    std::map<std::string, ReportedRate> reported;  // by reporting member
    std::map<std::string, ReportedRate> demands;   // by holder
    double limit = 0;                              // the last agreed limit
  };
  [[nodiscard]] const std::map<std::string, Limit>& limits() const { return limits_; }
  [[nodiscard]] bool grants(Time now) const {
    return leading_since_ && now - *leading_since_ >= settings_.QuietTime();
  }
  // The sum of granted leases on this key that may not have expired yet.
  [[nodiscard]] double Outstanding(const std::string& key, Time now) const;

 private:
  double AgreedLimit(const std::string& key, Limit& limit, Time now) const;
  // Records and returns one holder's share of one limit.
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
    // When the request with this number was answered; nullopt if that is not or no longer known.
    [[nodiscard]] std::optional<Time> AnsweredAt(std::uint64_t answered) const;
    void Add(std::uint64_t request, Time now);

    std::uint64_t number = 0;  // of the last request
    std::deque<Answered> answers;
  };
  std::map<std::string, RequestHistory> histories_;
};

}  // namespace brassfront::quota

#endif  // BRASSFRONT_QUOTA_LEASE_GRANTOR_HPP_
