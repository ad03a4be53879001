// What is posted to the platform and when, in virtual time.
#include "forwarder/notification_outbox.hpp"

#include <doctest/doctest.h>

#include <algorithm>

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

// What is to be posted at that time; a post whose answer never comes makes way.
Messages PostAt(Outbox& outbox, Outbox::Time now) {
  const auto post = outbox.NextPost(now);
  return post ? post->messages : Messages{};
}

TEST_CASE("a notification that allows a retry tells when") {
  const Notification notification{
      .id = "a\"b", .retry_allowed = true, .retry_after = std::chrono::milliseconds(250)};
  CHECK(NotificationLine(notification) ==
        "{\"id\":\"a\\\"b\",\"status\":\"deferred\",\"again_ms\":250}\n");
}

TEST_CASE("a notification without a retry tells that the message is undeliverable") {
  CHECK(NotificationLine({.id = "m"}) == "{\"id\":\"m\",\"status\":\"undeliverable\"}\n");
}

TEST_CASE("a post has its notifications in the order of their addition") {
  Outbox outbox;
  outbox.Add(Of(2), kStart);
  outbox.Add(Of(1), kStart);
  CHECK(PostAt(outbox, kStart) == Messages{2, 1});
}

TEST_CASE("what is new is posted at once, and confirmed once") {
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

// Guards against one post that is not answered holding back all that come behind it.
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

// Guards against a platform that always answers late being asked for ever.
TEST_CASE("a post stays until it is answered, however late, while others are repeated") {
  Outbox outbox;
  outbox.Add(Of(1), kStart);
  const auto first = outbox.NextPost(kStart);
  REQUIRE(first);
  for (auto now = kStart; now < kStart + seconds(4); now += milliseconds(5)) {
    if (const auto post = outbox.NextPost(now)) CHECK(post->makes_way != first->id);
  }
  const auto end = outbox.Complete(first->id, PostOutcome::kConfirmed, kStart + seconds(4));
  REQUIRE(end);
  CHECK(end->confirmed == Messages{1});
  CHECK(outbox.size() == 0);
}

TEST_CASE("what is not confirmed soon is posted again while the first post is waited for") {
  Outbox outbox;
  outbox.Add(Of(1), kStart);
  CHECK(PostAt(outbox, kStart) == Messages{1});
  CHECK(outbox.NextWakeUp() == kStart + Outbox::kFirstRepeat);
  const auto repeat = outbox.NextPost(kStart + Outbox::kFirstRepeat);
  REQUIRE(repeat);
  CHECK(repeat->messages == Messages{1});
  CHECK(repeat->repeats);
  CHECK(outbox.NextWakeUp() == kStart + 3 * Outbox::kFirstRepeat);
}

TEST_CASE("a post that failed is repeated sooner than one that is waited for") {
  Outbox outbox;
  outbox.Add(Of(1), kStart);
  const auto post = outbox.NextPost(kStart);
  REQUIRE(post);
  REQUIRE(outbox.Complete(post->id, PostOutcome::kFailed, kStart));
  CHECK(outbox.NextWakeUp() == kStart + Outbox::kFirstRetry);
  CHECK(PostAt(outbox, kStart + Outbox::kFirstRetry) == Messages{1});
}

// Guards against one line that the platform can't read holding back all that share its post.
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
  CHECK(outbox.NextWakeUp() > now + Outbox::kRejectedRetry / 2);
}

TEST_CASE("what was rejected takes turns with what is new") {
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

TEST_CASE("at another address everything that is not confirmed is posted at once") {
  Outbox outbox;
  outbox.Add(Of(1), kStart);
  const auto post = outbox.NextPost(kStart);
  REQUIRE(post);
  outbox.RepostAll(kStart + milliseconds(1));
  outbox.Complete(post->id, PostOutcome::kFailed, kStart + milliseconds(1));
  CHECK(PostAt(outbox, kStart + milliseconds(1)) == Messages{1});
}

TEST_CASE("a post stays within the bounds of its body and of its lines") {
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

}  // namespace
}  // namespace brassfront
