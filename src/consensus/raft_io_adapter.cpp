#include "consensus/raft_io_adapter.hpp"

#include <algorithm>
#include <new>
#include <utility>
#include <vector>

#include "consensus/raft_configuration.hpp"
#include "consensus/raft_messages.hpp"

namespace brassfront::consensus {
namespace {

constexpr int kIoVersion = 2;   // raft_io with async_work
constexpr int kFsmVersion = 1;  // raft_fsm without asynchronous snapshots

int ToStatus(bool done) { return done ? 0 : RAFT_IOERR; }

// The result is owned by libraft, which frees it. Throws std::bad_alloc.
raft_snapshot* AllocateSnapshot(const Snapshot& snapshot) {
  auto* const allocated = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
  if (allocated == nullptr) throw std::bad_alloc();
  allocated->index = snapshot.index;
  allocated->term = snapshot.term;
  allocated->configuration_index = snapshot.servers_index;
  // Cannot fail: the servers come from a configuration that libraft accepted before.
  static_cast<void>(FillConfiguration(allocated->configuration, snapshot.servers));
  allocated->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
  if (allocated->bufs == nullptr) throw std::bad_alloc();
  allocated->bufs[0] = AllocateBuffer(snapshot.state);
  allocated->n_bufs = 1;
  return allocated;
}

}  // namespace

RaftIoAdapter::RaftIoAdapter(Store& store, StateMachine& machine, std::uint64_t seed,
                             SendFunction send)
    : store_(store), machine_(machine), send_(std::move(send)), random_(seed) {
  io_.version = kIoVersion;
  io_.impl = this;  // the field `data` is reserved for libraft
  RegisterLifecycle();
  RegisterPersistence();
  RegisterEnvironment();
  RegisterStateMachine();
}

void RaftIoAdapter::RunCompletions() {
  while (!completions_.empty()) {
    const auto completion = std::move(completions_.front());
    completions_.pop_front();
    completion();
  }
}

// ---- callbacks ----

void RaftIoAdapter::RegisterLifecycle() {
  io_.init = [](raft_io*, raft_id, const char*) { return 0; };
  io_.close = [](raft_io* io, raft_io_close_cb done) {
    FromIo(io).Complete([io, done] { done(io); });
  };
  io_.start = [](raft_io* io, unsigned, raft_io_tick_cb tick, raft_io_recv_cb receive) {
    FromIo(io).tick_ = tick;
    FromIo(io).receive_ = receive;
    return 0;
  };
  io_.bootstrap = [](raft_io* io, const raft_configuration* configuration) {
    return FromIo(io).Bootstrap(*configuration);
  };
  // Manual recovery is not supported: it could lose commands that were already acknowledged.
  io_.recover = [](raft_io*, const raft_configuration*) -> int { return RAFT_IOERR; };
}

void RaftIoAdapter::RegisterPersistence() {
  io_.load = [](raft_io* io, raft_term* term, raft_id* vote, raft_snapshot** snapshot,
                raft_index* start_index, raft_entry** entries, size_t* count) {
    return FromIo(io).Load(term, vote, snapshot, start_index, entries, count);
  };
  io_.set_term = [](raft_io* io, raft_term term) {
    return ToStatus(FromIo(io).store_.SetTerm(term));
  };
  io_.set_vote = [](raft_io* io, raft_id id) { return ToStatus(FromIo(io).store_.SetVote(id)); };
  io_.append = [](raft_io* io, raft_io_append* request, const raft_entry* entries, unsigned count,
                  raft_io_append_cb done) {
    const int status = FromIo(io).Append(entries, count);
    FromIo(io).Complete([request, done, status] { done(request, status); });
    return 0;
  };
  io_.truncate = [](raft_io* io, raft_index from) {
    return ToStatus(FromIo(io).store_.Truncate(from));
  };
  io_.snapshot_put = [](raft_io* io, unsigned trailing, raft_io_snapshot_put* request,
                        const raft_snapshot* snapshot, raft_io_snapshot_put_cb done) {
    const int status = FromIo(io).PutSnapshot(*snapshot, trailing);
    FromIo(io).Complete([request, done, status] { done(request, status); });
    return 0;
  };
  io_.snapshot_get = [](raft_io* io, raft_io_snapshot_get* request, raft_io_snapshot_get_cb done) {
    FromIo(io).Complete([io, request, done] {
      const std::optional<Snapshot>& last = FromIo(io).snapshot_;
      done(request, last ? AllocateSnapshot(*last) : nullptr, ToStatus(last.has_value()));
    });
    return 0;
  };
}

void RaftIoAdapter::RegisterEnvironment() {
  io_.send = [](raft_io* io, raft_io_send* request, const raft_message* message,
                raft_io_send_cb done) {
    FromIo(io).send_(message->server_address, EncodeRaftMessage(*message));
    FromIo(io).Complete([request, done] { done(request, 0); });
    return 0;
  };
  io_.time = [](raft_io* io) {
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(FromIo(io).now_);
    return static_cast<raft_time>(now.count());
  };
  io_.random = [](raft_io* io, int min, int max) {
    const auto span = static_cast<std::uint64_t>(std::max(1, max - min));
    return min + static_cast<int>(FromIo(io).random_.Below(span));
  };
  io_.async_work = [](raft_io* io, raft_io_async_work* request, raft_io_async_work_cb done) {
    const int status = request->work(request);
    FromIo(io).Complete([request, done, status] { done(request, status); });
    return 0;
  };
}

void RaftIoAdapter::RegisterStateMachine() {
  fsm_.version = kFsmVersion;
  fsm_.data = this;
  fsm_.apply = [](raft_fsm* fsm, const raft_buffer* command, void** result) {
    MachineFromFsm(fsm).Apply(ViewBytes(*command));
    *result = nullptr;
    return 0;
  };
  fsm_.snapshot = [](raft_fsm* fsm, raft_buffer** buffers, unsigned* count) -> int {
    *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    if (*buffers == nullptr) return RAFT_NOMEM;
    **buffers = AllocateBuffer(MachineFromFsm(fsm).Save());
    *count = 1;
    return 0;
  };
  fsm_.restore = [](raft_fsm* fsm, raft_buffer* state) -> int {
    if (!MachineFromFsm(fsm).Load(ViewBytes(*state))) return RAFT_MALFORMED;
    raft_free(state->base);
    return 0;
  };
}

// ---- operations on the store, called by the callbacks ----

int RaftIoAdapter::Load(raft_term* term, raft_id* vote, raft_snapshot** snapshot,
                        raft_index* start_index, raft_entry** entries, size_t* count) {
  const PersistentState state = std::exchange(persistent_, {});
  *term = state.term;
  *vote = state.vote;
  snapshot_ = state.snapshot;
  *snapshot = snapshot_ ? AllocateSnapshot(*snapshot_) : nullptr;
  *start_index = state.first;
  *count = state.entries.size();
  *entries = nullptr;
  if (state.entries.empty()) return 0;
  *entries = static_cast<raft_entry*>(raft_calloc(*count, sizeof(raft_entry)));
  if (*entries == nullptr) return RAFT_NOMEM;
  for (std::size_t i = 0; i < state.entries.size(); ++i) {
    const LogEntry& entry = state.entries[i];
    (*entries)[i] = {entry.term, entry.type, AllocateBuffer(entry.data), nullptr};
  }
  return 0;
}

int RaftIoAdapter::Bootstrap(const raft_configuration& configuration) {
  raft_buffer buffer{};
  if (raft_configuration_encode(&configuration, &buffer) != 0) return RAFT_NOMEM;
  const LogEntry entry{1, RAFT_CHANGE, std::string(ViewBytes(buffer))};
  raft_free(buffer.base);
  return ToStatus(store_.SetTerm(1) && store_.Append({entry}));
}

int RaftIoAdapter::Append(const raft_entry* entries, unsigned count) {
  std::vector<LogEntry> appended;
  for (unsigned i = 0; i < count; ++i) {
    appended.push_back({entries[i].term, entries[i].type, std::string(ViewBytes(entries[i].buf))});
  }
  const int status = ToStatus(store_.Append(appended));
  if (status != 0) append_failed_ = true;
  return status;
}

int RaftIoAdapter::PutSnapshot(const raft_snapshot& snapshot, unsigned trailing) {
  Snapshot taken{snapshot.index, snapshot.term, ReadConfiguration(snapshot.configuration),
                 snapshot.configuration_index, ""};
  for (unsigned i = 0; i < snapshot.n_bufs; ++i) taken.state += ViewBytes(snapshot.bufs[i]);
  const int status = ToStatus(store_.PutSnapshot(taken, trailing));
  if (status == 0) snapshot_ = std::move(taken);
  return status;
}

}  // namespace brassfront::consensus
