// Durable state of a voter: its term, its vote, the log entries and the last snapshot.
//
// Store is an interface, so that the node can be tested with a store in memory; FileStore is used
// in production. After a call returned true its change is durable and the voter may act on it.
// After a call returned false the voter must not act on the change, and only a new Load shows what
// is stored. Called by the thread that owns the node.
#ifndef BRASSFRONT_CONSENSUS_STORE_HPP_
#define BRASSFRONT_CONSENSUS_STORE_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace brassfront::consensus {

struct LogEntry {
  std::uint64_t term = 0;
  std::uint16_t type = 0;  // libraft's value: a command, a barrier or a configuration change
  std::string data;

  bool operator==(const LogEntry&) const = default;
};

// A member of the Raft cluster, which replicates the log.
struct Server {
  std::uint64_t id = 0;  // folder id
  std::string name;      // name of the fleet member
  int role = 0;          // libraft's value: 0 stand-by, 1 voter, 2 spare

  bool operator==(const Server&) const = default;
};

struct Snapshot {
  std::uint64_t index = 0, term = 0;  // of the last entry that the snapshot covers
  std::vector<Server> servers;        // the configuration as of that entry
  std::uint64_t servers_index = 0;    // index of the entry that set the configuration
  std::string state;                  // result of StateMachine::Save

  bool operator==(const Snapshot&) const = default;
};

// Invariant: `entries` have consecutive indexes starting at `first`, and `first` is at most the
// snapshot's index + 1 (1 without a snapshot).
struct PersistentState {
  std::uint64_t term = 0;
  std::uint64_t vote = 0;  // folder id that this voter voted for in `term`; 0 if none
  std::optional<Snapshot> snapshot;
  std::uint64_t first = 1;  // index of entries.front()
  std::vector<LogEntry> entries;

  [[nodiscard]] bool empty() const { return term == 0 && !snapshot && entries.empty(); }
  // Index of the last entry, or first - 1 if there are no entries.
  [[nodiscard]] std::uint64_t last() const { return first + entries.size() - 1; }

  // Drops the entry at index `from` and all entries after it. `from` is at least `first`.
  void Truncate(std::uint64_t from);
  // Stores the snapshot and drops the entries up to its index, except for the last `trailing` of
  // them. If `trailing` is 0, or if the log ends before the snapshot, all entries are dropped.
  void Compact(const Snapshot& taken, std::uint64_t trailing);
};

class Store {
 public:
  virtual ~Store() = default;
  // Returns the stored state. If the bytes differ from what was written, returns an empty state and
  // sets `damaged`; such a voter must not vote, because it may have forgotten a vote.
  virtual PersistentState Load(bool& damaged) = 0;
  [[nodiscard]] virtual bool SetTerm(std::uint64_t term) = 0;  // also clears the vote
  [[nodiscard]] virtual bool SetVote(std::uint64_t id) = 0;
  [[nodiscard]] virtual bool Append(const std::vector<LogEntry>& entries) = 0;
  // Drops the entry at index `from` and all entries after it. Returns false if `from` is before the
  // first entry.
  [[nodiscard]] virtual bool Truncate(std::uint64_t from) = 0;
  // Stores the snapshot and compacts the log as PersistentState::Compact does.
  [[nodiscard]] virtual bool PutSnapshot(const Snapshot& snapshot, std::uint64_t trailing) = 0;
  // Deletes everything, as if the folder were empty.
  virtual bool Clear() = 0;
};

// A store in memory for tests. It behaves as FileStore does.
class MemoryStore : public Store {
 public:
  PersistentState Load(bool& damaged) override;
  [[nodiscard]] bool SetTerm(std::uint64_t term) override;
  [[nodiscard]] bool SetVote(std::uint64_t id) override;
  [[nodiscard]] bool Append(const std::vector<LogEntry>& entries) override;
  [[nodiscard]] bool Truncate(std::uint64_t from) override;
  [[nodiscard]] bool PutSnapshot(const Snapshot& snapshot, std::uint64_t trailing) override;
  bool Clear() override;

  bool works = true;  // if false, calls return false as on a full disk

 private:
  PersistentState persistent_;
};

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_STORE_HPP_
