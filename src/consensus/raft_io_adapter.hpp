// Implements libraft's environment interfaces (`raft_io`, `raft_fsm`) with a Store, a StateMachine
// and a clock that the caller sets. It uses no threads, sockets or timers, and draws random numbers
// from one seed.
//
// libraft must not be called back from inside one of its own calls, so results are queued until
// RunCompletions. The object is registered with libraft by its address and can therefore be neither
// copied nor moved; it must outlive the `struct raft` that uses it. All calls come from one thread.
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
  // Sets the state that libraft loads when it starts. The caller reads it from the store and
  // decides whether libraft is started.
  void SetPersistentState(PersistentState state) { persistent_ = std::move(state); }

  // May be called only between raft_start and raft_close.
  void Tick() { tick_(&io_); }
  void Receive(raft_message& message) { receive_(&io_, &message); }

  // Reports the results of libraft's requests to it, including requests that it makes meanwhile.
  void RunCompletions();
  [[nodiscard]] bool has_completions() const { return !completions_.empty(); }

  // The store failed to append entries; the node must not use it any further.
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
  std::optional<Snapshot> snapshot_;  // the last one in the store
  std::deque<std::function<void()>> completions_;
  bool append_failed_ = false;
};

}  // namespace brassfront::consensus

#endif  // BRASSFRONT_CONSENSUS_RAFT_IO_ADAPTER_HPP_
