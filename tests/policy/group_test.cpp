// Simulates a hundred dispatchers, each with its own policy, that send to one destination. The
// simulation runs in one process and in virtual time. The dispatchers share only the destination;
// the tests check sums over all dispatchers.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "dispatch_policy/dispatch_policy.hpp"

namespace dispatch_policy {
namespace {

using namespace std::chrono_literals;

double SecondsOf(Duration d) { return std::chrono::duration<double>(d).count(); }

Settings FleetSettings(std::size_t group, std::size_t batch) {
  Settings s;
  s.classes.push_back({.latency_objective = 2500ms,
                       .deadline = 12s,
                       .effect = Effect::kIdempotentWithKey,
                       .dedup_window = 5s,
                       .late_weight_share = 0.3});
  s.kinds.push_back({.max_batch = batch});
  s.max_concurrent_calls = 20;
  s.max_in_flight = 200;
  s.max_attempts = 12;
  s.health_checks_allowed = s.cancel_allowed = s.clients_honor_retry_after = true;
  s.max_retry_after = 2s;
  s.decision_interval = 5ms;
  s.slow_start_share = 0.31;
  s.slow_start_duration = 9s;
  s.collapse_load_multiple = 1.5;
  s.collapse_window = 2s;
  s.weights = WeightMeaning::kApproximateRate;
  s.group_size = group;
  return s;
}

// One destination with one endpoint. Calls above its limit are rejected, but also count towards the
// limit, up to one second of it. While it is down, connection attempts fail.
struct SimulatedDestination {
  double limit = 60;  // calls per second
  bool down = false;
  double used_calls = 0;
  Time last{};

  Outcome HandleCall(Time now) {
    if (down) return Outcome::kConnectFailed;
    used_calls = std::max(0.0, used_calls - limit * SecondsOf(now - last));
    last = now;
    const bool room = used_calls + 1 <= limit;
    used_calls = std::min(used_calls + 1, limit);
    return room ? Outcome::kDelivered : Outcome::kRejected;
  }
};

struct Counts {
  int arrived = 0, rejected = 0;                 // messages
  int delivered = 0, in_time = 0;                // messages
  int calls = 0, accepted = 0, above_limit = 0;  // calls
  int health_checks = 0;
};

class Fleet {
 public:
  static constexpr Duration kStep = 10ms, kLatency = 100ms;

  Fleet(std::size_t group, std::size_t batch, double messages_a_second)
      : rate(messages_a_second),
        settings(FleetSettings(group, batch)),
        dispatchers(group),
        random(11) {
    for (std::size_t i = 0; i < group; ++i) Start(i);
  }

  // Starts the dispatcher with a new policy, and restores the messages of its previous run.
  void Start(std::size_t i) {
    const auto messages = std::exchange(dispatchers[i].messages, {});
    dispatchers[i] = Dispatcher{};
    dispatchers[i].policy = std::make_unique<DispatchPolicy>(settings, ++seed);
    EndpointList list;
    list.entries.push_back({.endpoint = 1, .destination = 1, .weight = 60});
    list.form = ListForm::kComplete;
    dispatchers[i].inbox.emplace_back(list);
    for (const auto& [id, pending] : messages) {
      MessageRestored restored;
      restored.message = id;
      restored.destination = 1;
      restored.time_left = pending.first + 12s - now;
      restored.attempts_used = pending.second;
      dispatchers[i].inbox.emplace_back(restored);
      dispatchers[i].messages[id] = {pending.first, 0};
    }
  }

  // Stops the dispatcher. Its calls continue, but their ends are not reported. Its messages are
  // kept for its next start.
  void Stop(std::size_t i) {
    dispatchers[i].policy.reset();
    std::erase_if(completions, [&](const auto& end) { return end.second.first == i; });
  }

  // Runs the simulation for `time` and returns the counts of that time.
  Counts Advance(Duration time) {
    counts = {};
    for (const Time end = now + time; now < end; now += kStep) {
      Arrivals();
      for (; !completions.empty() && completions.begin()->first <= now;
           completions.erase(completions.begin())) {
        auto& [dispatcher, event] = completions.begin()->second;
        dispatchers[dispatcher].inbox.emplace_back(event);
      }
      for (std::size_t i = 0; i < dispatchers.size(); ++i) RunDecision(i);
    }
    return counts;
  }

