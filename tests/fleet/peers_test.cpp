// Tests of frames, of rosters, and of the failure detector in a simulated cluster.
#include <doctest/doctest.h>
#include <sys/stat.h>

#include <filesystem>
#include <fstream>

#include "../network/cuts.hpp"
#include "fleet/simulated_cluster.hpp"
#include "peers/bytes.hpp"
#include "records/records.hpp"

namespace brassfront::peers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kSecret = "0123456789abcdef";

Frame MakeFrame() {
  return {Kind::kRaftMessage, "n0", "n1", 77, FirstIncarnation(3) + 1, std::string("\0body", 5)};
}

TEST_CASE("a frame decodes as it was sent, and is rejected if altered or meant for another") {
  const std::string bytes = Encode(MakeFrame(), "tacoma", kSecret);
  Frame frame;
  CHECK(Decode(bytes, "tacoma", kSecret, "n1", frame) == Drop::kNone);
  CHECK(frame.kind == Kind::kRaftMessage);
  CHECK(frame.body == MakeFrame().body);
  CHECK(frame.incarnation == MakeFrame().incarnation);
  CHECK(Decode(bytes, "bengal", kSecret, "n1", frame) == Drop::kFleet);
  CHECK(Decode(bytes, "tacoma", "another key of it", "n1", frame) == Drop::kSignature);
  CHECK(Decode(bytes, "tacoma", kSecret, "n2", frame) == Drop::kNotForUs);
  std::string old = bytes;
  old[4] = 0;
  CHECK(Decode(old, "tacoma", kSecret, "n1", frame) == Drop::kVersion);
  for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
    std::string flipped = bytes;
    flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ (1 << (bit % 8)));
    CHECK(Decode(flipped, "tacoma", kSecret, "n1", frame) != Drop::kNone);
  }
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CHECK(Decode(bytes.substr(0, length), "tacoma", kSecret, "n1", frame) == Drop::kShort);
  }
}

TEST_CASE("random bodies are counted as bad and cause no flood of frames") {
  FailureDetector detector(SimulatedCluster(3, 1).timings, "m0", {"m0", "m1", "m2"}, 1, 1, 1);
  std::mt19937_64 random(5);
  for (int i = 0; i < 20000; ++i) {
    Frame frame{static_cast<Kind>(1 + random() % 3), "m1", "m0", 7,
                random() % 5 << kRefutationBits,     ""};
    frame.body.resize(random() % 60);
    for (char& c : frame.body) c = static_cast<char>(random() % 7 == 0 ? random() : random() % 3);
    detector.Receive(frame, milliseconds(i));
    detector.Tick(milliseconds(i));
    CHECK(detector.TakeFrames().size() < 20);
  }
  CHECK(detector.counts().bad > 1000);
}

TEST_CASE("a killed member is declared dead by all within the bound, and alive after its restart") {
  for (const std::size_t count : {3U, 5U, 12U}) {
    SimulatedCluster cluster(count, count);
    cluster.RunFor(seconds(3));
    CHECK(cluster.changes.size() >= count * (count - 1));
    cluster.changes.clear();
    cluster.Kill(1);
    const Time killed = cluster.now;
    cluster.RunFor(seconds(6));
    for (std::size_t i = 0; i < count; ++i) {
      if (i != 1) CHECK(cluster.StateOf(i, 1) == State::kDead);
    }
    for (const SimulatedCluster::ReportedChange& reported : cluster.changes) {
      CHECK(reported.change.name == "m1");
      CHECK(reported.at - killed < seconds(4));
    }
    cluster.Start(1, 2);
    cluster.RunFor(seconds(4));
    for (std::size_t i = 0; i < count; ++i) {
      if (i != 1) CHECK(cluster.StateOf(i, 1) == State::kAlive);
    }
  }
}

TEST_CASE("a member with an old folder is alive again, and learns that its folder is stale") {
  SimulatedCluster cluster(4, 3);
  cluster.Kill(1);
  cluster.Start(1, 9);
  cluster.RunFor(seconds(3));
  cluster.Kill(1);
  cluster.RunFor(seconds(5));
  cluster.Start(1, 1);  // with an empty folder or an old copy
  cluster.RunFor(seconds(5));
  CHECK(cluster.StateOf(0, 1) == State::kAlive);
  CHECK(cluster.at(1).folder_is_stale());
  CHECK(ProcessIncarnationOf(cluster.at(1).incarnation()) == 9);
  CHECK_FALSE(cluster.at(0).folder_is_stale());
}

