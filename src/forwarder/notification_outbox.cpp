#include "forwarder/notification_outbox.hpp"

#include <algorithm>
#include <utility>

#include "protocol/json.hpp"

namespace brassfront {
namespace {

using std::chrono::milliseconds;

// Returns the first delay, doubled for each further post, up to the longest delay.
milliseconds DelayAfter(std::uint32_t posts, milliseconds first, milliseconds longest) {
  milliseconds delay = first;
  for (std::uint32_t i = 1; i < posts && delay < longest; ++i) delay *= 2;
  return std::min(delay, longest);
}

}  // namespace

std::string NotificationLine(const Notification& notification) {
  const std::string id = json::Quote(notification.id);
  if (!notification.retry_allowed) return R"({"id":)" + id + R"(,"status":"undeliverable"})" + "\n";
  const std::string retry_after_ms = std::to_string(notification.retry_after.count());
  return R"({"id":)" + id + R"(,"status":"deferred","again_ms":)" + retry_after_ms + "}\n";
}

void NotificationOutbox::Add(const Notification& notification, Time now, Time due) {
  const Time added_at = std::max(now, due);
  Pending pending{.id = notification.id,
                  .line = NotificationLine(notification),
                  .added_at = added_at,
                  .order = next_order_,
                  .urgent_until = added_at + kUrgentTime};
  const auto [added, is_new] = pending_.try_emplace(notification.message, std::move(pending));
  if (!is_new) return;
  ++next_order_;
  if (due > now) return RepeatAt(notification.message, added->second, due);
  unposted_.emplace(added->second.order, notification.message);
}

void NotificationOutbox::Remove(MessageId message) {
  const auto it = pending_.find(message);
  if (it == pending_.end()) return;
  unposted_.erase(it->second.order);
  repeats_.erase({it->second.repeat_at, message});
  if (it->second.group != Group{}) --rejected_;
  pending_.erase(it);
}

std::optional<NotificationOutbox::Post> NotificationOutbox::NextPost(Time now) {
  if (NextWakeUp() > now) return std::nullopt;
  const std::vector<MessageId> batch = CollectBatch(now);
  if (batch.empty()) return std::nullopt;
  return BeginPost(batch, now);
}

// New notifications go first, together with the repeats that are due. Rejected notifications go in
// posts of their own, which alternate with the others.
std::vector<NotificationOutbox::MessageId> NotificationOutbox::CollectBatch(Time now) {
  const std::optional<Group> rejected = FindRejectedGroup(now);
  if (rejected && (rejected_are_next_ || unposted_.empty())) {
    rejected_are_next_ = false;
    return CollectRepeats(now, *rejected);
  }
  rejected_are_next_ = rejected.has_value();
  std::vector<MessageId> batch;
  for (auto it = unposted_.begin(); it != unposted_.end() && batch.size() < kMaxBatchSize; ++it) {
    batch.push_back(it->second);
  }
  const std::vector<MessageId> repeats = CollectRepeats(now, Group{});
  batch.insert(batch.end(), repeats.begin(), repeats.end());
  return batch;
}

std::vector<NotificationOutbox::MessageId> NotificationOutbox::CollectRepeats(
    Time now, const Group& group) const {
  // A slow platform reads only the protected posts, so these also carry repeats that are not due.
  const bool will_be_protected = CountProtectedPosts() < kMaxProtectedPosts;
  std::vector<MessageId> batch;
  for (const Repeat& repeat : repeats_) {
    const bool is_due = repeat.at <= now;
    if (batch.size() >= group.max_batch || (!is_due && !will_be_protected)) break;
    const Pending& pending = pending_.at(repeat.message);
    const bool is_old = pending.added_at + kFirstRepeat <= now;
    if (pending.group == group && (is_due || is_old)) batch.push_back(repeat.message);
  }
  return batch;
}

std::optional<NotificationOutbox::Group> NotificationOutbox::FindRejectedGroup(Time now) const {
  if (rejected_ == 0) return std::nullopt;
  for (const Repeat& repeat : repeats_) {
    if (repeat.at > now) break;
    const Group& group = pending_.at(repeat.message).group;
    if (group != Group{}) return group;
  }
  return std::nullopt;
}

// Starts a post with as much of the batch as fits.
NotificationOutbox::Post NotificationOutbox::BeginPost(const std::vector<MessageId>& batch,
                                                       Time now) {
  Post post{.id = next_post_++, .oldest_added_at = now};
  if (running_.size() >= kMaxPosts) {
    const auto oldest = FindOldestReplaceable();
    post.replaced_post = oldest->first;
    running_.erase(oldest);
  }
  for (const MessageId message : batch) {
    Pending& pending = pending_.at(message);
    const bool fits = post.body.size() + pending.line.size() <= kMaxPostBytes;
    if (!post.messages.empty() && (!fits || post.messages.size() >= kMaxBatchSize)) break;
    post.body += pending.line;
    post.messages.push_back(message);
    post.oldest_added_at = std::min(post.oldest_added_at, pending.added_at);
    post.repeats = post.repeats || pending.posts > 0;
    ++pending.posts;
    if (now >= pending.urgent_until) ++pending.late_posts;
    RepeatAt(message, pending, RepeatTime(pending, now));
  }
  running_[post.id] = {.messages = post.messages,
                       .started_at = now,
                       .oldest_added_at = post.oldest_added_at,
                       .is_protected = CountProtectedPosts() < kMaxProtectedPosts};
  last_start_ = now;
  return post;
}

std::optional<NotificationOutbox::PostEnd> NotificationOutbox::Complete(PostId post,
                                                                        PostOutcome outcome,
                                                                        Time now) {
  const auto node = running_.extract(post);
  if (node.empty()) return std::nullopt;
  const RunningPost& ended = node.mapped();
  PostEnd end{.messages = ended.messages.size(),
              .elapsed = now - ended.started_at,
              .oldest_wait = now - ended.oldest_added_at};
  switch (outcome) {
    case PostOutcome::kConfirmed:
      Confirm(ended, end);
      break;
    case PostOutcome::kRejected:
      Reject(ended, end, now);
      break;
    case PostOutcome::kFailed:
      Retry(ended, now);
      break;
  }
  return end;
}

void NotificationOutbox::Confirm(const RunningPost& post, PostEnd& end) {
  for (const MessageId message : post.messages) {
    if (pending_.count(message) == 0) continue;
    end.confirmed.push_back(message);
    Remove(message);
  }
}

// Each half is posted separately, until the notification that cannot be read is alone in a post.
void NotificationOutbox::Reject(const RunningPost& post, PostEnd& end, Time now) {
  const std::size_t half = post.messages.size() / 2;
  for (const MessageId message : post.messages) {
    const auto it = pending_.find(message);
    if (it == pending_.end()) continue;
    Pending& pending = it->second;
    if (half == 0) end.rejected = pending.id;
    if (half == 0 || pending.group.rejected_alone) {
      RejectAlone(message, pending, now);
      continue;
    }
    SetGroup(pending, {.max_batch = std::clamp<std::size_t>(half, 1, pending.group.max_batch)});
    RepeatAt(message, pending, now);
  }
}

// A platform that rejects a share of all posts may accept the notification the next time. Its posts
// are not halved again, so that an unreadable notification costs only one search.
void NotificationOutbox::RejectAlone(MessageId message, Pending& pending, Time now) {
  const bool urgent = now < pending.urgent_until;
  SetGroup(pending, urgent ? Group{.rejected_alone = true} : Group{.max_batch = 1});
  RepeatAt(message, pending, urgent ? SharedRetryTime(now) : now + kRejectedRetry);
}

void NotificationOutbox::SetGroup(Pending& pending, const Group& group) {
  if (pending.group != Group{}) --rejected_;
  pending.group = group;
  if (pending.group != Group{}) ++rejected_;
}

void NotificationOutbox::Retry(const RunningPost& post, Time now) {
  for (const MessageId message : post.messages) {
    const auto it = pending_.find(message);
    if (it == pending_.end()) continue;
    Pending& pending = it->second;
    RepeatAt(message, pending, std::min(pending.repeat_at, RetryTime(pending, now)));
  }
}

void NotificationOutbox::RepostAll(Time now) {
  for (auto& [message, pending] : pending_) {
    if (unposted_.count(pending.order) != 0) continue;
    pending.posts = pending.late_posts = 0;
    pending.urgent_until = now + kUrgentTime;
    RepeatAt(message, pending, now);
  }
}

NotificationOutbox::Time NotificationOutbox::RepeatTime(const Pending& pending, Time now) {
  if (now >= pending.urgent_until) {
    return now + DelayAfter(pending.late_posts, kFirstRepeat, kLongestRepeat);
  }
  return now + (pending.posts > 1 ? kUrgentRepeat : kFirstRepeat);
}

NotificationOutbox::Time NotificationOutbox::RetryTime(const Pending& pending, Time now) {
  if (now < pending.urgent_until) return SharedRetryTime(now);
  return now + DelayAfter(pending.late_posts, kFirstRetry, kLongestRetry);
}

NotificationOutbox::Time NotificationOutbox::SharedRetryTime(Time now) {
  if (shared_retry_at_ <= now) shared_retry_at_ = now + kFirstRetry;
  return shared_retry_at_;
}

void NotificationOutbox::RepeatAt(MessageId message, Pending& pending, Time at) {
  unposted_.erase(pending.order);
  repeats_.erase({pending.repeat_at, message});
  pending.repeat_at = at;
  repeats_.insert({at, message});
}

NotificationOutbox::Time NotificationOutbox::NextWakeUp() const {
  if (!unposted_.empty()) return EarliestStart();
  if (repeats_.empty()) return Time::max();
  return std::max(repeats_.begin()->at, EarliestStart());
}

NotificationOutbox::Time NotificationOutbox::EarliestStart() const {
  if (running_.empty()) return Time::min();
  const Time spaced = last_start_ + kPostSpacing;
  if (running_.size() < kMaxPosts) return spaced;
  return std::max(spaced, FindOldestReplaceable()->second.started_at + kMinAgeToReplace);
}

// Post ids increase in the order of the starts. A replaceable post exists if kMaxPosts are running.
std::map<NotificationOutbox::PostId, NotificationOutbox::RunningPost>::const_iterator
NotificationOutbox::FindOldestReplaceable() const {
  return std::find_if(running_.begin(), running_.end(),
                      [](const auto& entry) { return !entry.second.is_protected; });
}

std::size_t NotificationOutbox::CountProtectedPosts() const {
  return static_cast<std::size_t>(
      std::count_if(running_.begin(), running_.end(),
                    [](const auto& entry) { return entry.second.is_protected; }));
}

std::optional<NotificationOutbox::Time> NotificationOutbox::OldestAddedAt() const {
  std::optional<Time> oldest;
  for (const auto& [message, pending] : pending_) {
    oldest = std::min(oldest.value_or(pending.added_at), pending.added_at);
  }
  return oldest;
}

}  // namespace brassfront
