// Tests what is posted to the platform and when, in virtual time.
#include "forwarder/notification_outbox.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

namespace brassfront {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Outbox = NotificationOutbox;
using Messages = std::vector<Outbox::MessageId>;

constexpr Outbox::Time kStart = seconds(100);

Notification Of(Outbox::MessageId message) {
  return {.message = message, .id = "m" + std::to_string(message)};
}

// Returns the messages of the next post at that time; its answer never arrives.
Messages PostAt(Outbox& outbox, Outbox::Time now) {
  const auto post = outbox.NextPost(now);
  return post ? post->messages : Messages{};
}

TEST_CASE("a notification that allows a retry contains the delay") {
  const Notification notification{
      .id = "a\"b", .retry_allowed = true, .retry_after = std::chrono::milliseconds(250)};
  CHECK(NotificationLine(notification) ==
        "{\"id\":\"a\\\"b\",\"status\":\"deferred\",\"again_ms\":250}\n");
}

TEST_CASE("a notification without a retry reports the message as undeliverable") {
  CHECK(NotificationLine({.id = "m"}) == "{\"id\":\"m\",\"status\":\"undeliverable\"}\n");
}

TEST_CASE("a post contains its notifications in the order of their addition") {
  Outbox outbox;
  outbox.Add(Of(2), kStart);
  outbox.Add(Of(1), kStart);
  CHECK(PostAt(outbox, kStart) == Messages{2, 1});
}

TEST_CASE("new notifications are posted at once, and confirmed once") {
  Outbox outbox;
  outbox.Add(Of(1), kStart);
  outbox.Add(Of(2), kStart);
  const auto post = outbox.NextPost(kStart);
  REQUIRE(post);
  CHECK(post->messages == Messages{1, 2});
  CHECK_FALSE(post->repeats);
  CHECK(post->body == NotificationLine(Of(1)) + NotificationLine(Of(2)));
  CHECK_FALSE(outbox.NextPost(kStart));
  const auto end = outbox.Complete(post->id, PostOutcome::kConfirmed, kStart + milliseconds(1));
  REQUIRE(end);
  CHECK(end->confirmed == Messages{1, 2});
  CHECK(end->elapsed == milliseconds(1));
  CHECK(outbox.NextWakeUp() == Outbox::Time::max());
  CHECK_FALSE(outbox.Complete(post->id, PostOutcome::kConfirmed, kStart));
}

// Guards against an unanswered post that delays all later notifications.
TEST_CASE("a new notification is posted in time, however many posts are not answered") {
  Outbox outbox;
  Outbox::MessageId next = 1;
  for (auto now = kStart; now < kStart + seconds(10); now += milliseconds(5)) {
    const auto message = next++;
    outbox.Add(Of(message), now);
    auto at = now;
    bool posted = false;
    while (!posted && at <= now + Outbox::kMaxPostDelay) {
      const auto post = outbox.NextPost(at);
      posted = post && std::count(post->messages.begin(), post->messages.end(), message) > 0;
      at = std::max(at + milliseconds(1), std::min(outbox.NextWakeUp(), at + milliseconds(5)));
    }
    CHECK(posted);
    now = at;
  }
}

// Guards against endless repeats at a platform that always answers late.
TEST_CASE("a protected post waits for a late answer while its notifications are repeated") {
  Outbox outbox;
  outbox.Add(Of(1), kStart);
  const auto first = outbox.NextPost(kStart);
  REQUIRE(first);
  for (auto now = kStart; now < kStart + seconds(4); now += milliseconds(5)) {
    if (const auto post = outbox.NextPost(now)) CHECK(post->replaced_post != first->id);
  }
  const auto end = outbox.Complete(first->id, PostOutcome::kConfirmed, kStart + seconds(4));
  REQUIRE(end);
  CHECK(end->confirmed == Messages{1});
  CHECK(outbox.size() == 0);
}

TEST_CASE("an unconfirmed notification is posted again while its first post is pending") {
  Outbox outbox;
  outbox.Add(Of(1), kStart);
  CHECK(PostAt(outbox, kStart) == Messages{1});
  CHECK(outbox.NextWakeUp() == kStart + Outbox::kFirstRepeat);
  const auto repeat = outbox.NextPost(kStart + Outbox::kFirstRepeat);
  REQUIRE(repeat);
  CHECK(repeat->messages == Messages{1});
  CHECK(repeat->repeats);
  CHECK(outbox.NextWakeUp() == kStart + Outbox::kFirstRepeat + Outbox::kUrgentRepeat);
}

TEST_CASE("a post that failed is repeated sooner than a pending one") {
  Outbox outbox;
  outbox.Add(Of(1), kStart);
  const auto post = outbox.NextPost(kStart);
  REQUIRE(post);
  REQUIRE(outbox.Complete(post->id, PostOutcome::kFailed, kStart));
  CHECK(outbox.NextWakeUp() == kStart + Outbox::kFirstRetry);
  CHECK(PostAt(outbox, kStart + Outbox::kFirstRetry) == Messages{1});
}

// Guards against an unreadable line that blocks all other notifications of its post.
TEST_CASE("a rejected post is halved until the notification that cannot be read is alone") {
  Outbox outbox;
  constexpr Outbox::MessageId kUnreadable = 77;
  for (Outbox::MessageId message = 1; message <= 100; ++message) outbox.Add(Of(message), kStart);
  std::optional<std::string> rejected;
  auto now = kStart;
  while (!rejected) {
    REQUIRE(now < kStart + seconds(1));
    while (const auto post = outbox.NextPost(now)) {
      const bool readable =
          std::count(post->messages.begin(), post->messages.end(), kUnreadable) == 0;
      const auto outcome = readable ? PostOutcome::kConfirmed : PostOutcome::kRejected;
      const auto end = outbox.Complete(post->id, outcome, now);
      REQUIRE(end);
      if (end->rejected) rejected = end->rejected;
    }
    now += milliseconds(1);
  }
  CHECK(*rejected == Of(kUnreadable).id);
  CHECK(outbox.size() == 1);
  CHECK(outbox.NextWakeUp() <= now + Outbox::kFirstRetry);
  while (outbox.NextWakeUp() < kStart + Outbox::kUrgentTime) {
    now = outbox.NextWakeUp();
    const auto post = outbox.NextPost(now);
    REQUIRE(post);
    CHECK(post->messages == Messages{kUnreadable});
    REQUIRE(outbox.Complete(post->id, PostOutcome::kRejected, now));
  }
  now = outbox.NextWakeUp();
  const auto last = outbox.NextPost(now);
  REQUIRE(last);
  REQUIRE(outbox.Complete(last->id, PostOutcome::kRejected, now));
  CHECK(outbox.NextWakeUp() > now + Outbox::kRejectedRetry / 2);
}

TEST_CASE("rejected notifications alternate with new ones") {
  Outbox outbox;
  outbox.Add(Of(1), kStart);
  const auto first = outbox.NextPost(kStart);
  REQUIRE(first);
  outbox.Complete(first->id, PostOutcome::kRejected, kStart);
  const auto due = kStart + Outbox::kRejectedRetry;
  bool repeated = false;
  auto now = due;
  for (Outbox::MessageId message = 2; message < 6; ++message, now += Outbox::kPostSpacing) {
    outbox.Add(Of(message), now);
    repeated = repeated || PostAt(outbox, now) == Messages{1};
  }
  CHECK(repeated);
}

TEST_CASE("after a change of the address all unconfirmed notifications are posted at once") {
  Outbox outbox;
  outbox.Add(Of(1), kStart);
  const auto post = outbox.NextPost(kStart);
  REQUIRE(post);
  outbox.RepostAll(kStart + milliseconds(1));
  outbox.Complete(post->id, PostOutcome::kFailed, kStart + milliseconds(1));
  CHECK(PostAt(outbox, kStart + milliseconds(1)) == Messages{1});
}

TEST_CASE("a post stays within the maximum body size and number of lines") {
  Outbox outbox;
  for (Outbox::MessageId message = 1; message <= 501; ++message) outbox.Add(Of(message), kStart);
  CHECK(PostAt(outbox, kStart).size() == Outbox::kMaxBatchSize);
  Outbox large;
  const std::string id(40'000, 'x');
  large.Add({.message = 1, .id = id}, kStart);
  large.Add({.message = 2, .id = id}, kStart);
  CHECK(PostAt(large, kStart) == Messages{1});
}

TEST_CASE("a message that needs no notification any more is not posted again") {
  Outbox outbox;
  outbox.Add(Of(1), kStart);
  const auto post = outbox.NextPost(kStart);
  REQUIRE(post);
  outbox.Remove(1);
  CHECK(outbox.NextWakeUp() == Outbox::Time::max());
  const auto end = outbox.Complete(post->id, PostOutcome::kConfirmed, kStart);
  REQUIRE(end);
  CHECK(end->confirmed.empty());
}

// The protocol page's limit: a notification is read this soon after its message's deadline.
constexpr milliseconds kReadWithin{300};

// An agent that has a fault for a random share of posts, and reads the other posts at once.
class UnreliableAgent {
 public:
  enum class Fault { kCut, kSilent, kRefused };

  UnreliableAgent(Fault fault, double share) : fault_(fault), share_(share) {}

  // Adds notifications at random times. Returns the number of those that were not read in time.
  [[nodiscard]] std::size_t CountLate(Outbox::MessageId notifications) {
    std::exponential_distribution<double> pause_ms(kNotificationsPerMs);
    Outbox::Time now = kStart;
    for (Outbox::MessageId message = 1; message <= notifications; ++message) {
      const auto add_at = now + std::chrono::duration_cast<Outbox::Time>(
                                    std::chrono::duration<double, std::milli>(pause_ms(random_)));
      now = PlayUntil(now, add_at);
      outbox_.Add(Of(message), now);
      added_at_[message] = now;
    }
    PlayUntil(now, now + seconds(30));
    return late_ + added_at_.size();
  }

 private:
  static constexpr double kNotificationsPerMs = 0.12;
  static constexpr milliseconds kAnswersAfter{1};

  struct Answer {
    Outbox::PostId post = 0;
    PostOutcome outcome = PostOutcome::kFailed;
  };

  Outbox::Time PlayUntil(Outbox::Time now, Outbox::Time end) {
    while (true) {
      const auto answer_at = answers_.empty() ? Outbox::Time::max() : answers_.begin()->first;
      const auto next = std::max(now, std::min(answer_at, outbox_.NextWakeUp()));
      if (next > end) return end;
      now = next;
      if (answer_at <= now) {
        outbox_.Complete(answers_.begin()->second.post, answers_.begin()->second.outcome, now);
        answers_.erase(answers_.begin());
      }
      while (const auto post = outbox_.NextPost(now)) Take(*post, now);
    }
  }

  void Take(const Outbox::Post& post, Outbox::Time now) {
    const bool meets_fault = std::bernoulli_distribution(share_)(random_);
    if (!meets_fault) Read(post, now);
    if (meets_fault && fault_ == Fault::kSilent) return;
    const auto fault = fault_ == Fault::kRefused ? PostOutcome::kRejected : PostOutcome::kFailed;
    answers_.emplace(now + kAnswersAfter,
                     Answer{post.id, meets_fault ? fault : PostOutcome::kConfirmed});
  }

  void Read(const Outbox::Post& post, Outbox::Time now) {
    for (const Outbox::MessageId message : post.messages) {
      const auto added = added_at_.extract(message);
      if (!added.empty() && now - added.mapped() > kReadWithin) ++late_;
    }
  }

  const Fault fault_;
  const double share_;
  std::mt19937_64 random_{1};
  Outbox outbox_;
  std::map<Outbox::MessageId, Outbox::Time> added_at_;  // of notifications that were not read yet
  std::multimap<Outbox::Time, Answer> answers_;
  std::size_t late_ = 0;
};

// Guards against a backoff that leaves only a few posts for a notification before it is late.
TEST_CASE("if posts fail at random, notifications are late no more often than ten posts fail") {
  constexpr Outbox::MessageId kNotifications = 50'000;
  constexpr int kTriesInTime = 10;
  using Fault = UnreliableAgent::Fault;
  for (const Fault fault : {Fault::kCut, Fault::kSilent, Fault::kRefused}) {
    for (const double share : {0.3, 0.5}) {
      CAPTURE(static_cast<int>(fault));
      CAPTURE(share);
      const auto late = UnreliableAgent(fault, share).CountLate(kNotifications);
      CHECK(static_cast<double>(late) <= kNotifications * std::pow(share, kTriesInTime));
    }
  }
}

// Guards against a notification that no protected post carries until a slow platform reads it.
TEST_CASE("a platform that reads each post late reads each notification within two delays") {
  constexpr milliseconds kReadsAfter{600};
  constexpr milliseconds kReadBy = 2 * kReadsAfter + Outbox::kLongestRepeat + Outbox::kMaxPostDelay;
  constexpr Outbox::MessageId kNotifications = 200;
  Outbox outbox;
  std::map<Outbox::PostId, Outbox::Time> reads_at;
  std::map<Outbox::MessageId, Outbox::Time> added_at;
  std::mt19937_64 random(1);
  auto add_at = kStart;
  for (auto now = kStart; now < kStart + seconds(60); now += milliseconds(1)) {
    if (now >= add_at && added_at.size() < kNotifications) {
      const auto message = static_cast<Outbox::MessageId>(added_at.size() + 1);
      added_at[message] = now;
      outbox.Add(Of(message), now);
      add_at = now + milliseconds(random() % 400);
    }
    while (!reads_at.empty() && reads_at.begin()->second <= now) {
      const auto end = outbox.Complete(reads_at.begin()->first, PostOutcome::kConfirmed, now);
      reads_at.erase(reads_at.begin());
      if (!end) continue;
      for (const auto message : end->confirmed) CHECK(now - added_at.at(message) <= kReadBy);
    }
    while (const auto post = outbox.NextPost(now)) reads_at[post->id] = now + kReadsAfter;
  }
  CHECK(outbox.size() == 0);
}

// Guards against a number of retries per second that grows with the number of notifications.
TEST_CASE("a refusing agent gets 50 retries per second, and one post per new notification") {
  Outbox outbox;
  constexpr Outbox::MessageId kNotifications = 100;
  constexpr std::size_t kRetriesASecond = 50;
  std::size_t posts = 0;
  auto now = kStart;
  for (; now < kStart + seconds(1); now += milliseconds(1)) {
    const auto message = static_cast<Outbox::MessageId>((now - kStart) / milliseconds(10)) + 1;
    if ((now - kStart) % milliseconds(10) == Outbox::Time{}) outbox.Add(Of(message), now);
    while (const auto post = outbox.NextPost(now)) {
      ++posts;
      outbox.Complete(post->id, PostOutcome::kFailed, now);
    }
  }
  CHECK(posts <= kRetriesASecond + kNotifications);
}

}  // namespace
}  // namespace brassfront
