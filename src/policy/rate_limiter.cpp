#include "policy/rate_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace dispatch_policy {

const Duration kRejectionPause = std::chrono::milliseconds(300);
const Duration kMaxLimitSpan = std::chrono::seconds(2);
const int kMaxBackoffDoublings = 3;
const double kBatchingShare = 0.4;

constexpr double kRejectionBackoff = 0.85;     // of the accepted rate, after a rejection
constexpr double kRecoveryPerSecond = 0.15;    // growth of a rate; more with each span of success
constexpr double kLowAllowance = 0.3;          // reported share left below which no rate grows
constexpr double kAssumedLimit = 3;            // calls a second of all dispatchers, where unknown
constexpr double kMinShareOfDemand = 0.2;      // of our demand: a learned rate is never lower
constexpr std::size_t kLargeGroup = 10;        // dispatchers: each one's calls are a small part
constexpr double kMinCallsToLearnRate = 6;     // in kCallRateMemory: fewer say nothing of a limit
constexpr double kUsableEvenShare = 0.8;       // of the even share, after a rejection then
constexpr double kRareCallerBackoff = 0.5;     // of the rate, for each further rejection then
constexpr double kMinUsableShare = 0.4;        // of that usable share: the lowest rate then
constexpr double kPauseInCallIntervals = 0.6;  // of our mean interval; doubles with rejections
constexpr double kMinLeasedRate = 0.05;        // calls a second: one call in 20 s

void RateEstimator::Add(Time now) {
  value_ = value_ * WeightAfter(now - last_) + 1 / memory_;
  last_ = now;
}

double RateEstimator::Rate(Time now) const {
  if (value_ <= 0) return 0;
  const Duration seen = std::max<Duration>(now - first_, std::chrono::seconds(1));
  return value_ * WeightAfter(now - last_) / (1 - WeightAfter(seen));
}

double RateEstimator::WeightAfter(Duration age) const {
  return std::exp(-ToSeconds(age) / memory_);
}

void RateLimiter::ApplyQuotaLease(const QuotaLeased& event) {
  Endpoint* endpoint = registry_.FindEndpoint(event.endpoint);
  if (endpoint != nullptr) registry_.FindScope(*endpoint).leased_rate = event.rate;
}

void RateLimiter::ApplyLoadReport(RateLimitScope& scope, const LoadReport& report) {
  if (report.limit.value_or(0) <= 0) return;
  scope.limit = *report.limit;
  scope.limit_reported = true;
  scope.allowance_left = report.allowance_left;
}

void RateLimiter::RecordCall(Endpoint& endpoint) {
  RateLimitScope& scope = registry_.FindScope(endpoint);
  double interval = scope.rate > 0 ? 1 / scope.rate : 0;
  const double reported = scope.limit_reported ? scope.limit : 0;
  const double max_rate =
      scope.leased_rate ? std::max(*scope.leased_rate, kMinLeasedRate) : reported;
  if (max_rate > 0) interval = std::max(interval, 1 / max_rate);
  scope.next_call = std::max(scope.next_call, now_) + FromSeconds(interval);
}

void RateLimiter::OnCallAccepted(RateLimitScope& scope) {
  scope.accepted_calls.Add(now_);
  scope.rejections = 0;
  const bool allowance_low = scope.allowance_left && *scope.allowance_left < kLowAllowance;
  if (scope.rate <= 0 || allowance_low) return;
  const double elapsed = std::min(1.0, ToSeconds(now_ - scope.rate_changed));
  const double spans = ToSeconds(now_ - scope.last_rejection) / ToSeconds(kMaxLimitSpan);
  scope.rate *= 1 + std::min(1.0, kRecoveryPerSecond * (1 + spans)) * elapsed;
  scope.rate_changed = now_;
  if (!scope.from_even_share) return;
  scope.rate = std::max(scope.rate, UsableEvenShare(scope));
  scope.next_call = std::min(scope.next_call, now_ + FromSeconds(1 / scope.rate));
}

void RateLimiter::OnCallRejected(Endpoint& endpoint, const Call& call, Duration retry_after,
                                 Duration trial_interval) {
  RateLimitScope& scope = registry_.FindScope(endpoint);
  // A call from before the last rejection says nothing new.
  if (scope.rejections > 0 && call.sent < scope.last_rejection) return;
  if (scope.rejections++ == 0) scope.first_rejection = now_;
  scope.last_rejection = now_;
  const double share = LocalShareOfLimit(endpoint);
  const int factor = 1 << std::min(scope.rejections - 1, kMaxBackoffDoublings);
  const bool wait_is_known = factor == 1 && retry_after > Duration{};
  const double intervals = wait_is_known ? 0 : kPauseInCallIntervals * factor;
  const Duration backoff = std::max(kRejectionPause * factor, FromSeconds(intervals / share));
  const Duration pause = std::min(backoff, std::max(kRejectionPause, trial_interval));
  const Time wait_end = now_ + retry_after;
  scope.next_call = std::max(scope.next_call, wait_end + context_.AddJitter(pause));
  // While warming up it rejects below its limit: a rate learned now would stay too low.
  if (endpoint.health != Health::kClosed) return;
  // Rejections at almost the same time have one cause, and lower the rate once.
  if (scope.rate > 0 && now_ - scope.rate_changed < kRejectionPause) return;
  if (CallsRarely(share)) {
    LimitRareCaller(scope, share);
    const Duration interval = FromSeconds(1 / scope.rate);
    scope.next_call = std::max(scope.next_call, wait_end + context_.AddJitter(interval));
  } else {
    LimitToAcceptedRate(scope, share);
  }
}

void RateLimiter::LimitToAcceptedRate(RateLimitScope& scope, double local_share) {
  const double accepted = scope.accepted_calls.Rate(now_);
  const double last = scope.rate > 0 ? scope.rate : 2 * std::max(accepted, local_share);
  scope.rate = std::max(kMinShareOfDemand * local_share,
                        kRejectionBackoff * std::min(last, std::max(accepted, last / 2)));
  scope.from_even_share = false;
  scope.rate_changed = now_;
}

void RateLimiter::LimitRareCaller(RateLimitScope& scope, double local_share) {
  const double share = scope.limit > 0 ? UsableEvenShare(scope) : local_share;
  const double last = scope.from_even_share ? kRareCallerBackoff * scope.rate : share;
  scope.rate = std::max(kMinUsableShare * share, std::min(last, share));
  scope.from_even_share = true;
  scope.rate_changed = now_;
}

double RateLimiter::LocalShareOfLimit(Endpoint& endpoint) {
  double demand = registry_.DestinationAt(endpoint.entry.destination).arrivals.Rate(now_);
  if (registry_.MaxBatch(endpoint) > 1) {
    demand = std::min(demand, 1 / (kBatchingShare * ToSeconds(context_.min_objective)));
  }
  const double limit = std::max(registry_.FindScope(endpoint).limit, kAssumedLimit);
  return std::max(demand, limit / static_cast<double>(settings_.group_size));
}

double RateLimiter::UsableEvenShare(const RateLimitScope& scope) const {
  return kUsableEvenShare * scope.limit / static_cast<double>(settings_.group_size);
}

bool RateLimiter::GroupIsLarge() const { return settings_.group_size >= kLargeGroup; }

bool RateLimiter::CallsRarely(double local_share) const {
  return GroupIsLarge() && local_share * kCallRateMemory.count() < kMinCallsToLearnRate;
}

}  // namespace dispatch_policy
