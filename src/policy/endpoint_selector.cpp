#include "policy/endpoint_selector.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dispatch_policy {

constexpr double kFailureCost = 20;  // as a multiple of the latency, if all calls fail
// Share of the weight that counts as urgency even if a message loses nothing by waiting.
constexpr double kMinUrgency = 0.02;
constexpr double kZonePenaltyWeight = 10;  // factor of the penalty, relative to the latency

// Returns the share of its weight that a message of this age still has.
static double WeightShareAt(const ClassSettings& settings, Duration age, Decay decay) {
  const Duration objective = settings.latency_objective;
  if (age <= objective || objective <= Duration{}) return 1;
  const double floor = settings.late_weight_share;
  const double late = ToSeconds(age - objective);
  if (decay == Decay::kHalving) return std::max(floor, std::exp2(-late / ToSeconds(objective)));
  const double span = std::max(1e-3, ToSeconds(settings.deadline - objective));
  return std::max(floor, 1 - (1 - floor) * late / span);
}

void EndpointSelector::Dispatch() {
  while (concurrency_.FreeSlots() > 0) {
    Candidate best;
    for (DestinationId id : registry_.active()) {
      Destination& destination = registry_.DestinationAt(id);
      if (destination.waiting.empty()) continue;
      if (!concurrency_.WithinDestinationShare(destination)) continue;
      const Candidate candidate = BestMessage(destination);
      if (candidate.urgency > best.urgency) best = candidate;
    }
    if (best.message == nullptr) break;
    SendCall(*best.endpoint, *best.message);
  }
  if (settings_.health_checks_allowed) SendHealthChecks();
}

void EndpointSelector::SendCall(Endpoint& endpoint, Message& first) {
  const EndpointId id = endpoint.entry.endpoint;
  Destination& destination = registry_.DestinationAt(endpoint.entry.destination);
  Call& call = concurrency_.BeginCall(endpoint, destination, first.message_class);
  const bool expiring = ExpiresBeforeAnswer(first, endpoint);
  Message* message = &first;
  while (message != nullptr) {
    ++call.messages_in_flight;
    ++message->attempts_in_flight;
    destination.sends.Add(now_);
    std::erase(destination.waiting, message->id);
    message->attempts.push_back({id, now_, call.id, true, false});
    const Duration timeout = retries_.AttemptTimeout(*message, endpoint);
    context_.AddAction(SendAttempt{message->id, id, timeout, ledger_.LatestStart(*message)});
    if (call.messages_in_flight == registry_.MaxBatch(endpoint)) break;
    message = BestMessage(destination, &endpoint, expiring).message;
  }
  breaker_.RecordCall(endpoint);
}

void EndpointSelector::SendHealthChecks() {
  for (DestinationId id : registry_.active()) {
    Destination& destination = registry_.DestinationAt(id);
    if (destination.waiting.empty()) continue;
    Endpoint* endpoint = BestEndpoint(destination, SIZE_MAX);
    if (endpoint == nullptr || endpoint->health != Health::kOpen) continue;
    const auto may_be_trial = [&](MessageId message) {
      return MayBeTrialCall(ledger_.MessageAt(message), *endpoint);
    };
    if (std::any_of(destination.waiting.begin(), destination.waiting.end(), may_be_trial)) continue;
    endpoint->health_check_in_flight = true;
    breaker_.RecordCall(*endpoint);
    context_.AddAction(StartHealthCheck{endpoint->entry.endpoint});
  }
}

Candidate EndpointSelector::BestMessage(Destination& destination, Endpoint* joined, bool expiring) {
  Candidate best;
  std::vector<std::optional<Endpoint*>> by_class(settings_.classes.size());
  for (MessageId id : destination.waiting) {
    Message& message = ledger_.MessageAt(id);
    std::optional<Endpoint*>& endpoint = by_class[message.message_class];
    if (!endpoint) endpoint = joined ? joined : BestEndpoint(destination, message.message_class);
    if (*endpoint == nullptr || !CanSend(message, **endpoint)) continue;
    const bool fits = joined == nullptr ? BatchIsReady(destination, message, **endpoint)
                                        : ExpiresBeforeAnswer(message, **endpoint) == expiring;
    const double urgency = fits ? Urgency(message) : best.urgency;
    if (urgency > best.urgency) best = {&message, *endpoint, urgency};
  }
  return best;
}

