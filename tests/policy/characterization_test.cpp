// Characterization test of the policy. Generated event streams are passed to the policy, and a
// digest of all its actions is compared with the digest recorded from the program at commit
// 052a23f. A refactoring must reproduce every digest. Log texts are not part of the digests.
//
// The streams are generated from fixed seeds. They cover every effect of a class, endpoint kinds
// with and without their own limits, groups of 1 to 300 forwarders, restarts, endpoint lists, load
// reports, Retry-After, health checks, and reports of other forwarders.
//
// To record new digests after an intended change of a decision, run the test program with the
// environment variable POLICY_DIGESTS_OUT set to the output file, and explain in the commit why
// they changed.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <map>
#include <random>
#include <string>

#include "dispatch_policy/dispatch_policy.hpp"

namespace dispatch_policy {
namespace {

using namespace std::chrono_literals;

constexpr int kStreams = 240;
constexpr int kStepsPerStream = 500;
constexpr std::array<std::size_t, 9> kGroupSizes = {1, 2, 3, 5, 10, 17, 50, 100, 300};
constexpr EndpointId kEndpointCount = 12;
constexpr DestinationId kDestinationCount = 5;

// FNV-1a over the fields of the actions.
class Digest {
 public:
  void Add(std::uint64_t value) {
    for (int byte = 0; byte < 8; ++byte) {
      state_ = (state_ ^ (value >> (8 * byte) & 0xff)) * 0x100000001b3;
    }
  }
  void Add(Duration value) { Add(static_cast<std::uint64_t>(value.count())); }
  std::uint64_t value() const { return state_; }

 private:
  std::uint64_t state_ = 0xcbf29ce484222325;
};

Settings DrawSettings(std::mt19937_64& random, int stream) {
  const auto flag = [&] { return random() % 2 == 0; };
  Settings settings;
  settings.classes = {{.latency_objective = 200ms,
                       .deadline = 2s,
                       .effect = Effect::kIdempotent,
                       .priority_weight = 1,
                       .late_weight_share = 0.2},
                      {.latency_objective = 400ms,
                       .deadline = 4s,
                       .effect = Effect::kIdempotentWithKey,
                       .dedup_scope = DedupScope::kDestination,
                       .dedup_window = 1s,
                       .priority_weight = 2,
                       .late_weight_share = 0.5,
                       .ordered = flag()},
                      {.latency_objective = 300ms,
                       .deadline = 3s,
                       .effect = Effect::kIdempotentWithKey,
                       .dedup_scope = DedupScope::kZone,
                       .dedup_window = 2s,
                       .priority_weight = 3},
                      {.latency_objective = 300ms,
                       .deadline = 3s,
                       .effect = Effect::kNotIdempotent,
                       .priority_weight = 4,
                       .ordered = flag()}};
  settings.kinds = {{1 + random() % 4, false}, {1 + random() % 3, true}};
  settings.tenants = {{0}, {5.0}};
  settings.zone_penalty = {0, 0.02};
  settings.decay = flag() ? Decay::kLinear : Decay::kHalving;
  settings.weights = static_cast<WeightMeaning>(random() % 3);
  settings.over_quota_weight_share = 0.5;
  settings.max_concurrent_calls = flag() ? 2 + random() % 30 : 0;
  settings.max_in_flight = flag() ? 10 + random() % 200 : 0;
  settings.max_attempts = flag() ? 2 + random() % 6 : 0;
  settings.health_checks_allowed = flag();
  settings.cancel_allowed = flag();
  settings.clients_honor_retry_after = flag();
  settings.subscribe_to_endpoint_list = flag();
  settings.max_retry_after = flag() ? Duration(500ms) : Duration(0);
  settings.decision_interval = 5ms;
  settings.slow_start_share = 0.2;
  settings.slow_start_duration = flag() ? Duration(2s) : Duration(0);
  settings.collapse_load_multiple = 2;
  settings.collapse_window = 500ms;
  settings.ordering_cooldown = 100ms;
  settings.group_size = kGroupSizes[static_cast<std::size_t>(stream) % kGroupSizes.size()];
  return settings;
}

// One policy and a simulated environment that answers it at random.
class Stream {
 public:
  explicit Stream(int number)
      : random_(0x5eed0000u + static_cast<unsigned>(number)),
        settings_(DrawSettings(random_, number)),
        policy_(std::make_unique<DispatchPolicy>(settings_, random_())),
        low_traffic_(number % 4 == 3) {
    for (EndpointId id = 0; id < kEndpointCount; ++id) {
      entries_[id] = {id,     id % kDestinationCount, id % kDestinationCount % 2,
                      id % 2, EndpointState::kListed, static_cast<double>(random_() % 40)};
    }
  }

