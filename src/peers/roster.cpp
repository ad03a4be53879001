#include "peers/roster.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>

#include "records/records.hpp"
#include "signing/signing.hpp"

namespace brassfront::peers {
namespace {

using records::Fault;
using records::Record;

constexpr std::size_t kDefaultVoters = 5;
constexpr double kMinFloorCallsPerSecond = 0.05;  // calls a second

// IPv4:PORT with a port that is told.
bool IsPeerAddress(const std::string& text) {
  std::array<unsigned, 5> parts{};
  const char* at = text.data();
  const char* const end = at + text.size();
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const auto [stop, error] = std::from_chars(at, end, parts[i]);
    if (error != std::errc() || parts[i] > (i == 4 ? 65535U : 255U)) return false;
    at = stop;
    if (i == 4) return at == end && parts[i] > 0;
    if (at == end || *at++ != (i == 3 ? ':' : '.')) return false;
  }
  return false;
}

class RosterReader {
 public:
  RosterReader(const Record& root, std::filesystem::path folder)
      : root_(root), folder_(std::move(folder)) {}

  Roster Read() {
    Roster roster;
    roster.fleet = root_.At("fleet").Text();
    CheckName(root_.At("fleet"));
    ReadKey(roster);
    const Record& timings = root_.At("timings");
    Timings& t = roster.timings;
    t.probe = timings.At("probe").Duration();
    t.answer = timings.At("answer").Duration();
    t.suspicion = timings.At("suspicion").Duration();
    t.heartbeat = timings.At("heartbeat").Duration();
    t.election = timings.At("election").Duration();
    t.drain = timings.At("drain").Duration();
    t.back = timings.At("back").Duration();
    if (t.answer >= t.probe) Complain(timings.At("answer"), "expected less than probe");
    if (t.suspicion < 2 * t.probe) {
      Complain(timings.At("suspicion"), "expected at least twice probe");
    }
    if (t.election < 3 * t.heartbeat) {
      Complain(timings.At("election"), "expected at least three times heartbeat");
    }
    for (const Record& member : root_.At("members").Items()) ReadMember(member, roster);
    ReadSharing(roster);
    ChooseVoters(roster);
    roster.max_out_total = static_cast<std::size_t>(root_.At("out").At("all").Int());
    roster.max_out_per_zone = static_cast<std::size_t>(root_.At("out").At("hall").Int());
    if (roster.max_out_total >= roster.members.size()) {
      Complain(root_.At("out").At("all"), "expected less than the number of members");
    }
    if (!faults_.empty()) throw records::BadRecords(std::move(faults_));
    return roster;
  }

 private:
  void Complain(const Record& record, std::string message) {
    if (faults_.size() < records::kMostFaults) {
      faults_.push_back(record.Complain(std::move(message)));
    }
  }

  void CheckName(const Record& name) {
    const std::string& text = name.Text();
    const bool good =
        !text.empty() && text.size() <= 32 && std::all_of(text.begin(), text.end(), [](char c) {
          return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.';
        });
    if (!good) Complain(name, "a name has 1 to 32 of a-z, 0-9, - and .");
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
    if ((status.st_mode & 077) != 0) {
      return Complain(name, path + " may be read by others than its owner (chmod 600)");
    }
    auto secret = signing::FromBase64(word);
    if (!secret || secret->size() < kMinSecretBytes) {
      return Complain(name, path + " has no secret of " + std::to_string(kMinSecretBytes) +
                                " bytes or more in Base64");
    }
    roster.secret = *std::move(secret);
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
    if (!std::holds_alternative<Record::Struct>(from.form())) return;
    Sharing& s = roster.sharing;
    s.limits = from.At("limits").Bool();
    s.verdicts = from.At("verdicts").Bool();
    s.term = from.At("term").Duration();
    s.drift = from.At("drift").Double();
    s.floor = from.At("floor").Double();
    s.burst = from.At("burst").Duration();
    s.told = from.At("told").Bool();
    s.kept = from.At("kept").Duration();
    // A lease is renewed four times in its term; a round to the leader has to fit in between.
    if (s.term < 4 * roster.timings.heartbeat) {
      Complain(from.At("term"), "expected at least four times heartbeat, or leases end unrenewed");
    }
    for (const Record& limit : from.At("listed").Items()) {
      const Record& destination = limit.At("destination");
      const double calls = limit.At("calls").PerSecond();
      if (!s.listed.emplace(destination.Int(), calls).second) {
        Complain(destination, "a limit of this destination was given before");
      }
      const double floor = calls * s.floor / static_cast<double>(roster.members.size());
      if (floor < kMinFloorCallsPerSecond) {
        Complain(limit.At("calls"),
                 "leaves each member a floor under a call in 20 s; a cut-off one "
                 "would serve nobody");
      }
    }
  }

