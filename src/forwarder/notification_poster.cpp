#include "forwarder/notification_poster.hpp"

#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

#include "observe/log.hpp"
#include "observe/metrics.hpp"

namespace brassfront {
namespace {

using observe::Concern;
using observe::Level;

std::int64_t InMilliseconds(NotificationPoster::Time duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

constexpr int kHttpNoContent = 204;  // confirms all notifications of a post
constexpr int kHttpBadRequest = 400;
constexpr int kHttpContentTooLarge = 413;

std::string_view ToString(PostOutcome outcome) {
  switch (outcome) {
    case PostOutcome::kConfirmed:
      return "confirmed";
    case PostOutcome::kRejected:
      return "rejected";
    case PostOutcome::kFailed:
      return "failed";
  }
  return "unknown";
}

// Logs one line per post: its size, its outcome, and how long its oldest notification has waited.
void LogPost(const NotificationPostResult& result, const NotificationOutbox::PostEnd& end) {
  observe::Log(Concern::kPlatform, Level::kInfo, "notifications posted",
               {{"post", result.post},
                {"count", end.messages},
                {"status", result.status},
                {"elapsed_ms", InMilliseconds(end.elapsed)},
                {"oldest_ms", InMilliseconds(end.oldest_wait)}});
  observe::Count("notification_posts_total", {"outcome", ToString(ToPostOutcome(result.status))});
  if (!end.rejected) return;
  observe::LogRateLimited(Concern::kPlatform, Level::kError, "notification rejected",
                          {{"id", *end.rejected}, {"status", result.status}});
}

}  // namespace

PostOutcome ToPostOutcome(int status) {
  if (status == kHttpNoContent) return PostOutcome::kConfirmed;
  const bool rejected = status == kHttpBadRequest || status == kHttpContentTooLarge;
  return rejected ? PostOutcome::kRejected : PostOutcome::kFailed;
}

// Must be called after a decision, so that the calls of the messages that were given up have been
// cancelled.
void NotificationPoster::StartDue(Time now) {
  while (auto post = outbox_.NextPost(now)) {
    if (post->replaced_post) client_.Abandon(*post->replaced_post);
    const auto reuse =
        post->repeats ? NotificationClient::Reuse::kForbidden : NotificationClient::Reuse::kAllowed;
    client_.Start(post->id, std::move(post->body), reuse);
  }
}

std::vector<NotificationPoster::MessageId> NotificationPoster::Complete(
    const NotificationPostResult& result, Time now) {
  auto end = outbox_.Complete(result.post, ToPostOutcome(result.status), now);
  if (!end) return {};
  LogPost(result, *end);
  return std::move(end->confirmed);
}

void NotificationPoster::SetAddress(const std::string& address, Time now) {
  client_.SetAddress(address);
  outbox_.RepostAll(now);
}

void NotificationPoster::PublishMetrics(Time now) const {
  observe::SetGauge("notifications_unconfirmed", {}, static_cast<std::int64_t>(outbox_.size()));
  const Time oldest_wait = now - outbox_.OldestAddedAt().value_or(now);
  observe::SetGauge("notification_oldest_ms", {}, InMilliseconds(oldest_wait));
}

}  // namespace brassfront