  void Run() {
    ReportEndpoints(ListForm::kComplete);
    for (int step = 0; step < kStepsPerStream; ++step) {
      now_ += std::chrono::milliseconds(5 + random_() % (low_traffic_ ? 400 : 60));
      DrawEvents();
      CompleteAttempts();
      if (timer_ && *timer_ <= now_) {
        events_.emplace_back(TimerFired{0});
        timer_.reset();
      }
      for (const Action& action : policy_->Decide(now_, events_)) {
        std::visit([this](const auto& each) { Apply(each); }, action);
      }
      events_.clear();
    }
  }

  std::uint64_t digest() const { return digest_.value(); }
  const std::array<std::uint64_t, std::variant_size_v<Action>>& counts() const { return counts_; }

 private:
  struct Attempt {
    EndpointId endpoint = 0;
    Time sent{};
    Time completes{};
    bool in_flight = true;
    bool cancelled = false;
  };
  struct Message {
    DestinationId destination = 0;
    std::size_t message_class = 0;
    std::string key;
    Time deadline{};
    std::vector<Attempt> attempts;
    std::size_t attempts_before = 0;
    std::optional<Time> may_have_run;
    EndpointId ran_on_endpoint = 0;
  };

  bool WithProbabilityOneIn(std::uint64_t times) { return random_() % times == 0; }
  Duration UpTo(Duration limit) {
    return Duration(
        static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(limit.count())));
  }

  void DrawEvents() {
    const std::size_t usual = low_traffic_ ? random_() % 2 : random_() % 3;
    const std::size_t arrivals = WithProbabilityOneIn(12) ? 3 + random_() % 12 : usual;
    for (std::size_t i = 0; i < arrivals; ++i) Arrive();
    if (WithProbabilityOneIn(30)) ChangeEndpoints();
    if (WithProbabilityOneIn(60) && next_message_ > 0) {
      const MessageId message = random_() % next_message_;
      events_.emplace_back(MessageCancelled{message});
      messages_.erase(message);
    }
    if (WithProbabilityOneIn(40)) failing_destination_ = random_() % 6;
    if (WithProbabilityOneIn(25)) events_.emplace_back(QuotaLeased{RandomEndpoint(), DrawShare()});
    if (WithProbabilityOneIn(15)) {
      events_.emplace_back(PeerHealthReport{RandomEndpoint(),
                                            static_cast<PeerHealth>(random_() % 5), UpTo(2s),
                                            UpTo(1s), 1 + random_() % 3});
    }
    if (WithProbabilityOneIn(100)) {
      AttemptCompleted of_unknown_message;
      of_unknown_message.message = next_message_ + 7;
      events_.emplace_back(of_unknown_message);
    }
    if (WithProbabilityOneIn(200)) Restart();
  }

  // One id in 16 is that of an unknown endpoint.
  EndpointId RandomEndpoint() {
    return WithProbabilityOneIn(16) ? kEndpointCount + 5 : random_() % kEndpointCount;
  }

  std::optional<double> DrawShare() {
    if (WithProbabilityOneIn(3)) return std::nullopt;
    return static_cast<double>(random_() % 100) / 10;
  }

  void Arrive() {
    const MessageId id = next_message_++;
    MessageArrived event;
    event.message = id;
    event.destination = random_() % kDestinationCount;
    event.message_class = WithProbabilityOneIn(80) ? 9 : random_() % settings_.classes.size();
    event.tenant = random_() % settings_.tenants.size();
    const Duration class_deadline = event.message_class < settings_.classes.size()
                                        ? settings_.classes[event.message_class].deadline
                                        : 1s;
    event.time_left = WithProbabilityOneIn(4) ? UpTo(class_deadline) : class_deadline;
    if (!WithProbabilityOneIn(3))
      event.key = std::string(1, static_cast<char>('a' + random_() % 5));
    messages_[id] = {
        event.destination, event.message_class, event.key, now_ + event.time_left, {}, 0, {}, 0};
    events_.emplace_back(std::move(event));
  }

