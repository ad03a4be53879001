#include "snapshot/condition_store.hpp"

#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace brassfront {
namespace {

namespace fs = std::filesystem;
using dispatch_policy::Health;
using dispatch_policy::Time;
using namespace std::chrono_literals;

constexpr std::size_t kMaxBytes = std::size_t{64} * 1024;
constexpr Time kNow = 1000s;

struct StateFolder {
  StateFolder() {
    char name[] = "/tmp/brassfront-conditions-XXXXXX";
    path = mkdtemp(name);
  }
  ~StateFolder() { fs::remove_all(path); }
  [[nodiscard]] std::string file() const { return path + "/conditions"; }

  std::string path;
};

ConditionRecord Waiting(const std::string& name, Time until) {
  ConditionRecord record{.key = EndpointKey(name), .recorded_at = kNow};
  record.endpoint.health = Health::kOpen;
  record.endpoint.failure_share = 0.25;
  record.limit.wait_until = until;
  return record;
}

// Simulates one process, which owns the folder during its lifetime.
struct Process {
  explicit Process(const StateFolder& folder, std::size_t max_bytes = kMaxBytes)
      : owner(folder.path), store(owner, max_bytes, kNow) {}

  FolderOwner owner;
  ConditionStore store;
};

TEST_CASE("a condition is known to the next process, and to the one after that") {
  const StateFolder folder;
  {
    Process first(folder);
    CHECK(first.store.is_complete());
    first.store.Put(Waiting("a", kNow + 8s));
    first.store.Put(Waiting("b", kNow + 9s));
    first.store.Erase(EndpointKey("b"));
  }
  { const Process second(folder); }  // it does not use the store
  const Process third(folder);
  CHECK(third.store.is_complete());
  CHECK(third.store.size() == 1);
  const auto found = third.store.Find(EndpointKey("a"));
  REQUIRE(found);
  CHECK(found->Equals(Waiting("a", kNow + 8s)));
}

TEST_CASE("the file keeps its size limit and its waits, and records that others are missing") {
  const StateFolder folder;
  {
    Process process(folder);
    process.store.Put(Waiting("binds", kNow + 8s));
    for (int i = 0; i < 1000; ++i) process.store.Put(Waiting(std::to_string(i), kNow));
    CHECK(fs::file_size(folder.file()) <= kMaxBytes);
  }
  const Process next(folder);
  CHECK(next.store.size() <= kMaxBytes / kMaxConditionRecordBytes);
  CHECK(next.store.Find(EndpointKey("binds")));
  CHECK_FALSE(next.store.is_complete());
}

TEST_CASE("a damaged byte loses at most one condition, and the next process detects the loss") {
  const StateFolder folder;
  { Process(folder).store.Put(Waiting("a", kNow + 8s)); }
  std::ifstream in(folder.file(), std::ios::binary);
  const std::string intact((std::istreambuf_iterator<char>(in)), {});
  for (std::size_t at = 0; at < intact.size(); at += 7) {
    std::string damaged = intact;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x41);
    std::ofstream(folder.file(), std::ios::binary) << damaged;
    const Process next(folder);
    const auto found = next.store.Find(EndpointKey("a"));
    if (found) CHECK(found->Equals(Waiting("a", kNow + 8s)));
    if (!found) CHECK_FALSE(next.store.is_complete());
  }
}

TEST_CASE("a predecessor that wrote no conditions leaves them incomplete") {
  const StateFolder folder;
  { Process(folder).store.Put(Waiting("a", kNow + 8s)); }
  std::ofstream(folder.path + "/owner") << "pid 1\n";  // as written by an earlier version
  CHECK_FALSE(Process(folder).store.is_complete());
  fs::remove(folder.file());
  CHECK_FALSE(Process(folder).store.is_complete());
}

TEST_CASE("conditions are kept in memory while another process owns the folder") {
  const StateFolder folder;
  std::optional<Process> first(folder);
  Process second(folder);
  second.store.Put(Waiting("a", kNow + 8s));
  CHECK_FALSE(second.store.Retry(kNow));
  CHECK(second.store.Find(EndpointKey("a")));
  first.reset();
  CHECK(second.store.Retry(kNow));
  const DecodedSlot unknown = DecodeSlot("no record");
  CHECK(unknown.state == SlotState::kDamaged);
}

}  // namespace
}  // namespace brassfront
