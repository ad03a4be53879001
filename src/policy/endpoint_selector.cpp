#include "policy/endpoint_selector.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dispatch_policy {
namespace {

constexpr double kSickCost = 20;        // times the usual, where all calls fail or it is not warm
constexpr double kFloorUrgency = 0.02;  // worth of sending what loses nothing by waiting
constexpr double kTollWeight = 10;      // of a route's toll, in points, against its latency

// What is left, as a share, of a message's worth at this age.
double WorthAt(const ClassSettings& c, Duration age, Decay decay) {
  if (age <= c.latency_objective || c.latency_objective <= Duration{}) return 1;
  if (decay == Decay::kHalving) {
    return std::max(c.late_weight_share, std::exp2(-ToSeconds(age - c.latency_objective) /
                                                   ToSeconds(c.latency_objective)));
  }
  const double span = std::max(1e-3, ToSeconds(c.deadline - c.latency_objective));
  return std::max(c.late_weight_share,
                  1 - (1 - c.late_weight_share) * ToSeconds(age - c.latency_objective) / span);
}

}  // namespace

void EndpointSelector::Dispatch() {
  while (concurrency_limiter_.FreeSlots() > 0) {
    Candidate best;
    for (DestinationId id : registry_.active_destinations()) {
      Destination& d = registry_.DestinationAt(id);
      if (d.waiting.empty() || !concurrency_limiter_.WithinSlotShare(d)) continue;
      const Candidate c = BestMessage(d);
      if (c.urgency > best.urgency) best = c;
    }
    if (best.message == nullptr) break;
    SendCall(*best.endpoint, *best.message);
  }
  SendProbes();
}

void EndpointSelector::SendCall(Endpoint& e, Message& first) {
  Destination& d = registry_.DestinationAt(e.entry.destination);
  Call& call = concurrency_limiter_.BeginCall(e, d, first.message_class);
  const bool brief = Brief(first, e);
  for (Message* m = &first; m != nullptr; m = BestMessage(d, &e, brief).message) {
    ++call.out;
    ++m->out;
    d.sends.Add(now_);
    std::erase(d.waiting, m->id);
    m->attempts.push_back({e.entry.endpoint, now_, call.id, true, false});
    context_.actions.push_back(SendAttempt{m->id, e.entry.endpoint,
                                           retry_scheduler_.TimeoutOf(*m, e), ledger_.StartBy(*m)});
    if (call.out == registry_.BatchOf(e)) break;
  }
  breaker_.Paced(e);
}

void EndpointSelector::SendProbes() {
  if (!settings_.health_checks_allowed) return;
  for (DestinationId id : registry_.active_destinations()) {
    Destination& d = registry_.DestinationAt(id);
    if (d.waiting.empty()) continue;
    Endpoint* e = BestEndpoint(d, SIZE_MAX);
    if (e == nullptr || e->health != Health::kOpen) continue;
    const auto may_try = [&](MessageId m) { return MayTry(ledger_.MessageAt(m), *e); };
    if (std::any_of(d.waiting.begin(), d.waiting.end(), may_try)) continue;
    e->probing = true;
    breaker_.Paced(*e);
    context_.actions.emplace_back(StartHealthCheck{e->entry.endpoint});
  }
}

Candidate EndpointSelector::BestMessage(Destination& d, Endpoint* joined, bool brief) {
  Candidate best;
  std::vector<std::optional<Endpoint*>> where(settings_.classes.size());
  for (MessageId id : d.waiting) {
    Message& m = ledger_.MessageAt(id);
    std::optional<Endpoint*>& e = where[m.message_class];
    if (!e) e = joined != nullptr ? joined : BestEndpoint(d, m.message_class);
    if (*e == nullptr || !Sendable(m, **e)) continue;
    if (joined == nullptr ? !Gathered(d, m, **e) : Brief(m, **e) != brief) continue;
    const double urgency = Urgency(m);
    if (urgency > best.urgency) best = {&m, *e, urgency};
  }
  return best;
}

Endpoint* EndpointSelector::BestEndpoint(Destination& d, std::size_t message_class) {
  Endpoint* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (EndpointId id : d.endpoints) {
    Endpoint& e = registry_.EndpointAt(id);
    if (!CanCall(e)) continue;
    const double cost = CostOf(e, message_class);
    if (cost < best_cost) {
      best = &e;
      best_cost = cost;
    }
  }
  return best;
}

bool EndpointSelector::CanCall(Endpoint& e) {
  Lane& lane = registry_.LaneOf(e);
  if (e.health == Health::kRecovering && now_ - e.since > settings_.slow_start_duration) {
    breaker_.Turn(e, Health::kClosed);
  }
  if (e.entry.state != EndpointState::kListed || !breaker_.HasPlace(e)) return false;
  if (std::max(lane.wait_until, lane.next_call) > now_) return false;
  if ((e.fails_in_row > 0 && e.fresh_out > 0) || !concurrency_limiter_.WithinSickShare(e))
    return false;
  return e.health == Health::kClosed || (lane.next_trial <= now_ && !e.probing);
}

bool EndpointSelector::Sendable(const Message& m, const Endpoint& e) const {
  if (m.not_before > now_ || !ledger_.KeyFree(m) || ledger_.WindowClosed(m)) return false;
  if (m.may_have_run && ledger_.ClassOf(m).effect == Effect::kIdempotentWithKey &&
      ledger_.ClassOf(m).dedup_scope == DedupScope::kZone && m.ran_in != e.entry.zone) {
    return false;
  }
  return e.health != Health::kOpen || MayTry(m, e);
}

bool EndpointSelector::MayTry(const Message& m, const Endpoint& e) const {
  const Effect effect = ledger_.ClassOf(m).effect;
  return effect == Effect::kIdempotent || !settings_.health_checks_allowed ||
         (effect == Effect::kIdempotentWithKey && e.closed && rate_limiter_.ManyShare());
}

double EndpointSelector::CostOf(const Endpoint& e, std::size_t message_class) const {
  const double latency = e.latency > 0 ? e.latency : ToSeconds(context_.shortest_aim) / 10;
  const double failure =
      message_class < e.class_failure.size() ? e.class_failure[message_class] : e.failure;
  const double sick = e.health == Health::kClosed ? failure : 1 + failure;
  return latency * (1 + e.calls_out) * (1 + kSickCost * sick) * (1 + kTollWeight * TollOf(e));
}

double EndpointSelector::TollOf(const Endpoint& e) const {
  return registry_.Apart(e) && e.entry.zone < settings_.zone_penalty.size()
             ? settings_.zone_penalty[e.entry.zone]
             : 0;
}

double EndpointSelector::Urgency(const Message& m) const {
  const ClassSettings& c = ledger_.ClassOf(m);
  const Duration age = now_ - m.first_handed_in;
  const double value = WorthAt(c, age, settings_.decay);
  const double later = m.deadline - now_ <= c.latency_objective / 2
                           ? 0
                           : WorthAt(c, age + c.latency_objective / 2, settings_.decay);
  return c.priority_weight * (value - later + kFloorUrgency * value);
}

bool EndpointSelector::Brief(const Message& m, const Endpoint& e) const {
  return registry_.BatchOf(e) > 1 && ToSeconds(m.deadline - now_) < e.latency;
}

bool EndpointSelector::Gathered(const Destination& d, const Message& m, const Endpoint& e) const {
  return admission_gate_.HalfFull() || registry_.BatchOf(e) <= d.waiting.size() ||
         now_ >= ledger_.GatheredAt(m);
}

}  // namespace dispatch_policy
