// Random legal events, with the rules checked as invariants. There is no model of a server: what
// becomes of an attempt is drawn at random.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "dispatch_policy/dispatch_policy.hpp"

namespace dispatch_policy {
namespace {

using namespace std::chrono_literals;

Settings RandomSettings(std::mt19937_64& random) {
  const auto flag = [&] { return random() % 2 == 0; };
  Settings s;
  s.classes.push_back({.latency_objective = 300ms, .deadline = 3s, .effect = Effect::kIdempotent});
  s.classes.push_back({.latency_objective = 400ms,
                       .deadline = 4s,
                       .effect = Effect::kIdempotentWithKey,
                       .dedup_scope = flag() ? DedupScope::kDestination : DedupScope::kZone,
                       .dedup_window = 1s,
                       .priority_weight = 2,
                       .late_weight_share = 0.5,
                       .ordered = flag()});
  s.classes.push_back({.latency_objective = 300ms,
                       .deadline = 3s,
                       .effect = Effect::kNotIdempotent,
                       .priority_weight = 4});
  s.kinds = {{1 + random() % 4, flag()}, {1, flag()}};
  s.decay = flag() ? Decay::kLinear : Decay::kHalving;
  s.max_concurrent_calls = 2 + random() % 10;
  s.max_in_flight = 20 + random() % 100;
  s.max_attempts = 2 + random() % 6;
  s.health_checks_allowed = flag();
  s.cancel_allowed = flag();
  s.clients_honor_retry_after = flag();
  s.max_retry_after = 500ms;
  s.decision_interval = 5ms;
  s.slow_start_share = 0.2;
  s.slow_start_duration = 2s;
  s.collapse_load_multiple = 2;
  s.collapse_window = 500ms;
  s.ordering_cooldown = 100ms;
  return s;
}

struct Sent {
  EndpointId endpoint = 0;
  Time at{};
  Time times_out{};
  Time settles{};
  std::uint64_t call = 0;
  bool out = true;
  Outcome outcome{};
};

struct Held {
  MessageArrived announced;
  Time deadline{};
  std::vector<Sent> sent;
  std::optional<Time> may_have_run;
  EndpointId ran_on_endpoint = 0;
  bool over = false;
};

bool ProvesNotRun(Outcome o) {
  return o == Outcome::kRejected || o == Outcome::kConnectFailed || o == Outcome::kNotSent ||
         o == Outcome::kConnectionLimitReached;
}

bool Doubt(Outcome o) {
  return o == Outcome::kTimeout || o == Outcome::kReset || o == Outcome::kCancelled;
}

class World {
 public:
  explicit World(std::uint64_t seed)
      : random_(seed), set_(RandomSettings(random_)), policy_(set_, seed) {
    for (EndpointId id = 0; id < 6; ++id) {
      entries_[id] = {id, id / 2, id / 2 % 2, id % 2, EndpointState::kListed, 1};
    }
  }

  void Run() {
    SendList(ListForm::kComplete);
    for (now_ = 1s; now_ < 20s; now_ += set_.decision_interval) {
      if (now_ < 15s) Happen();
      Settle();
      if (timer_ && *timer_ <= now_) {
        events_.push_back(TimerFired{0});
        timer_.reset();
      }
      if (events_.empty()) continue;
      const std::vector<Action> actions = policy_.Decide(now_, events_);
      events_.clear();
      for (const Action& a : actions) std::visit([this](const auto& x) { Check(x); }, a);
      calls_of_turn_.clear();
      if (testing::Test::HasFailure()) return;
    }
    for (const auto& [id, m] : held_) EXPECT_TRUE(m.over) << "lost " << id;
  }

  int sends() const { return sends_; }

 private:
  void Happen() {
    const std::size_t arrivals = random_() % 20 == 0 ? 1 + random_() % 6 : 0;
    for (std::size_t i = 0; i < arrivals; ++i) {
      Held m;
      m.announced = {next_++, random_() % 4, random_() % 3, 0, 0ms, ""};
      m.announced.time_left =
          set_.classes[m.announced.message_class].deadline / (1 + random_() % 2);
      if (random_() % 3 > 0)
        m.announced.key = std::string(1, static_cast<char>('a' + random_() % 4));
      m.deadline = now_ + m.announced.time_left;
      events_.push_back(m.announced);
      if (set_.classes[m.announced.message_class].ordered && !m.announced.key.empty()) {
        lines_[m.announced.key].push_back(m.announced.message);
      }
      held_[m.announced.message] = std::move(m);
    }
    if (random_() % 100 == 0) {
      EndpointEntry& e = entries_[random_() % entries_.size()];
      e.state = static_cast<EndpointState>(random_() % 3);
      SendList(random_() % 2 == 0 ? ListForm::kComplete : ListForm::kChanges);
    }
    if (random_() % 400 == 0 && !held_.empty()) {
      Held& m = held_[random_() % next_];
      if (!m.over) {
        m.over = true;
        events_.push_back(MessageCancelled{m.announced.message});
      }
    }
    if (random_() % 50 == 0) bias_ = static_cast<int>(random_() % 7);  // a trouble comes or goes
  }

