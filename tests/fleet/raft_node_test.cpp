// Tests of Raft nodes in virtual time with stores in memory, and of the store in files.
#include "consensus/raft_node.hpp"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "consensus/file_store.hpp"

namespace brassfront::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// State machine that lists the committed commands in order.
class CommandList : public StateMachine {
 public:
  void Apply(std::string_view command) override { all.emplace_back(command); }
  std::string Save() const override {
    std::string out;
    for (const std::string& c : all) out += c + "\n";
    return out;
  }
  bool Load(std::string_view state) override {
    all.clear();
    while (!state.empty()) {
      all.emplace_back(state.substr(0, state.find('\n')));
      state.remove_prefix(all.back().size() + 1);
    }
    return true;
  }
  std::vector<std::string> all;
};

struct Voter {
  std::uint64_t id = 0;
  MemoryStore store;
  CommandList list;
  std::unique_ptr<RaftNode> raft_node;
  bool paused = false;
};

// Voters on a simulated network with one random seed, ticks of 5 ms, and delays of 1 to 10 ms on
// each link.
class SimulatedVoters {
 public:
  explicit SimulatedVoters(std::size_t count, std::uint64_t seed = 1) : random_(seed) {
    for (std::size_t i = 0; i < count; ++i) names_.push_back("v" + std::to_string(i));
    for (const std::string& name : names_) {
      voters_[name].id = ++last_id_;
      Start(name);
    }
  }
  void Start(const std::string& name) {
    Voter& v = voters_[name];
    v.list.all.clear();
    RaftNode::Options options;
    options.id = v.id;
    options.self = name;
    options.voters = names_;
    options.seed = random_();
    v.raft_node = std::make_unique<RaftNode>(options, v.store, v.list);
    v.raft_node->AllowVoting();
    v.paused = false;
  }
  void Kill(const std::string& name) { voters_[name].raft_node.reset(); }
  // Replaces the voter's folder with an empty one that has a new id.
  void LoseFolder(const std::string& name) {
    voters_[name].store.Clear();
    voters_[name].id = ++last_id_;
  }
  void Cut(const std::string& a, const std::string& b, bool cut = true) {
    for (const auto& pair : {std::pair{a, b}, std::pair{b, a}}) {
      if (cut) {
        cut_.insert(pair);
      } else {
        cut_.erase(pair);
      }
    }
  }
  void Heal() { cut_.clear(); }

  void RunFor(Time time) {
    for (const Time until = now + time; now < until;) {
      now += milliseconds(5);
      std::vector<MessageInFlight> due;
      std::erase_if(in_flight_, [&](MessageInFlight& f) {
        if (f.at > now) return false;
        due.push_back(std::move(f));
        return true;
      });
      for (MessageInFlight& f : due) {
        Voter& to = voters_[f.message.to];
        if (to.raft_node == nullptr || to.paused) continue;
        to.raft_node->Receive(f.from, f.id, f.message.is_bootstrap, f.message.body, now);
        Collect(f.message.to);
      }
      for (const std::string& name : names_) {
        Voter& v = voters_[name];
        if (v.raft_node == nullptr || v.paused) continue;
        v.raft_node->Tick(now);
        Collect(name);
      }
    }
  }

  std::string Leader() const {
    std::string leader;
    std::uint64_t term = 0;
    for (const auto& [name, v] : voters_) {
      if (v.raft_node && !v.paused && v.raft_node->leads() && v.raft_node->term() > term) {
        leader = name;
        term = v.raft_node->term();
      }
    }
    return leader;
  }
  std::string AwaitLeader() {
    for (int i = 0; i < 400 && Leader().empty(); ++i) RunFor(milliseconds(50));
    return Leader();
  }
  // Returns the command's outcome, which is set once it is known.
  std::shared_ptr<std::optional<RaftNode::Outcome>> Propose(const std::string& to,
                                                            const std::string& command) {
    auto outcome = std::make_shared<std::optional<RaftNode::Outcome>>();
    voters_[to].raft_node->Propose(command, [outcome](RaftNode::Outcome o) { *outcome = o; });
    Collect(to);
    return outcome;
  }
  // Proposes the command to the current leader until it is committed. Returns false if there is no
  // leader for 20 s, or after 100 attempts.
  bool Commit(const std::string& command) {
    for (int i = 0; i < 100; ++i) {
      const std::string leader = AwaitLeader();
      if (leader.empty()) return false;
      const auto outcome = Propose(leader, command);
      for (int k = 0; k < 40 && !outcome->has_value(); ++k) RunFor(milliseconds(50));
      if (*outcome == RaftNode::Outcome::kApplied) return true;
    }
    return false;
  }
  // Checks that of any two command lists one is a prefix of the other.
  void CheckSameOrder() const {
    for (const auto& [a, one] : voters_) {
      for (const auto& [b, other] : voters_) {
        const auto& x = one.list.all;
        const auto& y = other.list.all;
        for (std::size_t i = 0; i < std::min(x.size(), y.size()); ++i) REQUIRE(x[i] == y[i]);
      }
    }
  }
  Voter& at(const std::string& name) { return voters_[name]; }

