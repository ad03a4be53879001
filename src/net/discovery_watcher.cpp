#include "net/discovery_watcher.hpp"

#include <chrono>
#include <utility>

#include "observe/log.hpp"
#include "observe/metrics.hpp"

namespace brassfront {
namespace {

constexpr int kHttpOk = 200;
constexpr std::size_t kLoggedListBytes = 80;  // logged part of a list that can't be parsed

}  // namespace

DiscoveryWatcher::DiscoveryWatcher(std::string address, std::uint64_t revision, const Group& group,
                                   BufferPool& buffers, OnEndpointList on_list)
    : on_list_(std::move(on_list)),
      timeouts_(group.size, group.seed),
      revision_(revision),
      client_("discovery", std::move(address),
              {.connect = DiscoveryTimeouts::kSilenceTimeout,
               .silence = DiscoveryTimeouts::kSilenceTimeout},
              buffers),
      thread_(Thread::Require("discovery", [this] { WatchLoop(); })) {}

DiscoveryWatcher::~DiscoveryWatcher() {
  client_.Stop();
  thread_.Join();
}

void DiscoveryWatcher::WatchLoop() {
  while (!client_.stopped()) {
    const std::string address = client_.address();
    WatchOnce(address);
    const auto delay = timeouts_.DelayAfter(std::chrono::steady_clock::now());
    // A new address ends the delay early, because changes there must be known sooner.
    const bool moved = client_.Pause(delay, address);
    if (moved) client_.Pause(timeouts_.DelayAfterMove());
  }
}

// Makes one request and reads its response for as long as discovery keeps it open.
void DiscoveryWatcher::WatchOnce(const std::string& address) {
  timeouts_.OnPollStarted(std::chrono::steady_clock::now());
  const std::string path = "/api/targets?watch=1&from=" + std::to_string(revision_);
  HttpReader reader(JsonObjectSplitter::kMaxObjectBytes);
  JsonObjectSplitter lists;
  const auto on_bytes = [&](HttpReader& response) { return ConsumeBody(response, lists); };
  const auto give_up_at = [this] { return timeouts_.GiveUpAt(); };
  // The result does not matter: the next request is made after the delay in any case.
  static_cast<void>(client_.Exchange(HttpGet(path, address), reader, on_bytes, give_up_at));
}

// Returns false if the response can't be used.
bool DiscoveryWatcher::ConsumeBody(HttpReader& response, JsonObjectSplitter& lists) {
  if (response.head_done() && response.status() != kHttpOk) return false;
  for (const std::string& text : lists.Feed(response.TakeBody())) {
    timeouts_.OnProgress(std::chrono::steady_clock::now());
    if (!text.empty() && !ConsumeList(text)) return false;
  }
  if (lists.broken()) LogRefused(lists.partial(), "too long");
  return !lists.broken();
}

// Returns false if the text is not an endpoint list.
bool DiscoveryWatcher::ConsumeList(const std::string& text) {
  try {
    MemberList list =
        ReadMemberList(json::Parse(text, {.bytes = JsonObjectSplitter::kMaxObjectBytes}));
    revision_ = list.revision;
    on_list_(std::move(list));
    return true;
  } catch (const json::Error& error) {
    LogRefused(text, error.what());
    return false;
  }
}

void DiscoveryWatcher::LogRefused(const std::string& text, std::string_view reason) const {
  observe::LogRateLimited(observe::Concern::kPlatform, observe::Level::kWarning,
                          "endpoint list refused",
                          {{"reason", reason},
                           {"revision_in_use", revision_},
                           {"bytes", text.size()},
                           {"begins", std::string_view(text).substr(0, kLoggedListBytes)}});
  observe::Count("endpoint_lists_refused_total", {"reason", "invalid"});
}

}  // namespace brassfront
