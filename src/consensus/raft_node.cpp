#include "consensus/raft_node.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>
#include <variant>

#include "consensus/bootstrap.hpp"
#include "consensus/libraft.hpp"
#include "consensus/raft_configuration.hpp"
#include "consensus/raft_io_adapter.hpp"
#include "consensus/raft_messages.hpp"

namespace brassfront::consensus {
namespace {

// A snapshot is taken after kSnapshotThreshold entries; kSnapshotTrailing entries before it are
// kept for followers that lag behind. Together these are 72 entries of kMaxCommandBytes, 36 KiB, so
// that the longest AppendEntries message fits into one frame (peers::kMaxFrameBytes, 60 KiB).
constexpr unsigned kSnapshotThreshold = 48;
constexpr unsigned kSnapshotTrailing = 24;
// Election timeouts after which an unacknowledged snapshot is sent again; the follower was
// unreachable for that time.
constexpr int kInstallSnapshotElections = 4;
// libraft checks its timeouts at each tick, so two ticks per heartbeat interval limit the delay to
// half an interval.
constexpr int kTicksPerHeartbeat = 2;

unsigned ToMilliseconds(Time time) {
  return static_cast<unsigned>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

}  // namespace

struct RaftNode::Raft {
  Raft(Store& store, StateMachine& machine, std::uint64_t seed, RaftIoAdapter::SendFunction send)
      : adapter(store, machine, seed, std::move(send)) {}

  // Requests the change from libraft; `change_pending` stays set until libraft reports its result.
  void Request(const ConfigurationChange& change);