  void ChangeEndpoints() {
    if (WithProbabilityOneIn(8)) {
      EndpointList failed;
      failed.form = ListForm::kFailed;
      events_.emplace_back(std::move(failed));
      return;
    }
    for (int changes = 0; changes < 2; ++changes) {
      EndpointEntry& entry = entries_[random_() % kEndpointCount];
      entry.state = WithProbabilityOneIn(2) ? EndpointState::kListed
                                            : static_cast<EndpointState>(random_() % 3);
      entry.weight = WithProbabilityOneIn(10) ? 1e9 : static_cast<double>(random_() % 40);
    }
    ReportEndpoints(WithProbabilityOneIn(2) ? ListForm::kComplete : ListForm::kChanges);
  }

  void ReportEndpoints(ListForm form) {
    EndpointList list;
    list.version = WithProbabilityOneIn(10) && version_ > 2 ? version_ - 2 : ++version_;
    list.form = form;
    for (const auto& [id, entry] : entries_) {
      if (form == ListForm::kChanges || entry.state != EndpointState::kRemoved) {
        list.entries.push_back(entry);
      }
    }
    events_.emplace_back(std::move(list));
  }

  // Starts a new process: its policy gets the endpoint list and the unfinished messages of the
  // earlier process.
  void Restart() {
    events_.clear();
    timer_.reset();
    policy_ = std::make_unique<DispatchPolicy>(settings_, random_());
    version_ = 1;
    ReportEndpoints(ListForm::kComplete);
    for (auto& [id, message] : messages_) {
      for (const Attempt& attempt : message.attempts) {
        if (attempt.in_flight) RecordMayHaveRun(message, attempt);
      }
      MessageRestored event;
      event.message = id;
      event.destination = message.destination;
      event.message_class = message.message_class;
      event.time_left = message.deadline - now_;
      event.key = message.key;
      message.attempts_before += message.attempts.size();
      event.attempts_used = message.attempts_before;
      event.may_have_run = message.may_have_run;
      event.ran_on_endpoint = message.ran_on_endpoint;
      message.attempts.clear();
      events_.emplace_back(std::move(event));
    }
  }

  static void RecordMayHaveRun(Message& message, const Attempt& attempt) {
    if (message.may_have_run) return;
    message.may_have_run = attempt.sent;
    message.ran_on_endpoint = attempt.endpoint;
  }

  void CompleteAttempts() {
    std::vector<MessageId> finished;
    for (auto& [id, message] : messages_) {
      for (std::size_t i = 0; i < message.attempts.size(); ++i) {
        Attempt& attempt = message.attempts[i];
        if (!attempt.in_flight || (attempt.completes > now_ && !attempt.cancelled)) continue;
        attempt.in_flight = false;
        if (Complete(id, message, i)) finished.push_back(id);
      }
    }
    for (const MessageId id : finished) messages_.erase(id);
    for (const EndpointId endpoint : health_checks_) {
      events_.emplace_back(
          HealthCheckCompleted{endpoint, DrawOutcome(endpoint), UpTo(200ms), DrawReport()});
    }
    health_checks_.clear();
  }

  // Returns true if the message is finished.
  bool Complete(MessageId id, Message& message, std::size_t number) {
    const Attempt& attempt = message.attempts[number];
    AttemptCompleted event;
    event.message = id;
    event.attempt = number;
    event.endpoint = attempt.endpoint;
    event.outcome = attempt.cancelled ? Outcome::kCancelled : DrawOutcome(attempt.endpoint);
    event.elapsed = now_ - attempt.sent;
    event.finished = event.outcome == Outcome::kDelivered || WithProbabilityOneIn(100);
    event.exhausted = WithProbabilityOneIn(100);
    if (event.outcome == Outcome::kRejected && WithProbabilityOneIn(2))
      event.retry_after = UpTo(WithProbabilityOneIn(20) ? 20s : 3s);
    event.report = DrawReport();
    const bool may_have_run =
        event.outcome == Outcome::kTimeout || event.outcome == Outcome::kReset ||
        event.outcome == Outcome::kCancelled || event.outcome == Outcome::kError;
    if (may_have_run) RecordMayHaveRun(message, attempt);
    const bool finished = event.finished;
    events_.emplace_back(std::move(event));
    return finished;
  }

  // The endpoints of `failing_destination_` fail together, until another destination is drawn.
  Outcome DrawOutcome(EndpointId endpoint) {
    const bool failing = endpoint % kDestinationCount == failing_destination_;
    if (!failing && !WithProbabilityOneIn(8)) return Outcome::kDelivered;
    return static_cast<Outcome>(1 + random_() % 8);
  }

