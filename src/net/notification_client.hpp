// NotificationClient to the platform of what was taken on and not delivered, posted until they are
// heard.
#ifndef BRASSFRONT_NET_NOTIFICATION_CLIENT_HPP_
#define BRASSFRONT_NET_NOTIFICATION_CLIENT_HPP_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "concurrency/bounded_queue.hpp"
#include "concurrency/thread.hpp"
#include "net/http_client.hpp"

namespace brassfront {

struct Notification {
  std::uint64_t message = 0;  // the poster's number for it, which OnConfirmed is told
  std::string id{};
  bool retry_allowed = false;  // else undeliverable
  std::chrono::milliseconds retry_after{};
};

class NotificationClient {
 public:
  using OnConfirmed = std::function<void(std::uint64_t message)>;  // called by the thread

  NotificationClient(std::string address, BufferPool& buffers, OnConfirmed on_confirmed);
  ~NotificationClient();

  void Post(Notification notification);
  // What has not been heard yet is posted there as well.
  void SetAddress(std::string address) { client_.SetAddress(std::move(address)); }

 private:
  void Run();

  const OnConfirmed on_confirmed_;
  HttpClient client_;
  BoundedQueue<Notification> pending_;
  Thread thread_;
};

// The line that a notification is on the wire.
std::string NotificationLine(const Notification& notification);

}  // namespace brassfront

#endif  // BRASSFRONT_NET_NOTIFICATION_CLIENT_HPP_
