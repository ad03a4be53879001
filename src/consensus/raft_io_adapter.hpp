// What libraft asks of its environment (`raft_io`, `raft_fsm`), on a Store, a StateMachine and a
// clock that is set by hand: no threads, no sockets, no timers, and random numbers from one seed.
//
// libraft must not be called back while it calls; results wait until RunCompletions. The object is
// registered with libraft by its address and therefore neither copied nor moved; it outlives the
// `struct raft` that uses it. One thread calls it.
#ifndef BRASSFRONT_CONSENSUS_RAFT_IO_ADAPTER_HPP_
#define BRASSFRONT_CONSENSUS_RAFT_IO_ADAPTER_HPP_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "consensus/libraft.hpp"
#include "consensus/state_machine.hpp"
#include "consensus/store.hpp"
#include "peers/random.hpp"

namespace brassfront::consensus {

class RaftIoAdapter {
 public:
  using Time = std::chrono::nanoseconds;
  // Called with the receiver's name and the encoded message.
  using SendFunction = std::function<void(std::string, std::string)>;

  RaftIoAdapter(Store& store, StateMachine& machine, std::uint64_t seed, SendFunction send);
  RaftIoAdapter(const RaftIoAdapter&) = delete;
  RaftIoAdapter& operator=(const RaftIoAdapter&) = delete;

  [[nodiscard]] raft_io* io() { return &io_; }
  [[nodiscard]] raft_fsm* fsm() { return &fsm_; }

  void SetTime(Time now) { now_ = now; }
  // What libraft gets when it starts. Read by the caller, who also decides whether it starts at
  // all.
  void SetPersistentState(PersistentState state) { persistent_ = std::move(state); }

  // Between raft_start and raft_close only.
  void Tick() { tick_(&io_); }
  void Receive(raft_message& message) { receive_(&io_, &message); }

  // Tells libraft what became of its requests, including those that it makes meanwhile.
  void RunCompletions();
  [[nodiscard]] bool has_completions() const { return !completions_.empty(); }

  // The store did not take an entry: nothing more may be done with it.
  [[nodiscard]] bool append_failed() const { return append_failed_; }

 private:
  static RaftIoAdapter& FromIo(raft_io* io) { return *static_cast<RaftIoAdapter*>(io->impl); }
  static StateMachine& MachineFromFsm(raft_fsm* fsm) {
    return static_cast<RaftIoAdapter*>(fsm->data)->machine_;
  }

  void RegisterLifecycle();
  void RegisterPersistence();
  void RegisterEnvironment();
  void RegisterStateMachine();

  int Load(raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* start_index,
           raft_entry** entries, size_t* count);
  int Bootstrap(const raft_configuration& configuration);
  int Append(const raft_entry* entries, unsigned count);
  int PutSnapshot(const raft_snapshot& snapshot, unsigned trailing);
  void Complete(std::function<void()> completion) { completions_.push_back(std::move(completion)); }

  Store& store_;
  StateMachine& machine_;
  SendFunction send_;
  peers::Random random_;
  raft_io io_{};
  raft_fsm fsm_{};
  raft_io_tick_cb tick_ = nullptr;
  raft_io_recv_cb receive_ = nullptr;
  Time now_{};
  PersistentState persistent_;
  std::optional<Snapshot> snapshot_;  // the last one that the store has
  std::deque<std::function<void()>> completions_;
  bool append_failed_ = false;
};

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_RAFT_IO_ADAPTER_HPP_
