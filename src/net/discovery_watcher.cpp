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
      client_("discovery", std::move(address), DiscoveryTimeouts::kSilenceTimeout, buffers),
      thread_("discovery", [this] { WatchLoop(); }) {}

DiscoveryWatcher::~DiscoveryWatcher() {
  client_.Stop();
  thread_.Join();
}

void DiscoveryWatcher::WatchLoop() {
  client_.Pause(timeouts_.InitialDelay());
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
  HttpReader reader;
  LineCutter lines;
  const auto on_bytes = [&](HttpReader& response) { return ConsumeLines(response, lines); };
  const auto give_up_at = [this] { return timeouts_.GiveUpAt(); };
  // However it ends, the next request follows after the delay.
  static_cast<void>(client_.Exchange(HttpGet(path, address), reader, on_bytes, give_up_at));
}

// False if the response can't be used.
bool DiscoveryWatcher::ConsumeLines(HttpReader& response, LineCutter& lines) {
  if (response.head_done() && response.status() != kHttpOk) return false;
  for (const std::string& line : lines.Feed(response.TakeBody())) {
    timeouts_.OnLine(std::chrono::steady_clock::now());
    if (!line.empty() && !ConsumeList(line)) return false;
  }
  return !lines.broken();
}

// False if the line is no endpoint list.
bool DiscoveryWatcher::ConsumeList(const std::string& line) {
  try {
    MemberList list = ReadMemberList(json::Parse(line));
    revision_ = list.revision;
    on_list_(std::move(list));
    return true;
  } catch (const json::Error& error) {
    observe::LogSeldom(observe::Concern::kPlatform, observe::Level::kWarning,
                       "endpoint list refused",
                       {{"reason", error.what()},
                        {"revision_in_use", revision_},
                        {"bytes", line.size()},
                        {"begins", std::string_view(line).substr(0, kLoggedListBytes)}});
    observe::Count("endpoint_lists_refused_total", {"reason", "invalid"});
    return false;
  }
}

}  // namespace brassfront