  void ChooseVoters(Roster& roster) {
    const std::size_t named = roster.Voters().size();
    if (roster.members.size() < kMinVoters) {
      return Complain(root_.At("members"), "a fleet has 3 members at least");
    }
    if (named == 0) {
      // An odd number: with an even one a split in halves stops both.
      const std::size_t most = roster.members.size() < kDefaultVoters ? kMinVoters : kDefaultVoters;
      for (std::size_t i = 0; i < most; ++i) roster.members[i].voter = true;
    } else if (named < kMinVoters || named > kMaxVoters) {
      Complain(root_.At("members"),
               "expected 3 to 7 voters or none named, found " + std::to_string(named));
    }
  }

  const Record& root_;
  const std::filesystem::path folder_;
  std::set<std::string> names_, addresses_;
  std::vector<Fault> faults_;
};

}  // namespace

const Member* Roster::Find(std::string_view name) const {
  for (const Member& member : members) {
    if (member.name == name) return &member;
  }
  return nullptr;
}

std::vector<std::string> Roster::Voters() const {
  std::vector<std::string> names;
  for (const Member& member : members) {
    if (member.voter) names.push_back(member.name);
  }
  return names;
}

std::string_view RosterSchema() {
  return R"(
#Member: {
  name:  string & !=""
  hall:  string & !=""
  peer:  string & !=""                  // IPv4:PORT, where its datagrams go
  voter: bool | *false                  // of the settled log; none named: the first 3 or 5
}

#Listed: {
  destination: int & >=0
  calls:       rate & >0/s
}

#Sharing: {
  limits:   bool | *true
  verdicts: bool | *true
  term:     duration & >=200ms & <=1m | *1s       // of a lease
  drift:    number & >=0 & <=0.1 | *1%            // by which two members' clocks may run apart
  floor:    number & >0 & <=1 | *90%            // of a limit, set aside in even parts
  burst:    duration & >=1ms & <=1s | *100ms      // of a member's rate, what may come at once
  told:     bool | *true                          // limits that endpoints report hold as well
  kept:     duration & >=500ms & <=5m | *10s      // of a word on an endpoint
  listed:   [...#Listed] | *[]
}

#Fleet: {
  fleet:   string & !=""
  key:     string & !=""                // a file with the secret in Base64, from this folder
  out: {
    all:  int & >=1 & <=299 | *1
    hall: int & >=1 & <=299 | *1
  }
  timings: {
    probe:     duration & >=20ms & <=10s | *200ms
    answer:    duration & >=5ms & <=5s | *100ms
    suspicion: duration & >=100ms & <=1m | *800ms
    heartbeat: duration & >=20ms & <=5s | *100ms
    election:  duration & >=100ms & <=30s | *500ms
    drain:     duration & >=1s & <=1h | *1m
    back:      duration & >=1s & <=1h | *1m
  }
  sharing: false | #Sharing | *false
  members: [#Member, ...#Member]
}
)";
}

Roster LoadRoster(const std::string& path) {
  const std::string text = records::ReadRecordFile(path);
  const Record root = records::Load({text, path}, {RosterSchema(), "fleet schema"}, "#Fleet");
  if (root.At("members").Items().size() > kMaxMembers) {
    records::ThrowFault(root.At("members").at(), "a fleet has 300 members at most");
  }
  return RosterReader(root, std::filesystem::path(path).parent_path()).Read();
}

std::string ChangeFault(const Roster& now, const Roster& next) {
  if (now.fleet != next.fleet) return "the fleet has another name";
  if (now.secret != next.secret) return "the key is another one; it is taken up by a restart only";
  std::map<std::string, std::pair<const Member*, const Member*>> both;
  for (const Member& m : now.members) both[m.name].first = &m;
  for (const Member& m : next.members) both[m.name].second = &m;
  std::string changed;
  for (const auto& [name, pair] : both) {
    const auto& [was, is] = pair;
    if (was != nullptr && is != nullptr && *was == *is) continue;
    if (!changed.empty()) return "more than one member changes (" + changed + " and " + name + ")";
    changed = name;
  }
  const bool rest_too = now.max_out_total != next.max_out_total ||
                        now.max_out_per_zone != next.max_out_per_zone ||
                        now.timings != next.timings || now.sharing != next.sharing;
  if (!changed.empty() && rest_too) return changed + " changes, and limits or timings as well";
  return "";
}

}  // namespace brassfront::peers
