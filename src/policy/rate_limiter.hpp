// Limits the rate of calls so that they stay within the rate limits of endpoints and destinations.
// Implemented in limits.cpp.
#ifndef BRASSFRONT_POLICY_RATE_LIMITER_HPP_
#define BRASSFRONT_POLICY_RATE_LIMITER_HPP_

#include "policy/decision_context.hpp"
#include "policy/endpoint_registry.hpp"
#include "policy/policy_state.hpp"

namespace dispatch_policy {

// Pause before the next call after a rejection or an error.
extern const Duration kRejectionPause;
// Maximum length of the window in which a rate limit counts calls: rejections for longer than this
// are an outage.
extern const Duration kMaxRateLimitWindow;
// Maximum number of times that consecutive failures or rejections double a backoff.
extern const int kMaxBackoffDoublings;
// Share of its latency objective for which a message waits for others to share its call.
extern const double kBatchingShare;

// A rate limit is reported by endpoints, listed, leased, or learned from rejections. Its state is
// in the RateLimitScope of each destination, or of each endpoint whose kind has its own limits.
class RateLimiter {
 public:
  RateLimiter(DecisionContext& context, EndpointRegistry& registry)
      : settings_(context.settings), now_(context.now), context_(context), registry_(registry) {}

  // Applies a lease on a share of a limit that all dispatchers have in common, or its end.
  void ApplyQuotaLease(const QuotaLeased& event);

  // Applies the limit that an endpoint reports. A reported limit is for all dispatchers together,
  // so a single dispatcher never exceeds it.
  void ApplyLoadReport(RateLimitScope& scope, const LoadReport& report);

  // Accounts for a call or health check to the endpoint: the next one waits for the rate limit.
  void RecordCall(Endpoint& endpoint);

  // Records that a call was accepted. A learned rate grows, unless little of the reported limit
  // remains.
  void OnCallAccepted(RateLimitScope& scope);

  // Records that a call was rejected. The next call waits for the Retry-After, then for a pause
  // that doubles with each consecutive rejection, up to `trial_interval`. Without a Retry-After the
  // pause depends on this instance's own demand: an overloaded destination rejects calls too, and
  // many instances that retry soon would prevent its recovery. This costs throughput at limits that
  // have room again immediately.
  //
  // A call that was sent before the last rejection gives no new information and is ignored.
  // Rejections at almost the same time have one cause, and lower the rate only once. An endpoint
  // that is warming up rejects calls below its limit, so no rate is learned then: it would stay too
  // low.
  void OnCallRejected(Endpoint& endpoint, const Call& call, Duration retry_after,
                      Duration trial_interval);

  // Sets the rate after a rejection for an instance that calls rarely. Its own calls give too
  // little information too late, so it uses its even share of the limit, and halves this with each
  // further rejection. `local_share` is the result of LocalShareOfLimit.
  void LimitRareCaller(RateLimitScope& scope, double local_share);

  // Returns this instance's share of all calls to the endpoint's destination, in calls per second:
  // its own demand or an even share of the limit, whichever is higher. The result scales with this
  // instance's share of the traffic; a constant rate per instance would overload the endpoint when
  // many instances recover at once.
  double LocalShareOfLimit(Endpoint& endpoint);

  // Returns whether so many dispatchers share the destinations that the calls of this one are a
  // small part of all calls.
  [[nodiscard]] bool GroupIsLarge() const;

  // Returns whether calls at the rate `local_share` are too few to learn a rate limit from.
  [[nodiscard]] bool CallsRarely(double local_share) const;

 private:
  // Sets the rate after a rejection: somewhat below the rate of accepted calls. `local_share` is
  // the result of LocalShareOfLimit.
  void LimitToAcceptedRate(RateLimitScope& scope, double local_share);

  // Returns the part of its even share of the limit that an instance that calls rarely uses, in
  // calls per second.
  [[nodiscard]] double UsableEvenShare(const RateLimitScope& scope) const;

  const Settings& settings_;
  const Time& now_;
  DecisionContext& context_;
  EndpointRegistry& registry_;
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_RATE_LIMITER_HPP_
