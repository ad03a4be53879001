// Who gives out shares of limits: the leader of the settled log, and nobody else, since there is at
// most one that a majority follows.
//
// A core: no I/O, no clock, no threads. It remembers nothing across a change of leaders: a new one
// waits until all that was granted before has surely ended.
#ifndef BRASSFRONT_QUOTA_GRANTOR_HPP_
#define BRASSFRONT_QUOTA_GRANTOR_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "quota/messages.hpp"
#include "quota/terms.hpp"

namespace brassfront::quota {

class Grantor {
 public:
  explicit Grantor(Terms terms) : terms_(std::move(terms)) {}

  // We lead from now on, or may have been stopped while we led: nothing is granted for a while.
  void Begin(Time now);
  // We lead no longer.
  void End() { begun_.reset(); }
  void Change(Terms terms) { terms_ = std::move(terms); }

  // None: we do not lead. During the quiet time the answer has limits and no leases.
  std::optional<Grant> Answer(const std::string& holder, const Request& request, Time now);

  struct Lease {
    double amount = 0;
    Time ends{};  // for sure, on our clock
  };
  struct Claim {  // of the limit, or of demand
    double rate = 0;
    Time at{};
  };
  struct Loan {  // of a floor, by its member
    double amount = 0;
    Time until{};  // granted from no longer
  };
  struct Limit {
    std::map<std::string, Loan> lent;
    std::map<std::string, Lease> leases;   // by holder
    std::map<std::string, Claim> told;     // by who says so
    std::map<std::string, Claim> demands;  // by holder
    double limit = 0;                      // as last agreed
  };
  [[nodiscard]] const std::map<std::string, Limit>& limits() const { return limits_; }
  [[nodiscard]] bool grants(Time now) const { return begun_ && now - *begun_ >= terms_.Quiet(); }
  // Of a key, what is granted and has not surely ended.
  [[nodiscard]] double Outstanding(const std::string& key, Time now) const;

 private:
  double Agreed(const std::string& key, Limit& limit, Time now) const;
  [[nodiscard]] double Lent(const Limit& limit, Time now) const;
  [[nodiscard]] double FairPart(const Limit& limit, const std::string& holder, double pool,
                                double floor, Time now) const;

  Terms terms_;
  std::optional<Time> begun_;
  std::map<std::string, Limit> limits_;
  struct Asker {
    std::uint64_t number = 0;                             // of its last request
    std::deque<std::pair<std::uint64_t, Time>> answered;  // its last requests, and when
  };
  std::map<std::string, Asker> askers_;
};

}  // namespace brassfront::quota

#endif  // BRASSFRONT_QUOTA_GRANTOR_HPP_
