#include "rehearsal/sharing_auditor.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace brassfront::rehearsal {

SharingAuditor::SharingAuditor(const Scenario& scenario,
                               std::function<bool(std::size_t, std::size_t)> reaches)
    : scenario_(scenario),
      reaches_(std::move(reaches)),
      partners_(scenario.partners.size()),
      violation_counts_(kRules) {
  for (std::size_t p = 0; p < partners_.size(); ++p) {
    if (scenario.partners[p].limit) partners_[p].limit = scenario.partners[p].limit->calls;
  }
}

// Each member may start one extra call at once, or the calls that its lease allows within `burst`.
// A window at the partner is also slightly longer or shorter than at the members.
double SharingAuditor::MaxOvershoot(double limit) const {
  const double members =
      static_cast<double>(scenario_.forwarders.count) + (scenario_.fleet.malicious_peer ? 1 : 0);
  return members + limit * SecondsOf(scenario_.fleet.burst) + limit * SecondsOf(kTransitTime);
}

// A lowered limit applies once the leases granted under the old limit have ended. A member learns
// the new limit from the load report in an answer; without a lease it makes a call at least once
// per interval of the floor rate. The leader learns of it within one renewal and grants less to all
// members within another term.
double SharingAuditor::LimitAt(const PartnerState& state, Time at) const {
  const FleetSettings& f = scenario_.fleet;
  const double floor = state.limit * f.floor / static_cast<double>(scenario_.forwarders.count);
  const Time reported = std::min(FromSeconds(1 / std::max(floor, 1e-3)), f.term) + f.term / 4;
  const Time lowered = reported + FromSeconds(2 * SecondsOf(f.term) * (1 + f.drift)) + kWindow;
  return state.lowered_at && at - *state.lowered_at < lowered
             ? std::max(state.previous_limit, state.limit)
             : state.limit;
}

void SharingAuditor::Limit(std::size_t partner, double limit, Time at) {
  PartnerState& state = partners_[partner];
  if (limit < state.limit) {
    state.previous_limit = state.limit;
    state.lowered_at = at;
  }
  state.limit = limit;
}

void SharingAuditor::Outage(std::size_t partner, std::optional<std::size_t> endpoint, bool on,
                            Time at) {
  for (const auto& [number, owner] : partner_of_) {
    if (owner != partner || (endpoint && number != *endpoint)) continue;
    failing_.erase(number);
    if (on) failing_[number] = {partner, at, {}, {}, {}};
  }
}

void SharingAuditor::Handle(const Event& event) {
  switch (event.what) {
    case Event::What::kFirstByte:
      open_[event.call] = {event.forwarder, event.endpoint};
      return CheckFailingEndpoint(event);
    case Event::What::kCall:
      partner_of_[event.endpoint] = event.partner;
      return CheckLimit(event);
    case Event::What::kAnswered:
      return HandleAnswer(event);
    case Event::What::kCut:
      return HandleFailure(event.call, event.at);
    default:
      return;
  }
}

// Rule `over-limit`: all forwarders together stay within the limit and its documented overshoot.
void SharingAuditor::CheckLimit(const Event& event) {
  PartnerState& state = partners_[event.partner];
  if (!scenario_.fleet.limits || state.limit <= 0) return;
  state.calls.push_back(event.at);
  while (event.at - state.calls.front() >= kWindow) state.calls.pop_front();
  const double limit = LimitAt(state, event.at);
  const double bound = MaxOvershoot(limit);
  const double over = static_cast<double>(state.calls.size()) - limit * SecondsOf(kWindow);
  max_overshoot_ = std::max(max_overshoot_, over);
  max_overshoot_bound_ = std::max(max_overshoot_bound_, bound);
  max_overshoot_share_ = std::max(max_overshoot_share_, over / bound);
  if (over <= bound) return;
  std::array<char, 160> text{};
  std::snprintf(
      text.data(), text.size(),
      "%zu calls in one second to partner %zu with a limit of %.1f and an allowed excess of %.1f",
      state.calls.size(), event.partner, limit, bound);
  ReportViolation(Rule::kOverLimit, event.at, text.data());
}

void SharingAuditor::HandleAnswer(const Event& event) {
  const auto call = open_.find(event.call);
  if (call == open_.end()) return;
  if (event.status != 200) return HandleFailure(event.call, event.at);
  const auto [forwarder, endpoint] = call->second;
  if (const auto failing = failing_.find(endpoint); failing != failing_.end()) {
    failing->second.failures.erase(forwarder);
  }
  open_.erase(call);
}

void SharingAuditor::HandleFailure(std::size_t call, Time at) {
  const auto it = open_.find(static_cast<CallId>(call));
  if (it == open_.end()) return;
  const auto [forwarder, endpoint] = it->second;
  open_.erase(it);
  const auto f = failing_.find(endpoint);
  if (f == failing_.end()) return;
  if (++f->second.failures[forwarder] >= kFailures) f->second.witnesses.try_emplace(forwarder, at);
}

// Rule `stale-verdict`: a forwarder that is not a witness itself must have stopped calling the
// endpoint once two witnesses have been able to reach it for kPropagationTime.
void SharingAuditor::CheckFailingEndpoint(const Event& event) {
  const auto it = failing_.find(event.endpoint);
  if (it == failing_.end() || !scenario_.fleet.verdicts) return;
  Failing& failing = it->second;
  if (failing.witnesses.contains(event.forwarder)) return;
  std::size_t reachable_witnesses = 0;
  for (const auto& [witness, since] : failing.witnesses) {
    reachable_witnesses +=
        event.at - since > kPropagationTime && reaches_(witness, event.forwarder);
  }
  if (reachable_witnesses < 2) return;
  ++stale_calls_;
  std::deque<Time>& calls = failing.calls[event.forwarder];
  calls.push_back(event.at);
  while (event.at - calls.front() >= kWindow) calls.pop_front();
  const double trials = kMaxTrialCalls + scenario_.warm_up.multiple * scenario_.warm_up.share *
                                             scenario_.partners[failing.partner].capacity *
                                             SecondsOf(kWindow) /
                                             static_cast<double>(scenario_.forwarders.count);
  if (static_cast<double>(calls.size()) <= trials) return;
  ReportViolation(Rule::kStaleVerdict, event.at,
                  "forwarder " + std::to_string(event.forwarder) + " still calls endpoint " +
                      std::to_string(event.endpoint) +
                      ", which two other forwarders have found failing");
}

void SharingAuditor::ReportViolation(Rule rule, Time at, std::string what) {
  if (++violation_counts_[static_cast<std::size_t>(rule)] > Auditor::kMaxViolations) return;
  violations_.push_back({rule, at, std::move(what), {}});
}

void SharingAuditor::Finish(AuditResult& into) {
  for (std::size_t rule = 0; rule < kRules; ++rule) {
    into.violation_counts[rule] += violation_counts_[rule];
    into.metrics["rule_breaks"] += static_cast<double>(violation_counts_[rule]);
  }
  into.violations.insert(into.violations.end(), violations_.begin(), violations_.end());
  into.metrics["over_limit"] = max_overshoot_;
  into.metrics["over_bound"] = max_overshoot_bound_;
  into.metrics["over_share"] = max_overshoot_share_;
  into.metrics["stale_calls"] = static_cast<double>(stale_calls_);
}

}  // namespace brassfront::rehearsal