  SimulatedDestination destination;
  double rate;                           // messages per second
  std::optional<double> reported_limit;  // limit in load reports, if it differs from the actual one

 private:
  struct Dispatcher {
    std::unique_ptr<DispatchPolicy> policy;
    std::vector<Event> inbox;
    Time wake = Time::max();
    std::map<MessageId, std::pair<Time, std::size_t>> messages;  // arrival time, attempts
  };

  void Arrivals() {
    std::poisson_distribution<int> count(rate * SecondsOf(kStep));
    for (int n = count(random); n > 0; --n) {
      std::size_t i = random() % dispatchers.size();
      while (!dispatchers[i].policy) i = random() % dispatchers.size();
      Dispatcher& dispatcher = dispatchers[i];
      dispatcher.messages[++message] = {now, 0};
      MessageArrived arrived;
      arrived.message = message;
      arrived.destination = 1;
      arrived.time_left = 12s;
      dispatcher.inbox.emplace_back(arrived);
      ++counts.arrived;
    }
  }

  void RunDecision(std::size_t i) {
    Dispatcher& dispatcher = dispatchers[i];
    if (!dispatcher.policy) return;
    if (dispatcher.wake <= now) dispatcher.inbox.emplace_back(TimerFired{});
    if (dispatcher.inbox.empty()) return;
    if (dispatcher.wake <= now) dispatcher.wake = Time::max();
    std::vector<Event> events;
    events.swap(dispatcher.inbox);
    std::vector<MessageId> call;
    for (const Action& action : dispatcher.policy->Decide(now, events)) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) {
        dispatcher.wake = std::min(dispatcher.wake, timer->at);
      } else if (const auto* reject = std::get_if<RejectMessage>(&action)) {
        counts.rejected += static_cast<int>(dispatcher.messages.erase(reject->message));
      } else if (const auto* fail = std::get_if<FailMessage>(&action)) {
        dispatcher.messages.erase(fail->message);
      } else if (std::holds_alternative<StartHealthCheck>(action)) {
        ++counts.health_checks;
        const Outcome outcome = CallOutcome();
        completions.emplace(now + kLatency, std::pair(i, HealthCheckCompleted{1, outcome, kLatency,
                                                                              Report(outcome)}));
      } else if (const auto* send = std::get_if<SendAttempt>(&action)) {
        call.push_back(send->message);
        if (call.size() == settings.kinds[0].max_batch) SendCall(i, std::exchange(call, {}));
      }
    }
    if (!call.empty()) SendCall(i, call);
  }

  Outcome CallOutcome() {
    const Outcome outcome = destination.HandleCall(now);
    counts.above_limit += outcome == Outcome::kRejected;
    return outcome;
  }

  LoadReport Report(Outcome outcome) const {
    if (outcome == Outcome::kConnectFailed) return {};
    return {1 - destination.used_calls / destination.limit,
            reported_limit.value_or(destination.limit)};
  }

  void SendCall(std::size_t i, const std::vector<MessageId>& call) {
    const Outcome outcome = CallOutcome();
    ++counts.calls;
    counts.accepted += outcome == Outcome::kDelivered;
    for (const MessageId id : call) {
      auto& [arrived, attempts] = dispatchers[i].messages.at(id);
      AttemptCompleted e;
      e.message = id;
      e.attempt = attempts++;
      e.endpoint = 1;
      e.outcome = outcome;
      e.elapsed = kLatency;
      e.report = Report(outcome);
      if (outcome == Outcome::kDelivered) {
        e.finished = true;
        ++counts.delivered;
        counts.in_time += now + kLatency - arrived <= 2500ms;
      }
      completions.emplace(now + kLatency, std::pair(i, e));
      if (e.finished) dispatchers[i].messages.erase(id);
    }
  }

  const Settings settings;
  std::vector<Dispatcher> dispatchers;
  std::mt19937_64 random;
  std::uint64_t seed = 0;
  Time now = 1h;
  MessageId message = 0;
  Counts counts;
  std::multimap<Time, std::pair<std::size_t, Event>> completions;
};

// ---- limits that change ----

