// The part of the judge that watches limits and verdicts of the whole fleet, from what partners
// see: calls above a limit beyond the stated bound, and calls to a failing endpoint by those that
// could have heard of it. It works the bounds out by itself, from the scenario.
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
  // Calls reach a partner so much earlier or later than they were begun.
  static constexpr Time kTransitTime = std::chrono::milliseconds(50);
  // From the second witness's evidence to the last member's knowing, on links that stand.
  static constexpr Time kPropagationTime = std::chrono::milliseconds(1500);
  // So many trials in a window are no breach, beside a member's part of what a warm_up partner
  // bears.
  static constexpr double kMaxTrialCalls = 2;
  static constexpr std::size_t kFailures = 3;  // in a row, and a forwarder is a witness

  // `reaches`: frames go from one forwarder to the other, and it has worked for so long.
  SharingAuditor(const Scenario& scenario,
                 std::function<bool(std::size_t from, std::size_t to)> reaches);

  void Handle(const Event& event);
  void Limit(std::size_t partner, double limit, Time at);
  // An outage of a partner's endpoint begins or ends; of all of them without one.
  void Outage(std::size_t partner, std::optional<std::size_t> endpoint, bool on, Time at);
  void Finish(AuditResult& into);

 private:
  struct PartnerState {
    double limit = 0, previous_limit = 0;  // calls a second, now and before it fell last
    std::optional<Time> lowered_at;
    std::deque<Time> calls;  // of the last window
  };
  struct Failing {
    std::size_t partner = 0;
    Time since{};
    std::map<std::size_t, std::size_t> failures;    // in a row, by forwarder
    std::map<std::size_t, Time> witnesses;          // by forwarder: when it had seen enough
    std::map<std::size_t, std::deque<Time>> calls;  // by forwarder, of the last window
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
  std::map<std::size_t, Failing> failing_;                      // by endpoint
  std::map<CallId, std::pair<std::size_t, std::size_t>> open_;  // forwarder, endpoint
  std::map<std::size_t, std::size_t> partner_of_;               // by endpoint
  double max_overshoot_ = 0, max_overshoot_share_ = 0, max_overshoot_bound_ = 0;
  std::size_t stale_calls_ = 0;
  std::vector<RuleViolation> violations_;
  std::vector<std::size_t> violation_counts_;
};

}  // namespace brassfront::rehearsal

#endif  // BRASSFRONT_REHEARSAL_SHARING_AUDITOR_HPP_
