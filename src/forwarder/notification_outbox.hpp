// Stores the notifications that the platform has not confirmed yet, and decides which posts carry
// them and when, which notifications are posted again, and what the outcome of a post means for
// each of its notifications. Does no I/O and reads no clock: the caller passes all times. Used by
// one thread.
//
// The outbox guarantees that a notification is part of a post within kMaxPostDelay of being due,
// whatever the outcome of other posts is, and that it is posted repeatedly until a post that
// contains it is confirmed. A notification that arrives twice does no harm, so a post that is not
// answered soon is repeated while its answer is still pending. Until kUrgentTime after its
// addition, a notification is repeated at even intervals, so that ten posts or more may reach the
// platform in time. After that an exponential backoff protects a platform that has problems.
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
  std::uint64_t message = 0;   // the caller's number of the message
  std::string id{};            // the client's id of the message
  bool retry_allowed = false;  // true: the client may submit it again; false: it is undeliverable
  std::chrono::milliseconds retry_after{};  // used if a retry is allowed
};

// Returns the notification's line in a post, with the newline.
[[nodiscard]] std::string NotificationLine(const Notification& notification);

// The platform's answer to a post.
enum class PostOutcome {
  kConfirmed,  // the platform accepted all notifications of the post
  kRejected,   // the platform accepted none of them, because it could not read a part of the post
  kFailed      // unknown: no answer, an incomplete answer, or an error
};

class NotificationOutbox {
 public:
  using Time = std::chrono::nanoseconds;
  using MessageId = std::uint64_t;
  using PostId = std::uint64_t;

  // Maximum number of posts that wait for an answer at once, each on its own connection.
  static constexpr std::size_t kMaxPosts = 8;
  // Maximum number of these posts that are protected: they run until they end, so that a platform
  // that is always slow confirms them eventually. They carry the notifications that were not
  // confirmed soon. The other posts may be replaced by posts of new notifications.
  static constexpr std::size_t kMaxProtectedPosts = 2;
  // Minimum time between the starts of two posts while a post is pending. Most answers arrive
  // sooner.
  static constexpr std::chrono::milliseconds kPostSpacing{25};
  // Minimum age at which a post may be replaced.
  static constexpr std::chrono::milliseconds kMinAgeToReplace{100};
  static constexpr std::chrono::milliseconds kMaxPostDelay = kMinAgeToReplace + 2 * kPostSpacing;
  // A notification is urgent for this long; the platform counts it as late soon afterwards.
  static constexpr std::chrono::milliseconds kUrgentTime{300};
  // An urgent notification whose post is not answered is repeated after kFirstRepeat, and then each
  // time after kUrgentRepeat.
  static constexpr std::chrono::milliseconds kFirstRepeat{50};
  static constexpr std::chrono::milliseconds kUrgentRepeat = kPostSpacing;
  // A notification that is not urgent is repeated with doubled delays, up to this.
  static constexpr std::chrono::milliseconds kLongestRepeat{250};
  // An urgent notification whose post failed, or that was rejected alone, is posted again after
  // this time at the latest, together with all other such notifications.
  static constexpr std::chrono::milliseconds kFirstRetry{20};
  // A notification that is not urgent is posted again with doubled delays of up to kLongestRetry if
  // its post failed, and after kRejectedRetry if it was rejected alone.
  static constexpr std::chrono::milliseconds kLongestRetry{160};
  static constexpr std::chrono::milliseconds kRejectedRetry{1000};
  static constexpr std::size_t kMaxBatchSize = 500;  // notifications per post
  static constexpr std::size_t kMaxPostBytes = std::size_t{64} * 1024;

  struct Post {
    PostId id = 0;
    std::string body{};
    std::vector<MessageId> messages{};
    Time oldest_added_at{};                 // addition of its oldest notification
    bool repeats = false;                   // whether a notification in it was posted before
    std::optional<PostId> replaced_post{};  // to be abandoned; its answer no longer matters
  };

