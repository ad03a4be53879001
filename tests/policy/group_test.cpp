// A hundred instances of the module before one destination, in one process and in virtual time.
// They share nothing but the destination; what is asserted is the sum over all of them.
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

// One destination with one endpoint. Calls above its limit are refused and use the limit up too, as
// far as a second of it; while it is down no connection comes up.
struct Partner {
  double limit = 60;  // calls a second
  bool down = false;
  double used = 0;  // calls
  Time last{};

  Outcome Take(Time now) {
    if (down) return Outcome::kConnectFailed;
    used = std::max(0.0, used - limit * SecondsOf(now - last));
    last = now;
    const bool room = used + 1 <= limit;
    used = std::min(used + 1, limit);
    return room ? Outcome::kDelivered : Outcome::kRejected;
  }
};

struct Counts {
  int arrived = 0, refused = 0;            // messages
  int delivered = 0, in_time = 0;          // messages
  int calls = 0, accepted = 0, above = 0;  // calls, and those above the limit
  int probes = 0;
};

class Fleet {
 public:
  static constexpr Duration kStep = 10ms, kLatency = 100ms;

  Fleet(std::size_t group, std::size_t batch, double messages_a_second)
      : rate(messages_a_second), settings(FleetSettings(group, batch)), nodes(group), random(11) {
    for (std::size_t i = 0; i < group; ++i) Start(i);
  }

  // Begins with nothing learned; what it held before comes back to it.
  void Start(std::size_t i) {
    const auto held = std::exchange(nodes[i].held, {});
    nodes[i] = Node{};
    nodes[i].choice = std::make_unique<DispatchPolicy>(settings, ++seed);
    EndpointList list;
    list.entries.push_back({.endpoint = 1, .destination = 1, .weight = 60});
    list.form = ListForm::kComplete;
    nodes[i].inbox.emplace_back(list);
    for (const auto& [id, kept] : held) {
      MessageRestored restored;
      restored.message = id;
      restored.destination = 1;
      restored.time_left = kept.first + 12s - now;
      restored.attempts_used = kept.second;
      nodes[i].inbox.emplace_back(restored);
      nodes[i].held[id] = {kept.first, 0};
    }
  }

  // Its calls go on, and nobody hears of their ends; its messages are kept for its next start.
  void Kill(std::size_t i) {
    nodes[i].choice.reset();
    std::erase_if(ends, [&](const auto& end) { return end.second.first == i; });
  }

  // Plays so long and returns what happened meanwhile.
  Counts Play(Duration time) {
    counts = {};
    for (const Time end = now + time; now < end; now += kStep) {
      Arrivals();
      for (; !ends.empty() && ends.begin()->first <= now; ends.erase(ends.begin())) {
        auto& [node, event] = ends.begin()->second;
        nodes[node].inbox.emplace_back(event);
      }
      for (std::size_t i = 0; i < nodes.size(); ++i) Turn(i);
    }
    return counts;
  }

  Partner partner;
  double rate;                           // messages a second
  std::optional<double> reported_limit;  // by the reports, where it is not the true one

 private:
  struct Node {
    std::unique_ptr<DispatchPolicy> choice;
    std::vector<Event> inbox;
    Time wake = Time::max();
    std::map<MessageId, std::pair<Time, std::size_t>> held;  // arrival, attempts
  };

  void Arrivals() {
    std::poisson_distribution<int> count(rate * SecondsOf(kStep));
    for (int n = count(random); n > 0; --n) {
      std::size_t i = random() % nodes.size();
      while (!nodes[i].choice) i = random() % nodes.size();
      Node& node = nodes[i];
      node.held[++message] = {now, 0};
      MessageArrived arrived;
      arrived.message = message;
      arrived.destination = 1;
      arrived.time_left = 12s;
      node.inbox.emplace_back(arrived);
      ++counts.arrived;
    }
  }

  void Turn(std::size_t i) {
    Node& node = nodes[i];
    if (!node.choice) return;
    if (node.wake <= now) node.inbox.emplace_back(TimerFired{});
    if (node.inbox.empty()) return;
    if (node.wake <= now) node.wake = Time::max();
    std::vector<Event> events;
    events.swap(node.inbox);
    std::vector<MessageId> call;
    for (const Action& action : node.choice->Decide(now, events)) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) {
        node.wake = std::min(node.wake, timer->at);
      } else if (const auto* refuse = std::get_if<RejectMessage>(&action)) {
        counts.refused += static_cast<int>(node.held.erase(refuse->message));
      } else if (const auto* surrender = std::get_if<FailMessage>(&action)) {
        node.held.erase(surrender->message);
      } else if (std::holds_alternative<StartHealthCheck>(action)) {
        ++counts.probes;
        const Outcome outcome = Reached();
        ends.emplace(now + kLatency,
                     std::pair(i, HealthCheckCompleted{1, outcome, kLatency, Report(outcome)}));
      } else if (const auto* send = std::get_if<SendAttempt>(&action)) {
        call.push_back(send->message);
        if (call.size() == settings.kinds[0].max_batch) Carry(i, std::exchange(call, {}));
      }
    }
    if (!call.empty()) Carry(i, call);
  }

  Outcome Reached() {
    const Outcome outcome = partner.Take(now);
    counts.above += outcome == Outcome::kRejected;
    return outcome;
  }

  LoadReport Report(Outcome outcome) const {
    if (outcome == Outcome::kConnectFailed) return {};
    return {1 - partner.used / partner.limit, reported_limit.value_or(partner.limit)};
  }

  void Carry(std::size_t i, const std::vector<MessageId>& call) {
    const Outcome outcome = Reached();
    ++counts.calls;
    counts.accepted += outcome == Outcome::kDelivered;
    for (const MessageId id : call) {
      auto& [arrived, attempts] = nodes[i].held.at(id);
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
      ends.emplace(now + kLatency, std::pair(i, e));
      if (e.finished) nodes[i].held.erase(id);
    }
  }

  const Settings settings;
  std::vector<Node> nodes;
  std::mt19937_64 random;
  std::uint64_t seed = 0;
  Time now = 1h;
  MessageId message = 0;
  Counts counts;
  std::multimap<Time, std::pair<std::size_t, Event>> ends;
};

