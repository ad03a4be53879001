#include "net/discovery_watcher.hpp"

#include <chrono>
#include <utility>

#include "observe/log.hpp"
#include "observe/metrics.hpp"

namespace brassfront {
namespace {

constexpr int kHttpOk = 200;
constexpr std::size_t kLoggedListBytes = 80;  // of a list that can't be read

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
    // A move ends the delay early, as changes at a new address must be known sooner.
    const bool moved = client_.Pause(delay, address);
    if (moved) client_.Pause(timeouts_.DelayAfterMove());
  }
}

// One request, for as long as discovery keeps it open.
void DiscoveryWatcher::WatchOnce(const std::string& address) {
  timeouts_.OnPollStarted(std::chrono::steady_clock::now());
  const std::string path = "/api/targets?watch=1&from=" + std::to_string(revision_);
  HttpReader reader(ObjectCutter::kMaxObjectBytes);
  ObjectCutter lists;
  const auto on_bytes = [&](HttpReader& response) { return ConsumeBody(response, lists); };
  const auto give_up_at = [this] { return timeouts_.GiveUpAt(); };
  // However it ends, the next request follows after the delay.
  static_cast<void>(client_.Exchange(HttpGet(path, address), reader, on_bytes, give_up_at));
}

// False if the response can't be used.
bool DiscoveryWatcher::ConsumeBody(HttpReader& response, ObjectCutter& lists) {
  if (response.head_done() && response.status() != kHttpOk) return false;
  for (const std::string& text : lists.Feed(response.TakeBody())) {
    timeouts_.OnProgress(std::chrono::steady_clock::now());
    if (!text.empty() && !ConsumeList(text)) return false;
  }
  if (lists.broken()) LogRefused(lists.partial(), "too long");
  return !lists.broken();
}

// False if the text is no endpoint list.
bool DiscoveryWatcher::ConsumeList(const std::string& text) {
  try {
    MemberList list = ReadMemberList(json::Parse(text, {.bytes = ObjectCutter::kMaxObjectBytes}));
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