  // The result of a post for its notifications.
  struct PostEnd {
    std::vector<MessageId> confirmed{};      // each message is returned by one post only
    std::optional<std::string> rejected{};   // the id of a notification that was rejected alone
    std::size_t messages = 0;                // number of messages in the post
    std::chrono::nanoseconds elapsed{};      // since the post started
    std::chrono::nanoseconds oldest_wait{};  // since the addition of its oldest notification
  };

  // Adds a message's notification, to be posted at `due`, or now if that has passed. Has no effect
  // if the message already has one.
  void Add(const Notification& notification, Time now, Time due);
  void Add(const Notification& notification, Time now) { Add(notification, now, now); }
  // Must be called when the message needs no notification any more. Ignores unknown messages.
  void Remove(MessageId message);

  // Returns the next post to start by now. Must be called until it returns nothing.
  [[nodiscard]] std::optional<Post> NextPost(Time now);
  // Must be called when a post has ended. Returns nothing if the post was replaced before.
  std::optional<PostEnd> Complete(PostId post, PostOutcome outcome, Time now);
  // Must be called when the platform's address has changed: all posted notifications that are not
  // confirmed are posted again at once.
  void RepostAll(Time now);

  // Returns when to call NextPost next; Time::max() if nothing is to be posted.
  [[nodiscard]] Time NextWakeUp() const;

  [[nodiscard]] std::size_t size() const { return pending_.size(); }
  // Returns when the oldest unconfirmed notification was added; nothing if there is none.
  [[nodiscard]] std::optional<Time> OldestAddedAt() const;

 private:
  // Notifications that may be repeated in the same post.
  struct Group {
    std::size_t max_batch = kMaxBatchSize;  // halved by each rejection
    // Whether this is the group of urgent notifications that were rejected alone. The platform may
    // accept them the next time.
    bool rejected_alone = false;

    friend bool operator==(const Group& left, const Group& right) = default;
  };
  struct Pending {
    std::string id;
    std::string line;
    Time added_at{};          // or when it was due, if that was later
    std::uint64_t order = 0;  // position in the order of additions
    Time urgent_until{};
    Time repeat_at{};              // set once it was posted, or if it is due later
    std::uint32_t posts = 0;       // number of its posts so far
    std::uint32_t late_posts = 0;  // number of its posts when it was no longer urgent
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
  // Returns the group of the first due repeat that was rejected before; nothing if there is none.
  [[nodiscard]] std::optional<Group> FindRejectedGroup(Time now) const;
  [[nodiscard]] Post BeginPost(const std::vector<MessageId>& batch, Time now);
  // Returns the oldest post that may be replaced; the end iterator if all posts are protected.
  [[nodiscard]] std::map<PostId, RunningPost>::const_iterator FindOldestReplaceable() const;
  [[nodiscard]] std::size_t CountProtectedPosts() const;
  [[nodiscard]] Time EarliestStart() const;
  void RepeatAt(MessageId message, Pending& pending, Time at);
  // RepeatTime returns when the notification is posted again if its post is not answered, and
  // RetryTime if its post failed.
  [[nodiscard]] static Time RepeatTime(const Pending& pending, Time now);
  [[nodiscard]] Time RetryTime(const Pending& pending, Time now);
  // Returns the next common time for all urgent retries, so that the number of posts does not grow
  // with the number of retries.
  [[nodiscard]] Time SharedRetryTime(Time now);
  void RejectAlone(MessageId message, Pending& pending, Time now);
  void Confirm(const RunningPost& post, PostEnd& end);
  void Reject(const RunningPost& post, PostEnd& end, Time now);
  void SetGroup(Pending& pending, const Group& group);
  void Retry(const RunningPost& post, Time now);

  std::map<MessageId, Pending> pending_;
  std::map<std::uint64_t, MessageId> unposted_;  // pending and never posted, by their order
  std::uint64_t next_order_ = 0;
  std::set<Repeat> repeats_;  // pending, and posted before or due later
  std::size_t rejected_ = 0;  // number of repeats that are not in the default group
  Time shared_retry_at_{};
  std::map<PostId, RunningPost> running_;
  PostId next_post_ = 1;
  Time last_start_{};
  bool rejected_are_next_ = false;  // so that new notifications do not starve rejected ones
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_NOTIFICATION_OUTBOX_HPP_