  void SendList(ListForm form) {
    EndpointList list{++version_, form, {}};
    for (const auto& [id, e] : entries_) {
      if (form == ListForm::kChanges || e.state != EndpointState::kRemoved) {
        list.entries.push_back(e);
      }
    }
    events_.push_back(list);
  }

  void Settle() {
    for (auto& [id, m] : held_) {
      for (std::size_t i = 0; i < m.sent.size(); ++i) {
        Sent& s = m.sent[i];
        if (!s.out || s.settles > now_) continue;
        s.out = false;
        AttemptCompleted e;
        e.message = id;
        e.attempt = i;
        e.endpoint = s.endpoint;
        e.outcome = s.outcome;
        e.elapsed = now_ - s.at;
        if (s.outcome == Outcome::kDelivered) m.over = true;
        if (s.outcome == Outcome::kRejected && random_() % 2 == 0) {
          e.retry_after = std::chrono::milliseconds(50 + random_() % 3000);
          const EndpointEntry& where = entries_.at(s.endpoint);
          const bool apart = set_.kinds[where.kind].per_endpoint_limits;
          Time& wait = waits_[apart ? 1000 + where.endpoint : where.destination];
          wait = std::max(wait, now_ + e.retry_after);
        }
        if (!ProvesNotRun(s.outcome) && s.outcome != Outcome::kDelivered && !m.may_have_run) {
          m.may_have_run = s.at;
          m.ran_on_endpoint = s.endpoint;
        }
        if (Doubt(s.outcome) && set_.classes[m.announced.message_class].ordered)
          rests_[m.announced.key] = now_ + set_.ordering_cooldown;
        e.finished = m.over;
        events_.push_back(e);
      }
    }
    for (auto it = probes_.begin(); it != probes_.end();) {
      if (it->second > now_) {
        ++it;
        continue;
      }
      HealthCheckCompleted e;
      e.endpoint = it->first;
      e.outcome = random_() % 2 == 0 ? Outcome::kDelivered : Outcome::kTimeout;
      events_.push_back(e);
      it = probes_.erase(it);
    }
  }

  Time WaitOf(EndpointId id) {
    const EndpointEntry& e = entries_.at(id);
    return std::max(waits_[e.destination], waits_[1000 + e.endpoint]);
  }

  void Check(const SendAttempt& a) {
    ++sends_;
    ASSERT_TRUE(held_.count(a.message));
    Held& m = held_[a.message];
    const ClassSettings& c = set_.classes[m.announced.message_class];
    const EndpointEntry& e = entries_.at(a.endpoint);
    EXPECT_FALSE(m.over) << "sent after its final answer";
    EXPECT_EQ(e.destination, m.announced.destination);
    EXPECT_EQ(e.state, EndpointState::kListed) << "drain";
    EXPECT_LE(WaitOf(a.endpoint), now_) << "wait";
    EXPECT_GT(a.timeout, 0ms);
    EXPECT_LT(m.sent.size(), set_.max_attempts);
    for (const Sent& s : m.sent) EXPECT_FALSE(s.out) << "two attempts at once";
    if (m.may_have_run) {
      EXPECT_NE(c.effect, Effect::kNotIdempotent) << "effect twice";
      if (c.effect == Effect::kIdempotentWithKey) {
        EXPECT_LT(now_ - *m.may_have_run, c.dedup_window);
        if (c.dedup_scope == DedupScope::kZone) {
          EXPECT_EQ(e.zone, entries_.at(m.ran_on_endpoint).zone);
        }
      }
    }
    if (c.ordered && !m.announced.key.empty()) {
      for (MessageId id : lines_[m.announced.key]) {
        if (id == a.message) break;
        EXPECT_TRUE(held_[id].over) << "order";
        for (const Sent& s : held_[id].sent) EXPECT_FALSE(s.out) << "order, attempt out";
      }
      if (m.sent.empty()) {
        EXPECT_LE(rests_[m.announced.key], now_) << "rest";
      }
    }
    Sent s;
    s.endpoint = a.endpoint;
    s.at = now_;
    s.times_out = now_ + a.timeout;
    std::pair<std::uint64_t, std::size_t>& call = calls_of_turn_[a.endpoint];
    if (call.second % set_.kinds[e.kind].max_batch == 0) {
      call.first = ++calls_;
      drawn_ = Draw();
      delay_ = std::chrono::milliseconds(20 + random_() % 400);
    }
    ++call.second;
    s.call = call.first;
    s.outcome = drawn_;
    s.settles = now_ + delay_;
    if (drawn_ == Outcome::kTimeout) s.settles = s.times_out;
    if (s.settles > s.times_out) {
      s.settles = s.times_out;
      s.outcome = Outcome::kTimeout;
    }
    m.sent.push_back(s);
    std::set<std::uint64_t> out;
    for (const auto& [id, other] : held_) {
      for (const Sent& x : other.sent) {
        if (x.out) out.insert(x.call);
      }
    }
    EXPECT_LE(out.size(), set_.max_concurrent_calls);
  }

