#include "consensus/raft_node.hpp"

extern "C" {
#include <raft.h>  // a C header that does not say so
}

#include <algorithm>
#include <cstring>
#include <deque>
#include <stdexcept>

#include "peers/bytes.hpp"
#include "peers/random.hpp"

namespace brassfront::consensus {
namespace {

using peers::Reader;
using peers::Writer;
using std::chrono::milliseconds;

// So much of the log is sent in one frame at most: threshold and trailing of 512 bytes each.
constexpr unsigned kSnapshotThreshold = 48, kSnapshotTrailing = 24;
constexpr std::size_t kMaxServers = 16;
constexpr Time kEmptyLogInterval = milliseconds(300);
constexpr Time kAnnouncementLifetime = std::chrono::seconds(3);
constexpr std::size_t kRepeatsBeforeReplacement =
    3;  // times said before its old id loses its place

raft_buffer AllocateBuffer(std::string_view bytes) {
  raft_buffer buffer{raft_malloc(std::max<std::size_t>(1, bytes.size())), bytes.size()};
  if (buffer.base == nullptr) throw std::bad_alloc();
  std::memcpy(buffer.base, bytes.data(), bytes.size());
  return buffer;
}

std::string_view ViewBytes(const raft_buffer& buffer) {
  return {static_cast<const char*>(buffer.base), buffer.len};
}

void EncodeServers(Writer& out, const std::vector<Server>& servers) {
  out.U8(servers.size());
  for (const Server& server : servers) {
    out.U64(server.id).Name(server.name).U8(static_cast<std::uint64_t>(server.role));
  }
}

std::vector<Server> DecodeServers(Reader& in) {
  std::vector<Server> servers(std::min<std::size_t>(in.U8(), kMaxServers));
  for (Server& server : servers) {
    server.id = in.U64();
    server.name = in.Name();
    server.role = in.U8();
  }
  return servers;
}

std::vector<Server> ReadConfiguration(const raft_configuration& configuration) {
  std::vector<Server> servers;
  for (unsigned i = 0; i < configuration.n; ++i) {
    const raft_server& from = configuration.servers[i];
    servers.push_back({from.id, from.address, from.role});
  }
  return servers;
}

bool FillConfiguration(raft_configuration& configuration, const std::vector<Server>& servers) {
  raft_configuration_init(&configuration);
  for (const Server& s : servers) {
    if (raft_configuration_add(&configuration, s.id, s.name.c_str(), s.role) != 0) return false;
  }
  return true;
}

// ---- messages on the wire ----

std::string EncodeRaftMessage(const raft_message& message) {
  Writer out;
  out.U64(message.server_id).U8(message.type);
  switch (message.type) {
    case RAFT_IO_REQUEST_VOTE: {
      const raft_request_vote& p = message.request_vote;
      out.U64(p.term).U64(p.candidate_id).U64(p.last_log_index).U64(p.last_log_term);
      out.U8(p.disrupt_leader).U8(p.pre_vote);
      break;
    }
    case RAFT_IO_REQUEST_VOTE_RESULT: {
      const raft_request_vote_result& p = message.request_vote_result;
      out.U64(p.term).U8(p.vote_granted).U8(p.pre_vote);
      break;
    }
    case RAFT_IO_APPEND_ENTRIES: {
      const raft_append_entries& p = message.append_entries;
      out.U64(p.term).U64(p.prev_log_index).U64(p.prev_log_term).U64(p.leader_commit);
      out.U16(p.n_entries);
      for (unsigned i = 0; i < p.n_entries; ++i) {
        out.U64(p.entries[i].term).U16(p.entries[i].type).Text(ViewBytes(p.entries[i].buf));
      }
      break;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT: {
      const raft_append_entries_result& p = message.append_entries_result;
      out.U64(p.term).U64(p.rejected).U64(p.last_log_index);
      break;
    }
    case RAFT_IO_INSTALL_SNAPSHOT: {
      const raft_install_snapshot& p = message.install_snapshot;
      out.U64(p.term).U64(p.last_index).U64(p.last_term).U64(p.conf_index);
      EncodeServers(out, ReadConfiguration(p.conf));
      out.Text(ViewBytes(p.data));
      break;
    }
    case RAFT_IO_TIMEOUT_NOW: {
      const raft_timeout_now& p = message.timeout_now;
      out.U64(p.term).U64(p.last_log_index).U64(p.last_log_term);
      break;
    }
    default:
      break;
  }
  return out.Take();
}

// False, with nothing allocated, if the bytes are not such a message, or are for another folder: a
// voter whose folder was lost must not answer for what it was.
bool DecodeRaftMessage(std::string_view bytes, std::uint64_t own_id, raft_message& message) {
  Reader in(bytes);
  if (in.U64() != own_id) return false;
  message.type = in.U8();
  switch (message.type) {
    case RAFT_IO_REQUEST_VOTE: {
      raft_request_vote& p = message.request_vote;
      p.term = in.U64();
      p.candidate_id = in.U64();
      p.last_log_index = in.U64();
      p.last_log_term = in.U64();
      p.disrupt_leader = in.U8() != 0;
      p.pre_vote = in.U8() != 0;
      return in.done();
    }
    case RAFT_IO_REQUEST_VOTE_RESULT: {
      raft_request_vote_result& p = message.request_vote_result;
      p.term = in.U64();
      p.vote_granted = in.U8() != 0;
      p.pre_vote = static_cast<raft_tribool>(in.U8());
      return in.done() && p.pre_vote <= std::max(raft_tribool_true, raft_tribool_false);
    }
    case RAFT_IO_APPEND_ENTRIES: {
      raft_append_entries& p = message.append_entries;
      p.term = in.U64();
      p.prev_log_index = in.U64();
      p.prev_log_term = in.U64();
      p.leader_commit = in.U64();
      p.n_entries = in.U16();
      p.entries = nullptr;
      std::vector<LogEntry> entries;
      for (unsigned i = 0; i < p.n_entries && !in.broken(); ++i) {
        LogEntry entry;
        entry.term = in.U64();
        entry.type = in.U16();
        entry.data = in.Text();
        if (entry.type < RAFT_COMMAND || entry.type > RAFT_CHANGE) return false;
        entries.push_back(std::move(entry));
      }
      if (!in.done()) return false;
      if (p.n_entries == 0) return true;
      p.entries = static_cast<raft_entry*>(raft_calloc(p.n_entries, sizeof(raft_entry)));
      if (p.entries == nullptr) throw std::bad_alloc();
      // All bytes in one batch: the library copies what it keeps of a message's entries and frees
      // their batch, but not the bytes of an entry without one.
      std::string all;
      for (const LogEntry& entry : entries) all += entry.data;
      void* const batch = AllocateBuffer(all).base;
      char* at = static_cast<char*>(batch);
      for (unsigned i = 0; i < p.n_entries; ++i) {
        p.entries[i] = {entries[i].term, entries[i].type, {at, entries[i].data.size()}, batch};
        at += entries[i].data.size();
      }
      return true;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT: {
      raft_append_entries_result& p = message.append_entries_result;
      p.term = in.U64();
      p.rejected = in.U64();
      p.last_log_index = in.U64();
      return in.done();
    }
    case RAFT_IO_INSTALL_SNAPSHOT: {
      raft_install_snapshot& p = message.install_snapshot;
      p.term = in.U64();
      p.last_index = in.U64();
      p.last_term = in.U64();
      p.conf_index = in.U64();
      const std::vector<Server> servers = DecodeServers(in);
      const std::string data = in.Text();
      if (!in.done()) return false;
      if (!FillConfiguration(p.conf, servers)) {
        raft_configuration_close(&p.conf);
        return false;
      }
      p.data = AllocateBuffer(data);
      return true;
    }
    case RAFT_IO_TIMEOUT_NOW: {
      raft_timeout_now& p = message.timeout_now;
      p.term = in.U64();
      p.last_log_index = in.U64();
      p.last_log_term = in.U64();
      return in.done();
    }
    default:
      return false;
  }
}

// ---- the first configuration on the wire ----

enum class BootstrapTag : std::uint8_t { kEmptyLog = 1, kFirstConfiguration = 2 };

}  // namespace

// Everything that libraft asks of the outside. What it wants to be told later waits in
// `completions`, for it must not be told while it asks.
struct RaftNode::Raft {
  explicit Raft(RaftNode& its) : raft_node(its), random(its.options_.seed) {
    io.version = 2;
    io.impl = this;  // `data` is the library's
    io.init = [](raft_io*, raft_id, const char*) { return 0; };
    io.close = [](raft_io* i, raft_io_close_cb cb) {
      FromIo(i).completions.push_back([i, cb] { cb(i); });
    };
    io.load = [](raft_io* i, raft_term* term, raft_id* vote, raft_snapshot** last,
                 raft_index* start, raft_entry** entries,
                 size_t* n) { return FromIo(i).Load(term, vote, last, start, entries, n); };
    io.start = [](raft_io* i, unsigned, raft_io_tick_cb tick_cb, raft_io_recv_cb recv_cb) {
      FromIo(i).tick = tick_cb;
      FromIo(i).recv = recv_cb;
      return 0;
    };
    io.bootstrap = [](raft_io* i, const raft_configuration* c) { return FromIo(i).Bootstrap(*c); };
    io.recover = [](raft_io*, const raft_configuration*) { return RAFT_IOERR; };
    io.set_term = [](raft_io* i, raft_term term) {
      return FromIo(i).raft_node.store_.SetTerm(term) ? 0 : RAFT_IOERR;
    };
    io.set_vote = [](raft_io* i, raft_id id) {
      return FromIo(i).raft_node.store_.SetVote(id) ? 0 : RAFT_IOERR;
    };
    io.send = [](raft_io* i, raft_io_send* request, const raft_message* message,
                 raft_io_send_cb cb) {
      FromIo(i).raft_node.messages_.push_back(
          {message->server_address, false, EncodeRaftMessage(*message)});
      FromIo(i).completions.push_back([request, cb] { cb(request, 0); });
      return 0;
    };
    io.append = [](raft_io* i, raft_io_append* request, const raft_entry* entries, unsigned n,
                   raft_io_append_cb cb) {
      std::vector<LogEntry> all;
      for (unsigned k = 0; k < n; ++k) {
        all.push_back({entries[k].term, entries[k].type, std::string(ViewBytes(entries[k].buf))});
      }
      const int status = FromIo(i).raft_node.store_.Append(all) ? 0 : RAFT_IOERR;
      if (status != 0) FromIo(i).failed = true;
      FromIo(i).completions.push_back([request, cb, status] { cb(request, status); });
      return 0;
    };
    io.truncate = [](raft_io* i, raft_index from) {
      return FromIo(i).raft_node.store_.Truncate(from) ? 0 : RAFT_IOERR;
    };
    io.snapshot_put = [](raft_io* i, unsigned trailing, raft_io_snapshot_put* request,
                         const raft_snapshot* from, raft_io_snapshot_put_cb cb) {
      Snapshot made{from->index, from->term, ReadConfiguration(from->configuration),
                    from->configuration_index, ""};
      for (unsigned k = 0; k < from->n_bufs; ++k) made.state += ViewBytes(from->bufs[k]);
      const int status = FromIo(i).raft_node.store_.PutSnapshot(made, trailing) ? 0 : RAFT_IOERR;
      if (status == 0) FromIo(i).snapshot = std::move(made);
      FromIo(i).completions.push_back([request, cb, status] { cb(request, status); });
      return 0;
    };
    io.snapshot_get = [](raft_io* i, raft_io_snapshot_get* request, raft_io_snapshot_get_cb cb) {
      FromIo(i).completions.push_back([i, request, cb] {
        raft_snapshot* got = FromIo(i).snapshot ? AllocateSnapshot(*FromIo(i).snapshot) : nullptr;
        cb(request, got, got == nullptr ? RAFT_IOERR : 0);
      });
      return 0;
    };
    io.time = [](raft_io* i) {
      return static_cast<raft_time>(
          std::chrono::duration_cast<milliseconds>(FromIo(i).raft_node.now_).count());
    };
    io.random = [](raft_io* i, int min, int max) {
      const auto span = static_cast<std::uint64_t>(std::max(1, max - min));
      return min + static_cast<int>(FromIo(i).random.Below(span));
    };
    io.async_work = [](raft_io* i, raft_io_async_work* request, raft_io_async_work_cb cb) {
      const int status = request->work(request);
      FromIo(i).completions.push_back([request, cb, status] { cb(request, status); });
      return 0;
    };
    fsm.version = 1;
    fsm.data = this;
    fsm.apply = [](raft_fsm* f, const raft_buffer* buffer, void** result) {
      static_cast<Raft*>(f->data)->raft_node.machine_.Apply(ViewBytes(*buffer));
      *result = nullptr;
      return 0;
    };
    fsm.snapshot = [](raft_fsm* f, raft_buffer** buffers, unsigned* n) {
      *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
      if (*buffers == nullptr) return RAFT_NOMEM;
      **buffers = AllocateBuffer(static_cast<Raft*>(f->data)->raft_node.machine_.Save());
      *n = 1;
      return 0;
    };
    fsm.restore = [](raft_fsm* f, raft_buffer* buffer) {
      if (!static_cast<Raft*>(f->data)->raft_node.machine_.Load(ViewBytes(*buffer))) {
        return RAFT_MALFORMED;
      }
      raft_free(buffer->base);
      return 0;
    };
  }

  static Raft& FromIo(raft_io* io) { return *static_cast<Raft*>(io->impl); }

  static raft_snapshot* AllocateSnapshot(const Snapshot& from) {
    auto* made = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
    if (made == nullptr) throw std::bad_alloc();
    made->index = from.index;
    made->term = from.term;
    made->configuration_index = from.servers_index;
    FillConfiguration(made->configuration, from.servers);
    made->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    if (made->bufs == nullptr) throw std::bad_alloc();
    made->bufs[0] = AllocateBuffer(from.state);
    made->n_bufs = 1;
    return made;
  }

  int Load(raft_term* term, raft_id* vote, raft_snapshot** loaded_snapshot, raft_index* start,
           raft_entry** entries, size_t* n) {
    const PersistentState kept = std::exchange(raft_node.persistent_, {});
    *term = kept.term;
    *vote = kept.vote;
    snapshot = kept.snapshot;
    *loaded_snapshot = snapshot ? AllocateSnapshot(*snapshot) : nullptr;
    *start = kept.first;
    *n = kept.entries.size();
    *entries = nullptr;
    if (kept.entries.empty()) return 0;
    *entries = static_cast<raft_entry*>(raft_calloc(*n, sizeof(raft_entry)));
    if (*entries == nullptr) return RAFT_NOMEM;
    for (std::size_t i = 0; i < kept.entries.size(); ++i) {
      (*entries)[i] = {kept.entries[i].term, kept.entries[i].type,
                       AllocateBuffer(kept.entries[i].data), nullptr};
    }
    return 0;
  }

  int Bootstrap(const raft_configuration& configuration) {
    raft_buffer buffer{};
    if (raft_configuration_encode(&configuration, &buffer) != 0) return RAFT_NOMEM;
    const LogEntry entry{1, RAFT_CHANGE, std::string(ViewBytes(buffer))};
    raft_free(buffer.base);
    Store& store = raft_node.store_;
    return store.SetTerm(1) && store.Append({entry}) ? 0 : RAFT_IOERR;
  }

  RaftNode& raft_node;
  raft_io io{};
  raft_fsm fsm{};
  struct raft raft {};
  raft_io_tick_cb tick = nullptr;
  raft_io_recv_cb recv = nullptr;
  std::optional<Snapshot> snapshot;
  std::deque<std::function<void()>> completions;
  peers::Random random;
  bool closed = false, change_pending = false, failed = false;
};

RaftNode::RaftNode(Options options, Store& store, StateMachine& machine)
    : options_(std::move(options)), store_(store), machine_(machine) {
  persistent_ = store_.Load(damaged_);
  raft_ = std::make_unique<Raft>(*this);
  if (raft_init(&raft_->raft, &raft_->io, &raft_->fsm, options_.id, options_.self.c_str()) != 0) {
    throw std::runtime_error("the settled log cannot be set up");
  }
  raft_->raft.data = raft_.get();
  const auto ms = [](Time time) {
    return static_cast<unsigned>(std::chrono::duration_cast<milliseconds>(time).count());
  };
  raft_set_election_timeout(&raft_->raft, ms(options_.election));
  raft_set_heartbeat_timeout(&raft_->raft, ms(options_.heartbeat));
  raft_set_snapshot_threshold(&raft_->raft, kSnapshotThreshold);
  raft_set_snapshot_trailing(&raft_->raft, kSnapshotTrailing);
  raft_set_install_snapshot_timeout(&raft_->raft, ms(4 * options_.election));
  raft_set_pre_vote(&raft_->raft, true);
}

RaftNode::~RaftNode() {
  raft_close(&raft_->raft, [](struct raft* r) { static_cast<Raft*>(r->data)->closed = true; });
  while (!raft_->closed && !raft_->completions.empty()) RunCompletions();
}

void RaftNode::RunCompletions() {
  while (!raft_->completions.empty()) {
    const auto what = std::move(raft_->completions.front());
    raft_->completions.pop_front();
    what();
  }
}

void RaftNode::Start() {
  if (started_ || raft_start(&raft_->raft) != 0) return;
  started_ = true;
  RunCompletions();
}

bool RaftNode::Bootstrap(const std::vector<Server>& servers) {
  raft_configuration configuration{};
  const bool made = FillConfiguration(configuration, servers) &&
                    raft_bootstrap(&raft_->raft, &configuration) == 0;
  raft_configuration_close(&configuration);
  if (!made) return false;
  persistent_ = store_.Load(damaged_);
  first_configuration_ = servers;
  return true;
}

// ======== time and messages ========

void RaftNode::Tick(Time now) {
  now_ = now;
  if (now < next_tick_ || broken()) return;
  // Half a heartbeat, as finely as the time limits ask for.
  next_tick_ = now + options_.heartbeat / 2;
  if (!started_) {
    // A log of an earlier process_incarnation: only once peers have told that it is not older than
    // they remember.
    if (!persistent_.empty()) {
      if (may_vote_) Start();
      return;
    }
    return AnnounceEmptyLog(now);
  }
  raft_->tick(&raft_->io);
  RunCompletions();
  ChangeConfiguration(now);
  RunCompletions();
}

void RaftNode::Receive(const std::string& from, std::uint64_t identity, bool founding,
                       std::string_view body, Time now) {
  now_ = now;
  if (broken()) return;
  if (founding) return ReceiveBootstrap(from, identity, body, now);
  raft_message message{};
  message.server_id = identity;
  message.server_address = from.c_str();
  // Without a log: whoever knows this folder's id has given us a place, and says what we are.
  if ((!started_ && (!persistent_.empty() || damaged_)) ||
      !DecodeRaftMessage(body, options_.id, message))
    return;
  Start();
  if (!started_) return;
  raft_->recv(&raft_->io, &message);
  RunCompletions();
}

void RaftNode::Propose(std::string command, Done done) {
  if (command.size() > kMaxCommandBytes) return done(Outcome::kTooLong);
  if (!leads()) return done(Outcome::kNotLeader);
  struct Request {
    struct raft_apply apply;
    Done done;
  };
  auto request = std::make_unique<Request>(Request{{}, std::move(done)});
  request->apply.data = request.get();
  const raft_buffer buffer = AllocateBuffer(command);
  const auto over = [](struct raft_apply* r, int status, void*) {
    const std::unique_ptr<Request> own(static_cast<Request*>(r->data));
    own->done(status == 0 ? Outcome::kSettled : Outcome::kUnknown);
  };
  const int status = raft_apply(&raft_->raft, &request->apply, &buffer, 1, over);
  if (status != 0) {
    raft_free(buffer.base);
    return request->done(Outcome::kNotLeader);
  }
  request.release();
  RunCompletions();
}

// ======== the first configuration ========

// Says that we have no log; the first voter makes the first configuration once all have said so.
void RaftNode::AnnounceEmptyLog(Time now) {
  const auto& voters = options_.voters;
  const bool votes = std::find(voters.begin(), voters.end(), options_.self) != voters.end();
  if (!votes || now < next_announcement_) return;
  next_announcement_ = now + kEmptyLogInterval;
  Writer body;
  body.U8(static_cast<std::uint64_t>(BootstrapTag::kEmptyLog));
  for (const std::string& voter : voters) {
    if (voter != options_.self) messages_.push_back({voter, true, body.bytes()});
  }
  if (voters.front() != options_.self || damaged_) return;
  std::vector<Server> servers = {{options_.id, options_.self, RAFT_VOTER}};
  for (const std::string& voter : voters) {
    if (voter == options_.self) continue;
    const auto it = empty_logs_.find(voter);
    if (it == empty_logs_.end() || now - it->second.received > kAnnouncementLifetime) return;
    servers.push_back({it->second.identity, voter, RAFT_VOTER});
  }
  if (Bootstrap(servers)) Start();
}

void RaftNode::ReceiveBootstrap(const std::string& from, std::uint64_t identity,
                                std::string_view body, Time now) {
  Reader in(body);
  const auto what = static_cast<BootstrapTag>(in.U8());
  if (what == BootstrapTag::kEmptyLog && in.done()) {
    EmptyLog& empty = empty_logs_[from];
    empty.repeats = empty.identity == identity && now - empty.received <= kAnnouncementLifetime
                        ? empty.repeats + 1
                        : 1;
    empty.identity = identity;
    empty.received = now;
    // It is of the first configuration and has not heard of it: no other can have been told it.
    for (const Server& server : first_configuration_) {
      if (server.id != identity || server.name != from) continue;
      Writer first;
      first.U8(static_cast<std::uint64_t>(BootstrapTag::kFirstConfiguration));
      EncodeServers(first, first_configuration_);
      messages_.push_back({from, true, first.Take()});
    }
    return;
  }
  if (what != BootstrapTag::kFirstConfiguration || started_ || damaged_ || !persistent_.empty())
    return;
  const std::vector<Server> servers = DecodeServers(in);
  const bool ours = std::any_of(servers.begin(), servers.end(), [this](const Server& server) {
    return server.id == options_.id && server.name == options_.self;
  });
  if (in.done() && ours && Bootstrap(servers)) Start();
}

// ======== who votes ========

void RaftNode::SetVoters(std::vector<std::string> voters) { options_.voters = std::move(voters); }

// The leader's: one step towards the roster's voters, each by the folder that it has now.
void RaftNode::ChangeConfiguration(Time now) {
  if (!leads() || raft_->change_pending) return;
  const struct raft& r = raft_->raft;
  if (r.configuration_uncommitted_index != 0 || r.last_applied < r.configuration_index) return;
  const auto over = [](struct raft_change* change, int) {
    const std::unique_ptr<raft_change> own(change);
    static_cast<Raft*>(own->data)->change_pending = false;
  };
  const auto change = [&](const auto& ask) {
    auto request = std::make_unique<raft_change>();
    request->data = raft_.get();
    if (ask(request.get()) != 0) return;
    request.release();
    raft_->change_pending = true;
  };
  const std::vector<Server> current = servers();
  const auto& voters = options_.voters;
  for (const Server& server : current) {
    if (server.id == options_.id) continue;
    const bool wanted = std::find(voters.begin(), voters.end(), server.name) != voters.end();
    const auto empty = empty_logs_.find(server.name);
    // Guards against one word too many: the folder must have been gone for a while.
    const bool lost = empty != empty_logs_.end() && empty->second.identity != server.id &&
                      now - empty->second.received <= kAnnouncementLifetime &&
                      empty->second.repeats >= kRepeatsBeforeReplacement;
    if (!wanted || lost) {
      return change([&](raft_change* c) { return raft_remove(&raft_->raft, c, server.id, over); });
    }
    if (server.role != RAFT_VOTER) {
      return change([&](raft_change* c) {
        return raft_assign(&raft_->raft, c, server.id, RAFT_VOTER, over);
      });
    }
  }
  for (const std::string& voter : voters) {
    const bool there = std::any_of(current.begin(), current.end(),
                                   [&](const Server& server) { return server.name == voter; });
    const auto empty = empty_logs_.find(voter);
    if (there || empty == empty_logs_.end() || now - empty->second.received > kAnnouncementLifetime)
      continue;
    const std::uint64_t id = empty->second.identity;
    return change(
        [&](raft_change* c) { return raft_add(&raft_->raft, c, id, voter.c_str(), over); });
  }
}

// ======== what is known ========

bool RaftNode::leads() const { return started_ && raft_state(&raft_->raft) == RAFT_LEADER; }

std::string RaftNode::leader() const {
  if (!started_) return "";
  raft_id id = 0;
  const char* address = nullptr;
  raft_leader(&raft_->raft, &id, &address);
  return id == 0 || address == nullptr ? "" : address;
}

std::uint64_t RaftNode::term() const {
  return started_ ? raft_->raft.current_term : persistent_.term;
}
std::uint64_t RaftNode::last_index() const {
  return started_ ? raft_last_index(&raft_->raft) : persistent_.last();
}

bool RaftNode::broken() const {
  return raft_->failed || (started_ && raft_state(&raft_->raft) == RAFT_UNAVAILABLE);
}

std::vector<Server> RaftNode::servers() const {
  return ReadConfiguration(raft_->raft.configuration);
}

bool RaftNode::votes() const {
  for (const Server& server : servers()) {
    if (server.id == options_.id) return server.role == RAFT_VOTER;
  }
  return false;
}

}  // namespace brassfront::consensus