  LoadReport DrawReport() {
    LoadReport report;
    if (WithProbabilityOneIn(3)) report.allowance_left = static_cast<double>(random_() % 100) / 100;
    if (WithProbabilityOneIn(3)) report.limit = static_cast<double>(random_() % 60);
    return report;
  }

  void Begin(std::size_t kind) {
    ++counts_[kind];
    digest_.Add(now_);
    digest_.Add(std::uint64_t{kind});
  }

  void Apply(const SendAttempt& action) {
    Begin(0);
    digest_.Add(action.message);
    digest_.Add(action.endpoint);
    digest_.Add(action.timeout);
    digest_.Add(action.start_by);
    const auto it = messages_.find(action.message);
    if (it == messages_.end()) return;
    const Duration usual = 10ms + UpTo(150ms);
    const Duration duration =
        WithProbabilityOneIn(10) ? action.timeout : std::min(usual, action.timeout);
    it->second.attempts.push_back({action.endpoint, now_, now_ + duration});
  }
  void Apply(const RejectMessage& action) {
    Begin(1);
    digest_.Add(action.message);
    digest_.Add(action.retry_after);
    messages_.erase(action.message);
  }
  void Apply(const FailMessage& action) {
    Begin(2);
    digest_.Add(action.message);
    messages_.erase(action.message);
  }
  void Apply(const CancelAttempt& action) {
    Begin(3);
    digest_.Add(action.message);
    digest_.Add(std::uint64_t{action.attempt});
    const auto it = messages_.find(action.message);
    if (it != messages_.end()) it->second.attempts.at(action.attempt).cancelled = true;
  }
  void Apply(const SetTimer& action) {
    Begin(4);
    digest_.Add(action.token);
    digest_.Add(action.at);
    timer_ = action.at;
  }
  void Apply(const StartHealthCheck& action) {
    Begin(5);
    digest_.Add(action.endpoint);
    health_checks_.push_back(action.endpoint);
  }
  void Apply(const SubscribeToEndpointList&) { Begin(6); }
  void Apply(const LogMessage&) { ++counts_[7]; }

  std::mt19937_64 random_;
  Settings settings_;
  std::unique_ptr<DispatchPolicy> policy_;
  const bool low_traffic_;  // few messages over a long time: endpoints are rarely called
  Time now_ = 1s;
  std::optional<Time> timer_;
  std::vector<Event> events_;
  std::map<EndpointId, EndpointEntry> entries_;
  std::map<MessageId, Message> messages_;
  MessageId next_message_ = 0;
  std::uint64_t version_ = 0;
  std::uint64_t failing_destination_ = 5;  // 5: none
  std::vector<EndpointId> health_checks_;
  Digest digest_;
  std::array<std::uint64_t, std::variant_size_v<Action>> counts_{};
};

// Line i of the file is the digest of stream i.
std::vector<std::uint64_t> ReadDigests() {
  std::ifstream file(POLICY_DIGESTS);
  std::vector<std::uint64_t> digests;
  std::string line;
  while (std::getline(file, line)) digests.push_back(std::stoull(line, nullptr, 16));
  return digests;
}

TEST(PolicyCharacterization, ReproducesTheRecordedActionsOfEveryStream) {
  std::vector<std::uint64_t> digests;
  std::array<std::uint64_t, std::variant_size_v<Action>> counts{};
  for (int number = 0; number < kStreams; ++number) {
    Stream stream(number);
    stream.Run();
    digests.push_back(stream.digest());
    for (std::size_t kind = 0; kind < counts.size(); ++kind) counts[kind] += stream.counts()[kind];
  }
  for (std::size_t kind = 0; kind < counts.size(); ++kind) {
    EXPECT_GE(counts[kind], 100u) << "the streams cause too few actions of kind " << kind;
  }
  if (const char* path = std::getenv("POLICY_DIGESTS_OUT")) {
    std::ofstream file(path);
    for (const std::uint64_t digest : digests) file << std::hex << digest << "\n";
  }
  const std::vector<std::uint64_t> recorded = ReadDigests();
  ASSERT_EQ(recorded.size(), digests.size());
  for (std::size_t number = 0; number < digests.size(); ++number) {
    EXPECT_EQ(digests[number], recorded[number]) << "stream " << number;
  }
}

}  // namespace
}  // namespace dispatch_policy
