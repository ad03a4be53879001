#include "net/notification_client.hpp"

#include <utility>
#include <vector>

#include "protocol/json.hpp"

namespace brassfront {
namespace {

constexpr std::chrono::milliseconds kSilence{100};  // the answer comes at once
constexpr std::chrono::milliseconds kPause{20};     // before a notification is posted retry_after
constexpr std::size_t kMostWaiting = 100'000;
constexpr std::size_t kMostInPost = 500;

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
      client_("notifications", std::move(address), kSilence, buffers),
      waiting_(kMostWaiting),
      thread_("notifications", [this] { Run(); }) {}

NotificationClient::~NotificationClient() {
  waiting_.Close();
  client_.Stop();
  thread_.Join();
}

void NotificationClient::Post(Notification notification) { waiting_.Push(std::move(notification)); }

void NotificationClient::Run() {
  while (auto first = waiting_.Pop()) {
    std::vector<Notification> batch{std::move(*first)};
    while (batch.size() < kMostInPost) {
      auto next = waiting_.PopUntil(std::chrono::steady_clock::time_point::min());
      if (!next) break;
      batch.push_back(std::move(*next));
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
      client_.Pause(kPause);
    }
  }
}

}  // namespace brassfront
