// Sends random valid events to the policy and checks its rules as invariants. There is no model of
// a server: the outcome of each attempt is random.
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

struct SentAttempt {
  EndpointId endpoint = 0;
  Time at{};
  Time times_out{};
  Time completes{};
  std::uint64_t call = 0;
  bool in_flight = true;
  Outcome outcome{};
};

struct TrackedMessage {
  MessageArrived arrived;
  Time deadline{};
  std::vector<SentAttempt> sent;
  std::optional<Time> may_have_run;
  EndpointId ran_on_endpoint = 0;
  bool finished = false;
};

bool ProvesNotRun(Outcome o) {
  return o == Outcome::kRejected || o == Outcome::kConnectFailed || o == Outcome::kNotSent ||
         o == Outcome::kConnectionLimitReached;
}

bool MayStillRun(Outcome o) {
  return o == Outcome::kTimeout || o == Outcome::kReset || o == Outcome::kCancelled;
}

class Simulation {
 public:
  explicit Simulation(std::uint64_t seed)
      : random_(seed), settings_(RandomSettings(random_)), policy_(settings_, seed) {
    for (EndpointId id = 0; id < 6; ++id) {
      entries_[id] = {id, id / 2, id / 2 % 2, id % 2, EndpointState::kListed, 1};
    }
  }

  void Run() {
    SendList(ListForm::kComplete);
    for (now_ = 1s; now_ < 20s; now_ += settings_.decision_interval) {
      if (now_ < 15s) DrawEvents();
      CompleteAttempts();
      if (timer_ && *timer_ <= now_) {
        events_.push_back(TimerFired{0});
        timer_.reset();
      }
      if (events_.empty()) continue;
      const std::vector<Action> actions = policy_.Decide(now_, events_);
      events_.clear();
      for (const Action& a : actions) std::visit([this](const auto& x) { Check(x); }, a);
      calls_of_decision_.clear();
      if (testing::Test::HasFailure()) return;
    }
    for (const auto& [id, m] : messages_)
      EXPECT_TRUE(m.finished) << "no final answer for message " << id;
  }

  int sends() const { return sends_; }

