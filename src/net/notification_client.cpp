#include "net/notification_client.hpp"

#include <utility>
#include <vector>

#include "protocol/json.hpp"

namespace brassfront {
namespace {

constexpr std::chrono::milliseconds kResponseTimeout{100};  // the answer comes at once
constexpr std::chrono::milliseconds kRetryDelay{20};  // before a notification is posted retry_after
constexpr std::size_t kMaxPending = 100'000;
constexpr std::size_t kMaxBatch = 500;

}  // namespace

std::string NotificationLine(const Notification& notification) {
  std::string line = "{\"id\":" + json::Quote(notification.id);
  if (notification.retry_allowed) {
    line +=
        ",\"status\":\"deferred\",\"again_ms\":" + std::to_string(notification.retry_after.count());
  } else {
    line += ",\"status\":\"undeliverable\"";
  }
  return line + "}\n";
}

NotificationClient::NotificationClient(std::string address, BufferPool& buffers,
                                       OnConfirmed on_confirmed)
    : on_confirmed_(std::move(on_confirmed)),
      client_("notifications", std::move(address), kResponseTimeout, buffers),
      pending_(kMaxPending),
      thread_("notifications", [this] { Run(); }) {}

NotificationClient::~NotificationClient() {
  pending_.Close();
  client_.Stop();
  thread_.Join();
}

void NotificationClient::Post(Notification notification) { pending_.Push(std::move(notification)); }

void NotificationClient::Run() {
  while (auto first = pending_.Pop()) {
    std::vector<Notification> batch{std::move(*first)};
    while (batch.size() < kMaxBatch) {
      auto another = pending_.PopUntil(std::chrono::steady_clock::time_point::min());
      if (!another) break;
      batch.push_back(std::move(*another));
    }
    std::string body;
    for (const Notification& notification : batch) body += NotificationLine(notification);
    while (!client_.stopped()) {
      const std::string request =
          HttpPost("/v2/finals", client_.address(), {{"Content-Type", "application/json"}}, body);
      HttpReader reader;
      if (client_.Exchange(request, reader) && reader.status() == 204) {
        for (const Notification& notification : batch) on_confirmed_(notification.message);
        break;
      }
      client_.Pause(kRetryDelay);
    }
  }
}

}  // namespace brassfront