Endpoint* EndpointSelector::BestEndpoint(Destination& destination, std::size_t message_class) {
  Endpoint* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (EndpointId id : destination.endpoints) {
    Endpoint& endpoint = registry_.EndpointAt(id);
    if (!CanCall(endpoint)) continue;
    const double cost = ExpectedCost(endpoint, message_class);
    if (cost < best_cost) {
      best = &endpoint;
      best_cost = cost;
    }
  }
  return best;
}

bool EndpointSelector::CanCall(Endpoint& endpoint) {
  const RateLimitScope& scope = registry_.FindScope(endpoint);
  const Duration since = now_ - endpoint.health_since;
  if (endpoint.health == Health::kRecovering && since > settings_.slow_start_duration) {
    breaker_.TransitionTo(endpoint, Health::kClosed);
  }
  if (endpoint.entry.state != EndpointState::kListed) return false;
  if (!breaker_.HasConnectionCapacity(endpoint)) return false;
  if (std::max(scope.wait_until, scope.next_call) > now_) return false;
  if (endpoint.failures > 0 && endpoint.calls_not_overdue > 0) return false;
  if (!concurrency_.WithinUnhealthyShare(endpoint)) return false;
  return endpoint.health == Health::kClosed ||
         (scope.next_trial <= now_ && !endpoint.health_check_in_flight);
}

bool EndpointSelector::CanSend(const Message& message, const Endpoint& endpoint) const {
  if (message.not_before > now_ || !ledger_.IsNextOfKey(message)) return false;
  if (ledger_.DedupWindowExpired(message)) return false;
  const ClassSettings& settings = ledger_.ClassOf(message);
  const bool bound_to_zone = message.may_have_run && settings.dedup_scope == DedupScope::kZone &&
                             settings.effect == Effect::kIdempotentWithKey;
  if (bound_to_zone && message.ran_in_zone != endpoint.entry.zone) return false;
  return endpoint.health != Health::kOpen || MayBeTrialCall(message, endpoint);
}

bool EndpointSelector::MayBeTrialCall(const Message& message, const Endpoint& endpoint) const {
  const Effect effect = ledger_.ClassOf(message).effect;
  if (effect == Effect::kIdempotent || !settings_.health_checks_allowed) return true;
  return effect == Effect::kIdempotentWithKey && endpoint.connect_failed &&
         rate_limiter_.GroupIsLarge();
}

double EndpointSelector::ExpectedCost(const Endpoint& endpoint, std::size_t message_class) const {
  const double default_latency = ToSeconds(context_.min_objective) / 10;
  const double latency = endpoint.latency > 0 ? endpoint.latency : default_latency;
  const std::vector<double>& by_class = endpoint.class_failures;
  const bool class_is_known = message_class < by_class.size();
  const double failure = class_is_known ? by_class[message_class] : endpoint.failure_share;
  const double unhealthy = endpoint.health == Health::kClosed ? failure : 1 + failure;
  return latency * (1 + endpoint.calls_in_flight) * (1 + kFailureCost * unhealthy) *
         (1 + kZonePenaltyWeight * ZonePenalty(endpoint));
}

double EndpointSelector::ZonePenalty(const Endpoint& endpoint) const {
  if (!registry_.HasOwnRateLimit(endpoint)) return 0;
  const std::size_t zone = endpoint.entry.zone;
  return zone < settings_.zone_penalty.size() ? settings_.zone_penalty[zone] : 0;
}

double EndpointSelector::Urgency(const Message& message) const {
  const ClassSettings& settings = ledger_.ClassOf(message);
  const Duration wait = settings.latency_objective / 2;
  const Duration age = now_ - message.first_submitted;
  const double share_now = WeightShareAt(settings, age, settings_.decay);
  const bool too_late = message.deadline - now_ <= wait;
  const double share_later = too_late ? 0 : WeightShareAt(settings, age + wait, settings_.decay);
  return settings.priority_weight * (share_now - share_later + kMinUrgency * share_now);
}

bool EndpointSelector::ExpiresBeforeAnswer(const Message& message, const Endpoint& endpoint) const {
  return registry_.MaxBatch(endpoint) > 1 && ToSeconds(message.deadline - now_) < endpoint.latency;
}

bool EndpointSelector::BatchIsReady(const Destination& destination, const Message& message,
                                    const Endpoint& endpoint) const {
  const bool full = registry_.MaxBatch(endpoint) <= destination.waiting.size();
  return full || gate_.HalfOfCapacityUsed() || now_ >= ledger_.BatchingDeadline(message);
}

}  // namespace dispatch_policy
