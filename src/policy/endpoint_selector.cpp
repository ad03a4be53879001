#include "policy/endpoint_selector.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dispatch_policy {
namespace {

constexpr double kFailureCost = 20;   // times the usual, where all calls fail or it is not warm
constexpr double kMinUrgency = 0.02;  // worth of sending what loses nothing by waiting
constexpr double kZonePenaltyWeight = 10;  // of a route's toll, in points, against its latency

// What is left, as a share, of a message's worth at this age.
double WeightShareAt(const ClassSettings& settings, Duration age, Decay decay) {
  if (age <= settings.latency_objective || settings.latency_objective <= Duration{}) return 1;
  if (decay == Decay::kHalving) {
    return std::max(settings.late_weight_share,
                    std::exp2(-ToSeconds(age - settings.latency_objective) /
                              ToSeconds(settings.latency_objective)));
  }
  const double span = std::max(1e-3, ToSeconds(settings.deadline - settings.latency_objective));
  return std::max(
      settings.late_weight_share,
      1 - (1 - settings.late_weight_share) * ToSeconds(age - settings.latency_objective) / span);
}

}  // namespace

void EndpointSelector::Dispatch() {
  while (concurrency_.FreeSlots() > 0) {
    Candidate best;
    for (DestinationId id : registry_.active()) {
      Destination& destination = registry_.DestinationAt(id);
      if (destination.waiting.empty() || !concurrency_.WithinDestinationShare(destination))
        continue;
      const Candidate candidate = BestMessage(destination);
      if (candidate.urgency > best.urgency) best = candidate;
    }
    if (best.message == nullptr) break;
    SendCall(*best.endpoint, *best.message);
  }
  SendHealthChecks();
}

void EndpointSelector::SendCall(Endpoint& endpoint, Message& first) {
  Destination& destination = registry_.DestinationAt(endpoint.entry.destination);
  Call& call = concurrency_.BeginCall(endpoint, destination, first.message_class);
  const bool expiring = ExpiresBeforeAnswer(first, endpoint);
  for (Message* message = &first; message != nullptr;
       message = BestMessage(destination, &endpoint, expiring).message) {
    ++call.messages_in_flight;
    ++message->attempts_in_flight;
    destination.sends.Add(now_);
    std::erase(destination.waiting, message->id);
    message->attempts.push_back({endpoint.entry.endpoint, now_, call.id, true, false});
    context_.actions.push_back(SendAttempt{message->id, endpoint.entry.endpoint,
                                           retries_.AttemptTimeout(*message, endpoint),
                                           ledger_.LatestStart(*message)});
    if (call.messages_in_flight == registry_.MaxBatch(endpoint)) break;
  }
  breaker_.RecordCall(endpoint);
}

void EndpointSelector::SendHealthChecks() {
  if (!settings_.health_checks_allowed) return;
  for (DestinationId id : registry_.active()) {
    Destination& destination = registry_.DestinationAt(id);
    if (destination.waiting.empty()) continue;
    Endpoint* endpoint = BestEndpoint(destination, SIZE_MAX);
    if (endpoint == nullptr || endpoint->health != Health::kOpen) continue;
    const auto may_be_trial = [&](MessageId message_id) {
      return MayBeTrialCall(ledger_.MessageAt(message_id), *endpoint);
    };
    if (std::any_of(destination.waiting.begin(), destination.waiting.end(), may_be_trial)) continue;
    endpoint->health_check_in_flight = true;
    breaker_.RecordCall(*endpoint);
    context_.actions.emplace_back(StartHealthCheck{endpoint->entry.endpoint});
  }
}

