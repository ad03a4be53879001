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
  std::uint64_t message = 0;  // the poster's number for it, which OnHeard is told
  std::string id{};
  bool deferred = false;  // else undeliverable
  std::chrono::milliseconds again{};
};

class NotificationClient {
 public:
  using OnHeard = std::function<void(std::uint64_t message)>;  // called by the thread

  NotificationClient(std::string address, BufferPool& buffers, OnHeard on_heard);
  ~NotificationClient();

  void Post(Notification notice);
  // What has not been heard yet is posted there as well.
  void MoveTo(std::string address) { client_.MoveTo(std::move(address)); }

 private:
  void Run();

  const OnHeard on_heard_;
  HttpClient client_;
  BoundedQueue<Notification> waiting_;
  Thread thread_;
};

// The line that a notice is on the wire.
std::string NotificationLine(const Notification& notice);

}  // namespace brassfront

#endif  // BRASSFRONT_NET_NOTIFICATION_CLIENT_HPP_
