// The notifications that the platform has not confirmed yet, and the posts that carry them: what is
// posted when, what is posted again, and what a post's end means for each notification in it. No
// I/O and no clock: times are the caller's. Used by one thread.
//
// The law: a notification is part of a post within kMaxPostDelay of its addition, whatever became
// of any other post, and is posted again and again until a post that holds it is confirmed. A
// notification that arrives twice does no harm, so a post that is not answered soon is repeated
// while its answer is still waited for. Until kUrgentTime behind its addition it is posted again at
// even intervals, so that ten posts or more may reach the platform in time; from then on a backoff
// protects a platform that is in trouble.
#ifndef BRASSFRONT_FORWARDER_NOTIFICATION_OUTBOX_HPP_
#define BRASSFRONT_FORWARDER_NOTIFICATION_OUTBOX_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace brassfront {

struct Notification {
  std::uint64_t message = 0;   // the caller's number for it
  std::string id{};            // the client's id of the message
  bool retry_allowed = false;  // the client may submit it again; else it is undeliverable
  std::chrono::milliseconds retry_after{};  // if a retry is allowed
};

// The notification's line in a post, with its end.
[[nodiscard]] std::string NotificationLine(const Notification& notification);

// What the platform made of a post.
enum class PostOutcome {
  kConfirmed,  // all of its notifications
  kRejected,   // none of it, because it could not read a part of it
  kFailed      // unknown: no answer, an incomplete one, or an error
};

class NotificationOutbox {
 public:
  using Time = std::chrono::nanoseconds;
  using MessageId = std::uint64_t;
  using PostId = std::uint64_t;

  // Posts that are waited for at once, each on a connection of its own.
  static constexpr std::size_t kMaxPosts = 8;
  // Of these, so many are left alone until they end, so that a platform that is always slow
  // confirms at last: they carry whatever was not confirmed soon. The others make way for
  // notifications that were never posted.
  static constexpr std::size_t kMaxProtectedPosts = 2;
  // Between the starts of two posts while the first is waited for: most answers come sooner.
  static constexpr std::chrono::milliseconds kPostSpacing{25};
  // The age from which on a post makes way.
  static constexpr std::chrono::milliseconds kMinAgeToReplace{100};
  static constexpr std::chrono::milliseconds kMaxPostDelay = kMinAgeToReplace + 2 * kPostSpacing;
  // A notification is urgent for so long: the platform counts it as late soon afterwards.
  static constexpr std::chrono::milliseconds kUrgentTime{300};
  // An urgent one whose post is not answered is posted again after the first of these, then each
  // time after the second.
  static constexpr std::chrono::milliseconds kFirstRepeat{50};
  static constexpr std::chrono::milliseconds kUrgentRepeat = kPostSpacing;
  // One that is not urgent waits for twice as long each time, up to this.
  static constexpr std::chrono::milliseconds kLongestRepeat{250};
  // An urgent one whose post has failed, or that was rejected alone, is posted again after this at
  // the latest, with all others of which that holds.
  static constexpr std::chrono::milliseconds kFirstRetry{20};
  // One that is not urgent waits for twice as long each time, up to the first of these where its
  // post has failed, and for the second where it was rejected alone.
  static constexpr std::chrono::milliseconds kLongestRetry{160};
  static constexpr std::chrono::milliseconds kRejectedRetry{1000};
  static constexpr std::size_t kMaxBatchSize = 500;  // notifications in a post
  static constexpr std::size_t kMaxPostBytes = std::size_t{64} * 1024;

  struct Post {
    PostId id = 0;
    std::string body{};
    std::vector<MessageId> messages{};
    Time oldest_added_at{};                 // of its notifications
    bool repeats = false;                   // one that was posted before
    std::optional<PostId> replaced_post{};  // a post that is not waited for any more
  };

  // What a post's end says of its notifications.
  struct PostEnd {
    std::vector<MessageId> confirmed{};      // each message once over all posts
    std::optional<std::string> rejected{};   // the id of a notification that was rejected alone
    std::size_t messages = 0;                // in the post
    std::chrono::nanoseconds elapsed{};      // since the post began
    std::chrono::nanoseconds oldest_wait{};  // since the addition of its oldest notification
  };

