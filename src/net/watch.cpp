#include "net/watch.hpp"

#include <chrono>
#include <utility>

#include "observe/log.hpp"

namespace brassfront {
namespace {

// An empty line comes every 2 s. Guards against a watch that has died without a word: what it had
// to tell counts as told 6 s later, and a new watch must have told it by then.
constexpr std::chrono::milliseconds kSilence{3000};
constexpr std::chrono::milliseconds kPause{100};  // between two watches

}  // namespace

Watch::Watch(std::string address, std::uint64_t revision, BufferPool& buffers, OnList on_list)
    : on_list_(std::move(on_list)),
      revision_(revision),
      client_("discovery", std::move(address), kSilence, buffers),
      thread_("watch", [this] { Follow(); }) {}

Watch::~Watch() {
  client_.Stop();
  thread_.Join();
}

void Watch::Follow() {
  while (!client_.stopped()) {
    HttpReader reader;
    LineCutter lines;
    const std::string path = "/api/targets?watch=1&from=" + std::to_string(revision_);
    client_.Exchange(HttpGet(path, client_.address()), reader,
                     [&](HttpReader& r) { return TakeLines(r, lines); });
    client_.Pause(kPause);
  }
}

bool Watch::TakeLines(HttpReader& reader, LineCutter& lines) {
  if (reader.head_done() && reader.status() != 200) return false;
  for (const std::string& line : lines.Feed(reader.TakeBody())) {
    if (line.empty()) continue;
    try {
      MemberList list = ReadMemberList(json::Parse(line));
      revision_ = list.revision;
      on_list_(std::move(list));
    } catch (const json::Error& error) {
      observe::LogSeldom(observe::Concern::kPlatform, observe::Level::kWarning,
                         "discovery line unreadable", {{"fault", error.what()}});
      return false;
    }
  }
  return !lines.broken();
}

}  // namespace brassfront
