// The settings of the dispatch policy: message classes, kinds of endpoints, limits and costs. All
// are plain values, copied into the policy.
#ifndef DISPATCH_POLICY_SETTINGS_HPP_
#define DISPATCH_POLICY_SETTINGS_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace dispatch_policy {

using Duration = std::chrono::nanoseconds;
// A point in time, in nanoseconds since the caller's epoch; never below 0.
using Time = std::chrono::nanoseconds;

// The caller chooses ids and never reuses one for another message, endpoint or destination.
using MessageId = std::uint64_t;
using EndpointId = std::uint64_t;
using DestinationId = std::uint64_t;

// The effect of delivering a message a second time.
enum class Effect {
  kIdempotent,         // harmless
  kIdempotentWithKey,  // dropped by the receiver while it remembers the idempotency key
  kNotIdempotent       // the message takes effect twice
};

// Which endpoints drop a second delivery with the same idempotency key: all endpoints of the
// destination, or only those in the zone of the first delivery.
enum class DedupScope { kDestination, kZone };

// How the priority weight of a message decreases after its latency objective has passed.
enum class Decay { kLinear, kHalving };

// What the weight of an entry in the endpoint list means.
enum class WeightMeaning {
  kNone,            // nothing
  kRate,            // calls per second that the endpoint takes
  kApproximateRate  // the same, but only approximate
};

// A class of messages. Its position in Settings::classes is its index in events.
struct ClassSettings {
  // A message that is delivered within this time counts with its full weight.
  Duration latency_objective{};
  // Time from the first submission after which the message is given up.
  Duration deadline{};
  Effect effect = Effect::kNotIdempotent;
  DedupScope dedup_scope = DedupScope::kDestination;
  // How long receivers remember idempotency keys, from the send time of the first attempt that may
  // have run.
  Duration dedup_window{};
  double priority_weight = 1;
  // Share of the weight that remains at the deadline.
  double late_weight_share = 0;
  // Messages with the same ordering key are sent one at a time, in order of acceptance.
  bool ordered = false;
};

// A kind of endpoint. Its position in Settings::kinds is its index in endpoint lists.
struct KindSettings {
  // Maximum number of messages in one call.
  std::size_t max_batch = 1;
  // Rate limits and outages apply to each endpoint separately; if false, to the whole destination.
  bool per_endpoint_limits = false;
};

// A tenant. Its position in Settings::tenants is its index in events.
struct TenantSettings {
  // Messages per second over all dispatchers; 0: unlimited.
  double quota_per_second = 0;
};

// All settings of one policy. The defaults set no limits.
struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;

  // Indexed by zone: cost of sending a message to an endpoint with its own limits in that zone, as
  // a share of the result, 0 to 1. Zones beyond the list cost nothing.
  std::vector<double> zone_penalty;
  Decay decay = Decay::kLinear;
  WeightMeaning weights = WeightMeaning::kNone;
  // Weight of a message above its tenant's quota, as a fraction of the weight of its class.
  double over_quota_weight_share = 1;

  // ---- limits; 0: none ----
  // Maximum number of calls in flight.
  std::size_t max_concurrent_calls = 0;
  // Maximum number of messages that were accepted and have not ended, sent or not.
  std::size_t max_in_flight = 0;
  // Maximum number of attempts of one message, including those of earlier processes.
  std::size_t max_attempts = 0;
  // Longest Retry-After that clients honor.
  Duration max_retry_after{};

  // ---- capabilities of the caller ----
  bool health_checks_allowed = false;  // supports StartHealthCheck
  bool cancel_allowed = false;         // supports CancelAttempt
  // Clients receive the Retry-After of a rejection and wait accordingly.
  bool clients_honor_retry_after = false;
  // The caller reports changes of the endpoint list only after SubscribeToEndpointList.
  bool subscribe_to_endpoint_list = false;
  // Minimum time between two calls of Decide.
  Duration decision_interval{};

  // ---- destinations that recover from an outage ----
  // Capacity at the start of the recovery, as a share of the full capacity. It grows to the full
  // capacity within slow_start_duration.
  double slow_start_share = 1;
  Duration slow_start_duration{};
  // Load, as a multiple of the current capacity, that makes a destination that is warming up
  // collapse if it lasts for collapse_window.
  double collapse_load_multiple = 1;
  Duration collapse_window{};

  // How long an ordering key pauses after an attempt that may still be running.
  Duration ordering_cooldown{};
  // Number of dispatchers that share the destinations, including this one.
  std::size_t group_size = 1;
};

// Retry-After of a message that is rejected because max_in_flight is reached.
inline constexpr Duration kRetryAfterWhenFull = std::chrono::seconds(1);

}  // namespace dispatch_policy

#endif  // DISPATCH_POLICY_SETTINGS_HPP_