TEST_CASE("a member that resumes after a pause declares nobody dead, and is alive again") {
  SimulatedCluster cluster(5, 4);
  cluster.RunFor(seconds(3));
  cluster.Pause(2);
  cluster.RunFor(seconds(10));
  CHECK(cluster.StateOf(0, 2) == State::kDead);
  cluster.changes.clear();
  cluster.Resume(2);
  cluster.RunFor(seconds(6));
  for (const SimulatedCluster::ReportedChange& reported : cluster.changes)
    CHECK_FALSE((reported.by == "m2" && reported.change.to == State::kDead));
  for (std::size_t i = 0; i < 5; ++i) {
    if (i != 2) CHECK(cluster.StateOf(i, 2) == State::kAlive);
    if (i != 2) CHECK(cluster.StateOf(2, i) == State::kAlive);
  }
  CHECK(cluster.at(2).counts().pauses == 1);
}

TEST_CASE("a one-way link is reported on both sides, and nobody is declared dead") {
  SimulatedCluster cluster(5, 5);
  cluster.RunFor(seconds(3));
  cluster.changes.clear();
  cluster.Cut(0, 1);
  cluster.RunFor(seconds(20));
  for (std::size_t i = 0; i < 5; ++i) CHECK(cluster.CountDeaths(i) == 0);
  CHECK(cluster.at(0).peers().at("m1").link == Link::kOneWay);
  CHECK(cluster.at(1).peers().at("m0").link == Link::kIndirect);
  CHECK(cluster.at(2).peers().at("m0").link == Link::kTwoWay);
  cluster.Cut(0, 1, false);
  cluster.RunFor(seconds(10));
  CHECK(cluster.at(0).peers().at("m1").link == Link::kTwoWay);
  CHECK(cluster.at(1).peers().at("m0").link == Link::kTwoWay);
}

TEST_CASE("each side of a partition declares the other dead, and all are alive after it heals") {
  SimulatedCluster cluster(5, 6);
  cluster.RunFor(seconds(3));
  for (const std::size_t a : {0U, 1U}) {
    for (const std::size_t b : {2U, 3U, 4U}) {
      cluster.Cut(a, b);
      cluster.Cut(b, a);
    }
  }
  cluster.RunFor(seconds(40));
  CHECK(cluster.StateOf(0, 4) == State::kDead);
  CHECK(cluster.StateOf(4, 1) == State::kDead);
  CHECK(cluster.StateOf(3, 4) == State::kAlive);
  for (const std::size_t a : {0U, 1U}) {
    for (const std::size_t b : {2U, 3U, 4U}) {
      cluster.Cut(a, b, false);
      cluster.Cut(b, a, false);
    }
  }
  cluster.RunFor(seconds(10));
  for (std::size_t i = 0; i < 5; ++i) {
    for (std::size_t j = 0; j < 5; ++j) {
      if (i != j) CHECK(cluster.StateOf(i, j) == State::kAlive);
    }
  }
}

TEST_CASE("a flapping partition makes no member declare a member on its own side dead") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedCluster cluster(5, seed);
    cluster.RunFor(seconds(3));
    cluster.changes.clear();
    for (int flap = 0; flap < 6; ++flap) {
      for (const bool cut : {true, false}) {
        for (const std::size_t a : {2U, 4U}) {
          for (const std::size_t b : {0U, 1U, 3U}) {
            cluster.Cut(a, b, cut);
            cluster.Cut(b, a, cut);
          }
        }
        cluster.RunFor(milliseconds(1240));
      }
    }
    const auto side = [](const std::string& name) { return name == "m2" || name == "m4"; };
    for (const SimulatedCluster::ReportedChange& reported : cluster.changes) {
      const bool same_side = side(reported.by) == side(reported.change.name);
      CHECK_FALSE((same_side && !reported.change.link && reported.change.to == State::kDead));
    }
  }
}

TEST_CASE("a member that leaves is not suspected") {
  SimulatedCluster cluster(4, 7);
  cluster.RunFor(seconds(3));
  cluster.changes.clear();
  cluster.at(3).Leave(cluster.now);
  cluster.RunFor(milliseconds(1));
  cluster.RunFor(seconds(3));
  CHECK(cluster.StateOf(0, 3) == State::kLeft);
  CHECK(cluster.StateOf(1, 3) == State::kLeft);
  CHECK(cluster.CountDeaths(3) == 0);
}

TEST_CASE("loss and jitter cause no false deaths") {
  std::size_t deaths = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SimulatedCluster cluster(5, seed);
    cluster.fault.loss = 0.2;
    cluster.fault.duplication = 0.05;
    cluster.fault.jitter = milliseconds(200);
    cluster.RunFor(seconds(120));
    for (std::size_t i = 0; i < 5; ++i) deaths += cluster.CountDeaths(i);
  }
  MESSAGE("members wrongly declared dead in 10 minutes of five members: ", deaths);
  CHECK(deaths == 0);
}