  Time now = seconds(1);
  double loss = 0;

 private:
  struct MessageInFlight {
    Time at;
    std::string from;
    std::uint64_t id;
    RaftNode::Message message;
  };
  void Collect(const std::string& name) {
    for (RaftNode::Message& m : voters_[name].raft_node->TakeMessages()) {
      if (cut_.contains({name, m.to}) || static_cast<double>(random_() % 1000) < loss * 1000) {
        continue;
      }
      in_flight_.push_back({now + milliseconds(1 + random_() % 10), name, voters_[name].id, m});
    }
  }

  std::mt19937_64 random_;
  std::vector<std::string> names_;
  std::map<std::string, Voter> voters_;
  std::set<std::pair<std::string, std::string>> cut_;
  std::vector<MessageInFlight> in_flight_;
  std::uint64_t last_id_ = 0;
};

TEST_CASE("voters with empty folders bootstrap one log, and commands commit in one order") {
  for (const std::size_t count : {3U, 5U, 7U}) {
    SimulatedVoters cluster(count, count);
    CHECK_FALSE(cluster.AwaitLeader().empty());
    for (int i = 0; i < 200; ++i) REQUIRE(cluster.Commit("c" + std::to_string(i)));
    cluster.RunFor(seconds(2));
    cluster.CheckSameOrder();
    CHECK(cluster.at("v1").list.all.size() == 200);
    CHECK(cluster.at("v1").store.works);
  }
}

TEST_CASE("no cluster is bootstrapped while a voter is missing") {
  SimulatedVoters cluster(3);
  cluster.Kill("v2");
  cluster.RunFor(seconds(10));
  CHECK_FALSE(cluster.at("v0").raft_node->bootstrapped());
  cluster.Start("v2");
  CHECK_FALSE(cluster.AwaitLeader().empty());
}

TEST_CASE("committed commands survive the loss of the leader, and restarts of all") {
  SimulatedVoters cluster(3, 7);
  for (int i = 0; i < 60; ++i) REQUIRE(cluster.Commit("a" + std::to_string(i)));
  cluster.Kill(cluster.Leader());
  cluster.RunFor(seconds(3));
  REQUIRE(cluster.Commit("after"));
  for (const char* name : {"v0", "v1", "v2"}) {
    cluster.Kill(name);
    cluster.Start(name);
  }
  REQUIRE(cluster.Commit("last"));
  cluster.RunFor(seconds(3));
  cluster.CheckSameOrder();
  for (const char* name : {"v0", "v1", "v2"}) CHECK(cluster.at(name).list.all.back() == "last");
}

TEST_CASE("a minority commits nothing, and its leader steps down") {
  SimulatedVoters cluster(5, 9);
  REQUIRE(cluster.Commit("one"));
  const std::string old = cluster.Leader();
  for (const char* name : {"v0", "v1", "v2", "v3", "v4"}) {
    if (name != old) cluster.Cut(old, name);
  }
  const auto lost = cluster.Propose(old, "lost");
  cluster.RunFor(seconds(5));
  CHECK(lost->value_or(RaftNode::Outcome::kUnknown) == RaftNode::Outcome::kUnknown);
  CHECK_FALSE(cluster.at(old).raft_node->leads());
  REQUIRE(cluster.Commit("two"));
  cluster.Heal();
  REQUIRE(cluster.Commit("three"));
  cluster.RunFor(seconds(3));
  cluster.CheckSameOrder();
  CHECK(cluster.at(old).list.all == std::vector<std::string>{"one", "two", "three"});
}

TEST_CASE("a paused leader that resumes commits nothing on its own") {
  SimulatedVoters cluster(3, 11);
  REQUIRE(cluster.Commit("one"));
  const std::string old = cluster.Leader();
  cluster.at(old).paused = true;
  cluster.RunFor(seconds(5));
  REQUIRE(cluster.Commit("two"));
  cluster.at(old).paused = false;
  const auto late = cluster.Propose(old, "late");
  cluster.RunFor(seconds(5));
  CHECK(*late != RaftNode::Outcome::kApplied);
  cluster.CheckSameOrder();
  CHECK(cluster.at(old).list.all == std::vector<std::string>{"one", "two"});
}

