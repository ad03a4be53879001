// One voter of a Raft cluster: it replicates a log of commands among the voters of a fleet, in one
// order that is the same everywhere, and applies committed commands to a state machine. The
// protocol itself is libraft (Canonical's C-Raft), with pre-vote.
//
// A core: no I/O of its own (the store is handed in), no clock, no threads, one seed. It is fed the
// bodies of frames and the time, and returns what to send and what became of commands. One thread
// owns it.
//
// Invariants:
// - A vote and an entry are in the store before the message that says so is returned.
// - A voter is identified by its folder (a random id), not by its name. One whose folder was lost
//   comes back with another id, which is in no configuration, so it cannot vote a second time in a
//   term that it has forgotten. The leader then replaces the old id by the new one.
// - The first configuration is made by the first voter of the roster, once every voter has
//   announced that its log is empty (bootstrap.hpp).
// - A log of an earlier process is used only after AllowVoting: the folder may be an old copy.
#ifndef BRASSFRONT_CONSENSUS_RAFT_NODE_HPP_
#define BRASSFRONT_CONSENSUS_RAFT_NODE_HPP_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "consensus/empty_logs.hpp"
#include "consensus/state_machine.hpp"
#include "consensus/store.hpp"

namespace brassfront::consensus {

using Time = std::chrono::nanoseconds;  // on the member's own monotonic clock

// Bounds an AppendEntries message: at most the entries that one snapshot interval leaves in the log
// (raft_node.cpp), of this size each, fit into one frame (peers::kMaxFrameBytes).
inline constexpr std::size_t kMaxCommandBytes = 512;

class RaftNode {
 public:
  struct Options {
    std::uint64_t id = 0;                             // of the folder
    std::string self;                                 // the member's name
    std::vector<std::string> voters;                  // of the roster, in its order
    Time heartbeat = std::chrono::milliseconds(100);  // between two of the leader's
    // Without a heartbeat for this time to twice this time, a voter starts an election.
    Time election = std::chrono::milliseconds(500);
    std::uint64_t seed = 1;  // of the election timeouts
  };
  struct Message {
    std::string to;             // a member's name
    bool is_bootstrap = false;  // of the bootstrap, else of Raft
    std::string body;
  };
  // What became of a proposed command. kApplied: it is committed and applied. kNotLeader, kTooLong:
  // it never will be. kUnknown: it may be committed yet; propose it again under the same number.
  enum class Outcome { kApplied, kNotLeader, kTooLong, kUnknown };
  using Done = std::function<void(Outcome)>;

  // `store` and `machine` must outlive the node. Throws std::runtime_error where libraft cannot be
  // set up.
  RaftNode(Options options, Store& store, StateMachine& machine);
  // Calls the `done` of every command that is still open.
  ~RaftNode();
  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  // Does what is due at `now`, which never runs backwards.
  void Tick(Time now);
  // When Tick is due next: Time::max() once the node is broken, so that no caller spins on a time
  // in the past.
  [[nodiscard]] Time Next() const { return broken() ? Time::max() : next_tick_; }
  // A message of the member `from`, whose folder is `identity` as its frame says. What cannot be
  // read is dropped.
  void Receive(const std::string& from, std::uint64_t identity, bool is_bootstrap,
               std::string_view body, Time now);
  // What to send, in order. Each call returns a message once.
  std::vector<Message> TakeMessages() { return std::exchange(messages_, {}); }

  // `done` is called once, during this call or a later one.
  void Propose(std::string_view command, Done done);
  // The roster's voters have changed; the leader brings the configuration there, one server at a
  // time.
  void SetVoters(std::vector<std::string> voters) { options_.voters = std::move(voters); }
  // The folder is known to be no old copy (FailureDetector::folder_is_stale): a log of an earlier
  // process may be used.
  void AllowVoting() { may_vote_ = true; }

  [[nodiscard]] bool leads() const;
  [[nodiscard]] std::string leader() const;  // a member's name; empty: none known
  [[nodiscard]] std::uint64_t term() const;
  [[nodiscard]] std::uint64_t last_index() const;
  // This node has a log and takes part.
  [[nodiscard]] bool bootstrapped() const { return started_; }
  // The store has failed: this node does nothing more and is to be made anew.
  [[nodiscard]] bool broken() const;
  // The log in the store could not be trusted; the node takes part only once a leader has added it.
  [[nodiscard]] bool damaged() const { return damaged_; }
  [[nodiscard]] std::vector<Server> servers() const;
  // This folder is one of the servers, as a voter.
  [[nodiscard]] bool votes() const;

 private:
  struct Raft;  // libraft and its adapter

  // Starts libraft on the persistent state, once.
  void Start();
  // Writes the first entry, the configuration of these servers, and starts.
  void Bootstrap(const std::vector<Server>& servers);
  void TickWithoutLog(Time now);
  void AnnounceEmptyLog(Time now);
  void ReceiveBootstrap(const std::string& from, std::uint64_t identity, std::string_view body,
                        Time now);
  void OnEmptyLog(const std::string& from, std::uint64_t identity, Time now);
  void OnFirstConfiguration(const std::vector<Server>& servers);
  void ChangeConfiguration(Time now);

  Options options_;
  Store& store_;
  bool damaged_ = false;        // set by the load of the next member
  PersistentState persistent_;  // as loaded, until libraft takes it over
  std::unique_ptr<Raft> raft_;
  EmptyLogs empty_logs_;
  std::vector<Server> first_configuration_;  // if this process has bootstrapped
  bool started_ = false, may_vote_ = false;
  Time next_tick_{}, next_announcement_{};
  std::vector<Message> messages_;
};

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_RAFT_NODE_HPP_
