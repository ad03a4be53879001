// One voter of a Raft cluster: it replicates a log of commands among the voters of a fleet, in the
// same order on each of them, and applies committed commands to a state machine. libraft
// (Canonical's C-Raft) implements the protocol, with pre-vote.
//
// Deterministic: the store is injected, and the node has no clock, no threads and one random seed.
// The caller passes in the bodies of received frames and the time, and gets back the messages to
// send and the outcomes of commands. Owned by one thread.
//
// Invariants:
// - A vote or an entry is in the store before a message that reports it is returned.
// - A voter is identified by its folder (a random id), not by its name. A voter that lost its
//   folder returns with a new id that is in no configuration, so it cannot vote a second time in a
//   term that it has forgotten. The leader then replaces the old id with the new one.
// - The first voter of the roster creates the first configuration, once every voter has announced
//   that its log is empty (bootstrap.hpp).
// - A log of an earlier process is used only after AllowVoting, because the folder may be an old
//   copy.
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

// Maximum size of a command. It bounds an AppendEntries message: all entries that a snapshot
// interval leaves in the log (raft_node.cpp), each of this size, fit into one frame
// (peers::kMaxFrameBytes).
inline constexpr std::size_t kMaxCommandBytes = 512;

class RaftNode {
 public:
  struct Options {
    std::uint64_t id = 0;                             // folder id
    std::string self;                                 // name of this member
    std::vector<std::string> voters;                  // names, in the order of the roster
    Time heartbeat = std::chrono::milliseconds(100);  // interval of the leader's heartbeats
    // A voter starts an election after a random time between this and twice this without a
    // heartbeat.
    Time election = std::chrono::milliseconds(500);
    std::uint64_t seed = 1;  // for random election timeouts
  };
  struct Message {
    std::string to;             // name of the receiving member
    bool is_bootstrap = false;  // a bootstrap message; otherwise a Raft message
    std::string body;
  };
  // Outcome of a proposed command. kApplied: it was committed and applied. kNotLeader, kTooLong: it
  // was rejected and will never be committed. kUnknown: it may still be committed, so the caller
  // proposes it again under the same number.
  enum class Outcome { kApplied, kNotLeader, kTooLong, kUnknown };
  using Done = std::function<void(Outcome)>;

  // `store` and `machine` must outlive the node. Throws std::runtime_error if libraft cannot be
  // initialized.
  RaftNode(Options options, Store& store, StateMachine& machine);
  // Calls the `done` of every command without an outcome.
  ~RaftNode();
  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  // Does the work that is due at `now`, which never goes backwards.
  void Tick(Time now);
  // The time at which Tick is due next; Time::max() once the node is broken, so that no caller
  // spins on a time in the past.
  [[nodiscard]] Time Next() const { return broken() ? Time::max() : next_tick_; }
  // Handles a message from the member `from`; `identity` is the folder id in the frame. Messages
  // that cannot be decoded are dropped.
  void Receive(const std::string& from, std::uint64_t identity, bool is_bootstrap,
               std::string_view body, Time now);
  // Returns the messages to send, in order, and clears the list.
  std::vector<Message> TakeMessages() { return std::exchange(messages_, {}); }

  // Proposes a command. `done` is called exactly once, during this call or a later one.
  void Propose(std::string_view command, Done done);
  // Replaces the roster's voters; the leader then changes the configuration to match, one server at
  // a time.
  void SetVoters(std::vector<std::string> voters) { options_.voters = std::move(voters); }
  // Allows the log of an earlier process to be used; called once the folder is known not to be an
  // old copy (FailureDetector::folder_is_stale).
  void AllowVoting() { may_vote_ = true; }

  [[nodiscard]] bool leads() const;
  [[nodiscard]] std::string leader() const;  // name of a member; empty if no leader is known
  [[nodiscard]] std::uint64_t term() const;
  [[nodiscard]] std::uint64_t last_index() const;
  // This node has a log and takes part in the cluster.
  [[nodiscard]] bool bootstrapped() const { return started_; }
  // The store has failed. The node does nothing any more; the caller must create a new one.
  [[nodiscard]] bool broken() const;
  // The log in the store was damaged; the node takes part only after a leader has added it.
  [[nodiscard]] bool damaged() const { return damaged_; }
  [[nodiscard]] std::vector<Server> servers() const;
  // The configuration contains this folder as a voter.
  [[nodiscard]] bool votes() const;

 private:
  struct Raft;  // libraft and its adapter

  // Starts libraft with the persistent state; does nothing if it has already started.
  void Start();
  // Writes the first entry, the configuration of these servers, and starts libraft.
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
  bool damaged_ = false;        // set while persistent_ is loaded, so it is declared first
  PersistentState persistent_;  // the loaded state, until libraft starts with it
  std::unique_ptr<Raft> raft_;
  EmptyLogs empty_logs_;
  std::vector<Server> first_configuration_;  // empty unless this process has bootstrapped
  bool started_ = false, may_vote_ = false;
  Time next_tick_{}, next_announcement_{};
  std::vector<Message> messages_;
};

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_RAFT_NODE_HPP_
