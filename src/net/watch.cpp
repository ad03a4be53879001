#include "net/watch.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "observe/log.hpp"

namespace brassfront {
namespace {

// An empty line comes every 2 s. Guards against a watch that has died without a word: what it had
// to tell counts as told 6 s later, and a new watch must have told it by then.
constexpr std::chrono::milliseconds kSilence{3000};
// Between two watches, for each forwarder that may be asking: a hundred ask some hundred times a
// second at the most, and fewer with each failure.
constexpr std::chrono::milliseconds kPause{10};
constexpr std::chrono::milliseconds kLeastPause{100};
constexpr std::chrono::milliseconds kLongestPause{40};  // the longest, for each of them
constexpr std::chrono::milliseconds kLeastLongestPause{500};
constexpr std::chrono::milliseconds kMostLongestPause{4000};
// A few forwarders that start at one moment may ask at once.
constexpr std::size_t kFew = 4;

BackOff PausesOf(const Watch::Group& group) {
  const auto size =
      static_cast<std::chrono::milliseconds::rep>(std::min<std::size_t>(group.size, 1000));
  return BackOff(std::max(kLeastPause, size * kPause),
                 std::clamp(size * kLongestPause, kLeastLongestPause, kMostLongestPause),
                 group.seed);
}

}  // namespace

Watch::Watch(std::string address, std::uint64_t revision, const Group& group, BufferPool& buffers,
             OnList on_list)
    : on_list_(std::move(on_list)),
      pauses_(PausesOf(group)),
      first_pause_(group.size > kFew ? pauses_.Failed() : std::chrono::milliseconds(0)),
      revision_(revision),
      client_("discovery", std::move(address), kSilence, buffers),
      thread_("watch", [this] { Follow(); }) {}

Watch::~Watch() {
  client_.Stop();
  thread_.Join();
}

void Watch::Follow() {
  client_.Pause(first_pause_);
  while (!client_.stopped()) {
    HttpReader reader;
    LineCutter lines;
    const std::string path = "/api/targets?watch=1&from=" + std::to_string(revision_);
    client_.Exchange(HttpGet(path, client_.address()), reader,
                     [&](HttpReader& r) { return TakeLines(r, lines); });
    client_.Pause(pauses_.Failed());
  }
}

bool Watch::TakeLines(HttpReader& reader, LineCutter& lines) {
  if (reader.head_done() && reader.status() != 200) return false;
  for (const std::string& line : lines.Feed(reader.TakeBody())) {
    pauses_.Succeeded();
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