TEST(Fleet, AHundredDispatchersAdaptToALoweredLimit) {
  Fleet fleet(100, 20, 150);
  const Counts before = fleet.Advance(6s);
  EXPECT_GT(before.delivered, before.arrived * 3 / 4);
  fleet.destination.limit = 15;
  const Counts lowered = fleet.Advance(9s);
  // Calls above the limit use the limit up. Unless the rates of all dispatchers add up to the
  // limit, hardly any call is accepted.
  EXPECT_GT(lowered.accepted, 15 * 9 / 2);
  EXPECT_LT(lowered.above_limit, 180);
  fleet.destination.limit = 60;
  const Counts after = fleet.Advance(8s);
  EXPECT_GT(after.delivered, after.arrived) << "the backlog is sent when the limit is raised again";
}

TEST(Fleet, AHundredDispatchersStayBelowALimitThatIsReportedTooHigh) {
  Fleet fleet(100, 20, 150);
  fleet.Advance(6s);
  fleet.destination.limit = 15;
  fleet.reported_limit = 40;
  const Counts lowered = fleet.Advance(12s);
  EXPECT_GT(lowered.accepted, 15 * 12 / 3);
  EXPECT_LT(lowered.above_limit, 350);
}

TEST(Fleet, AHundredDispatchersUseARaisedLimitAsSoonAsItIsReported) {
  Fleet fleet(100, 20, 150);
  fleet.destination.limit = 15;
  fleet.Advance(12s);
  fleet.destination.limit = 60;
  const Counts raised = fleet.Advance(4s);
  EXPECT_GT(raised.delivered, raised.arrived);
}

TEST(Fleet, ABurstAboveASmallLimitEndsSoon) {
  Fleet fleet(100, 1, 25);
  fleet.destination.limit = 28;
  fleet.Advance(8s);
  fleet.rate = 100;
  const Counts burst = fleet.Advance(3s);
  fleet.rate = 25;
  const Counts after = fleet.Advance(13s);
  EXPECT_LT(burst.above_limit + after.above_limit, 155);
  EXPECT_GT(burst.accepted + after.accepted, 28 * 16 * 8 / 10);
}

// ---- destinations that recover from an outage ----

// Capacity of a destination at time `back` after an outage. The full capacity is 1.15 times the
// limit; the share that is available grows from 0.31 to 1 within 9 s.
double CapacityAt(Duration back) {
  return 60 * 1.15 * (0.31 + 0.69 * std::min(1.0, SecondsOf(back) / 9));
}

TEST(Fleet, AHundredDispatchersUseAColdDestinationAtOnceWithoutOverload) {
  Fleet fleet(100, 1, 40);
  fleet.Advance(6s);
  fleet.destination.down = true;
  const Counts outage = fleet.Advance(5s);
  EXPECT_LT(outage.calls + outage.health_checks, 200);
  fleet.destination.down = false;
  int before = 0, delivered = 0, arrived = 0, health_checks = 0;
  for (Duration back = 0s; back < 9s; back += 1s) {
    const Counts now = fleet.Advance(1s);
    EXPECT_LT(now.calls + now.health_checks + before, 2 * 1.5 * CapacityAt(back))
        << SecondsOf(back);
    before = now.calls + now.health_checks;
    delivered += now.delivered;
    arrived += now.arrived;
    health_checks += now.health_checks;
  }
  EXPECT_GT(delivered, arrived * 4 / 10) << "trial calls deliver messages";
  EXPECT_LT(health_checks, 20);
  const Counts warm = fleet.Advance(15s);
  EXPECT_LT(warm.above_limit, 60) << "the limit is respected after the slow start";
}

// ---- most dispatchers are stopped at once and restart with their backlog ----

TEST(Fleet, SeventyOfAHundredDispatchersRestartWithTheirBacklogWithinTheLimit) {
  Fleet fleet(100, 1, 40);
  fleet.destination.limit = 25;
  fleet.Advance(8s);
  for (std::size_t i = 0; i < 70; ++i) fleet.Stop(i);
  fleet.Advance(1s);
  for (std::size_t i = 0; i < 70; ++i) fleet.Start(i);
  const Counts back = fleet.Advance(6s);
  EXPECT_LT(back.above_limit, 140);
  EXPECT_GT(back.accepted, 25 * 6 * 7 / 10);
}

}  // namespace
}  // namespace dispatch_policy
