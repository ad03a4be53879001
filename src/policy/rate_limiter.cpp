#include "policy/rate_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace dispatch_policy {

const Duration kRejectionPause = std::chrono::milliseconds(300);  // after a refusal
const Duration kMaxLimitSpan = std::chrono::seconds(2);  // refusals for longer are an outage
const int kMaxBackoffDoublings = 3;  // of that time, one for each failure in a row
const double kBatchingShare = 0.4;   // of the aim: how long a message waits for others in its call
namespace {

constexpr double kRejectionBackoff = 0.85;  // of the accepted rate, after a refusal
constexpr double kRecoveryPerSecond =
    0.15;  // growth of a rate in a second; more each span without refusals
constexpr double kLowAllowance = 0.3;  // reported share of a limit below which no rate grows
constexpr double kAssumedLimit = 3;    // calls a second, of all dispatchers: where nothing is told
constexpr double kMinShareOfDemand = 0.2;  // of our demand: a paced rate is never lower
constexpr std::size_t kLargeGroup = 10;    // dispatchers: our own calls are a small part of all
constexpr double kMinCallsToLearnRate =
    6;  // in the pace's memory: with fewer our own rate tells nothing
constexpr double kUsableEvenShare = 0.8;    // of our even share of a limit then, after a refusal
constexpr double kRareCallerBackoff = 0.5;  // of the rate, for each further one
constexpr double kMinUsableShare = 0.4;     // of the even share: the least rate then
constexpr double kPauseInCallIntervals =
    0.6;                                 // of our calls' mean distance, doubled with each in a row
constexpr double kMinLeasedRate = 0.05;  // calls a second: a share below it is one call in 20 s

}  // namespace

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
  double gap = scope.rate > 0 ? 1 / scope.rate : 0;
  const double own = scope.limit_reported ? scope.limit : 0;
  const double most = scope.leased_rate ? std::max(*scope.leased_rate, kMinLeasedRate) : own;
  if (most > 0) gap = std::max(gap, 1 / most);
  scope.next_call = std::max(scope.next_call, now_) + FromSeconds(gap);
}

void RateLimiter::OnCallAccepted(RateLimitScope& scope) {
  scope.accepted_calls.Add(now_);
  scope.rejections_in_row = 0;
  if (scope.rate <= 0 || (scope.allowance_left && *scope.allowance_left < kLowAllowance)) return;
  const double seconds = std::min(1.0, ToSeconds(now_ - scope.rate_changed));
  const double spans = ToSeconds(now_ - scope.last_rejection) / ToSeconds(kMaxLimitSpan);
  scope.rate *= 1 + std::min(1.0, kRecoveryPerSecond * (1 + spans)) * seconds;
  scope.rate_changed = now_;
  if (!scope.from_even_share) return;
  scope.rate = std::max(scope.rate, UsableEvenShare(scope));
  scope.next_call = std::min(scope.next_call, now_ + FromSeconds(1 / scope.rate));
}

void RateLimiter::OnCallRejected(Endpoint& endpoint, const Call& call, Duration retry_after,
                                 Duration trial_interval) {
  RateLimitScope& scope = registry_.FindScope(endpoint);
  if (scope.rejections_in_row > 0 && call.sent < scope.last_rejection)
    return;  // sent before it was known
  if (scope.rejections_in_row++ == 0) scope.first_rejection = now_;
  scope.last_rejection = now_;
  const double local_share = LocalShareOfLimit(endpoint);
  const int backoff_factor = 1 << std::min(scope.rejections_in_row - 1, kMaxBackoffDoublings);
  const double calls =
      backoff_factor == 1 && retry_after > Duration{} ? 0 : kPauseInCallIntervals * backoff_factor;
  const Duration asked =
      std::max(kRejectionPause * backoff_factor, FromSeconds(calls / local_share));
  const Duration pause = std::min(asked, std::max(kRejectionPause, trial_interval));
  scope.next_call = std::max(scope.next_call, now_ + retry_after + context_.AddJitter(pause));
  // While warming up it rejects below its limit: a rate learned now would stay too low.
  if (endpoint.health != Health::kClosed) return;
  if (scope.rate > 0 && now_ - scope.rate_changed < kRejectionPause) return;  // the same overshoot
  if (CallsRarely(local_share)) {
    LimitRareCaller(scope, local_share);
    const Duration gap = FromSeconds(1 / scope.rate);
    scope.next_call = std::max(scope.next_call, now_ + retry_after + context_.AddJitter(gap));
    return;
  }
  scope.from_even_share = false;
  const double seen = scope.accepted_calls.Rate(now_);
  const double last = scope.rate > 0 ? scope.rate : 2 * std::max(seen, local_share);
  scope.rate = std::max(kMinShareOfDemand * local_share,
                        kRejectionBackoff * std::min(last, std::max(seen, last / 2)));
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
  if (registry_.MaxBatch(endpoint) > 1)
    demand = std::min(demand, 1 / (kBatchingShare * ToSeconds(context_.min_latency_objective)));
  const double even = std::max(registry_.FindScope(endpoint).limit, kAssumedLimit);
  return std::max(demand, even / static_cast<double>(settings_.group_size));
}

double RateLimiter::UsableEvenShare(const RateLimitScope& scope) const {
  return kUsableEvenShare * scope.limit / static_cast<double>(settings_.group_size);
}

bool RateLimiter::GroupIsLarge() const { return settings_.group_size >= kLargeGroup; }

bool RateLimiter::CallsRarely(double local_share) const {
  return GroupIsLarge() && local_share * kCallRateMemory.count() < kMinCallsToLearnRate;
}

}  // namespace dispatch_policy