TEST_CASE("a voter with an empty folder has no vote until the leader has added it") {
  SimulatedVoters cluster(3, 13);
  REQUIRE(cluster.Commit("one"));
  const std::string leader = cluster.Leader();
  std::string lost = leader == "v1" ? "v2" : "v1", last = "v0";
  if (leader == "v0") last = lost == "v1" ? "v2" : "v1";
  // `last` misses the command "two". `lost` stores it and then loses its folder, so that only the
  // leader still has it.
  cluster.Kill(last);
  cluster.RunFor(milliseconds(50));
  REQUIRE(cluster.Commit("two"));  // by the leader and `lost`
  cluster.Kill(leader);
  cluster.Kill(lost);
  cluster.LoseFolder(lost);
  cluster.Start(lost);
  cluster.Start(last);
  cluster.RunFor(seconds(20));
  CHECK(cluster.Leader().empty());  // `lost` and `last` must not commit anything without "two"
  cluster.Start(leader);
  REQUIRE(cluster.Commit("three"));
  cluster.RunFor(seconds(10));
  cluster.CheckSameOrder();
  CHECK(cluster.at(lost).list.all == std::vector<std::string>{"one", "two", "three"});
  // After it was added again under its new id, it is a voter.
  bool votes = false;
  for (const Server& server : cluster.at(cluster.Leader()).raft_node->servers()) {
    votes |= server.name == lost && server.id == cluster.at(lost).id && server.role == 1;
  }
  CHECK(votes);
}

TEST_CASE("commands commit in one order with loss on every link") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    SimulatedVoters cluster(5, seed);
    cluster.loss = 0.2;
    for (int i = 0; i < 60; ++i) REQUIRE(cluster.Commit("c" + std::to_string(i)));
    cluster.loss = 0;
    cluster.RunFor(seconds(5));
    cluster.CheckSameOrder();
  }
}

TEST_CASE(
    "random kills, cuts, pauses and lost folders leave one order with all acknowledged commands") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    SimulatedVoters cluster(5, seed);
    std::mt19937_64 random(seed);
    REQUIRE_FALSE(cluster.AwaitLeader().empty());
    std::vector<std::pair<std::string, std::shared_ptr<std::optional<RaftNode::Outcome>>>> proposed;
    const auto name = [&] { return "v" + std::to_string(random() % 5); };
    std::size_t lost = 0;
    Time lost_at{};
    for (int step = 0; step < 150; ++step) {
      switch (random() % 8) {
        case 0:
          cluster.Kill(name());
          break;
        case 1:
          cluster.at(name()).paused = true;
          break;
        case 2:
          cluster.Cut(name(), name());
          break;
        case 3:
          if (random() % 6 == 0 && cluster.now - lost_at > seconds(30) && lost < 3) {
            // Only one folder is lost at a time, after the previous voter was added again.
            cluster.Heal();
            for (int i = 0; i < 5; ++i) {
              const std::string each = "v" + std::to_string(i);
              cluster.at(each).paused = false;
              if (cluster.at(each).raft_node == nullptr) cluster.Start(each);
            }
            cluster.RunFor(seconds(10));
            const std::string who = name();
            cluster.Kill(who);
            cluster.LoseFolder(who);
            cluster.Start(who);
            lost_at = cluster.now;
            ++lost;
            cluster.RunFor(seconds(10));
          }
          break;
        case 4:
          cluster.Heal();
          break;
        case 5: {
          const std::string who = name();
          if (cluster.at(who).raft_node == nullptr) cluster.Start(who);
          cluster.at(who).paused = false;
          break;
        }
        default: {
          const std::string leader = cluster.Leader();
          if (leader.empty()) break;
          const std::string command = "c" + std::to_string(step);
          proposed.emplace_back(command, cluster.Propose(leader, command));
        }
      }
      cluster.RunFor(milliseconds(random() % 900));
      cluster.CheckSameOrder();
    }
    cluster.Heal();
    for (int i = 0; i < 5; ++i) {
      const std::string each = "v" + std::to_string(i);
      cluster.at(each).paused = false;
      if (cluster.at(each).raft_node == nullptr) cluster.Start(each);
    }
    REQUIRE(cluster.Commit("end"));
    cluster.RunFor(seconds(10));
    cluster.CheckSameOrder();
    const auto& all = cluster.at(cluster.Leader()).list.all;
    for (const auto& [command, outcome] : proposed) {
      const auto times = std::count(all.begin(), all.end(), command);
      CHECK(times <= 1);
      if (*outcome == RaftNode::Outcome::kApplied) CHECK(times == 1);
    }
  }
}

TEST_CASE("a full disk breaks one voter and not the others") {
  SimulatedVoters cluster(3, 17);
  REQUIRE(cluster.Commit("one"));
  const std::string full = cluster.Leader() == "v1" ? "v2" : "v1";
  cluster.at(full).store.works = false;
  REQUIRE(cluster.Commit("two"));
  cluster.RunFor(seconds(3));
  // The next tick must not be in the past: the caller would spin and keep a core busy.
  REQUIRE(cluster.at(full).raft_node->broken());
  CHECK(cluster.at(full).raft_node->Next() > cluster.now);
  cluster.at(full).store.works = true;
  cluster.Kill(full);
  cluster.Start(full);
  REQUIRE(cluster.Commit("three"));
  cluster.RunFor(seconds(3));
  CHECK(cluster.at(full).list.all == std::vector<std::string>{"one", "two", "three"});
}