Candidate EndpointSelector::BestMessage(Destination& destination, Endpoint* joined, bool expiring) {
  Candidate best;
  std::vector<std::optional<Endpoint*>> where(settings_.classes.size());
  for (MessageId id : destination.waiting) {
    Message& message = ledger_.MessageAt(id);
    std::optional<Endpoint*>& endpoint = where[message.message_class];
    if (!endpoint)
      endpoint = joined != nullptr ? joined : BestEndpoint(destination, message.message_class);
    if (*endpoint == nullptr || !CanSend(message, **endpoint)) continue;
    if (joined == nullptr ? !BatchIsReady(destination, message, **endpoint)
                          : ExpiresBeforeAnswer(message, **endpoint) != expiring)
      continue;
    const double urgency = Urgency(message);
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
  RateLimitScope& scope = registry_.FindScope(endpoint);
  if (endpoint.health == Health::kRecovering &&
      now_ - endpoint.health_since > settings_.slow_start_duration) {
    breaker_.TransitionTo(endpoint, Health::kClosed);
  }
  if (endpoint.entry.state != EndpointState::kListed || !breaker_.HasConnectionCapacity(endpoint))
    return false;
  if (std::max(scope.wait_until, scope.next_call) > now_) return false;
  if ((endpoint.failures_in_row > 0 && endpoint.calls_not_overdue > 0) ||
      !concurrency_.WithinUnhealthyShare(endpoint))
    return false;
  return endpoint.health == Health::kClosed ||
         (scope.next_trial <= now_ && !endpoint.health_check_in_flight);
}

bool EndpointSelector::CanSend(const Message& message, const Endpoint& endpoint) const {
  if (message.not_before > now_ || !ledger_.IsNextOfKey(message) ||
      ledger_.DedupWindowExpired(message))
    return false;
  if (message.may_have_run && ledger_.ClassOf(message).effect == Effect::kIdempotentWithKey &&
      ledger_.ClassOf(message).dedup_scope == DedupScope::kZone &&
      message.ran_in_zone != endpoint.entry.zone) {
    return false;
  }
  return endpoint.health != Health::kOpen || MayBeTrialCall(message, endpoint);
}

bool EndpointSelector::MayBeTrialCall(const Message& message, const Endpoint& endpoint) const {
  const Effect effect = ledger_.ClassOf(message).effect;
  return effect == Effect::kIdempotent || !settings_.health_checks_allowed ||
         (effect == Effect::kIdempotentWithKey && endpoint.last_connect_failed &&
          rate_limiter_.GroupIsLarge());
}

double EndpointSelector::ExpectedCost(const Endpoint& endpoint, std::size_t message_class) const {
  const double latency = endpoint.mean_latency > 0 ? endpoint.mean_latency
                                                   : ToSeconds(context_.min_latency_objective) / 10;
  const double failure = message_class < endpoint.class_failure_shares.size()
                             ? endpoint.class_failure_shares[message_class]
                             : endpoint.failure_share;
  const double endpoint_unhealthy = endpoint.health == Health::kClosed ? failure : 1 + failure;
  return latency * (1 + endpoint.calls_in_flight) * (1 + kFailureCost * endpoint_unhealthy) *
         (1 + kZonePenaltyWeight * ZonePenalty(endpoint));
}

double EndpointSelector::ZonePenalty(const Endpoint& endpoint) const {
  return registry_.HasOwnRateLimit(endpoint) && endpoint.entry.zone < settings_.zone_penalty.size()
             ? settings_.zone_penalty[endpoint.entry.zone]
             : 0;
}

double EndpointSelector::Urgency(const Message& message) const {
  const ClassSettings& settings = ledger_.ClassOf(message);
  const Duration age = now_ - message.first_submitted;
  const double value = WeightShareAt(settings, age, settings_.decay);
  const double later =
      message.deadline - now_ <= settings.latency_objective / 2
          ? 0
          : WeightShareAt(settings, age + settings.latency_objective / 2, settings_.decay);
  return settings.priority_weight * (value - later + kMinUrgency * value);
}

bool EndpointSelector::ExpiresBeforeAnswer(const Message& message, const Endpoint& endpoint) const {
  return registry_.MaxBatch(endpoint) > 1 &&
         ToSeconds(message.deadline - now_) < endpoint.mean_latency;
}

bool EndpointSelector::BatchIsReady(const Destination& destination, const Message& message,
                                    const Endpoint& endpoint) const {
  return gate_.HalfOfCapacityUsed() || registry_.MaxBatch(endpoint) <= destination.waiting.size() ||
         now_ >= ledger_.BatchingDeadline(message);
}

}  // namespace dispatch_policy