// Measures the bytes a second that each of `count` members sends, after `settle_time`.
double BytesPerMember(std::size_t count, Time settle_time) {
  SimulatedCluster cluster(count, 9);
  cluster.RunFor(settle_time);
  cluster.frames = cluster.bytes = 0;
  cluster.changes.clear();
  cluster.RunFor(seconds(10));
  const auto each = [count](std::uint64_t all) {
    return static_cast<double>(all) / 10 / static_cast<double>(count);
  };
  MESSAGE(count, " members: ", each(cluster.frames), " frames and ", each(cluster.bytes),
          " bytes a second each");
  CHECK(cluster.changes.empty());
  return each(cluster.bytes);
}

TEST_CASE("a member's traffic does not grow with the fleet") {
  const double of_five = BytesPerMember(5, seconds(10));
  CHECK(BytesPerMember(30, seconds(30)) < 1.1 * of_five);
  CHECK(BytesPerMember(60, seconds(60)) < 1.1 * of_five);
}

// 20 s of processor time: brassfront_fleet_tests --no-skip -tc="*three hundred*"
TEST_CASE("a member's traffic is the same with three hundred members" * doctest::skip()) {
  CHECK(BytesPerMember(300, seconds(200)) < 1.1 * BytesPerMember(5, seconds(10)));
}

// ---- rosters ----

class RosterFile {
 public:
  RosterFile()
      : folder_(std::filesystem::temp_directory_path() / ("roster-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(folder_);
    std::ofstream(folder_ / "fleet.key") << "MDEyMzQ1Njc4OWFiY2RlZg==\n";
    chmod((folder_ / "fleet.key").c_str(), 0600);
  }
  ~RosterFile() { std::filesystem::remove_all(folder_); }
  Roster Read(const std::string& text) {
    std::ofstream(folder_ / "f.records") << text;
    return LoadRoster((folder_ / "f.records").string());
  }
  std::string Fault(const std::string& text) {
    try {
      Read(text);
    } catch (const records::BadRecords& bad) {
      return bad.what();
    }
    return "";
  }
  std::filesystem::path folder_;
};

std::string RosterText(const std::string& more, const std::string& key = "fleet.key") {
  return "fleet: \"tacoma\"\nkey: \"" + key + "\"\nout: {all: 1, hall: 1}\n" + more;
}
const std::string kMembers =
    "members: [\n{name: \"n0\", hall: \"e\", peer: \"127.0.0.1:7400\"},\n"
    "{name: \"n1\", hall: \"w\", peer: \"127.0.0.1:7401\"},\n"
    "{name: \"n2\", hall: \"e\", peer: \"127.0.0.1:7402\"},\n]\n";

TEST_CASE("a roster is read, and each fault in it is reported with its position") {
  RosterFile file;
  const Roster roster = file.Read(RosterText(kMembers));
  CHECK(roster.members.size() == 3);
  CHECK(roster.Voters().size() == 3);
  CHECK(roster.secret == kSecret);
  CHECK(roster.timings.probe == milliseconds(200));
  const auto replaced = [](std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
  };
  CHECK(file.Fault(RosterText(replaced(kMembers, "n1", "n0"))).find("f.records:6:") !=
        std::string::npos);
  CHECK(file.Fault(RosterText(replaced(kMembers, "n1", "N 1"))).find("a name has") !=
        std::string::npos);
  CHECK(file.Fault(RosterText(replaced(kMembers, ":7401", ":7400"))).find("another member") !=
        std::string::npos);
  CHECK(file.Fault(RosterText(replaced(kMembers, ":7401", ""))).find("expected an address") !=
        std::string::npos);
  CHECK(file.Fault(RosterText(replaced(kMembers, "127.0.0.1:7401", "127.0.0.256:7401"))) != "");
  CHECK(file.Fault(RosterText("members: [{name: \"a\", hall: \"b\", peer: \"127.0.0.1:1\"}]"))
            .find("3 members") != std::string::npos);
  CHECK(file.Fault(RosterText("timings: answer: 200ms\n" + kMembers)).find("less than probe") !=
        std::string::npos);
  CHECK(file.Fault(RosterText(kMembers, "no.key")).find("no key") != std::string::npos);
  chmod((file.folder_ / "fleet.key").c_str(), 0644);
  CHECK(file.Fault(RosterText(kMembers)).find("chmod 600") != std::string::npos);
}

TEST_CASE("a roster changes by one member at a time") {
  RosterFile file;
  const Roster now = file.Read(RosterText(kMembers));
  Roster next = now;
  CHECK(ChangeFault(now, next).empty());
  next.members[0].zone = "w";
  CHECK(ChangeFault(now, next).empty());
  next.members.push_back({"n3", "e", "127.0.0.1:7403", false});
  CHECK(ChangeFault(now, next).find("more than one") != std::string::npos);
  next.members[0].zone = "e";
  CHECK(ChangeFault(now, next).empty());
  next.max_out_total = 2;
  CHECK_FALSE(ChangeFault(now, next).empty());
  next = now;
  next.secret += "x";
  CHECK_FALSE(ChangeFault(now, next).empty());
}

}  // namespace
}  // namespace brassfront::peers