// ---- the store in files ----

class Folder {
 public:
  Folder()
      : path(std::filesystem::temp_directory_path() / ("settled-" + std::to_string(getpid()))) {
    std::filesystem::remove_all(path);
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string Read(const char* name) const {
    std::ifstream in(path / name, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  void Write(const char* name, const std::string& bytes) const {
    std::ofstream(path / name, std::ios::binary) << bytes;
  }
  std::filesystem::path path;
};

TEST_CASE("the store in files equals the one in memory, over random calls and restarts") {
  Folder folder;
  std::mt19937_64 random(3);
  auto file = std::make_unique<FileStore>(folder.path.string());
  MemoryStore memory;
  bool damaged = false;
  PersistentState kept = file->Load(damaged);
  for (int step = 0; step < 400; ++step) {
    const std::uint64_t value = random() % 50;
    switch (random() % 7) {
      case 0:
        CHECK(file->SetTerm(value) == memory.SetTerm(value));
        break;
      case 1:
        CHECK(file->SetVote(value) == memory.SetVote(value));
        break;
      case 2:
      case 3: {
        const std::vector<LogEntry> entries(1 + random() % 3, {value, 1, std::string(value, 'x')});
        CHECK(file->Append(entries) == memory.Append(entries));
        break;
      }
      case 4: {
        // Never truncates below the snapshot, because the entries in it are committed.
        const std::uint64_t settled = kept.snapshot ? kept.snapshot->index + 1 : kept.first;
        const std::uint64_t least = std::max(kept.first, settled);
        const std::uint64_t from = least + random() % (kept.last() + 2 - least);
        CHECK(file->Truncate(from) == memory.Truncate(from));
        break;
      }
      case 5:
        if (!kept.entries.empty()) {
          const std::size_t at = random() % kept.entries.size();
          if (kept.snapshot && kept.first + at < kept.snapshot->index) break;
          const Snapshot s{kept.first + at, kept.entries[at].term, {{7, "v", 1}}, 1, "state"};
          const std::uint64_t trailing = random() % 4;
          CHECK(file->PutSnapshot(s, trailing) == memory.PutSnapshot(s, trailing));
        }
        break;
      default:
        file.reset();
        file = std::make_unique<FileStore>(folder.path.string());
    }
    kept = file->Load(damaged);
    const PersistentState wanted = memory.Load(damaged);
    REQUIRE(kept.term == wanted.term);
    REQUIRE(kept.vote == wanted.vote);
    REQUIRE(kept.first == wanted.first);
    REQUIRE(kept.entries == wanted.entries);
    REQUIRE(kept.snapshot == wanted.snapshot);
  }
}

TEST_CASE("a torn record at the end is cut off, and any flipped bit is damage") {
  Folder folder;
  bool damaged = false;
  {
    FileStore store(folder.path.string());
    store.Load(damaged);
    REQUIRE(store.SetTerm(3));
    REQUIRE(store.SetVote(9));
    REQUIRE(store.Append({{3, 1, "one"}, {3, 1, "two"}}));
  }
  const std::string intact_log = folder.Read("settled");
  std::size_t cut_votes = 0;
  for (std::size_t length = 0; length < intact_log.size(); ++length) {
    folder.Write("settled", intact_log.substr(0, length));
    FileStore store(folder.path.string());
    const PersistentState kept = store.Load(damaged);
    CHECK_FALSE(damaged);
    cut_votes += kept.vote == 0;
    CHECK(store.SetVote(5));
    CHECK(store.Load(damaged).vote == 5);
  }
  CHECK(cut_votes > 0);
  for (std::size_t bit = 0; bit < intact_log.size() * 8; ++bit) {
    std::string flipped = intact_log;
    flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ (1 << (bit % 8)));
    folder.Write("settled", flipped);
    FileStore store(folder.path.string());
    store.Load(damaged);
    CHECK(damaged);
  }
}

TEST_CASE("a full store rejects writes and keeps what it had") {
  Folder folder;
  bool damaged = false;
  FileStore store(folder.path.string(), 400);
  store.Load(damaged);
  CHECK(store.SetTerm(1));
  while (store.Append({{1, 1, "some bytes of a command"}})) {
  }
  const PersistentState before = store.Load(damaged);
  CHECK_FALSE(store.Append({{1, 1, "some bytes of a command"}}));
  CHECK(store.Load(damaged).entries == before.entries);
  CHECK_FALSE(damaged);
}

}  // namespace
}  // namespace brassfront::consensus
