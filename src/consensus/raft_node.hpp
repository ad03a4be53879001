// One settled order of commands among the voters of a fleet, on Canonical's C-Raft.
//
// A core: no I/O of its own (the store is handed in), no clock, no threads, one seed. It is fed
// frames' bodies and the time, and hands back what to send and what was settled. One thread owns
// it.
//
// Who may vote is said by folders, not by names: a voter whose folder was lost comes back with
// another id, which is in no configuration, so it cannot vote for what it has forgotten. The leader
// then puts the new id in the place of the old one. The first configuration is made by the first
// voter of the roster, once every voter has said that its folder is empty.
#ifndef BRASSFRONT_CONSENSUS_RAFT_NODE_HPP_
#define BRASSFRONT_CONSENSUS_RAFT_NODE_HPP_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "consensus/store.hpp"

namespace brassfront::consensus {

using Time = std::chrono::nanoseconds;

inline constexpr std::size_t kMaxCommandBytes = 512;  // bytes

// What the settled commands act on. Commands must come to the same everywhere.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  virtual void Apply(std::string_view command) = 0;
  [[nodiscard]] virtual std::string Save() const = 0;
  virtual bool Load(std::string_view state) = 0;
};

class RaftNode {
 public:
  struct Options {
    std::uint64_t id = 0;  // of the folder
    std::string self;
    std::vector<std::string> voters;  // of the roster, in its order
    Time heartbeat = std::chrono::milliseconds(100);
    Time election = std::chrono::milliseconds(500);
    std::uint64_t seed = 1;
  };
  struct Message {
    std::string to;
    bool founding = false;  // of the first configuration, else of the log
    std::string body;
  };
  // What became of a proposed command. kUnknown: it may be settled yet; ask again.
  enum class Outcome { kSettled, kNotLeader, kTooLong, kUnknown };
  using Done = std::function<void(Outcome)>;

  // Throws std::runtime_error where the log cannot be read at all.
  RaftNode(Options options, Store& store, StateMachine& machine);
  ~RaftNode();
  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  void Tick(Time now);
  // Never, once it is broken: whoever waits for it would not wait at all else.
  [[nodiscard]] Time Next() const { return broken() ? Time::max() : next_tick_; }
  // `identity` is the sender's folder, as its frame says.
  void Receive(const std::string& from, std::uint64_t identity, bool founding,
               std::string_view body, Time now);
  std::vector<Message> TakeMessages() { return std::exchange(messages_, {}); }
  // `done` is called once, during a later call or this one.
  void Propose(std::string command, Done done);
  // The roster's voters have changed; the leader brings the configuration there, a step at a time.
  void SetVoters(std::vector<std::string> voters);
  // Until it is told that our folder is no old copy (FailureDetector), it starts no log of an
  // earlier process_incarnation.
  void AllowVoting() { may_vote_ = true; }

  [[nodiscard]] bool leads() const;
  [[nodiscard]] std::string leader() const;  // empty: none known
  [[nodiscard]] std::uint64_t term() const;
  [[nodiscard]] std::uint64_t last_index() const;
  [[nodiscard]] bool bootstrapped() const { return started_; }
  // The store failed, or its log was damaged: this core does nothing more and is to be made anew.
  [[nodiscard]] bool broken() const;
  [[nodiscard]] bool damaged() const { return damaged_; }
  [[nodiscard]] std::vector<Server> servers() const;
  // This folder is one of them, as a voter.
  [[nodiscard]] bool votes() const;

 private:
  struct Raft;  // libraft's side
  friend struct Raft;

  void Start();
  bool Bootstrap(const std::vector<Server>& servers);
  void RunCompletions();
  void AnnounceEmptyLog(Time now);
  void ReceiveBootstrap(const std::string& from, std::uint64_t identity, std::string_view body,
                        Time now);
  void ChangeConfiguration(Time now);

  Options options_;
  Store& store_;
  StateMachine& machine_;
  std::unique_ptr<Raft> raft_;
  PersistentState persistent_;               // as loaded, until it is started
  std::vector<Server> first_configuration_;  // the first configuration, while it is known
  bool started_ = false, damaged_ = false, may_vote_ = false;
  Time now_{}, next_tick_{}, next_announcement_{};
  struct EmptyLog {
    std::uint64_t identity = 0;
    Time received{};
    std::size_t repeats = 0;
  };
  std::map<std::string, EmptyLog> empty_logs_;  // voters that said that they have no log
  std::vector<Message> messages_;
};

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_RAFT_NODE_HPP_
