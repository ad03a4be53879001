// Notifies the platform of accepted messages that will not be delivered. Each notification is
// posted again and again until the platform has confirmed it.
#ifndef BRASSFRONT_NET_NOTIFICATION_CLIENT_HPP_
#define BRASSFRONT_NET_NOTIFICATION_CLIENT_HPP_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "concurrency/bounded_queue.hpp"
#include "concurrency/thread.hpp"
#include "net/http_client.hpp"

namespace brassfront {

struct Notification {
  std::uint64_t message = 0;   // the caller's number for it, passed to OnConfirmed
  std::string id{};            // the client's id of the message
  bool retry_allowed = false;  // the client may submit it again; else it is undeliverable
  std::chrono::milliseconds retry_after{};  // if a retry is allowed
  std::chrono::steady_clock::time_point given_up_at{};
};

class NotificationClient {
 public:
  // Called by the client's thread, once for each notification that the platform has confirmed.
  using OnConfirmed = std::function<void(std::uint64_t message)>;

  // The buffers must outlive the client.
  NotificationClient(std::string address, BufferPool& buffers, OnConfirmed on_confirmed);
  // What has not been confirmed by now is dropped.
  ~NotificationClient();

  // Any thread may call what follows.

  // Waits while the queue of 100,000 notifications is full.
  void Post(Notification notification);
  // Notifications that have not been confirmed are posted there, too.
  void SetAddress(std::string address) { client_.SetAddress(std::move(address)); }

 private:
  void Run();
  std::vector<Notification> CompleteBatch(Notification first);
  void PostUntilConfirmed(const std::vector<Notification>& batch);

  const OnConfirmed on_confirmed_;
  HttpClient client_;
  BoundedQueue<Notification> pending_;
  Thread thread_;  // the last member: it uses the others
};

// The notification's line in a request.
std::string NotificationLine(const Notification& notification);

}  // namespace brassfront

#endif  // BRASSFRONT_NET_NOTIFICATION_CLIENT_HPP_
