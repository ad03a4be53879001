// The part of the auditor that checks the limits and verdicts shared by the fleet, from what
// partners observe: calls above a limit by more than the documented bound, and calls to a failing
// endpoint by forwarders that should know its verdict. It computes the bounds itself from the
// scenario.
#ifndef BRASSFRONT_REHEARSAL_SHARING_AUDITOR_HPP_
#define BRASSFRONT_REHEARSAL_SHARING_AUDITOR_HPP_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rehearsal/auditor.hpp"
#include "rehearsal/scenario.hpp"

namespace brassfront::rehearsal {

class SharingAuditor {
 public:
  static constexpr Time kWindow = std::chrono::seconds(1);
  // Maximum variation of the time that a call takes to reach a partner.
  static constexpr Time kTransitTime = std::chrono::milliseconds(50);
  // Time from the evidence of the second witness until all members know of it, on working links.
  static constexpr Time kPropagationTime = std::chrono::milliseconds(1500);
  // Calls that a member may make to a failing endpoint in one window as trials, in addition to its
  // part of the load that a partner in warm-up can bear.
  static constexpr double kMaxTrialCalls = 2;
  // Consecutive failures that make a forwarder a witness.
  static constexpr std::size_t kFailures = 3;

  // `reaches` returns whether frames pass from one forwarder to the other and have done so for a
  // while.
  SharingAuditor(const Scenario& scenario,
                 std::function<bool(std::size_t from, std::size_t to)> reaches);

  void Handle(const Event& event);
  void Limit(std::size_t partner, double limit, Time at);
  // An outage of the partner's endpoint begins or ends; without an endpoint, of all its endpoints.
  void Outage(std::size_t partner, std::optional<std::size_t> endpoint, bool on, Time at);
  void Finish(AuditResult& into);

 private:
  struct PartnerState {
    double limit = 0, previous_limit = 0;  // calls per second: now, and before it was last lowered
    std::optional<Time> lowered_at;
    std::deque<Time> calls;  // calls in the last window
  };
  struct Failing {
    std::size_t partner = 0;
    Time since{};
    std::map<std::size_t, std::size_t> failures;  // consecutive failures, by forwarder
    // By forwarder: time at which it became a witness.
    std::map<std::size_t, Time> witnesses;
    std::map<std::size_t, std::deque<Time>> calls;  // by forwarder: calls in the last window
  };

  void CheckLimit(const Event& event);
  void HandleAnswer(const Event& event);
  void CheckFailingEndpoint(const Event& event);
  void HandleFailure(std::size_t call, Time at);
  [[nodiscard]] double LimitAt(const PartnerState& state, Time at) const;
  [[nodiscard]] double MaxOvershoot(double limit) const;
  void ReportViolation(Rule rule, Time at, std::string what);

  const Scenario& scenario_;
  const std::function<bool(std::size_t, std::size_t)> reaches_;
  std::vector<PartnerState> partners_;
  std::map<std::size_t, Failing> failing_;  // by endpoint
  // Forwarder and endpoint of each open call.
  std::map<CallId, std::pair<std::size_t, std::size_t>> open_;
  std::map<std::size_t, std::size_t> partner_of_;  // by endpoint
  double max_overshoot_ = 0, max_overshoot_share_ = 0, max_overshoot_bound_ = 0;
  std::size_t stale_calls_ = 0;
  std::vector<RuleViolation> violations_;
  std::vector<std::size_t> violation_counts_;
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_SHARING_AUDITOR_HPP_
