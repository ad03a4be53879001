// Spool files with damage: only the damaged records are lost, and the damage is reported.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "spool/spool.hpp"
#include "spool/spool_record.hpp"

namespace brassfront {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kDiskBytes = 3'000'000;
constexpr std::size_t kHeaderBytes = 8;
constexpr const char* kHeader = "BRSPOOL1";

// A record in the stored file, and the file with all its records.
struct StoredRecord {
  std::size_t offset = 0;
  std::size_t bytes = 0;
  SpoolId number = 0;
  enum class Kind { kAccepted, kAttempt, kFinished } kind = Kind::kAccepted;
};

struct StoredFile {
  std::string bytes = kHeader;
  std::vector<StoredRecord> records;

  void Append(StoredRecord::Kind kind, SpoolId number, const std::string& encoded) {
    records.push_back({bytes.size(), encoded.size(), number, kind});
    bytes += encoded;
  }
};

std::string AcceptedRecord(SpoolId number, const std::string& body) {
  const SpooledMessage message{.id = "m" + std::to_string(number),
                               .key = "k",
                               .class_name = "c",
                               .tenant_name = "t",
                               .destination = 1,
                               .deadline = UnixMs(1'000'000),
                               .body = body};
  return spool::Encode(spool::MessageAccepted{number, message});
}

StoredFile MakeFile(std::mt19937& random) {
  StoredFile file;
  std::vector<SpoolId> open;
  for (SpoolId number = 1; number <= 24; ++number) {
    file.Append(StoredRecord::Kind::kAccepted, number,
                AcceptedRecord(number, std::string(random() % 300, 'b')));
    open.push_back(number);
    if (random() % 2 == 0) {
      file.Append(StoredRecord::Kind::kAttempt, number,
                  spool::Encode(spool::AttemptStarted{number, "endpoint", UnixMs(500)}));
    }
    if (open.size() > 6 && random() % 2 == 0) {
      const auto ended = open.begin() + static_cast<std::ptrdiff_t>(random() % open.size());
      file.Append(StoredRecord::Kind::kFinished, *ended,
                  spool::Encode(spool::MessageFinished{*ended}));
      open.erase(ended);
    }
  }
  return file;
}

using Places = std::vector<std::pair<std::size_t, std::size_t>>;  // [begin, end) of each place

// Changes all bytes of `places` random places after the header.
Places Damage(std::string& bytes, std::mt19937& random, int places) {
  Places damaged;
  for (int i = 0; i < places; ++i) {
    const std::size_t begin = kHeaderBytes + random() % (bytes.size() - kHeaderBytes);
    const std::size_t end = std::min(bytes.size(), begin + 1 + random() % 30);
    for (std::size_t at = begin; at < end; ++at) {
      bytes[at] = static_cast<char>(bytes[at] ^ static_cast<char>(1 + random() % 255));
    }
    damaged.emplace_back(begin, end);
  }
  return damaged;
}

bool OverlapsAny(const StoredRecord& record, const Places& places) {
  return std::any_of(places.begin(), places.end(), [&](const auto& place) {
    return place.first < record.offset + record.bytes && record.offset < place.second;
  });
}

class SpoolFolder {
 public:
  SpoolFolder() {
    char name[] = "/tmp/brassfront-salvage-XXXXXX";
    path_ = mkdtemp(name);
  }
  ~SpoolFolder() { fs::remove_all(path_); }

  void Write(const std::string& bytes) const {
    std::ofstream(path_ + "/spool", std::ios::binary) << bytes;
  }
  std::string SavedDamage() const {
    std::ifstream in(path_ + "/spool.cut", std::ios::binary);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  }
  std::vector<RecoveredMessage> Recover(std::vector<std::string>* reports = nullptr) const {
    FolderOwner owner(path_);
    Spool spool(owner, kDiskBytes, [&](const std::string& text) {
      if (reports != nullptr) reports->push_back(text);
    });
    return spool.Recover();
  }