 private:
  void DrawEvents() {
    const std::size_t arrivals = random_() % 20 == 0 ? 1 + random_() % 6 : 0;
    for (std::size_t i = 0; i < arrivals; ++i) {
      TrackedMessage m;
      m.arrived = {next_++, random_() % 4, random_() % 3, 0, 0ms, ""};
      m.arrived.time_left =
          settings_.classes[m.arrived.message_class].deadline / (1 + random_() % 2);
      if (random_() % 3 > 0) m.arrived.key = std::string(1, static_cast<char>('a' + random_() % 4));
      m.deadline = now_ + m.arrived.time_left;
      events_.push_back(m.arrived);
      if (settings_.classes[m.arrived.message_class].ordered && !m.arrived.key.empty()) {
        queues_[m.arrived.key].push_back(m.arrived.message);
      }
      messages_[m.arrived.message] = std::move(m);
    }
    if (random_() % 100 == 0) {
      EndpointEntry& e = entries_[random_() % entries_.size()];
      e.state = static_cast<EndpointState>(random_() % 3);
      SendList(random_() % 2 == 0 ? ListForm::kComplete : ListForm::kChanges);
    }
    if (random_() % 400 == 0 && !messages_.empty()) {
      TrackedMessage& m = messages_[random_() % next_];
      if (!m.finished) {
        m.finished = true;
        events_.push_back(MessageCancelled{m.arrived.message});
      }
    }
    if (random_() % 50 == 0)
      failure_mode_ = static_cast<int>(random_() % 7);  // failures begin or end
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

  void CompleteAttempts() {
    for (auto& [id, m] : messages_) {
      for (std::size_t i = 0; i < m.sent.size(); ++i) {
        SentAttempt& s = m.sent[i];
        if (!s.in_flight || s.completes > now_) continue;
        s.in_flight = false;
        AttemptCompleted e;
        e.message = id;
        e.attempt = i;
        e.endpoint = s.endpoint;
        e.outcome = s.outcome;
        e.elapsed = now_ - s.at;
        if (s.outcome == Outcome::kDelivered) m.finished = true;
        if (s.outcome == Outcome::kRejected && random_() % 2 == 0) {
          e.retry_after = std::chrono::milliseconds(50 + random_() % 3000);
          const EndpointEntry& where = entries_.at(s.endpoint);
          const bool per_endpoint = settings_.kinds[where.kind].per_endpoint_limits;
          Time& wait = retry_after_ends_[per_endpoint ? 1000 + where.endpoint : where.destination];
          wait = std::max(wait, now_ + e.retry_after);
        }
        if (!ProvesNotRun(s.outcome) && s.outcome != Outcome::kDelivered && !m.may_have_run) {
          m.may_have_run = s.at;
          m.ran_on_endpoint = s.endpoint;
        }
        if (MayStillRun(s.outcome) && settings_.classes[m.arrived.message_class].ordered)
          cooldowns_[m.arrived.key] = now_ + settings_.ordering_cooldown;
        e.finished = m.finished;
        events_.push_back(e);
      }
    }
    for (auto it = health_checks_.begin(); it != health_checks_.end();) {
      if (it->second > now_) {
        ++it;
        continue;
      }
      HealthCheckCompleted e;
      e.endpoint = it->first;
      e.outcome = random_() % 2 == 0 ? Outcome::kDelivered : Outcome::kTimeout;
      events_.push_back(e);
      it = health_checks_.erase(it);
    }
  }

  Time RetryAfterEnd(EndpointId id) {
    const EndpointEntry& e = entries_.at(id);
    return std::max(retry_after_ends_[e.destination], retry_after_ends_[1000 + e.endpoint]);
  }

  void Check(const SendAttempt& a) {
    ++sends_;
    ASSERT_TRUE(messages_.count(a.message));
    TrackedMessage& m = messages_[a.message];
    const ClassSettings& c = settings_.classes[m.arrived.message_class];
    const EndpointEntry& e = entries_.at(a.endpoint);
    EXPECT_FALSE(m.finished) << "sent after its final answer";
    EXPECT_EQ(e.destination, m.arrived.destination);
    EXPECT_EQ(e.state, EndpointState::kListed) << "sent to an endpoint that is draining or removed";
    EXPECT_LE(RetryAfterEnd(a.endpoint), now_) << "sent during a Retry-After";
    EXPECT_GT(a.timeout, 0ms);
    EXPECT_LT(m.sent.size(), settings_.max_attempts);
    for (const SentAttempt& s : m.sent) EXPECT_FALSE(s.in_flight) << "two attempts at once";
    if (m.may_have_run) {
      EXPECT_NE(c.effect, Effect::kNotIdempotent) << "the message may take effect twice";
      if (c.effect == Effect::kIdempotentWithKey) {
        EXPECT_LT(now_ - *m.may_have_run, c.dedup_window);
        if (c.dedup_scope == DedupScope::kZone) {
          EXPECT_EQ(e.zone, entries_.at(m.ran_on_endpoint).zone);
        }
      }
    }
    if (c.ordered && !m.arrived.key.empty()) {
      for (MessageId id : queues_[m.arrived.key]) {
        if (id == a.message) break;
        EXPECT_TRUE(messages_[id].finished) << "sent before an earlier message of its key";
        for (const SentAttempt& s : messages_[id].sent)
          EXPECT_FALSE(s.in_flight) << "an earlier attempt of the key is in flight";
      }
      if (m.sent.empty()) {
        EXPECT_LE(cooldowns_[m.arrived.key], now_) << "sent during the cooldown of its key";
      }
    }
    SentAttempt s;
    s.endpoint = a.endpoint;
    s.at = now_;
    s.times_out = now_ + a.timeout;
    std::pair<std::uint64_t, std::size_t>& call = calls_of_decision_[a.endpoint];
    if (call.second % settings_.kinds[e.kind].max_batch == 0) {
      call.first = ++calls_;
      call_outcome_ = DrawOutcome();
      call_duration_ = std::chrono::milliseconds(20 + random_() % 400);
    }
    ++call.second;
    s.call = call.first;
    s.outcome = call_outcome_;
    s.completes = now_ + call_duration_;
    if (call_outcome_ == Outcome::kTimeout) s.completes = s.times_out;
    if (s.completes > s.times_out) {
      s.completes = s.times_out;
      s.outcome = Outcome::kTimeout;
    }
    m.sent.push_back(s);
    std::set<std::uint64_t> in_flight;
    for (const auto& [id, other] : messages_) {
      for (const SentAttempt& x : other.sent) {
        if (x.in_flight) in_flight.insert(x.call);
      }
    }
    EXPECT_LE(in_flight.size(), settings_.max_concurrent_calls);
  }

  Outcome DrawOutcome() {
    if (failure_mode_ < 3) {
      return random_() % 10 == 0 ? static_cast<Outcome>(1 + random_() % 5) : Outcome::kDelivered;
    }
    return random_() % 5 == 0 ? Outcome::kDelivered : static_cast<Outcome>(failure_mode_ - 2);
  }

  void RecordFinalAnswer(MessageId id) {
    ASSERT_TRUE(messages_.count(id));
    EXPECT_FALSE(messages_[id].finished) << "a second final answer";
    EXPECT_LE(now_, messages_[id].deadline) << "final answer after the deadline";
    messages_[id].finished = true;
  }

  void Check(const RejectMessage& a) {
    RecordFinalAnswer(a.message);
    const TrackedMessage& m = messages_[a.message];
    const ClassSettings& c = settings_.classes[m.arrived.message_class];
    const bool may_have_run =
        m.may_have_run ||
        std::any_of(m.sent.begin(), m.sent.end(), [](const SentAttempt& s) { return s.in_flight; });
    const bool harmless =
        c.effect == Effect::kIdempotent ||
        (c.effect == Effect::kIdempotentWithKey && c.dedup_scope == DedupScope::kDestination);
    EXPECT_TRUE(!may_have_run || harmless) << "rejected although it may have run";
    EXPECT_LE(a.retry_after, settings_.clients_honor_retry_after ? settings_.max_retry_after : 0ms);
  }
  void Check(const FailMessage& a) { RecordFinalAnswer(a.message); }
  void Check(const CancelAttempt& a) {
    EXPECT_TRUE(settings_.cancel_allowed);
    ASSERT_LT(a.attempt, messages_[a.message].sent.size());
    SentAttempt& s = messages_[a.message].sent[a.attempt];
    s.outcome = Outcome::kCancelled;
    s.completes = now_ + 5ms;
  }
  void Check(const StartHealthCheck& a) {
    EXPECT_TRUE(settings_.health_checks_allowed);
    EXPECT_EQ(entries_.at(a.endpoint).state, EndpointState::kListed);
    EXPECT_LE(RetryAfterEnd(a.endpoint), now_) << "health check during a Retry-After";
    EXPECT_FALSE(health_checks_.count(a.endpoint));
    health_checks_[a.endpoint] = now_ + 50ms;
  }
  void Check(const SetTimer& a) {
    EXPECT_GT(a.at, now_);
    timer_ = timer_ ? std::min(*timer_, a.at) : a.at;
  }
  void Check(const SubscribeToEndpointList&) { ADD_FAILURE(); }
  void Check(const LogMessage&) { EXPECT_LE(++logs_, 60); }

  std::mt19937_64 random_;
  Settings settings_;
  DispatchPolicy policy_;
  Time now_{};
  std::vector<Event> events_;
  std::map<EndpointId, EndpointEntry> entries_;
  std::map<MessageId, TrackedMessage> messages_;
  std::map<std::string, std::vector<MessageId>> queues_;
  std::map<std::string, Time> cooldowns_;
  std::map<std::uint64_t, Time> retry_after_ends_;
  std::map<EndpointId, Time> health_checks_;
  std::map<EndpointId, std::pair<std::uint64_t, std::size_t>> calls_of_decision_;
  std::optional<Time> timer_;
  std::uint64_t version_ = 0, calls_ = 0;
  MessageId next_ = 0;
  int failure_mode_ = 0, sends_ = 0, logs_ = 0;
  Outcome call_outcome_ = Outcome::kDelivered;
  Duration call_duration_{};
};

TEST(Invariants, RulesHoldUnderRandomValidEvents) {
  int sends = 0;
  for (std::uint64_t seed = 1; seed <= 40 && !HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Simulation simulation(seed);
    simulation.Run();
    sends += simulation.sends();
  }
  EXPECT_GT(sends, 3000) << "the simulations must exercise the policy";
}

}  // namespace
}  // namespace dispatch_policy
