// Paces calls so that they stay within the rate limits of endpoints and destinations. Implemented
// in limits.cpp.
#ifndef BRASSFRONT_POLICY_RATE_LIMITER_HPP_
#define BRASSFRONT_POLICY_RATE_LIMITER_HPP_

#include "policy/decision_context.hpp"
#include "policy/endpoint_registry.hpp"
#include "policy/policy_state.hpp"

namespace dispatch_policy {

// Pause after a rejection or an error before the next call.
extern const Duration kRejectionPause;
// The span that a rate limit counts calls in, at most: rejections for longer are an outage.
extern const Duration kMaxLimitSpan;
// Most doublings of a backoff by failures or rejections in a row.
extern const int kMaxBackoffDoublings;
// Share of its latency objective that a message waits for others to join its call.
extern const double kBatchingShare;

// Limits are reported, listed, leased or learned from rejections; their state is in the
// RateLimitScope of each destination, or of each endpoint whose kind has limits of its own.
class RateLimiter {
 public:
  RateLimiter(DecisionContext& context, EndpointRegistry& registry)
      : settings_(context.settings), now_(context.now), context_(context), registry_(registry) {}

  // Takes the leased share of a limit that all dispatchers keep together, or its end.
  void ApplyQuotaLease(const QuotaLeased& event);

  // Takes up what an endpoint reports of its limit. A reported limit is that of all dispatchers
  // together, so no single one goes over it.
  void ApplyLoadReport(RateLimitScope& scope, const LoadReport& report);

  // Books a call or health check to the endpoint: the next one waits for the pace.
  void RecordCall(Endpoint& endpoint);

  // A call was accepted: lets a learned rate grow, unless little of the reported limit is left.
  void OnCallAccepted(RateLimitScope& scope);

  // A call was rejected. The next one waits for the Retry-After, then for a pause that doubles
  // with each rejection in a row up to `trial_interval`. Without a Retry-After the pause follows
  // from this instance's own demand: an overloaded destination rejects too, and many instances that
  // retry soon would keep it down. This costs throughput where a limit frees up at once.
  // A call that was sent before the last rejection says nothing new. Rejections at almost the same
  // time have one cause, and lower the rate once. While warming up an endpoint rejects below its
  // limit: a rate learned then would stay too low.
  void OnCallRejected(Endpoint& endpoint, const Call& call, Duration retry_after,
                      Duration trial_interval);

  // The rate after a rejection for an instance that calls rarely: its own calls tell too little and
  // too late, so it takes its even share of the limit, and half of that with each further
  // rejection. `local_share` as from LocalShareOfLimit.
  void LimitRareCaller(RateLimitScope& scope, double local_share);

  // This instance's part of what the endpoint's destination gets from all, in calls a second: its
  // own demand or an even share of the limit, whichever is more. Scales with this instance's share
  // of traffic; a constant rate per instance would overload the endpoint when many instances
  // recover at once.
  double LocalShareOfLimit(Endpoint& endpoint);

  // Whether so many dispatchers share the destinations that this one's calls are a small part of
  // all.
  [[nodiscard]] bool GroupIsLarge() const;

  // Whether calls at the rate `local_share` are too few to learn a rate from.
  [[nodiscard]] bool CallsRarely(double local_share) const;

 private:
  // The rate after a rejection: somewhat below that of the calls that were accepted. `local_share`
  // as from LocalShareOfLimit.
  void LimitToAcceptedRate(RateLimitScope& scope, double local_share);

  // The rate, in calls a second, that a rarely calling instance takes of its even share of the
  // limit.
  [[nodiscard]] double UsableEvenShare(const RateLimitScope& scope) const;

  const Settings& settings_;
  const Time& now_;
  DecisionContext& context_;
  EndpointRegistry& registry_;
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_RATE_LIMITER_HPP_