  RaftIoAdapter adapter;
  struct raft raft {};
  bool closed = false;
  bool change_pending = false;
};

RaftNode::RaftNode(Options options, Store& store, StateMachine& machine)
    : options_(std::move(options)), store_(store), persistent_(store_.Load(damaged_)) {
  raft_ = std::make_unique<Raft>(store, machine, options_.seed,
                                 [this](std::string to, std::string body) {
                                   messages_.push_back({std::move(to), false, std::move(body)});
                                 });
  struct raft& raft = raft_->raft;
  if (raft_init(&raft, raft_->adapter.io(), raft_->adapter.fsm(), options_.id,
                options_.self.c_str()) != 0) {
    throw std::runtime_error("libraft cannot be initialized for the replicated log");
  }
  raft.data = raft_.get();
  raft_set_election_timeout(&raft, ToMilliseconds(options_.election));
  raft_set_heartbeat_timeout(&raft, ToMilliseconds(options_.heartbeat));
  raft_set_snapshot_threshold(&raft, kSnapshotThreshold);
  raft_set_snapshot_trailing(&raft, kSnapshotTrailing);
  raft_set_install_snapshot_timeout(&raft,
                                    ToMilliseconds(kInstallSnapshotElections * options_.election));
  raft_set_pre_vote(&raft, true);
}

RaftNode::~RaftNode() {
  raft_close(&raft_->raft,
             [](struct raft* raft) { static_cast<Raft*>(raft->data)->closed = true; });
  while (!raft_->closed && raft_->adapter.has_completions()) raft_->adapter.RunCompletions();
}

void RaftNode::Start() {
  if (started_) return;
  raft_->adapter.SetPersistentState(std::exchange(persistent_, {}));
  if (raft_start(&raft_->raft) != 0) return;
  started_ = true;
  raft_->adapter.RunCompletions();
}

// ======== time and messages ========

void RaftNode::Tick(Time now) {
  raft_->adapter.SetTime(now);
  if (now < next_tick_ || broken()) return;
  next_tick_ = now + options_.heartbeat / kTicksPerHeartbeat;
  if (!started_) return TickWithoutLog(now);
  raft_->adapter.Tick();
  raft_->adapter.RunCompletions();
  ChangeConfiguration(now);
  raft_->adapter.RunCompletions();
}

void RaftNode::TickWithoutLog(Time now) {
  if (persistent_.empty()) return AnnounceEmptyLog(now);
  // The log was written by an earlier process. It is used only after peers have confirmed that it
  // is not an old copy.
  if (may_vote_) Start();
}

void RaftNode::Receive(const std::string& from, std::uint64_t identity, bool is_bootstrap,
                       std::string_view body, Time now) {
  raft_->adapter.SetTime(now);
  if (broken()) return;
  if (is_bootstrap) return ReceiveBootstrap(from, identity, body, now);
  // A node without a log may join: it receives this message because a leader that knows its folder
  // id has added it.
  const bool may_join = persistent_.empty() && !damaged_;
  if (!started_ && !may_join) return;
  raft_message message{};
  message.server_id = identity;
  message.server_address = from.c_str();
  if (!DecodeRaftMessage(body, options_.id, message)) return;
  Start();
  if (!started_) return;
  raft_->adapter.Receive(message);
  raft_->adapter.RunCompletions();
}

void RaftNode::Propose(std::string_view command, Done done) {
  if (command.size() > kMaxCommandBytes) return done(Outcome::kTooLong);
  if (!leads()) return done(Outcome::kNotLeader);
  struct Request {
    struct raft_apply apply;
    Done done;
  };
  auto request = std::make_unique<Request>(Request{{}, std::move(done)});
  request->apply.data = request.get();
  const raft_buffer buffer = AllocateBuffer(command);
  const auto finish = [](struct raft_apply* apply, int status, void*) {
    const std::unique_ptr<Request> finished(static_cast<Request*>(apply->data));
    finished->done(status == 0 ? Outcome::kApplied : Outcome::kUnknown);
  };
  if (raft_apply(&raft_->raft, &request->apply, &buffer, 1, finish) != 0) {
    raft_free(buffer.base);
    return request->done(Outcome::kNotLeader);
  }
  static_cast<void>(request.release());  // `finish` deletes it
  raft_->adapter.RunCompletions();
}

// ======== bootstrap ========

void RaftNode::Bootstrap(const std::vector<Server>& servers) {
  raft_configuration configuration{};
  const bool written = FillConfiguration(configuration, servers) &&
                       raft_bootstrap(&raft_->raft, &configuration) == 0;
  raft_configuration_close(&configuration);
  if (!written) return;
  persistent_ = store_.Load(damaged_);
  first_configuration_ = servers;
  Start();
}

// The first voter also bootstraps the cluster once all other voters have announced an empty log.
void RaftNode::AnnounceEmptyLog(Time now) {
  const std::vector<std::string>& voters = options_.voters;
  const bool is_voter = std::find(voters.begin(), voters.end(), options_.self) != voters.end();
  if (!is_voter || now < next_announcement_) return;
  next_announcement_ = now + kEmptyLogInterval;
  const std::string body = EncodeBootstrapMessage(EmptyLogAnnouncement{});
  for (const std::string& voter : voters) {
    if (voter != options_.self) messages_.push_back({voter, true, body});
  }
  // A damaged log was not empty, so a node that has one does not bootstrap but waits until a leader
  // adds it.
  if (voters.front() != options_.self || damaged_) return;
  const auto servers = MakeFirstConfiguration(voters, options_.id, empty_logs_, now);
  if (servers) Bootstrap(*servers);
}

void RaftNode::ReceiveBootstrap(const std::string& from, std::uint64_t identity,
                                std::string_view body, Time now) {
  const std::optional<BootstrapMessage> message = DecodeBootstrapMessage(body);
  if (!message) return;
  if (const auto* const first = std::get_if<FirstConfiguration>(&*message)) {
    OnFirstConfiguration(first->servers);
  } else {
    OnEmptyLog(from, identity, now);
  }
}

void RaftNode::OnEmptyLog(const std::string& from, std::uint64_t identity, Time now) {
  empty_logs_.Record(from, identity, now);
  // The announcing folder is in the first configuration but has not received it. No other first
  // configuration exists, so it cannot have received a different one.
  if (!ContainsServer(first_configuration_, identity, from)) return;
  messages_.push_back(
      {from, true, EncodeBootstrapMessage(FirstConfiguration{first_configuration_})});
}

void RaftNode::OnFirstConfiguration(const std::vector<Server>& servers) {
  if (started_ || damaged_ || !persistent_.empty()) return;
  if (ContainsServer(servers, options_.id, options_.self)) Bootstrap(servers);
}

// ======== configuration changes ========

void RaftNode::Raft::Request(const ConfigurationChange& change) {
  auto request = std::make_unique<raft_change>();
  request->data = this;
  const auto finish = [](struct raft_change* finished, int) {
    const std::unique_ptr<raft_change> owned(finished);
    static_cast<Raft*>(owned->data)->change_pending = false;
  };
  int status = 0;
  switch (change.kind) {
    case ConfigurationChange::Kind::kAdd:
      status = raft_add(&raft, request.get(), change.id, change.name.c_str(), finish);
      break;
    case ConfigurationChange::Kind::kPromoteToVoter:
      status = raft_assign(&raft, request.get(), change.id, RAFT_VOTER, finish);
      break;
    case ConfigurationChange::Kind::kRemove:
      status = raft_remove(&raft, request.get(), change.id, finish);
      break;
  }
  if (status != 0) return;
  static_cast<void>(request.release());  // `finish` deletes it
  change_pending = true;
}

// Called on every tick, effective on the leader only. Makes one change at a time, each after the
// previous one was committed and applied.
void RaftNode::ChangeConfiguration(Time now) {
  if (!leads() || raft_->change_pending) return;
  const struct raft& raft = raft_->raft;
  const bool uncommitted = raft.configuration_uncommitted_index != 0;
  const bool unapplied = raft.last_applied < raft.configuration_index;
  if (uncommitted || unapplied) return;
  const auto change =
      PlanConfigurationChange(servers(), options_.voters, options_.id, empty_logs_, now);
  if (change) raft_->Request(*change);
}

// ======== queries ========

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
  return raft_->adapter.append_failed() ||
         (started_ && raft_state(&raft_->raft) == RAFT_UNAVAILABLE);
}

std::vector<Server> RaftNode::servers() const {
  return ReadConfiguration(raft_->raft.configuration);
}

bool RaftNode::votes() const {
  const std::vector<Server> all = servers();
  return std::any_of(all.begin(), all.end(), [&](const Server& server) {
    return server.id == options_.id && server.role == RAFT_VOTER;
  });
}

}  // namespace brassfront::consensus
