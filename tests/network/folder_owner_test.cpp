#include "spool/folder_owner.hpp"

#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>

#include "spool/spool.hpp"

namespace brassfront {
namespace {

namespace fs = std::filesystem;
using Outcome = FileLock::Outcome;

struct StateFolder {
  StateFolder() {
    char name[] = "/tmp/brassfront-owner-XXXXXX";
    path = mkdtemp(name);
  }
  ~StateFolder() { fs::remove_all(path); }

  std::string path;
};

TEST_CASE("a folder has one owner at a time") {
  const StateFolder folder;
  std::optional<FolderOwner> first(folder.path);
  FolderOwner second(folder.path);
  CHECK(first->Acquire() == Outcome::kAcquired);
  CHECK(first->Acquire() == Outcome::kAcquired);
  CHECK(second.Acquire() == Outcome::kHeldByOther);
  CHECK(second.ReadHolder().process_id == getpid());
  first.reset();
  CHECK(second.Acquire() == Outcome::kAcquired);
}

TEST_CASE("an owner reads the note of its predecessor") {
  const StateFolder folder;
  CHECK(FolderOwner(folder.path).Acquire() == Outcome::kAcquired);
  {
    FolderOwner owner(folder.path);
    REQUIRE(owner.Acquire() == Outcome::kAcquired);
    CHECK(owner.predecessor().process_id == getpid());
    CHECK_FALSE(owner.predecessor().open_messages);  // it did not end gracefully
    owner.RecordGracefulEnd(7);
  }
  FolderOwner owner(folder.path);
  REQUIRE(owner.Acquire() == Outcome::kAcquired);
  CHECK(owner.predecessor().open_messages == 7);
  CHECK_FALSE(owner.ReadHolder().open_messages);
  CHECK(fs::file_size(folder.path + "/owner") <= FolderOwner::kMaxBytesOnDisk);
}

// Guards against overwriting the predecessor's note by a process that has locked the folder but
// still waits for its address.
TEST_CASE("a lock alone does not change the predecessor's note") {
  const StateFolder folder;
  {
    FolderOwner owner(folder.path);
    REQUIRE(owner.Acquire() == Outcome::kAcquired);
    owner.RecordGracefulEnd(7);
  }
  {
    FolderOwner locker(folder.path);
    REQUIRE(locker.Lock() == Outcome::kAcquired);
    locker.RecordGracefulEnd(0);  // no effect, as it has not acquired the folder
  }
  FolderOwner owner(folder.path);
  REQUIRE(owner.Lock() == Outcome::kAcquired);
  CHECK(owner.ReadHolder().open_messages == 7);
  REQUIRE(owner.Acquire() == Outcome::kAcquired);
  CHECK(owner.predecessor().open_messages == 7);
}

TEST_CASE("a predecessor's note is read after its end, not when the folder was locked") {
  const StateFolder folder;
  FolderOwner owner(folder.path);
  REQUIRE(owner.Lock() == Outcome::kAcquired);
  std::ofstream(folder.path + "/owner") << "pid 12\nopen 3\n";  // written without a lock
  REQUIRE(owner.Acquire() == Outcome::kAcquired);
  CHECK(owner.predecessor().process_id == 12);
  CHECK(owner.predecessor().open_messages == 3);
}

TEST_CASE("a note that can't be parsed is ignored") {
  for (const char* text : {"", "pid", "pid x", "open", "\0\1", "open 5x pid 3"}) {
    const StateFolder folder;
    std::ofstream(folder.path + "/owner") << text;
    FolderOwner owner(folder.path);
    REQUIRE(owner.Acquire() == Outcome::kAcquired);
    CHECK(owner.predecessor().process_id == 0);
  }
}

TEST_CASE("a folder that can't be locked has no owner") {
  FolderOwner owner("/nonexistent/folder");
  CHECK(owner.Acquire() == Outcome::kFailed);
  owner.RecordGracefulEnd(1);
  CHECK(owner.ReadHolder().process_id == 0);
}

TEST_CASE("a spool changes nothing in a folder that another process owns") {
  const StateFolder folder;
  std::ofstream(folder.path + "/spool") << "BRSPOOL1torn";
  std::ofstream(folder.path + "/spool.new") << "being written";
  std::optional<FolderOwner> other(folder.path);
  REQUIRE(other->Acquire() == Outcome::kAcquired);
  int reports = 0;
  FolderOwner owner(folder.path);
  Spool spool(owner, 1'000'000, [&](const std::string&) { ++reports; });
  spool.Retry();
  CHECK(reports == 1);
  CHECK_FALSE(spool.is_available());
  CHECK(fs::file_size(folder.path + "/spool") == 12);
  CHECK(fs::exists(folder.path + "/spool.new"));
  other.reset();
  spool.Retry();
  CHECK(spool.is_available());
  CHECK_FALSE(fs::exists(folder.path + "/spool.new"));
}

}  // namespace
}  // namespace brassfront