// ---- a limit that is lowered (join) ----

TEST(Fleet, AHundredFitThemselvesIntoALimitThatFell) {
  Fleet fleet(100, 20, 150);
  const Counts before = fleet.Play(6s);
  EXPECT_GT(before.delivered, before.arrived * 3 / 4);
  fleet.partner.limit = 15;
  const Counts lowered = fleet.Play(9s);
  // Calls above the limit use it up: without a pace that adds up to the limit nothing gets through.
  EXPECT_GT(lowered.accepted, 15 * 9 / 2);
  EXPECT_LT(lowered.above, 180);
  fleet.partner.limit = 60;
  const Counts after = fleet.Play(8s);
  EXPECT_GT(after.delivered, after.arrived) << "the backlog goes once there is room again";
}

TEST(Fleet, AHundredGoBelowALimitThatIsReportedTooHigh) {
  Fleet fleet(100, 20, 150);
  fleet.Play(6s);
  fleet.partner.limit = 15;
  fleet.reported_limit = 40;
  const Counts lowered = fleet.Play(12s);
  EXPECT_GT(lowered.accepted, 15 * 12 / 3);
  EXPECT_LT(lowered.above, 350);
}

TEST(Fleet, AHundredTakeUpALimitThatIsLiftedAsSoonAsTheyAreTold) {
  Fleet fleet(100, 20, 150);
  fleet.partner.limit = 15;
  fleet.Play(12s);
  fleet.partner.limit = 60;
  const Counts lifted = fleet.Play(4s);
  EXPECT_GT(lifted.delivered, lifted.arrived);
}

TEST(Fleet, AClumpAboveASmallLimitLeavesItRoomSoon) {
  Fleet fleet(100, 1, 25);
  fleet.partner.limit = 28;
  fleet.Play(8s);
  fleet.rate = 100;
  const Counts clump = fleet.Play(3s);
  fleet.rate = 25;
  const Counts after = fleet.Play(13s);
  EXPECT_LT(clump.above + after.above, 155);
  EXPECT_GT(clump.accepted + after.accepted, 28 * 16 * 8 / 10);
}

// ---- destinations that are down and come back cold (zone) ----

// What it can do when cold, as a share of a capacity 1.15 times its limit, grows over the cold
// time.
double CapacityAt(Duration back) {
  return 60 * 1.15 * (0.31 + 0.69 * std::min(1.0, SecondsOf(back) / 9));
}

TEST(Fleet, AHundredStayBelowWhatTopplesAColdDestinationAndUseItAtOnce) {
  Fleet fleet(100, 1, 40);
  fleet.Play(6s);
  fleet.partner.down = true;
  const Counts outage = fleet.Play(5s);
  EXPECT_LT(outage.calls + outage.probes, 200);
  fleet.partner.down = false;
  int before = 0, delivered = 0, arrived = 0, probes = 0;
  for (Duration back = 0s; back < 9s; back += 1s) {
    const Counts now = fleet.Play(1s);
    EXPECT_LT(now.calls + now.probes + before, 2 * 1.5 * CapacityAt(back)) << SecondsOf(back);
    before = now.calls + now.probes;
    delivered += now.delivered;
    arrived += now.arrived;
    probes += now.probes;
  }
  EXPECT_GT(delivered, arrived * 4 / 10) << "trials deliver messages";
  EXPECT_LT(probes, 20);
  const Counts warm = fleet.Play(15s);
  EXPECT_LT(warm.above, 60) << "its limit stands when all take it for warm";
}

// ---- most are killed at once and come back with what they owe (herd) ----

TEST(Fleet, SeventyOfAHundredComeBackWithAllThatTheyOweWithinTheLimit) {
  Fleet fleet(100, 1, 40);
  fleet.partner.limit = 25;
  fleet.Play(8s);
  for (std::size_t i = 0; i < 70; ++i) fleet.Kill(i);
  fleet.Play(1s);
  for (std::size_t i = 0; i < 70; ++i) fleet.Start(i);
  const Counts back = fleet.Play(6s);
  EXPECT_LT(back.above, 140);
  EXPECT_GT(back.accepted, 25 * 6 * 7 / 10);
}

}  // namespace
}  // namespace dispatch_policy
