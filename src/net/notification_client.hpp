// Carries posts of notifications to the platform, several at once, each on a connection of its own.
// What is posted, and what a post's end means, is up to the caller (forwarder/notification_outbox).
#ifndef BRASSFRONT_NET_NOTIFICATION_CLIENT_HPP_
#define BRASSFRONT_NET_NOTIFICATION_CLIENT_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "concurrency/thread_pool.hpp"
#include "net/http_client.hpp"

namespace brassfront {

// How a post ended.
struct NotificationPostResult {
  std::uint64_t post = 0;  // the caller's number for it
  int status = 0;          // of HTTP; 0: no whole answer came
};

class NotificationClient {
 public:
  // A connection may take so long to come up, where the platform's listener is crowded.
  static constexpr std::chrono::milliseconds kConnectTimeout{1500};
  // Of the whole answer, from the post's last byte. The platform answers at once; one that does not
  // is waited for while nothing else needs the connection.
  static constexpr std::chrono::milliseconds kAnswerTimeout{5000};

  // Called by the client's threads, once for each post.
  using OnResult = std::function<void(NotificationPostResult)>;

  // `max_posts`: at once, and connections. The buffers must outlive the client. Throws
  // std::runtime_error where the system has no room for a thread.
  NotificationClient(const std::string& address, std::size_t max_posts, BufferPool& buffers,
                     OnResult on_result);
  // Ends the posts that are running.
  ~NotificationClient();
  NotificationClient(const NotificationClient&) = delete;
  NotificationClient& operator=(const NotificationClient&) = delete;

  // Any thread may call what follows.

  // Whether an open connection may be used: it may have fallen silent unnoticed.
  enum class Reuse { kAllowed, kForbidden };
  // Never waits. The body's lines are notifications.
  void Start(std::uint64_t post, std::string body, Reuse reuse = Reuse::kAllowed);
  // The post's result does not matter any more: its connection is closed if it is running.
  void Abandon(std::uint64_t post);
  // Running posts end without an answer; later ones go to the new address. Without effect if it is
  // the same.
  void SetAddress(const std::string& address);

 private:
  struct Post {
    std::uint64_t id = 0;
    std::string body;
    Reuse reuse = Reuse::kAllowed;
  };
  struct Connection {
    std::unique_ptr<HttpClient> client;
    std::uint64_t post = 0;  // that it carries
  };

  void Carry(const Post& post);
  // Null if the post was abandoned before it began.
  [[nodiscard]] Connection* TakeConnection(const Post& post);
  [[nodiscard]] Connection* TakeIdle(Reuse reuse);
  void ReturnConnection(Connection& connection);

  const OnResult on_result_;
  std::mutex mutex_;                     // guards what follows
  std::set<std::uint64_t> waiting_;      // posts that no connection carries yet
  std::vector<Connection> connections_;  // as many as threads; never moved
  std::vector<Connection*> idle_;        // of these, the most recently used last
  ThreadPool<Post> threads_;             // the last member: its threads use the others
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_NOTIFICATION_CLIENT_HPP_
