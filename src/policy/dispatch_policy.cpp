#include "dispatch_policy/dispatch_policy.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <utility>

#include "policy/admission_gate.hpp"
#include "policy/circuit_breaker.hpp"
#include "policy/concurrency_limiter.hpp"
#include "policy/decision_context.hpp"
#include "policy/endpoint_registry.hpp"
#include "policy/message_ledger.hpp"
#include "policy/policy_state.hpp"
#include "policy/rate_limiter.hpp"
#include "policy/retry_scheduler.hpp"

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

class DispatchPolicy::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : context_(std::move(settings), seed) {}

  std::vector<Action> Decide(Time now, std::span<const Event> events) {
    context_.Begin(now);
    registry_.Subscribe();
    for (const Event& event : events) {
      std::visit([this](const auto& e) { On(e); }, event);
    }
    retry_scheduler_.ReviewMessages();
    Dispatch();
    admission_gate_.UpdateGates();
    retry_scheduler_.SetWakeUp();
    return std::move(context_.actions);
  }

 private:
  void On(const MessageArrived& event) { ledger_.AcceptMessage(event); }
  void On(const MessageRestored& event) { ledger_.RestoreMessage(event); }
  void On(const MessageCancelled& event) { ledger_.CancelMessage(event); }
  void On(const AttemptCompleted& event) { retry_scheduler_.CompleteAttempt(event); }
  void On(const HealthCheckCompleted& event) { breaker_.CompleteHealthCheck(event); }
  void On(const EndpointList& event) { registry_.ApplyList(event); }
  void On(const TimerFired&) { retry_scheduler_.ExpireTimer(); }
  void On(const QuotaLeased& event) { rate_limiter_.ApplyQuota(event); }
  void On(const PeerHealthReport& event) { breaker_.ApplyPeerReport(event); }

  // What the message loses by waiting for another aim's half, and a little for what it is worth.
  [[nodiscard]] double Urgency(const Message& m) {
    const ClassSettings& c = ledger_.ClassOf(m);
    const Duration age = now_ - m.first_handed_in;
    const double value = WorthAt(c, age, settings_.decay);
    const double later = m.deadline - now_ <= c.latency_objective / 2
                             ? 0
                             : WorthAt(c, age + c.latency_objective / 2, settings_.decay);
    return c.priority_weight * (value - later + kFloorUrgency * value);
  }

  [[nodiscard]] bool Sendable(const Message& m, const Endpoint& e) {
    if (m.not_before > now_ || !ledger_.KeyFree(m) || ledger_.WindowClosed(m)) return false;
    if (m.may_have_run && ledger_.ClassOf(m).effect == Effect::kIdempotentWithKey &&
        ledger_.ClassOf(m).dedup_scope == DedupScope::kZone && m.ran_in != e.entry.zone) {
      return false;
    }
    return e.health != Health::kOpen || MayTry(m, e);
  }

  // A trial call that is a message saves a probe. Where no connection came up the next one will not
  // either or will be answered, so one of many risks a message that may be repeated there. Of a
  // few, whose trials come often, a message would spend all its attempts on them.
  [[nodiscard]] bool MayTry(const Message& m, const Endpoint& e) {
    const Effect effect = ledger_.ClassOf(m).effect;
    return effect == Effect::kIdempotent || !settings_.health_checks_allowed ||
           (effect == Effect::kIdempotentWithKey && e.closed && rate_limiter_.ManyShare());
  }

  bool CanCall(Endpoint& e) {
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

  // Its latency with our calls there, dearer the more of the class's calls failed. Guards against
  // one class that fails at one endpoint: its messages go to the others, and the rest stay.
  [[nodiscard]] double CostOf(const Endpoint& e, std::size_t message_class) {
    const double latency = e.latency > 0 ? e.latency : ToSeconds(context_.shortest_aim) / 10;
    const double failure =
        message_class < e.class_failure.size() ? e.class_failure[message_class] : e.failure;
    const double sick = e.health == Health::kClosed ? failure : 1 + failure;
    return latency * (1 + e.calls_out) * (1 + kSickCost * sick) * (1 + kTollWeight * TollOf(e));
  }

  // What the route's zone costs for each message it takes on; other endpoints cost nothing.
  [[nodiscard]] double TollOf(const Endpoint& e) {
    return registry_.Apart(e) && e.entry.zone < settings_.zone_penalty.size()
               ? settings_.zone_penalty[e.entry.zone]
               : 0;
  }

  Endpoint* BestEndpoint(Destination& d, std::size_t message_class) {
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

  // The most urgent message that some endpoint of the destination can take; for the call to
  // `joined` if given, which a brief message began.
  Candidate BestMessage(Destination& d, Endpoint* joined = nullptr, bool brief = false) {
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

  // Its time is up before an answer comes there in the mean. It goes with its like: a call is over
  // at the time of the first of its messages. Guards against one that takes all others back with
  // it.
  [[nodiscard]] bool Brief(const Message& m, const Endpoint& e) {
    return registry_.BatchOf(e) > 1 && ToSeconds(m.deadline - now_) < e.latency;
  }

  // Where calls take several messages and each call counts, a message waits a part of its aim for
  // others to share its call; that costs nothing. Guards against limits spent on calls of one.
  [[nodiscard]] bool Gathered(const Destination& d, const Message& m, const Endpoint& e) {
    return admission_gate_.HalfFull() || registry_.BatchOf(e) <= d.waiting.size() ||
           now_ >= ledger_.GatheredAt(m);
  }

  void Dispatch() {
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

  void SendCall(Endpoint& e, Message& first) {
    Destination& d = registry_.DestinationAt(e.entry.destination);
    Call& call = concurrency_limiter_.BeginCall(e, d, first.message_class);
    const bool brief = Brief(first, e);
    for (Message* m = &first; m != nullptr; m = BestMessage(d, &e, brief).message) {
      ++call.out;
      ++m->out;
      d.sends.Add(now_);
      std::erase(d.waiting, m->id);
      m->attempts.push_back({e.entry.endpoint, now_, call.id, true, false});
      context_.actions.push_back(SendAttempt{
          m->id, e.entry.endpoint, retry_scheduler_.TimeoutOf(*m, e), ledger_.StartBy(*m)});
      if (call.out == registry_.BatchOf(e)) break;
    }
    breaker_.Paced(e);
  }

  // A probe is the trial call where no held message may be risked.
  void SendProbes() {
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

  DecisionContext context_;
  const Settings& settings_ = context_.settings;
  const Time& now_ = context_.now;
  EndpointRegistry registry_{context_};
  RateLimiter rate_limiter_{context_, registry_};
  ConcurrencyLimiter concurrency_limiter_{context_, registry_};
  AdmissionGate admission_gate_{context_, registry_};
  MessageLedger ledger_{context_, registry_, admission_gate_};
  CircuitBreaker breaker_{context_, registry_, rate_limiter_, concurrency_limiter_};
  RetryScheduler retry_scheduler_{context_, registry_, concurrency_limiter_, ledger_, breaker_};
};

DispatchPolicy::DispatchPolicy(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
DispatchPolicy::~DispatchPolicy() = default;
DispatchPolicy::DispatchPolicy(DispatchPolicy&&) noexcept = default;
DispatchPolicy& DispatchPolicy::operator=(DispatchPolicy&&) noexcept = default;

std::vector<Action> DispatchPolicy::Decide(Time now, std::span<const Event> events) {
  return impl_->Decide(now, events);
}

}  // namespace dispatch_policy
