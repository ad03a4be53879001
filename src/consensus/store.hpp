// What a voter must not forget: its term, its vote, the log entries and the last snapshot.
//
// An interface, so that the node can be tested with a store in memory; FileStore is the real one.
// A call that returns true has happened for good: the voter may act on it. After one that returns
// false it must not, and only a new Load tells what is stored.
// The thread that owns the node calls it.
#ifndef BRASSFRONT_CONSENSUS_STORE_HPP_
#define BRASSFRONT_CONSENSUS_STORE_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace brassfront::consensus {

struct LogEntry {
  std::uint64_t term = 0;
  std::uint16_t type = 0;  // libraft's: a command, a barrier or a change of the configuration
  std::string data;

  bool operator==(const LogEntry&) const = default;
};

// One that replicates the log.
struct Server {
  std::uint64_t id = 0;  // of its folder
  std::string name;      // of the member
  int role = 0;          // libraft's: 0 stand-by, 1 voter, 2 spare

  bool operator==(const Server&) const = default;
};

struct Snapshot {
  std::uint64_t index = 0, term = 0;  // of the last entry in it
  std::vector<Server> servers;        // the configuration as of that entry
  std::uint64_t servers_index = 0;    // of the entry that set the configuration
  std::string state;                  // StateMachine::Save

  bool operator==(const Snapshot&) const = default;
};

// Invariant: `entries` have the indexes from `first` on without a gap, and `first` is at most one
// after the snapshot's index (1 without a snapshot).
struct PersistentState {
  std::uint64_t term = 0;
  std::uint64_t vote = 0;  // in that term: a folder's id, 0 for none
  std::optional<Snapshot> snapshot;
  std::uint64_t first = 1;  // index of the first of the entries
  std::vector<LogEntry> entries;

  [[nodiscard]] bool empty() const { return term == 0 && !snapshot && entries.empty(); }
  // Index of the last entry: first - 1 if there are none.
  [[nodiscard]] std::uint64_t last() const { return first + entries.size() - 1; }

  // Drops the entry at index `from`, which is not below `first`, and all after it.
  void Truncate(std::uint64_t from);
  // Takes up the snapshot and drops the entries up to its index, but for the last `trailing` of
  // them. With 0, or where the log ends before the snapshot, no entry stays.
  void Compact(const Snapshot& taken, std::uint64_t trailing);
};

class Store {
 public:
  virtual ~Store() = default;
  // What is stored. Where it cannot be trusted (bytes differ from what was written), nothing, and
  // `damaged` is set: such a voter must not vote, for it may have forgotten a vote.
  virtual PersistentState Load(bool& damaged) = 0;
  [[nodiscard]] virtual bool SetTerm(std::uint64_t term) = 0;  // with no vote in it yet
  [[nodiscard]] virtual bool SetVote(std::uint64_t id) = 0;
  [[nodiscard]] virtual bool Append(const std::vector<LogEntry>& entries) = 0;
  // Drops the entry at index `from` and all after it. False if it is before the first one.
  [[nodiscard]] virtual bool Truncate(std::uint64_t from) = 0;
  // PersistentState::Compact.
  [[nodiscard]] virtual bool PutSnapshot(const Snapshot& snapshot, std::uint64_t trailing) = 0;
  // Forgets everything, as an empty folder.
  virtual bool Clear() = 0;
};

// In memory, for tests: the model of what FileStore does.
class MemoryStore : public Store {
 public:
  PersistentState Load(bool& damaged) override;
  [[nodiscard]] bool SetTerm(std::uint64_t term) override;
  [[nodiscard]] bool SetVote(std::uint64_t id) override;
  [[nodiscard]] bool Append(const std::vector<LogEntry>& entries) override;
  [[nodiscard]] bool Truncate(std::uint64_t from) override;
  [[nodiscard]] bool PutSnapshot(const Snapshot& snapshot, std::uint64_t trailing) override;
  bool Clear() override;

  bool works = true;  // false: as on a full disk, calls return false

 private:
  PersistentState persistent_;
};

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_STORE_HPP_