 private:
  std::string path_;
};

bool MayHaveRun(const RecoveredMessage& message) {
  return std::any_of(message.attempts.begin(), message.attempts.end(),
                     [](const SpooledAttempt& attempt) { return !attempt.known_not_run; });
}

bool IsReported(std::size_t offset, const std::vector<std::string>& reports) {
  const std::string place = "at offset " + std::to_string(offset);
  return std::any_of(reports.begin(), reports.end(), [&](const std::string& report) {
    const std::size_t found = report.find(place);
    return found != std::string::npos && !isdigit(report[found + place.size()]);
  });
}

TEST_CASE("damaged places lose only the records that they overlap, and are reported") {
  for (unsigned seed = 1; seed <= 500; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    StoredFile file = MakeFile(random);
    const Places places = Damage(file.bytes, random, 1 + static_cast<int>(seed % 5));
    std::set<SpoolId> expected;
    std::set<SpoolId> accepted_before_a_gap;
    std::set<SpoolId> gap_offsets;  // offsets of the first record of each gap
    bool in_gap = false;
    for (const StoredRecord& record : file.records) {
      if (OverlapsAny(record, places)) {
        if (!in_gap) gap_offsets.insert(record.offset);
        in_gap = true;
        accepted_before_a_gap.insert(expected.begin(), expected.end());
        continue;
      }
      in_gap = false;
      if (record.kind == StoredRecord::Kind::kAccepted) expected.insert(record.number);
      if (record.kind == StoredRecord::Kind::kFinished) {
        expected.erase(record.number);
        accepted_before_a_gap.erase(record.number);
      }
    }
    const SpoolFolder folder;
    folder.Write(file.bytes);
    std::vector<std::string> reports;
    for (const char* start : {"first", "second"}) {
      CAPTURE(start);
      std::set<SpoolId> recovered;
      for (const RecoveredMessage& message : folder.Recover(&reports)) {
        recovered.insert(message.spool_id);
        if (accepted_before_a_gap.contains(message.spool_id)) CHECK(MayHaveRun(message));
      }
      CHECK(recovered == expected);
    }
    for (const std::size_t offset : gap_offsets) {
      CAPTURE(offset);
      CHECK(IsReported(offset, reports));
    }
    CHECK_FALSE(folder.SavedDamage().empty());
  }
}

TEST_CASE("a damaged header loses no message") {
  std::mt19937 random(1);
  const StoredFile file = MakeFile(random);
  const SpoolFolder undamaged;
  undamaged.Write(file.bytes);
  const std::size_t open = undamaged.Recover().size();
  for (std::size_t at = 0; at < kHeaderBytes; ++at) {
    std::string bytes = file.bytes;
    bytes[at] = static_cast<char>(bytes[at] ^ 0x10);
    const SpoolFolder folder;
    folder.Write(bytes);
    CHECK(folder.Recover().size() == open);
    CHECK(folder.Recover().size() == open);
  }
}

TEST_CASE("an incompletely written last record is ignored, and no message counts as run") {
  std::string bytes = kHeader + AcceptedRecord(1, "b");
  const std::string last = spool::Encode(spool::AttemptStarted{1, "endpoint", UnixMs(500)});
  for (std::size_t length = 1; length < last.size(); ++length) {
    const SpoolFolder folder;
    folder.Write(bytes + last.substr(0, length));
    const auto recovered = folder.Recover();
    REQUIRE(recovered.size() == 1);
    CHECK(recovered[0].attempts.empty());
  }
  for (std::size_t at = 0; at < last.size(); ++at) {  // completely written, then damaged
    std::string damaged = last;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x01);
    const SpoolFolder folder;
    folder.Write(bytes + damaged);
    const auto recovered = folder.Recover();
    REQUIRE(recovered.size() == 1);
    CHECK(MayHaveRun(recovered[0]));
  }
}

TEST_CASE("records in the body of a damaged message are not read as records of the spool") {
  const std::string forged = spool::Encode(spool::MessageFinished{1}) + AcceptedRecord(9, "forged");
  const std::string first = kHeader + AcceptedRecord(1, "b");
  const std::string message = AcceptedRecord(2, forged + "tail");
  const std::string after = AcceptedRecord(3, "b");
  for (const std::string& following : {std::string(), after}) {
    for (const std::size_t at : {spool::kFrameBytes + 5, message.size() - 1}) {
      std::string bytes = first + message + following;
      bytes[first.size() + at] = static_cast<char>(bytes[first.size() + at] ^ 0x01);
      const SpoolFolder folder;
      folder.Write(bytes);
      std::set<SpoolId> recovered;
      for (const RecoveredMessage& one : folder.Recover()) recovered.insert(one.spool_id);
      CHECK(recovered == (following.empty() ? std::set<SpoolId>{1} : std::set<SpoolId>{1, 3}));
    }
  }
}

TEST_CASE("an outcome after damage does not clear an attempt that the damage may have lost") {
  std::string bytes = kHeader + AcceptedRecord(1, "b");
  const std::size_t damaged = bytes.size() + spool::kFrameBytes + 3;
  bytes += spool::Encode(spool::AttemptStarted{1, "a", UnixMs(500)});
  bytes += spool::Encode(spool::AttemptStarted{1, "b", UnixMs(600)});
  bytes += spool::Encode(spool::AttemptNotRun{1, 0});
  bytes += spool::Encode(spool::AttemptNotRun{1, 1});
  bytes[damaged] = static_cast<char>(bytes[damaged] ^ 0x7F);
  const SpoolFolder folder;
  folder.Write(bytes);
  for (const char* start : {"first", "second", "third"}) {
    CAPTURE(start);
    const auto recovered = folder.Recover();
    REQUIRE(recovered.size() == 1);
    CHECK(MayHaveRun(recovered[0]));
  }
}

}  // namespace
}  // namespace brassfront
