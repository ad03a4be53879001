// Posts notifications to the platform, several posts concurrently, each on a separate connection.
// The caller (forwarder/notification_outbox) decides what is posted, and how to handle each result.
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
  std::uint64_t post = 0;  // the caller's id of the post
  int status = 0;          // HTTP status code; 0 if no complete response was received
};

// Posts notifications to one address. Thread-safe.
class NotificationClient {
 public:
  // Connecting may take this long if the platform's listener is overloaded.
  static constexpr std::chrono::milliseconds kConnectTimeout{1500};
  // Maximum time from the last byte of the post to the end of the response. The platform normally
  // responds immediately; a late response is waited for while nothing else needs the connection.
  static constexpr std::chrono::milliseconds kAnswerTimeout{5000};

  // Called by the client's threads, once for each post.
  using OnResult = std::function<void(NotificationPostResult)>;

  // `max_posts`: maximum number of concurrent posts, and of connections. The buffers must outlive
  // the client. Throws std::runtime_error if the system can't start a thread.
  NotificationClient(const std::string& address, std::size_t max_posts, BufferPool& buffers,
                     OnResult on_result);
  // Ends the posts in progress.
  ~NotificationClient();
  NotificationClient(const NotificationClient&) = delete;
  NotificationClient& operator=(const NotificationClient&) = delete;

  // Any thread may call the methods below.

  // Whether an open connection may be reused: its peer may have become silent unnoticed. If so, it
  // is reused once no second answer to its last post can arrive any more.
  enum class Reuse { kAllowed, kForbidden };
  // Never waits. Each line of the body is a notification.
  void Start(std::uint64_t post, std::string body, Reuse reuse = Reuse::kAllowed);
  // The result of the post no longer matters: its connection is closed if it is in progress.
  void Abandon(std::uint64_t post);
  // Ends the posts in progress without a response; later ones go to the new address. No effect if
  // the address is the same.
  void SetAddress(const std::string& address);

 private:
  struct Post {
    std::uint64_t id = 0;
    std::string body;
    Reuse reuse = Reuse::kAllowed;
  };
  struct Connection {
    std::unique_ptr<HttpClient> client;
    std::uint64_t post = 0;    // the post in progress on it; 0 if none
    SteadyTime returned_at{};  // when its last post ended
  };

  void PerformPost(const Post& post);
  // Returns null if the post was abandoned before it began.
  [[nodiscard]] Connection* TakeConnection(const Post& post);
  [[nodiscard]] Connection* TakeIdle(Reuse reuse, SteadyTime now);
  void ReturnConnection(Connection& connection);

  const OnResult on_result_;
  std::mutex mutex_;                     // guards the members below
  std::set<std::uint64_t> waiting_;      // posts without a connection so far
  std::vector<Connection> connections_;  // as many as threads; never moved
  std::vector<Connection*> idle_;        // subset of these, the most recently used last
  ThreadPool<Post> threads_;             // the last member, as its threads use the others
};

}  // namespace brassfront

#endif  // BRASSFRONT_NET_NOTIFICATION_CLIENT_HPP_
