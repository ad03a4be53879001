#include "net/notification_client.hpp"

#include <algorithm>
#include <utility>

#include "observe/log.hpp"
#include "observe/metrics.hpp"
#include "protocol/json.hpp"

namespace brassfront {
namespace {

constexpr std::chrono::milliseconds kResponseTimeout{100};  // the platform answers at once
constexpr std::chrono::milliseconds kRetryDelay{20};
constexpr std::size_t kMaxPending = 100'000;
constexpr std::size_t kMaxBatchSize = 500;  // notifications in a request
constexpr int kHttpNoContent = 204;         // confirms all of a request

// One line for each post: what it held, what became of it, and how long its oldest has waited.
void LogPost(const std::vector<Notification>& batch, std::size_t bytes, int status,
             std::chrono::steady_clock::time_point posted_at) {
  const auto now = std::chrono::steady_clock::now();
  const auto oldest =
      std::min_element(batch.begin(), batch.end(),
                       [](const auto& a, const auto& b) { return a.given_up_at < b.given_up_at; });
  const auto in_ms = [](auto duration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  };
  observe::Log(observe::Concern::kPlatform, observe::Level::kInfo, "notifications posted",
               {{"count", batch.size()},
                {"bytes", bytes},
                {"status", status},
                {"elapsed_ms", in_ms(now - posted_at)},
                {"oldest_ms", in_ms(now - oldest->given_up_at)}});
  observe::Count("notification_posts_total",
                 {"outcome", status == kHttpNoContent ? "confirmed" : "unconfirmed"});
}

}  // namespace

std::string NotificationLine(const Notification& notification) {
  const std::string id = json::Quote(notification.id);
  if (!notification.retry_allowed) return R"({"id":)" + id + R"(,"status":"undeliverable"})" + "\n";
  const std::string retry_after_ms = std::to_string(notification.retry_after.count());
  return R"({"id":)" + id + R"(,"status":"deferred","again_ms":)" + retry_after_ms + "}\n";
}

NotificationClient::NotificationClient(std::string address, BufferPool& buffers,
                                       OnConfirmed on_confirmed)
    : on_confirmed_(std::move(on_confirmed)),
      client_("notifications", std::move(address), kResponseTimeout, buffers),
      pending_(kMaxPending),
      thread_(Thread::Require("notifications", [this] { Run(); })) {}

NotificationClient::~NotificationClient() {
  pending_.Close();
  client_.Stop();
  thread_.Join();
}

void NotificationClient::Post(Notification notification) { pending_.Push(std::move(notification)); }

void NotificationClient::Run() {
  while (auto first = pending_.Pop()) PostUntilConfirmed(CompleteBatch(std::move(*first)));
}

// With what else is waiting now.
std::vector<Notification> NotificationClient::CompleteBatch(Notification first) {
  std::vector<Notification> batch{std::move(first)};
  while (batch.size() < kMaxBatchSize) {
    auto another = pending_.PopUntil(std::chrono::steady_clock::time_point::min());
    if (!another) break;
    batch.push_back(std::move(*another));
  }
  return batch;
}

void NotificationClient::PostUntilConfirmed(const std::vector<Notification>& batch) {
  std::string body;
  for (const Notification& notification : batch) body += NotificationLine(notification);
  while (!client_.stopped()) {
    const std::string request =
        HttpPost("/v2/finals", client_.address(), {{"Content-Type", "application/json"}}, body);
    HttpReader reader;
    const auto posted_at = std::chrono::steady_clock::now();
    const bool answered = client_.Exchange(request, reader);
    LogPost(batch, body.size(), answered ? reader.status() : 0, posted_at);
    if (answered && reader.status() == kHttpNoContent) {
      for (const Notification& notification : batch) on_confirmed_(notification.message);
      return;
    }
    client_.Pause(kRetryDelay);
  }
}

}  // namespace brassfront
