// The settings of the dispatch policy: message classes, kinds of endpoints, limits and costs. Plain
// values, copied into the policy.
#ifndef DISPATCH_POLICY_SETTINGS_HPP_
#define DISPATCH_POLICY_SETTINGS_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace dispatch_policy {

using Duration = std::chrono::nanoseconds;
// A moment, as nanoseconds since the caller's epoch; never below 0.
using Time = std::chrono::nanoseconds;

// Ids are chosen by the caller and never used again for another thing.
using MessageId = std::uint64_t;
using EndpointId = std::uint64_t;
using DestinationId = std::uint64_t;

// What a second delivery of a message does.
enum class Effect {
  kIdempotent,         // no harm
  kIdempotentWithKey,  // dropped by the receiver while it remembers the idempotency key
  kNotIdempotent       // takes effect twice
};

// Which endpoints drop a second delivery of an idempotency key: all of the destination, or those in
// the zone of the first delivery.
enum class DedupScope { kDestination, kZone };

// How the weight of a message falls once its latency objective has passed.
enum class Decay { kLinear, kHalving };

// What the weight of an entry in the endpoint list means.
enum class WeightMeaning {
  kNone,            // nothing
  kRate,            // calls a second that it takes
  kApproximateRate  // the same, roughly
};

// A class of messages. Its position in Settings::classes is its index in events.
struct ClassSettings {
  // A message that is delivered within this time earns its full weight.
  Duration latency_objective{};
  // Time from the first submission until the message is over.
  Duration deadline{};
  Effect effect = Effect::kNotIdempotent;
  DedupScope dedup_scope = DedupScope::kDestination;
  // How long idempotency keys are remembered, from the send of the first attempt that may have run.
  Duration dedup_window{};
  double priority_weight = 1;
  // Share of the weight that is left at the deadline.
  double late_weight_share = 0;
  // Messages with one key go one at a time, in order of acceptance.
  bool ordered = false;
};

// A kind of endpoint. Its position in Settings::kinds is its index in endpoint lists.
struct KindSettings {
  // Messages in one call, at most.
  std::size_t max_batch = 1;
  // Each endpoint has a rate limit and outages of its own; else its destination has.
  bool per_endpoint_limits = false;
};

// A tenant. Its position in Settings::tenants is its index in events.
struct TenantSettings {
  // Messages a second over all dispatchers; 0: unlimited.
  double quota_per_second = 0;
};

// All settings of one policy. The defaults are those of a dispatcher that is limited in nothing.
struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;

  // By zone: what a message costs that an endpoint with limits of its own takes on there, as a
  // share of the result. Zones beyond the list cost nothing.
  std::vector<double> zone_penalty;
  Decay decay = Decay::kLinear;
  WeightMeaning weights = WeightMeaning::kNone;
  // Weight of a message above its tenant's quota, as a fraction of the class's.
  double over_quota_weight_share = 1;

  // ---- limits; 0: none ----
  // Calls in flight at once.
  std::size_t max_concurrent_calls = 0;
  // Messages that are accepted and not over, sent or not.
  std::size_t max_in_flight = 0;
  // Attempts of one message, those of earlier processes included.
  std::size_t max_attempts = 0;
  // The longest Retry-After that a client honours.
  Duration max_retry_after{};

  // ---- what the caller can do ----
  bool health_checks_allowed = false;  // StartHealthCheck
  bool cancel_allowed = false;         // CancelAttempt
  // Clients get the Retry-After of a rejection, and wait for it.
  bool clients_honor_retry_after = false;
  // Changes of the endpoint list come only after SubscribeToEndpointList.
  bool subscribe_to_endpoint_list = false;
  // Least time between two calls of Decide.
  Duration decision_interval{};

  // ---- destinations that come back from an outage ----
  // Capacity at the return, as a share of the full one; it grows to all of it within the duration.
  double slow_start_share = 1;
  Duration slow_start_duration{};
  // Load, in present capacities, that makes a warming destination collapse if it is kept up for the
  // window.
  double collapse_load_multiple = 1;
  Duration collapse_window{};

  // Pause of an ordering key after an attempt that may still be running.
  Duration ordering_cooldown{};
  // Dispatchers that share the destinations, this one among them.
  std::size_t group_size = 1;
};

// Retry-After of a message that is rejected because max_in_flight is reached.
inline constexpr Duration kRetryAfterWhenFull = std::chrono::seconds(1);

}  // namespace dispatch_policy

#endif  // DISPATCH_POLICY_SETTINGS_HPP_