  // A message's notification is added once.
  void Add(const Notification& notification, Time now);
  // The message needs no notification any more. Harmless for an unknown one.
  void Remove(MessageId message);

  // The next post to start by now; to be called until there is none.
  [[nodiscard]] std::optional<Post> NextPost(Time now);
  // A post has ended. None if it has made way before.
  std::optional<PostEnd> Complete(PostId post, PostOutcome outcome, Time now);
  // The platform is reached at another address: what is not confirmed is posted there at once.
  void RepostAll(Time now);

  // When to call NextPost next; Time::max() if nothing is to be posted.
  [[nodiscard]] Time NextWakeUp() const;

  [[nodiscard]] std::size_t size() const { return pending_.size(); }
  // When the oldest notification that is not confirmed was added; none if there is none.
  [[nodiscard]] std::optional<Time> OldestAddedAt() const;

 private:
  // Notifications that may be repeated in one post.
  struct Group {
    std::size_t max_batch = kMaxBatchSize;  // halved by each rejection
    // Of those that were rejected alone, and are urgent: the platform may take them the next time.
    bool rejected_alone = false;

    friend bool operator==(const Group& left, const Group& right) = default;
  };
  struct Pending {
    std::string id;
    std::string line;
    Time added_at{};
    std::uint64_t order = 0;  // of the addition
    Time urgent_until{};
    Time repeat_at{};              // once it was posted
    std::uint32_t posts = 0;       // so far
    std::uint32_t late_posts = 0;  // of these, when it was not urgent any more
    Group group{};
  };
  struct RunningPost {
    std::vector<MessageId> messages;
    Time started_at{};
    Time oldest_added_at{};
    bool is_protected = false;
  };
  struct Repeat {
    Time at{};
    MessageId message = 0;
    friend bool operator<(const Repeat& left, const Repeat& right) {
      return std::tie(left.at, left.message) < std::tie(right.at, right.message);
    }
  };

  [[nodiscard]] std::vector<MessageId> CollectBatch(Time now);
  [[nodiscard]] std::vector<MessageId> CollectRepeats(Time now, const Group& group) const;
  // The group of the first repeat that is due and was rejected before; none if there is none.
  [[nodiscard]] std::optional<Group> FindRejectedGroup(Time now) const;
  [[nodiscard]] Post BeginPost(const std::vector<MessageId>& batch, Time now);
  // The oldest post that may make way; none if all are patient.
  [[nodiscard]] std::map<PostId, RunningPost>::const_iterator FindOldestReplaceable() const;
  [[nodiscard]] std::size_t CountProtectedPosts() const;
  [[nodiscard]] Time EarliestStart() const;
  void RepeatAt(MessageId message, Pending& pending, Time at);
  // When it is posted again behind a post of which nothing was heard, or that failed.
  [[nodiscard]] static Time RepeatTime(const Pending& pending, Time now);
  [[nodiscard]] Time RetryTime(const Pending& pending, Time now);
  // The next time for all urgent retries, so that their posts do not grow in number with them.
  [[nodiscard]] Time SharedRetryTime(Time now);
  void RejectAlone(MessageId message, Pending& pending, Time now);
  void Confirm(const RunningPost& post, PostEnd& end);
  void Reject(const RunningPost& post, PostEnd& end, Time now);
  void SetGroup(Pending& pending, const Group& group);
  void Retry(const RunningPost& post, Time now);

  std::map<MessageId, Pending> pending_;
  std::map<std::uint64_t, MessageId> unposted_;  // of these, never posted; by their order
  std::uint64_t next_order_ = 0;
  std::set<Repeat> repeats_;  // the others
  std::size_t rejected_ = 0;  // of these, those that are not in the group of all others
  Time shared_retry_at_{};
  std::map<PostId, RunningPost> running_;
  PostId next_post_ = 1;
  Time last_start_{};
  bool rejected_are_next_ = false;  // so that new ones do not keep them out
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_NOTIFICATION_OUTBOX_HPP_