  Outcome Draw() {
    if (bias_ < 3) {
      return random_() % 10 == 0 ? static_cast<Outcome>(1 + random_() % 5) : Outcome::kDelivered;
    }
    return random_() % 5 == 0 ? Outcome::kDelivered : static_cast<Outcome>(bias_ - 2);
  }

  void Final(MessageId id) {
    ASSERT_TRUE(held_.count(id));
    EXPECT_FALSE(held_[id].over) << "a second answer";
    EXPECT_LE(now_, held_[id].deadline) << "too late";
    held_[id].over = true;
  }

  void Check(const RejectMessage& a) {
    Final(a.message);
    const Held& m = held_[a.message];
    const ClassSettings& c = set_.classes[m.announced.message_class];
    const bool ran = m.may_have_run ||
                     std::any_of(m.sent.begin(), m.sent.end(), [](const Sent& s) { return s.out; });
    const bool harmless =
        c.effect == Effect::kIdempotent ||
        (c.effect == Effect::kIdempotentWithKey && c.dedup_scope == DedupScope::kDestination);
    EXPECT_TRUE(!ran || harmless) << "refused though it may have run";
    EXPECT_LE(a.retry_after, set_.clients_honor_retry_after ? set_.max_retry_after : 0ms);
  }
  void Check(const FailMessage& a) { Final(a.message); }
  void Check(const CancelAttempt& a) {
    EXPECT_TRUE(set_.cancel_allowed);
    ASSERT_LT(a.attempt, held_[a.message].sent.size());
    Sent& s = held_[a.message].sent[a.attempt];
    s.outcome = Outcome::kCancelled;
    s.settles = now_ + 5ms;
  }
  void Check(const StartHealthCheck& a) {
    EXPECT_TRUE(set_.health_checks_allowed);
    EXPECT_EQ(entries_.at(a.endpoint).state, EndpointState::kListed);
    EXPECT_LE(WaitOf(a.endpoint), now_) << "wait";
    EXPECT_FALSE(probes_.count(a.endpoint));
    probes_[a.endpoint] = now_ + 50ms;
  }
  void Check(const SetTimer& a) {
    EXPECT_GT(a.at, now_);
    timer_ = timer_ ? std::min(*timer_, a.at) : a.at;
  }
  void Check(const SubscribeToEndpointList&) { ADD_FAILURE(); }
  void Check(const LogMessage&) { EXPECT_LE(++logs_, 60); }

  std::mt19937_64 random_;
  Settings set_;
  DispatchPolicy policy_;
  Time now_{};
  std::vector<Event> events_;
  std::map<EndpointId, EndpointEntry> entries_;
  std::map<MessageId, Held> held_;
  std::map<std::string, std::vector<MessageId>> lines_;
  std::map<std::string, Time> rests_;
  std::map<std::uint64_t, Time> waits_;
  std::map<EndpointId, Time> probes_;
  std::map<EndpointId, std::pair<std::uint64_t, std::size_t>> calls_of_turn_;
  std::optional<Time> timer_;
  std::uint64_t version_ = 0, calls_ = 0;
  MessageId next_ = 0;
  int bias_ = 0, sends_ = 0, logs_ = 0;
  Outcome drawn_ = Outcome::kDelivered;
  Duration delay_{};
};

TEST(Invariants, RulesHoldUnderRandomLegalEvents) {
  int sends = 0;
  for (std::uint64_t seed = 1; seed <= 40 && !HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    World world(seed);
    world.Run();
    sends += world.sends();
  }
  EXPECT_GT(sends, 3000) << "the worlds must exercise the module";
}

}  // namespace
}  // namespace dispatch_policy
