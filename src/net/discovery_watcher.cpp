#include "net/discovery_watcher.hpp"

#include <chrono>
#include <utility>

#include "observe/log.hpp"

namespace brassfront {

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
    timeouts_.OnPollStarted(std::chrono::steady_clock::now());
    HttpReader reader;
    LineCutter lines;
    const std::string path = "/api/targets?watch=1&from=" + std::to_string(revision_);
    client_.Exchange(
        HttpGet(path, address), reader,
        [&](HttpReader& response) { return ConsumeLines(response, lines); },
        [this] { return timeouts_.GiveUpAt(); });
    // A move cuts the pause short: what the other address has is told sooner.
    if (client_.Pause(timeouts_.DelayAfter(std::chrono::steady_clock::now()), address)) {
      client_.Pause(timeouts_.DelayAfterMove());
    }
  }
}

bool DiscoveryWatcher::ConsumeLines(HttpReader& reader, LineCutter& lines) {
  if (reader.head_done() && reader.status() != 200) return false;
  for (const std::string& line : lines.Feed(reader.TakeBody())) {
    timeouts_.OnLine(std::chrono::steady_clock::now());
    if (line.empty()) continue;
    try {
      MemberList list = ReadMemberList(json::Parse(line));
      revision_ = list.revision;
      on_list_(std::move(list));
    } catch (const json::Error& error) {
      observe::LogSeldom(observe::Concern::kPlatform, observe::Level::kWarning,
                         "discovery line invalid", {{"error", error.what()}});
      return false;
    }
  }
  return !lines.broken();
}

}  // namespace brassfront
