#include "net/notification_client.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "net/answer_sequence.hpp"

namespace brassfront {
namespace {

constexpr const char* kLogSide = "notifications";
constexpr const char* kPath = "/v2/finals";
// Threads that are kept even when idle: more than the number of late posts that NotificationOutbox
// leaves open until they end.
constexpr std::size_t kMinThreads = 3;

// Returns the status of the response; 0 if it is not complete.
int Exchange(HttpClient& client, const std::string& body) {
  const std::string request =
      HttpPost(kPath, client.address(), {{"Content-Type", "application/json"}}, body);
  const SteadyTime give_up_at =
      std::chrono::steady_clock::now() + NotificationClient::kAnswerTimeout;
  HttpReader reader;
  const bool answered = client.Exchange(request, reader, {}, [&] { return give_up_at; });
  return answered ? reader.status() : 0;
}

}  // namespace

NotificationClient::NotificationClient(const std::string& address, std::size_t max_posts,
                                       BufferPool& buffers, OnResult on_result)
    : on_result_(std::move(on_result)),
      connections_(max_posts),
      threads_(kLogSide,
               {.min_threads = std::min(kMinThreads, max_posts), .max_threads = max_posts},
               [this](const Post& post) { PerformPost(post); }) {
  const HttpClient::Timeouts timeouts{.connect = kConnectTimeout, .silence = kAnswerTimeout};
  const std::lock_guard lock(mutex_);
  for (Connection& connection : connections_) {
    connection.client = std::make_unique<HttpClient>(kLogSide, address, timeouts, buffers,
                                                     HttpClient::EarlyResponse::kRefused);
    idle_.push_back(&connection);
  }
}

NotificationClient::~NotificationClient() {
  const std::lock_guard lock(mutex_);
  for (Connection& connection : connections_) connection.client->Stop();
}

void NotificationClient::Start(std::uint64_t post, std::string body, Reuse reuse) {
  {
    const std::lock_guard lock(mutex_);
    waiting_.insert(post);
  }
  threads_.Submit({post, std::move(body), reuse});
}

void NotificationClient::Abandon(std::uint64_t post) {
  const std::lock_guard lock(mutex_);
  waiting_.erase(post);
  for (Connection& connection : connections_) {
    if (connection.post == post) connection.client->Interrupt();
  }
}

void NotificationClient::SetAddress(const std::string& address) {
  const std::lock_guard lock(mutex_);
  for (Connection& connection : connections_) connection.client->SetAddress(address);
}

void NotificationClient::PerformPost(const Post& post) {
  int status = 0;
  if (Connection* connection = TakeConnection(post)) {
    status = Exchange(*connection->client, post.body);
    ReturnConnection(*connection);
  }
  on_result_({.post = post.id, .status = status});
}

NotificationClient::Connection* NotificationClient::TakeConnection(const Post& post) {
  const std::lock_guard lock(mutex_);
  if (waiting_.erase(post.id) == 0) return nullptr;
  Connection* connection = TakeIdle(post.reuse, std::chrono::steady_clock::now());
  connection->post = post.id;
  connection->client->Resume();
  return connection;
}

// The caller must hold the mutex. There is always an idle connection, because there is one for each
// thread. Prefers the most recently used one that may be reused, then one that is closed.
NotificationClient::Connection* NotificationClient::TakeIdle(Reuse reuse, SteadyTime now) {
  const auto may_be_reused = [&](const Connection* connection) {
    return reuse == Reuse::kAllowed && connection->client->is_open() &&
           now - connection->returned_at >= AnswerSequence::kMaxCopyDelay;
  };
  const auto is_closed = [](const Connection* connection) {
    return !connection->client->is_open();
  };
  auto chosen = std::find_if(idle_.rbegin(), idle_.rend(), may_be_reused);
  const bool reused = chosen != idle_.rend();
  if (!reused) chosen = std::find_if(idle_.rbegin(), idle_.rend(), is_closed);
  if (chosen == idle_.rend()) chosen = std::prev(idle_.rend());
  Connection* const connection = *chosen;
  idle_.erase(std::prev(chosen.base()));
  if (!reused) connection->client->Disconnect();
  return connection;
}

void NotificationClient::ReturnConnection(Connection& connection) {
  const std::lock_guard lock(mutex_);
  connection.post = 0;
  connection.returned_at = std::chrono::steady_clock::now();
  idle_.push_back(&connection);
}

}  // namespace brassfront
