// Reads a roster file. The schema checks each field, and this file checks what a schema cannot
// express. All faults of a file are collected, each with its position, before they are thrown.
#include <sys/stat.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "peers/roster.hpp"
#include "records/records.hpp"
#include "signing/signing.hpp"

namespace brassfront::peers {
namespace {

using records::Fault;
using records::Record;

constexpr std::size_t kMaxNameBytes = 32;
// Number of voters if the file names none, provided that there are so many members.
constexpr std::size_t kDefaultVoters = 5;
// Minimum reserved rate of a member: a disconnected member has only this rate, and with less than
// one call in 20 s it would be useless.
constexpr double kMinFloorCallsPerSecond = 0.05;
// Minimum lease term in heartbeats: a lease is renewed four times in its term, and a round trip to
// the leader must fit between two renewals.
constexpr int kHeartbeatsPerLease = 4;
// Minimum election timeout in heartbeats, so that a few lost heartbeats do not start an election.
constexpr int kHeartbeatsPerElection = 3;
// Minimum suspicion time in periods: a suspect needs one period to learn of the suspicion and one
// for its refutation to arrive.
constexpr int kPeriodsPerSuspicion = 2;
constexpr mode_t kGroupAndOthers = 077;

// IPv4:PORT with a port other than 0.
bool IsPeerAddress(const std::string& text) {
  constexpr std::size_t kPortIndex = 4;
  std::array<unsigned, kPortIndex + 1> parts{};
  const char* next = text.data();
  const char* const end = next + text.size();
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const auto [stop, error] = std::from_chars(next, end, parts[i]);
    if (error != std::errc() || parts[i] > (i == kPortIndex ? 65535U : 255U)) return false;
    next = stop;
    if (i == kPortIndex) return next == end && parts[i] > 0;
    const char separator = i + 1 == kPortIndex ? ':' : '.';
    if (next == end || *next++ != separator) return false;
  }
  return false;
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.';
}

class RosterReader {
 public:
  RosterReader(const Record& root, std::filesystem::path folder)
      : root_(root), folder_(std::move(folder)) {}

  // Throws records::BadRecords.
  Roster Read() {
    Roster roster;
    roster.fleet = root_.At("fleet").Text();
    CheckName(root_.At("fleet"));
    ReadKey(roster);
    ReadTimings(roster.timings);
    for (const Record& member : root_.At("members").Items()) ReadMember(member, roster);
    ReadSharing(roster);
    ChooseVoters(roster);
    ReadMaxOut(roster);
    if (!faults_.empty()) throw records::BadRecords(std::move(faults_));
    return roster;
  }

 private:
  void Complain(const Record& record, std::string message) {
    if (faults_.size() < records::kMaxFaults) {
      faults_.push_back(record.Complain(std::move(message)));
    }
  }

  void CheckName(const Record& name) {
    const std::string& text = name.Text();
    const bool valid = !text.empty() && text.size() <= kMaxNameBytes &&
                       std::all_of(text.begin(), text.end(), IsNameCharacter);
    if (!valid) Complain(name, "a name has 1 to 32 of a-z, 0-9, - and .");
  }

  void ReadKey(Roster& roster) {
    const Record& name = root_.At("key");
    const std::string path = (folder_ / name.Text()).string();
    struct stat status {};
    std::ifstream in(path);
    std::string word;
    if (!in || stat(path.c_str(), &status) != 0 || !(in >> word)) {
      return Complain(name, "no key can be read from " + path);
    }
    if ((status.st_mode & kGroupAndOthers) != 0) {
      return Complain(name, path + " may be read by others than its owner (chmod 600)");
    }
    auto secret = signing::FromBase64(word);
    if (!secret || secret->size() < kMinSecretBytes) {
      return Complain(name, path + " has no secret of " + std::to_string(kMinSecretBytes) +
                                " bytes or more in Base64");
    }
    roster.secret = *std::move(secret);
  }

  void ReadTimings(Timings& timings) {
    const Record& from = root_.At("timings");
    timings.probe = from.At("probe").Duration();
    timings.answer = from.At("answer").Duration();
    timings.suspicion = from.At("suspicion").Duration();
    timings.heartbeat = from.At("heartbeat").Duration();
    timings.election = from.At("election").Duration();
    timings.drain = from.At("drain").Duration();
    timings.back = from.At("back").Duration();
    if (timings.answer >= timings.probe) Complain(from.At("answer"), "expected less than probe");
    if (timings.suspicion < kPeriodsPerSuspicion * timings.probe) {
      Complain(from.At("suspicion"), "expected at least twice probe");
    }
    if (timings.election < kHeartbeatsPerElection * timings.heartbeat) {
      Complain(from.At("election"), "expected at least three times heartbeat");
    }
  }

