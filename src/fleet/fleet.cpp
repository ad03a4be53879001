#include "fleet/fleet.hpp"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

#include "fleet/reports.hpp"
#include "observe/log.hpp"
#include "peers/atomic_file.hpp"
#include "peers/bytes.hpp"
#include "records/records.hpp"

namespace brassfront::fleet {
namespace {

using observe::Concern;
using observe::Level;
using peers::Time;
using std::chrono::milliseconds;

constexpr int kMaxDatagramsPerWakeup = 256;  // read before the cores get their turn
constexpr Time kDroppedFrameLogInterval = std::chrono::minutes(1);
constexpr Time kMaxPollWait = milliseconds(250);
constexpr Time kDutyInterval = milliseconds(100);  // what this member owes the settled state
constexpr Time kStateRequestInterval = milliseconds(500);  // from the leader, with our load for it
constexpr Time kMinStandbyDuration = milliseconds(1500);   // so that clients have gone elsewhere
constexpr Time kCommandTimeout = std::chrono::seconds(5);
constexpr Time kCommandRetryInterval = milliseconds(300);
constexpr Time kRaftRestartDelay = std::chrono::seconds(2);  // after its store failed

constexpr std::size_t kMinIdentityFlipsOfDuplicate = 3;

enum class StateMessage : std::uint8_t { kRequest = 1, kUpdate = 2 };

Time Now() { return std::chrono::steady_clock::now().time_since_epoch(); }

sockaddr_in ParseSocketAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1))));
  return address;
}

std::vector<std::string> MemberNames(const peers::Roster& roster) {
  std::vector<std::string> names;
  for (const peers::Member& member : roster.members) names.push_back(member.name);
  return names;
}

peers::Roster LoadRosterWithMember(const std::string& path, const std::string& self) {
  peers::Roster roster = peers::LoadRoster(path);
  if (roster.Find(self) == nullptr) {
    throw std::runtime_error(path + " has no member " + self + ", which is this forwarder");
  }
  return roster;
}

}  // namespace

Fleet::Fleet(std::string roster_path, const std::string& self, const std::string& folder,
             std::uint64_t seed)
    : roster_path_(std::move(roster_path)),
      folder_(folder),
      roster_(LoadRosterWithMember(roster_path_, self)),
      self_name_(self),
      seed_(seed),
      local_identity_(folder),
      failure_detector_(roster_.timings, self, MemberNames(roster_), local_identity_.identity(),
                        local_identity_.process_incarnation(), seed ^ local_identity_.identity()),
      store_(folder_),
      receive_buffer_(peers::kMostFrame + 1) {
  std::ifstream in(folder_ + "/known", std::ios::binary);
  const std::string kept{std::istreambuf_iterator<char>(in), {}};
  if (!kept.empty() && !known_state_.Load(kept)) {
    observe::Log(Concern::kFleet, Level::kWarning, "kept state cannot be read, asked for anew");
  }
  if (roster_.sharing.limits || roster_.sharing.verdicts) {
    sharing_ =
        std::make_unique<Sharing>(roster_, self_name_, local_identity_.process_incarnation());
  }
  // What was settled holds from the first list on.
  const maintenance::Duty duty =
      ComputeDuty(known_state_, self_name_, local_identity_.process_incarnation(), local_member_);
  exclusions_.SetExcluded(duty.ban);
}

Fleet::~Fleet() { Stop(); }

bool Fleet::IsVoter() const {
  const peers::Member* self = roster_.Find(self_name_);
  return self != nullptr && self->voter;
}

