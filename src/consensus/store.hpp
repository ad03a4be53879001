// What a voter keeps of the settled log: its term, its vote, the entries and the last snapshot.
//
// An interface, so that the core can be played with a store in memory; FileStore is the real one.
// Each call that returns true has happened for good: the voter may act on it.
#ifndef BRASSFRONT_CONSENSUS_STORE_HPP_
#define BRASSFRONT_CONSENSUS_STORE_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace brassfront::consensus {

struct LogEntry {
  std::uint64_t term = 0;
  std::uint16_t type = 0;  // of libraft: a command, a barrier, a change of voters
  std::string data;

  bool operator==(const LogEntry&) const = default;
};

// Who replicates the log: `role` is libraft's (0 stand-by, 1 voter, 2 spare).
struct Server {
  std::uint64_t id = 0;  // of its folder
  std::string name;
  int role = 0;

  bool operator==(const Server&) const = default;
};

struct Snapshot {
  std::uint64_t index = 0, term = 0;  // of the last entry in it
  std::vector<Server> servers;
  std::uint64_t servers_index = 0;  // of the entry that said so
  std::string state;

  bool operator==(const Snapshot&) const = default;
};

struct PersistentState {
  std::uint64_t term = 0, vote = 0;
  std::optional<Snapshot> snapshot;
  std::uint64_t first = 1;  // index of the first of the entries
  std::vector<LogEntry> entries;

  [[nodiscard]] bool empty() const { return term == 0 && !snapshot && entries.empty(); }
  [[nodiscard]] std::uint64_t last() const { return first + entries.size() - 1; }
};

class Store {
 public:
  virtual ~Store() = default;
  // What is kept. Where it cannot be trusted (bytes flipped before the end), nothing, and
  // `damaged` is set: such a voter must not vote for what it may have forgotten.
  virtual PersistentState Load(bool& damaged) = 0;
  virtual bool SetTerm(std::uint64_t term) = 0;  // and no vote in it yet
  virtual bool SetVote(std::uint64_t id) = 0;
  virtual bool Append(const std::vector<LogEntry>& entries) = 0;
  virtual bool Truncate(std::uint64_t from) = 0;  // drops this entry and all after it
  // Entries up to the snapshot's index are dropped, but for the last `trailing` of them; 0: the
  // snapshot takes the place of the whole log.
  virtual bool PutSnapshot(const Snapshot& snapshot, std::uint64_t trailing) = 0;
  // Forgets everything, as an empty folder.
  virtual bool Clear() = 0;
};

// In memory: for tests, and the model of what FileStore does.
class MemoryStore : public Store {
 public:
  PersistentState Load(bool& damaged) override {
    damaged = false;
    return persistent_;
  }
  bool SetTerm(std::uint64_t term) override {
    persistent_.term = term;
    persistent_.vote = 0;
    return works;
  }
  bool SetVote(std::uint64_t id) override {
    persistent_.vote = id;
    return works;
  }
  bool Append(const std::vector<LogEntry>& entries) override {
    if (works)
      persistent_.entries.insert(persistent_.entries.end(), entries.begin(), entries.end());
    return works;
  }
  bool Truncate(std::uint64_t from) override {
    if (from < persistent_.first) return false;
    if (from - persistent_.first < persistent_.entries.size())
      persistent_.entries.resize(from - persistent_.first);
    return works;
  }
  bool PutSnapshot(const Snapshot& snapshot, std::uint64_t trailing) override {
    if (!works) return false;
    Compact(persistent_, snapshot, trailing);
    return true;
  }
  bool Clear() override {
    persistent_ = {};
    return true;
  }
  // What PutSnapshot comes to.
  static void Compact(PersistentState& kept, const Snapshot& snapshot, std::uint64_t trailing) {
    kept.snapshot = snapshot;
    if (trailing == 0 || snapshot.index > kept.last()) {
      kept.entries.clear();
      kept.first = snapshot.index + 1;
      return;
    }
    const std::uint64_t keep_from =
        snapshot.index + 1 > trailing ? snapshot.index + 1 - trailing : 1;
    if (keep_from <= kept.first) return;
    kept.entries.erase(kept.entries.begin(),
                       kept.entries.begin() + static_cast<std::ptrdiff_t>(keep_from - kept.first));
    kept.first = keep_from;
  }

  bool works = true;  // a full disk

 private:
  PersistentState persistent_;
};

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_STORE_HPP_
