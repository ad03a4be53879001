// Tests the zone store: committed changes survive kills, full disks and bit errors.
#include "zones/store.hpp"

#include <doctest/doctest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <string>

#include "zones/zone_source.hpp"

namespace brassfront::zones {
namespace {

namespace fs = std::filesystem;
using dns::Change;
using dns::Name;
using dns::Record;
using dns::Zone;

class Folder {
 public:
  Folder() {
    std::string pattern = (fs::temp_directory_path() / "brassfront-zone-XXXXXX").string();
    path_ = mkdtemp(pattern.data());
  }
  ~Folder() { fs::remove_all(path_); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  std::string operator/(const std::string& name) const { return path_ + "/" + name; }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

const Name kOrigin = Name::FromLiteral("example.");

Record Address(int n) {
  std::string rdata = {10, 0, static_cast<char>(n >> 8), static_cast<char>(n)};
  return {Name::FromLiteral("h" + std::to_string(n) + ".example."), dns::type::kA, dns::klass::kIn,
          60, rdata};
}

Zone InitialZone() {
  Zone zone(kOrigin);
  std::string soa =
      Name::FromLiteral("ns.example.").wire() + Name::FromLiteral("h.example.").wire();
  for (const unsigned number : {1u, 60u, 10u, 600u, 5u}) dns::Put32(soa, number);
  zone.Add({kOrigin, dns::type::kSoa, dns::klass::kIn, 60, soa});
  zone.Add({kOrigin, dns::type::kNs, dns::klass::kIn, 60, Name::FromLiteral("ns.example.").wire()});
  return zone;
}

// The zone with serial s has the addresses 2 to s, except for multiples of 3 that are at most s
// - 3.
Change NextChange(const Zone& zone) {
  Change change{{zone.Soa()}, {zone.Soa()}};
  const auto serial = static_cast<int>(zone.serial()) + 1;
  change.added[0].rdata = dns::WithSerial(change.added[0].rdata, static_cast<unsigned>(serial));
  change.added.push_back(Address(serial));
  if (serial > 5 && serial % 3 == 0) change.removed.push_back(Address(serial - 3));
  return change;
}

void CheckZone(const Zone& zone) {
  const auto serial = static_cast<int>(zone.serial());
  std::size_t expected = 2;
  for (int n = 2; n <= serial; ++n) {
    const bool gone = n % 3 == 0 && n + 3 <= serial;
    REQUIRE(zone.Holds(Address(n)) == !gone);
    expected += gone ? 0 : 1;
  }
  REQUIRE(zone.records() == expected);
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

void WriteFile(const std::string& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

TEST_CASE("committed changes are restored, across compactions") {
  const Folder folder;
  for (int start = 0; start < 10; ++start) {
    ZoneStore store(folder / "zone", kOrigin, {.compact_bytes = 2000});
    if (start == 0) {
      CHECK_FALSE(store.zone().has_soa());
      REQUIRE(store.Replace(InitialZone()));
    }
    CHECK(store.zone().serial() == static_cast<unsigned>(1 + 20 * start));
    CheckZone(store.zone());
    for (int n = 0; n < 20; ++n) REQUIRE(store.Commit(NextChange(store.zone())));
  }
  CHECK(fs::file_size(folder / "zone/journal") < 20000);
  // A second process or store cannot use the folder at the same time.
  ZoneStore store(folder / "zone", kOrigin, {});
  CHECK_THROWS_WITH_AS(ZoneStore(folder / "zone", kOrigin, {}),
                       (folder / "zone" + " is held by another process").c_str(), StoreError);
}

TEST_CASE("signatures of changes are restored, across compactions and for ten minutes") {
  const Folder folder;
  for (std::uint64_t start = 0; start < 4; ++start) {
    ZoneStore store(folder.path(), kOrigin, {.compact_bytes = 700});
    if (start == 0) REQUIRE(store.Replace(InitialZone()));
    for (std::uint64_t n = 0; n < 10; ++n) {
      const dns::UpdateSignature by{"mac" + std::to_string(start * 10 + n), 1000 + start * 10 + n};
      REQUIRE(store.Commit(NextChange(store.zone()), n % 2 == 0 ? &by : nullptr));
    }
    REQUIRE(store.signatures().size() == 5 * (start + 1));
  }
  ZoneStore store(folder.path(), kOrigin, {});
  REQUIRE(store.signatures().size() == 20);
  CHECK(store.signatures().front().mac == "mac0");
  CHECK(store.signatures().back().signed_at == 1038);
  const dns::UpdateSignature late{"late", 1000 + 2 * dns::kFudgeSeconds + 11};
  REQUIRE(store.Commit(NextChange(store.zone()), &late));
  CHECK(store.signatures().front().mac == "mac12");
  CheckZone(store.zone());
}

TEST_CASE("a change that does not apply is refused and writes nothing") {
  const Folder folder;
  ZoneStore store(folder.path(), kOrigin, {});
  REQUIRE(store.Replace(InitialZone()));
  Change change = NextChange(store.zone());
  REQUIRE(store.Commit(change));
  const std::string before = ReadFile(folder / "journal");
  CHECK_FALSE(store.Commit(change));
  CHECK(store.why() == "the change does not start from what the zone holds");
  CHECK(ReadFile(folder / "journal") == before);
}

TEST_CASE("after a hundred kills all confirmed changes are complete") {
  const Folder folder;
  { REQUIRE(ZoneStore(folder.path(), kOrigin, {}).Replace(InitialZone())); }
  std::mt19937 random(9);
  std::uint32_t last = 1;
  for (int kill_number = 0; kill_number < 100; ++kill_number) {
    std::array<int, 2> pipe_ends{};
    REQUIRE(pipe(pipe_ends.data()) == 0);
    const pid_t child = fork();
    if (child == 0) {
      close(pipe_ends[0]);
      ZoneStore store(folder.path(), kOrigin, {.compact_bytes = 3000});
      while (store.Commit(NextChange(store.zone()))) {
        const std::uint32_t serial = store.zone().serial();
        if (write(pipe_ends[1], &serial, sizeof serial) != sizeof serial) break;
      }
      _exit(1);
    }
    close(pipe_ends[1]);
    std::uint32_t confirmed = 0;
    for (unsigned n = 0; n < 1 + random() % 8; ++n) {
      REQUIRE(read(pipe_ends[0], &confirmed, sizeof confirmed) == sizeof confirmed);
    }
    usleep(random() % 2000);
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    while (read(pipe_ends[0], &confirmed, sizeof confirmed) == sizeof confirmed) {
    }
    close(pipe_ends[0]);
    const ZoneStore store(folder.path(), kOrigin, {});
    REQUIRE(store.zone().serial() >= confirmed);
    REQUIRE(store.zone().serial() <= confirmed + 1);
    REQUIRE(confirmed > last);
    last = confirmed;
    CheckZone(store.zone());
  }
}

TEST_CASE("a journal truncated anywhere loses only its last entries") {
  const Folder folder;
  std::vector<std::size_t> ends;
  {
    ZoneStore store(folder.path(), kOrigin, {});
    REQUIRE(store.Replace(InitialZone()));
    for (int n = 0; n < 6; ++n) {
      ends.push_back(fs::file_size(folder / "journal"));
      REQUIRE(store.Commit(NextChange(store.zone())));
    }
  }
  const std::string whole = ReadFile(folder / "journal");
  for (std::size_t size = ends[0]; size < whole.size(); ++size) {
    WriteFile(folder / "journal", whole.substr(0, size));
    std::size_t entries = 0;
    while (entries + 1 < ends.size() && ends[entries + 1] <= size) ++entries;
    ZoneStore store(folder.path(), kOrigin, {});
    REQUIRE(store.zone().serial() == 1 + entries);
    REQUIRE(store.truncated_bytes() == size - ends[entries]);
    CheckZone(store.zone());
    REQUIRE(store.Commit(NextChange(store.zone())));
  }
  WriteFile(folder / "journal", whole.substr(0, ends[0] - 1));
  CHECK_THROWS_AS(ZoneStore(folder.path(), kOrigin, {}), StoreError);
}

TEST_CASE("a flipped bit is always detected") {
  const Folder folder;
  {
    ZoneStore store(folder.path(), kOrigin, {});
    REQUIRE(store.Replace(InitialZone()));
    for (int n = 0; n < 3; ++n) REQUIRE(store.Commit(NextChange(store.zone())));
  }
  for (const char* name : {"journal", "snapshot"}) {
    const std::string whole = ReadFile(folder / name);
    for (std::size_t bit = 0; bit < whole.size() * 8; bit += 3) {
      std::string flipped = whole;
      flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ (1 << bit % 8));
      WriteFile(folder / name, flipped);
      try {
        const ZoneStore store(folder.path(), kOrigin, {});
        // A damaged last entry of the journal cannot be distinguished from an incomplete one.
        REQUIRE(std::string(name) == "journal");
        REQUIRE(store.zone().serial() == 3);
        CheckZone(store.zone());
      } catch (const StoreError&) {
      }
      WriteFile(folder / name, whole);
    }
  }
  const ZoneStore store(folder.path(), kOrigin, {});
  CHECK(store.zone().serial() == 4);
}

TEST_CASE("files of another zone or format version are refused with their name") {
  const Folder folder;
  { REQUIRE(ZoneStore(folder.path(), kOrigin, {}).Replace(InitialZone())); }
  CHECK_THROWS_AS(ZoneStore(folder.path(), Name::FromLiteral("other."), {}), StoreError);
  std::string snapshot = ReadFile(folder / "snapshot");
  snapshot.replace(snapshot.find(" 1\n"), 3, " 2\n");
  WriteFile(folder / "snapshot", snapshot);
  CHECK_THROWS_WITH_AS(
      ZoneStore(folder.path(), kOrigin, {}),
      (folder / "snapshot" + " is no snapshot of example. in this version's format").c_str(),
      StoreError);
}

// Fails `count` calls from the `at`-th one on and, if `again` is not 0, one more call `again` calls
// after the `at`-th. If the first failing call is a write, it writes half of its bytes.
class FailingDisk : public Disk {
 public:
  FailingDisk(int at, int count, int again)
      : from_(at), to_(at + count), again_(again > 0 ? at + again : 0) {}

  bool reached() const { return calls_ >= from_; }

  long Write(int fd, const char* bytes, std::size_t length) override {
    if (Passes()) return Disk::Write(fd, bytes, length);
    if (calls_ == from_ && length > 1) return Disk::Write(fd, bytes, length / 2);
    errno = ENOSPC;
    return -1;
  }
  int Synchronise(int fd) override { return Passes() ? Disk::Synchronise(fd) : Failed(); }
  int Truncate(int fd, std::size_t size) override {
    return Passes() ? Disk::Truncate(fd, size) : Failed();
  }
  int Rename(const char* from, const char* to) override {
    return Passes() ? Disk::Rename(from, to) : Failed();
  }

 private:
  bool Passes() {
    ++calls_;
    return (calls_ < from_ || calls_ >= to_) && calls_ != again_;
  }
  static int Failed() {
    errno = EIO;
    return -1;
  }

  const int from_, to_, again_;
  int calls_ = 0;
};

TEST_CASE(
    "no confirmed change is lost if any writing call fails, alone or with the calls after it") {
  constexpr int kForGood = 1 << 20;
  // The last pair: a new journal has been renamed, but the folder is not synchronised, and the next
  // snapshot fails.
  const std::pair<int, int> failures[] = {{1, 0}, {2, 0}, {3, 0}, {4, 0}, {kForGood, 0}, {1, 3}};
  for (const auto& [count, again] : failures) {
    // The process ends directly after the next confirmed change, or continues.
    for (const bool ends_soon : {false, true}) {
      bool reached = true;
      for (int at = 1; reached; ++at) {
        CAPTURE(at);
        CAPTURE(count);
        CAPTURE(again);
        CAPTURE(ends_soon);
        REQUIRE(at < 500);
        const Folder folder;
        { REQUIRE(ZoneStore(folder.path(), kOrigin, {}).Replace(InitialZone())); }
        FailingDisk disk(at, count, again);
        std::uint32_t confirmed = 1;
        bool refused = false;
        {
          ZoneStore store(folder.path(), kOrigin, {.compact_bytes = 300, .disk = &disk});
          bool over = false;
          for (int n = 0; n < 15 && !over; ++n) {
            const bool before = disk.reached();
            if (store.Commit(NextChange(store.zone()))) {
              confirmed = store.zone().serial();
              over = ends_soon && before;
            } else {
              refused = true;
              REQUIRE(store.why() != "");
            }
          }
          REQUIRE(store.zone().serial() == confirmed);
        }
        reached = disk.reached();
        const ZoneStore store(folder.path(), kOrigin, {});
        // A refused change may still be stored if the disk wrote it but reported an error.
        REQUIRE(store.zone().serial() >= confirmed);
        REQUIRE(store.zone().serial() <= confirmed + (refused ? 1 : 0));
        CheckZone(store.zone());
      }
    }
  }
}

TEST_CASE("a zone is replaced by a change, or by a snapshot if the serial is the same") {
  const Folder folder;
  ZoneStore store(folder.path(), kOrigin, {});
  REQUIRE(store.Replace(InitialZone()));
  for (int n = 0; n < 5; ++n) REQUIRE(store.Commit(NextChange(store.zone())));
  Zone other = InitialZone();
  other.Add(Address(99));
  REQUIRE(store.Replace(other));  // serial 1 again: replaced by a change, although it is older
  CHECK(store.zone().Holds(Address(99)));
  CHECK_FALSE(store.zone().Holds(Address(3)));
  other.Add(Address(98));
  REQUIRE(store.Replace(other));  // the same serial with other data
  CHECK(store.zone().Holds(Address(98)));
  CHECK_FALSE(store.zone().ChangesSince(6));
  REQUIRE(store.Commit(NextChange(store.zone())));
}

TEST_CASE("zone files: includes stay inside the folder, and a missing file is reported") {
  const Folder folder;
  fs::create_directories(folder / "zones/parts");
  const std::string top = "$TTL 60\n@ SOA ns h 1 2 3 4 5\n@ NS ns\n";
  WriteFile(folder / "secret", "x A 10.0.0.9\n");
  WriteFile(folder / "zones/parts/a", "a A 10.0.0.1\n$INCLUDE b\n$INCLUDE ../c\n");
  WriteFile(folder / "zones/parts/b", "b A 10.0.0.2\n");
  WriteFile(folder / "zones/c", "c A 10.0.0.3\n");
  fs::create_symlink(folder / "secret", folder / "zones/link");
  const std::string zone_path = folder / "zones/zone";
  const auto load = [&](const std::string& text) -> std::string {
    WriteFile(zone_path, top + text);
    try {
      return std::to_string(LoadZone(zone_path, kOrigin).records());
    } catch (const dns::InvalidZone& bad) {
      return bad.what();
    }
  };
  CHECK(load("$INCLUDE parts/a\n") == "5");
  const std::string outside = " is outside the folder of the zone's file";
  CHECK(load("$INCLUDE ../secret\n") == zone_path + ":4:10: ../secret" + outside);
  CHECK(load("$INCLUDE " + (folder / "secret") + "\n").find(outside) != std::string::npos);
  CHECK(load("$INCLUDE link\n") == zone_path + ":4:10: link" + outside);
  CHECK(load("$INCLUDE ../gone\n") == zone_path + ":4:10: ../gone" + outside);
  CHECK(load("$INCLUDE gone\n").find("gone cannot be read") != std::string::npos);
  CHECK(load("$INCLUDE parts\n").find("no file that can be read") != std::string::npos);
  CHECK(load("$INCLUDE parts/../zone\n").find("includes itself") != std::string::npos);
  CHECK_THROWS_AS(LoadZone(folder / "none", kOrigin), dns::InvalidZone);
}

}  // namespace
}  // namespace brassfront::zones
