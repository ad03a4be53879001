// Sends the outbox's posts to the platform: starts the due posts, and reports the outcome of each
// post to the outbox. The outbox decides what is posted and when; NotificationClient manages
// sockets and threads.
#ifndef BRASSFRONT_FORWARDER_NOTIFICATION_POSTER_HPP_
#define BRASSFRONT_FORWARDER_NOTIFICATION_POSTER_HPP_

#include <string>
#include <vector>

#include "forwarder/notification_outbox.hpp"
#include "net/notification_client.hpp"

namespace brassfront {

// Returns the outcome of a post for the HTTP status of the platform's answer. Status 0 means that
// no complete answer was received.
[[nodiscard]] PostOutcome ToPostOutcome(int status);

// Used only by the engine's thread; `on_result` is called by the threads that send posts.
class NotificationPoster {
 public:
  using Time = NotificationOutbox::Time;
  using MessageId = NotificationOutbox::MessageId;

  // The outbox and the buffers must outlive the poster. Results must be passed to Complete. Throws
  // std::runtime_error if a thread cannot be created.
  NotificationPoster(const std::string& address, NotificationOutbox& outbox, BufferPool& buffers,
                     NotificationClient::OnResult on_result)
      : outbox_(outbox),
        client_(address, NotificationOutbox::kMaxPosts, buffers, std::move(on_result)) {}

  // Starts all posts that are due by now.
  void StartDue(Time now);
  // Must be called when a post has ended. Returns the messages whose notifications it has
  // confirmed, each once.
  [[nodiscard]] std::vector<MessageId> Complete(const NotificationPostResult& result, Time now);
  // Sets the platform's address and posts all unconfirmed notifications there.
  void SetAddress(const std::string& address, Time now);
  // Sets the gauges for unconfirmed notifications.
  void PublishMetrics(Time now) const;

 private:
  NotificationOutbox& outbox_;
  NotificationClient client_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_NOTIFICATION_POSTER_HPP_
