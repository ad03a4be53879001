// Who gives out shares of limits: the leader of the settled log, and nobody else, since there is at
// most one that a majority follows.
//
// A core: no I/O, no clock, no threads. It remembers nothing across a change of leaders: a new one
// waits until all that was granted before has surely ended.
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

  // We lead from now on, or may have been stopped while we led: nothing is granted for a while.
  void Begin(Time now);
  // We lead no longer.
  void End() { leading_since_.reset(); }
  void Change(LeaseSettings settings) { settings_ = std::move(settings); }

  // None: we do not lead. During the quiet time the answer has limits and no leases.
  std::optional<LeaseGrant> Answer(const std::string& holder, const LeaseRequestBatch& request,
                                   Time now);

  struct Lease {
    double amount = 0;
    Time ends{};  // for sure, on our clock
  };
  struct ReportedRate {  // of the limit, or of demand
    double rate = 0;
    Time at{};
  };
  struct Loan {  // of a floor, by its member
    double amount = 0;
    Time until{};  // granted from no longer
  };
  struct Limit {
    std::map<std::string, Loan> lent;
    std::map<std::string, Lease> leases;           // by holder
    std::map<std::string, ReportedRate> reported;  // by who says so
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
  [[nodiscard]] double LentQuota(const Limit& limit, Time now) const;
  [[nodiscard]] double FairShare(const Limit& limit, const std::string& holder, double pool,
                                 double floor, Time now) const;

  LeaseSettings settings_;
  std::optional<Time> leading_since_;
  std::map<std::string, Limit> limits_;
  struct RequestHistory {
    std::uint64_t number = 0;                            // of its last request
    std::deque<std::pair<std::uint64_t, Time>> answers;  // its last requests, and when
  };
  std::map<std::string, RequestHistory> histories_;
};

}  // namespace brassfront::quota

#endif  // BRASSFRONT_QUOTA_LEASE_GRANTOR_HPP_