void Fleet::Start(ForwarderControl control) {
  forwarder_ = std::move(control);
  const std::string& address = roster_.Find(self_name_)->address;
  socket_ = BindDatagrams(address);
  if (!socket_.is_open()) {
    throw std::runtime_error("cannot take datagrams at " + address + ": " + std::strerror(errno));
  }
  DoNotWait(socket_);
  wake_ = Socket(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
  if (!wake_.is_open()) throw std::runtime_error("no room for a descriptor");
  CreateRaftNode();
  PerformDuty(Now());
  control_server_ = std::make_unique<ControlServer>(folder_, [this](const ControlRequest& request) {
    ControlRequestReceived received{request, {}};
    std::future<ControlReply> reply = received.reply.get_future();
    PostEvent(std::move(received));
    try {
      return reply.get();
    } catch (const std::future_error&) {
      return ErrorReply(503, "this forwarder ends");
    }
  });
  thread_ = Thread("fleet", [this] { Run(); });
  if (!thread_.started()) throw std::runtime_error("no room for a thread");
  observe::Log(Concern::kFleet, Level::kInfo, "fleet member",
               {{"name", self_name_},
                {"fleet", roster_.fleet},
                {"members", roster_.members.size()},
                {"address", address},
                {"life", local_identity_.process_incarnation()}});
}

void Fleet::PostEvent(Event item) {
  if (inbox_.Push(std::move(item))) eventfd_write(wake_.fd(), 1);
}

void Fleet::ReloadRoster() { PostEvent(RosterReloadRequested{}); }

void Fleet::Stop() {
  if (!thread_.started()) return;
  PostEvent(StopRequested{});
  thread_.Join();
  inbox_.Close();
  while (inbox_.Pop()) {
  }
  pending_commands_.clear();  // or whoever received would be waited for
  control_server_.reset();
}

// ======== the thread ========

void Fleet::Run() {
  while (!stopping_) {
    Time next = std::min({failure_detector_.Next(), next_duty_at_, next_state_request_at_});
    if (raft_node_) next = std::min(next, raft_node_->Next());
    if (sharing_) next = std::min(next, sharing_->Next());
    const Time wait = std::clamp<Time>(next - Now(), Time{}, kMaxPollWait);
    pollfd ready[2] = {{socket_.fd(), POLLIN, 0}, {wake_.fd(), POLLIN, 0}};
    poll(ready, 2, static_cast<int>(std::chrono::ceil<milliseconds>(wait).count()));
    // First what is due: a process that was stopped must see that before what came meanwhile.
    const Time now = Now();
    failure_detector_.Tick(now);
    TickRaftNode(now);
    if (sharing_) sharing_->Tick(raft_node_ && raft_node_->leads(), now);
    if (ready[0].revents != 0) ReadDatagrams(now);
    if (ready[1].revents != 0) HandleEvents();
    if (raft_node_) AdoptState(replicated_state_);
    RunScheduler(now);
    PerformDuty(now);
    RequestState(now);
    RunSharing(now);
    CompletePendingCommands(now);
    LogPeerChanges();
    SendFrames();
  }
}

void Fleet::HandleEvents() {
  eventfd_t count = 0;
  eventfd_read(wake_.fd(), &count);
  while (auto item = inbox_.PopUntil(std::chrono::steady_clock::time_point::min())) {
    std::visit([this](auto& event) { On(event); }, *item);
  }
}

void Fleet::On(const StopRequested&) {
  failure_detector_.Leave(Now());
  SendFrames();
  stopping_ = true;
}

// ======== frames ========

void Fleet::ReadDatagrams(Time now) {
  for (int count = 0; count < kMaxDatagramsPerWakeup; ++count) {
    const ssize_t size = socket_.ReceiveNow({receive_buffer_.data(), receive_buffer_.size()});
    if (size < 0) return;
    peers::Frame frame;
    const std::string_view bytes(receive_buffer_.data(), static_cast<std::size_t>(size));
    const peers::Drop drop = peers::Decode(bytes, roster_.fleet, roster_.secret, self_name_, frame);
    if (drop != peers::Drop::kNone) {
      LogDroppedFrame(drop, frame.from, now);
      continue;
    }
    HandleFrame(frame, now);
  }
}

void Fleet::HandleFrame(const peers::Frame& frame, Time now) {
  failure_detector_.Receive(frame, now);
  if (roster_.Find(frame.from) == nullptr || frame.from == self_name_) return;
  switch (frame.kind) {
    case peers::Kind::kSettled:
    case peers::Kind::kFound:
      if (raft_node_) {
        raft_node_->Receive(frame.from, frame.identity, frame.kind == peers::Kind::kFound,
                            frame.body, now);
      }
      return;
    case peers::Kind::kAsk:
      return HandleForwardedCommand(frame);
    case peers::Kind::kNews:
      return HandleStateMessage(frame);
    case peers::Kind::kWant:
    case peers::Kind::kGrant:
    case peers::Kind::kWords:
      if (sharing_) sharing_->Receive(frame, now);
      return;
    default:
      return;
  }
}

// A command of another member's. It sees in the settled state whether it was settled; what it
// cannot see is sent again, so nothing is answered.
void Fleet::HandleForwardedCommand(const peers::Frame& frame) {
  if (!raft_node_ || !raft_node_->leads() || !maintenance::Command::Decode(frame.body)) return;
  raft_node_->Propose(frame.body, [](consensus::RaftNode::Outcome) {});
}

void Fleet::HandleStateMessage(const peers::Frame& frame) {
  peers::Reader in(frame.body);
  const auto what = static_cast<StateMessage>(in.U8());
  const std::uint64_t revision = in.U64();
  if (what == StateMessage::kRequest) {
    const std::uint64_t load = in.U64();
    if (!in.done()) return;
    reported_loads_[frame.from] = load;
    if (!raft_node_ || !raft_node_->bootstrapped()) return;
    peers::Writer body;
    body.U8(static_cast<std::uint64_t>(StateMessage::kUpdate)).U64(known_state_.revision());
    body.Name(KnownLeader()).Text(known_state_.revision() > revision ? known_state_.Save() : "");
    return QueueFrame(peers::Kind::kNews, frame.from, body.Take());
  }
  const std::string leader = in.Name(), state = in.Text();
  if (what != StateMessage::kUpdate || !in.done()) return;
  reported_leader_ = leader;
  maintenance::MaintenanceState update;
  if (!state.empty() && update.Load(state)) AdoptState(update);
}

// One line a sender and minute; whoever claims a name that the roster has not is one sender.
void Fleet::LogDroppedFrame(peers::Drop drop, const std::string& from, Time now) {
  ++dropped_[drop];
  const std::string who = roster_.Find(from) == nullptr ? "unknown" : from;
  const auto [it, first] = last_drop_logged_at_.try_emplace(who, now);
  if (!first && now - it->second < kDroppedFrameLogInterval) return;
  it->second = now;
  observe::Log(Concern::kFleet, Level::kWarning, "frame dropped",
               {{"from", who}, {"reason", peers::ToString(drop)}, {"dropped", dropped_[drop]}});
}

void Fleet::QueueFrame(peers::Kind kind, const std::string& to, std::string body) {
  outgoing_frames_.push_back({kind, self_name_, to, local_identity_.identity(),
                              failure_detector_.incarnation(), std::move(body)});
}

void Fleet::SendFrames() {
  for (const peers::Frame& frame : failure_detector_.TakeFrames()) SendFrame(frame);
  if (raft_node_) {
    for (auto& message : raft_node_->TakeMessages()) {
      QueueFrame(message.founding ? peers::Kind::kFound : peers::Kind::kSettled, message.to,
                 std::move(message.body));
    }
  }
  for (const peers::Frame& frame : std::exchange(outgoing_frames_, {})) SendFrame(frame);
}

void Fleet::SendFrame(const peers::Frame& frame) {
  const peers::Member* to = roster_.Find(frame.to);
  if (to == nullptr) return;
  const std::string bytes = peers::Encode(frame, roster_.fleet, roster_.secret);
  if (bytes.size() > peers::kMostFrame) {
    observe::LogSeldom(Concern::kFleet, Level::kError, "frame too long",
                       {{"to", frame.to}, {"bytes", bytes.size()}});
    return;
  }
  const sockaddr_in address = ParseSocketAddress(to->address);
  // What does not go out now is as good as lost, which every core bears.
  sendto(socket_.fd(), bytes.data(), bytes.size(), MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

// ======== the settled log ========

// Anew at the start, when the folder turned out to be an old copy, and when the store failed.
void Fleet::CreateRaftNode() {
  raft_node_.reset();
  if (!IsVoter()) return;
  replicated_state_ = {};
  consensus::RaftNode::Options options;
  options.id = local_identity_.identity();
  options.self = self_name_;
  options.voters = roster_.Voters();
  options.heartbeat = roster_.timings.heartbeat;
  options.election = roster_.timings.election;
  options.seed = seed_ ^ local_identity_.identity() ^ local_identity_.process_incarnation();
  raft_node_ = std::make_unique<consensus::RaftNode>(std::move(options), store_, replicated_state_);
  if (raft_node_->damaged()) {
    RejoinWithNewIdentity("settled log damaged, this folder joins anew and has no vote until then");
  }
}

// What the folder says of votes cannot be trusted: it forgets them and is another one from now on.
void Fleet::RejoinWithNewIdentity(std::string_view why) {
  observe::Log(Concern::kFleet, Level::kError, why);
  store_.Clear();
  local_identity_.Renew();
  CreateRaftNode();
}

void Fleet::TickRaftNode(Time now) {
  if (!raft_node_) return;
  if (failure_detector_.folder_is_stale() && !raft_node_->bootstrapped() &&
      !std::exchange(stale_folder_handled_, true)) {
    // Peers remember later lives of ours: a vote since then may be missing here.
    bool damaged = false;
    if (!store_.Load(damaged).empty() || damaged) {
      RejoinWithNewIdentity("settled log is an old copy, this folder joins anew");
    }
  }
  // Half of the other voters at least have update what they remember of us.
  const std::size_t others = roster_.Voters().size() - 1;
  if (failure_detector_.answered_by() >= (others + 1) / 2) raft_node_->AllowVoting();
  if (raft_node_->broken()) {
    if (raft_restart_at_ == Time{}) {
      observe::Log(Concern::kFleet, Level::kError, "settled log cannot be written");
      raft_restart_at_ = now + kRaftRestartDelay;
    }
    if (now < raft_restart_at_) return;
    raft_restart_at_ = {};
    CreateRaftNode();
    return;
  }
  raft_node_->Tick(now);
}

// From our own log or the leader; the duty that follows is done in this turn.
void Fleet::AdoptState(const maintenance::MaintenanceState& newer) {
  if (newer.revision() <= known_state_.revision()) return;
  LogRequestChanges(std::exchange(known_state_, newer));
  next_duty_at_ = {};
}

// A line for each request that is in another state now. The state is kept for the next start.
void Fleet::LogRequestChanges(const maintenance::MaintenanceState& before) {
  const auto log = [&](const maintenance::Request& request) {
    observe::Log(Concern::kFleet, Level::kInfo, "work",
                 {{"request", request.id},
                  {"name", request.name},
                  {"state", ToString(request.state)},
                  {"used", known_state_.UsedInAll()},
                  {"revision", known_state_.revision()}});
  };
  const auto was = [&](std::uint64_t id) -> std::optional<maintenance::State> {
    const auto it = before.requests().find(id);
    if (it == before.requests().end()) return std::nullopt;
    return it->second.state;
  };
  for (const auto& [id, request] : known_state_.requests()) {
    if (was(id) != request.state) log(request);
  }
  for (const auto& request : known_state_.over()) {
    if (was(request.id)) log(request);
  }
  if (!peers::WriteAtomically(folder_ + "/known", known_state_.Save())) {
    observe::LogSeldom(Concern::kFleet, Level::kError, "settled state cannot be kept");
  }
}

std::string Fleet::KnownLeader() const {
  if (raft_node_ && raft_node_->bootstrapped()) return raft_node_->leader();
  return reported_leader_;
}

// To the leader, from wherever; what is lost on the way is submitted again by who needs it.
void Fleet::SubmitCommand(const maintenance::Command& command) {
  if (raft_node_ && raft_node_->leads()) {
    return raft_node_->Propose(command.Encode(), [](consensus::RaftNode::Outcome) {});
  }
  const std::string leader = KnownLeader();
  if (!leader.empty()) QueueFrame(peers::Kind::kAsk, leader, command.Encode());
}

void Fleet::RunScheduler(Time now) {
  if (!raft_node_ || !raft_node_->leads()) {
    if (leader_since_) observe::Log(Concern::kFleet, Level::kInfo, "leads no longer");
    leader_since_.reset();
    proposal_in_flight_ = false;
    return;
  }
  if (!leader_since_) {
    leader_since_ = now;
    scheduler_ = {};
    proposal_in_flight_ = false;
    observe::Log(Concern::kFleet, Level::kInfo, "leads", {{"term", raft_node_->term()}});
  }
  if (proposal_in_flight_) return;
  std::map<std::string, maintenance::ObservedMember> observed;
  for (const auto& [name, peer] : failure_detector_.peers()) {
    observed[name] = {peer.state, peers::ProcessIncarnationOf(peer.incarnation),
                      reported_loads_[name]};
  }
  observed[self_name_] = {peers::State::kAlive, local_identity_.process_incarnation(),
                          forwarder_.messages_in_flight()};
  const auto command =
      scheduler_.Next(replicated_state_, roster_, observed, now - *leader_since_, now);
  if (!command) return;
  proposal_in_flight_ = true;
  raft_node_->Propose(command->Encode(),
                      [this](consensus::RaftNode::Outcome) { proposal_in_flight_ = false; });
}

// ======== this member's part ========

void Fleet::PerformDuty(Time now) {
  if (now < next_duty_at_) return;
  next_duty_at_ = now + kDutyInterval;
  local_member_.drained = local_member_.standing_by &&
                          now - standby_since_ >= kMinStandbyDuration &&
                          forwarder_.messages_in_flight() == 0;
  // Guards against a machine that is received back while its old process still ends: it takes no
  // more clients, and only the next process may say that it serves.
  local_member_.serving = !local_member_.standing_by && forwarder_.keeps_running();
  const maintenance::Duty duty =
      ComputeDuty(known_state_, self_name_, local_identity_.process_incarnation(), local_member_);
  if (duty.stand_by != local_member_.standing_by) {
    local_member_.standing_by = duty.stand_by;
    standby_since_ = now;
    forwarder_.set_standby(duty.stand_by);
    observe::Log(Concern::kFleet, Level::kInfo, duty.stand_by ? "standby" : "active");
  }
  if (duty.ban != requested_exclusions_) {
    std::vector<std::string> readmitted;
    for (const std::string& endpoint : requested_exclusions_) {
      if (!duty.ban.contains(endpoint)) readmitted.push_back(endpoint);
    }
    requested_exclusions_ = duty.ban;
    // Until the engine has taken this up, only what both have is certain.
    std::erase_if(local_member_.banned,
                  [&](const std::string& endpoint) { return !duty.ban.contains(endpoint); });
    MemberList changes = exclusions_.SetExcluded(duty.ban);
    if (!changes.members.empty()) forwarder_.set_endpoints(std::move(changes));
    // It was settled, so it binds as if two had seen it.
    for (std::string& endpoint : readmitted) {
      forwarder_.update_endpoint(
          {std::move(endpoint),
           dispatch_policy::PeerHealthReport{.health = dispatch_policy::PeerHealth::kWarmingUp,
                                             .witnesses = 2}});
    }
    forwarder_.post([this, ban = duty.ban] { PostEvent(EndpointsExcluded{ban}); });
  }
  if (!thread_.started()) return;  // nobody to tell yet
  for (const maintenance::Command& command : duty.say) SubmitCommand(command);
}

void Fleet::RequestState(Time now) {
  if (now < next_state_request_at_) return;
  next_state_request_at_ = now + kStateRequestInterval;
  std::string to = KnownLeader();
  if (to == self_name_) return;
  if (to.empty()) {
    // Any voter that is there tells who leads.
    std::vector<std::string> alive_voters;
    for (const std::string& voter : roster_.Voters()) {
      const auto it = failure_detector_.peers().find(voter);
      if (it != failure_detector_.peers().end() && it->second.state == peers::State::kAlive) {
        alive_voters.push_back(voter);
      }
    }
    if (alive_voters.empty()) return;
    to = alive_voters[static_cast<std::size_t>(now.count() / 1'000'000) % alive_voters.size()];
  }
  if (failure_detector_.peers().contains(to) &&
      failure_detector_.peers().at(to).state == peers::State::kDead) {
    reported_leader_.clear();
  }
  peers::Writer body;
  body.U8(static_cast<std::uint64_t>(StateMessage::kRequest))
      .U64(known_state_.revision())
      .U64(forwarder_.messages_in_flight());
  QueueFrame(peers::Kind::kNews, to, body.Take());
}

void Fleet::RunSharing(Time now) {
  if (!sharing_) return;
  std::vector<std::string> present{self_name_};
  for (const auto& [name, peer] : failure_detector_.peers()) {
    if (peer.state == peers::State::kAlive || peer.state == peers::State::kSuspect) {
      present.push_back(name);
    }
  }
  sharing_->Update(KnownLeader(), std::move(present), now);
  for (Sharing::OutgoingFrame& out : sharing_->TakeFrames())
    QueueFrame(out.kind, out.to, std::move(out.body));
  for (EndpointUpdate& update : sharing_->TakeEndpointUpdates())
    forwarder_.update_endpoint(std::move(update));
}

// ======== operators ========

void Fleet::On(ControlRequestReceived& event) {
  const ControlRequest& request = event.request;
  if (request.method == "GET") {
    if (request.path == "/fleet/status") return event.reply.set_value(Status(false));
    if (request.path == "/fleet/members") return event.reply.set_value(Status(true));
    if (request.path == "/fleet/maintenance") return event.reply.set_value(List());
    if (request.path == "/fleet/limits" || request.path == "/fleet/verdicts") {
      if (!sharing_) return event.reply.set_value(ErrorReply(409, "the roster has no `sharing`"));
      const bool limits = request.path == "/fleet/limits";
      return event.reply.set_value(
          {200, limits ? sharing_->LimitsJson(Now()) : sharing_->VerdictsJson(Now())});
    }
    return event.reply.set_value(ErrorReply(404, "nothing is at " + request.path));
  }
  maintenance::Command command;
  std::string fault;
  if (!ParseCommand(request.path, request.query, command, fault)) {
    return event.reply.set_value(
        ErrorReply(request.path.rfind("/fleet/maintenance/", 0) == 0 ? 400 : 404, fault));
  }
  while (command.token == 0) {
    command.token = peers::ProcessIncarnationOf(local_identity_.identity()) ^
                    static_cast<std::uint64_t>(Now().count());
  }
  pending_commands_.push_back(
      {std::move(command), std::move(event.reply), Now() + kCommandTimeout, Time{}});
}

void Fleet::CompletePendingCommands(Time now) {
  std::erase_if(pending_commands_, [&](PendingCommand& pending) {
    if (const maintenance::RequestResult* answer = known_state_.ResultFor(pending.command.token)) {
      pending.reply.set_value(
          {answer->good ? 200 : 409, RequestResultJson(*answer, pending.command.token)});
      return true;
    }
    if (now >= pending.deadline) {
      pending.reply.set_value(
          ErrorReply(503, NoQuorumMessage(KnownLeader(), roster_, failure_detector_)));
      return true;
    }
    if (now >= pending.next_attempt) {
      pending.next_attempt = now + kCommandRetryInterval;
      next_state_request_at_ = std::min(next_state_request_at_, now + kCommandRetryInterval / 3);
      SubmitCommand(pending.command);
    }
    return false;
  });
}

ControlReply Fleet::Status(bool members) const {
  MemberView view{self_name_,
                  KnownLeader(),
                  raft_node_ ? raft_node_->term() : 0,
                  known_state_,
                  roster_,
                  failure_detector_,
                  local_member_,
                  local_identity_.process_incarnation(),
                  raft_node_ && raft_node_->votes()};
  return {200, members ? MembersJson(view) : StatusJson(view)};
}

ControlReply Fleet::List() const { return {200, RequestsJson(known_state_)}; }

// ======== what is update ========

void Fleet::LogPeerChanges() {
  for (const auto& [name, peer] : failure_detector_.peers()) {
    // A folder that was lost flips once, and a late frame of its former process_incarnation once
    // more.
    if (peer.flips < kMinIdentityFlipsOfDuplicate || !duplicate_members_.insert(name).second)
      continue;
    observe::Log(Concern::kFleet, Level::kError, "name given twice", {{"name", name}});
  }
  for (const auto& change : failure_detector_.TakeChanges()) {
    if (change.link) {
      observe::Log(Concern::kFleet, Level::kWarning, "peer link",
                   {{"name", change.name}, {"link", peers::ToString(*change.link)}});
      continue;
    }
    observe::Log(Concern::kFleet, Level::kInfo, "peer",
                 {{"name", change.name},
                  {"state", peers::ToString(change.to)},
                  {"was", peers::ToString(change.from)},
                  {"life", peers::ProcessIncarnationOf(change.incarnation)}});
  }
}

void Fleet::ApplyRosterFile() {
  try {
    peers::Roster next = LoadRosterWithMember(roster_path_, self_name_);
    const std::string fault = peers::ChangeFault(roster_, next);
    if (!fault.empty()) throw std::runtime_error(fault);
    if (next.Find(self_name_)->address != roster_.Find(self_name_)->address) {
      throw std::runtime_error("this forwarder's own address changes; that takes a restart");
    }
    if (next.timings != roster_.timings) {
      throw std::runtime_error("the timings change; that takes a restart");
    }
    if (sharing_ == nullptr && (next.sharing.limits || next.sharing.verdicts)) {
      throw std::runtime_error("sharing begins; that takes a restart");
    }
    const bool voted = IsVoter();
    roster_ = std::move(next);
    if (sharing_) sharing_->SetRoster(roster_, Now());
    failure_detector_.SetMembers(MemberNames(roster_));
    if (voted != IsVoter()) {
      CreateRaftNode();
    } else if (raft_node_) {
      raft_node_->SetVoters(roster_.Voters());
    }
    observe::Log(Concern::kFleet, Level::kInfo, "roster read again",
                 {{"members", roster_.members.size()}});
  } catch (const std::exception& error) {
    observe::Log(Concern::kFleet, Level::kError, "roster not taken up, the old one holds",
                 {{"fault", error.what()}});
  }
}

}  // namespace brassfront::fleet