  void ReadMember(const Record& from, Roster& roster) {
    Member member{from.At("name").Text(), from.At("hall").Text(), from.At("peer").Text(),
                  from.At("voter").Bool()};
    CheckName(from.At("name"));
    CheckName(from.At("hall"));
    if (!names_.insert(member.name).second) {
      Complain(from.At("name"), "a member of this name was given before");
    }
    if (!IsPeerAddress(member.address)) {
      Complain(from.At("peer"), "expected an address such as 10.1.2.3:7400");
    } else if (!addresses_.insert(member.address).second) {
      Complain(from.At("peer"), "another member has this address");
    }
    roster.members.push_back(std::move(member));
  }

  void ReadSharing(Roster& roster) {
    const Record& from = root_.At("sharing");
    if (!std::holds_alternative<Record::Struct>(from.form())) return;  // `sharing: false`
    Sharing& sharing = roster.sharing;
    sharing.limits = from.At("limits").Bool();
    sharing.verdicts = from.At("verdicts").Bool();
    sharing.term = from.At("term").Duration();
    sharing.drift = from.At("drift").Double();
    sharing.floor = from.At("floor").Double();
    sharing.burst = from.At("burst").Duration();
    sharing.told = from.At("told").Bool();
    sharing.kept = from.At("kept").Duration();
    if (sharing.term < kHeartbeatsPerLease * roster.timings.heartbeat) {
      Complain(from.At("term"),
               "expected at least four times heartbeat, or leases expire before renewal");
    }
    for (const Record& limit : from.At("listed").Items()) ReadListedLimit(limit, roster);
  }

  void ReadListedLimit(const Record& limit, Roster& roster) {
    Sharing& sharing = roster.sharing;
    const Record& destination = limit.At("destination");
    const double calls = limit.At("calls").PerSecond();
    if (!sharing.listed.emplace(destination.Int(), calls).second) {
      Complain(destination, "a limit of this destination was given before");
    }
    const double floor = calls * sharing.floor / static_cast<double>(roster.members.size());
    if (floor < kMinFloorCallsPerSecond) {
      Complain(limit.At("calls"),
               "leaves each member a floor under a call in 20 s; a cut-off one "
               "would serve nobody");
    }
  }

  void ChooseVoters(Roster& roster) {
    const std::size_t named = roster.Voters().size();
    if (roster.members.size() < kMinVoters) {
      return Complain(root_.At("members"), "a fleet has 3 members at least");
    }
    if (named == 0) {
      // An odd number, because after a split into halves of an even number neither side has a
      // majority.
      const std::size_t count =
          roster.members.size() < kDefaultVoters ? kMinVoters : kDefaultVoters;
      for (std::size_t i = 0; i < count; ++i) roster.members[i].voter = true;
    } else if (named < kMinVoters || named > kMaxVoters) {
      Complain(root_.At("members"),
               "expected 3 to 7 voters or none named, found " + std::to_string(named));
    }
  }

  void ReadMaxOut(Roster& roster) {
    const Record& out = root_.At("out");
    roster.max_out_total = static_cast<std::size_t>(out.At("all").Int());
    roster.max_out_per_zone = static_cast<std::size_t>(out.At("hall").Int());
    if (roster.max_out_total >= roster.members.size()) {
      Complain(out.At("all"), "expected less than the number of members");
    }
  }

  const Record& root_;
  const std::filesystem::path folder_;
  std::set<std::string> names_, addresses_;  // of the members read so far
  std::vector<Fault> faults_;
};

}  // namespace

Roster LoadRoster(const std::string& path) {
  const std::string text = records::ReadRecordFile(path);
  const Record root = records::Load({text, path}, {RosterSchema(), "fleet schema"}, "#Fleet");
  if (root.At("members").Items().size() > kMaxMembers) {
    records::ThrowFault(root.At("members").at(), "a fleet has 300 members at most");
  }
  return RosterReader(root, std::filesystem::path(path).parent_path()).Read();
}

}  // namespace brassfront::peers
