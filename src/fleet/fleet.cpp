#include "fleet/fleet.hpp"

#include <poll.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <future>
#include <stdexcept>
#include <utility>

#include "observe/log.hpp"

namespace brassfront::fleet {
namespace {

using observe::Concern;
using observe::Level;
using peers::Time;
using std::chrono::milliseconds;

// Number of queued events beyond which a thread that pushes one has to wait.
constexpr std::size_t kInboxCapacity = 64;
// Maximum wait, since a component's estimate of when it is next due may be too late by this much.
constexpr Time kMaxPollWait = milliseconds(250);

Time Now() { return std::chrono::steady_clock::now().time_since_epoch(); }

// The outcome is visible in the committed state; a lost command is submitted again.
void IgnoreOutcome(consensus::RaftNode::Outcome) {}

}  // namespace

Fleet::Fleet(std::string roster_path, const std::string& self, const std::string& folder,
             std::uint64_t seed, EndpointExclusions& exclusions)
    : folder_(folder),
      self_name_(self),
      roster_(std::move(roster_path), self),
      local_identity_(folder),
      exclusions_(exclusions),
      inbox_(kInboxCapacity),
      failure_detector_(roster_.roster().timings, self, roster_.MemberNames(),
                        local_identity_.identity(), local_identity_.process_incarnation(),
                        seed ^ local_identity_.identity()),
      transport_(roster_.roster(), self),
      replicated_log_(roster_, local_identity_, failure_detector_, folder, seed),
      known_state_(folder),
      duty_executor_(self, local_identity_, forwarder_, exclusions_,
                     [this](std::set<std::string> endpoints) {
                       inbox_.Push(ExclusionsApplied{std::move(endpoints)});
                     }),
      state_exchange_(roster_, failure_detector_) {
  if (HasSharing(roster_.roster())) {
    sharing_ = std::make_unique<Sharing>(roster_.roster(), self_name_,
                                         local_identity_.process_incarnation());
  }
  duty_executor_.RestoreExclusions(known_state_.get());
}

Fleet::~Fleet() { Stop(); }

void Fleet::OnEndpointList(const MemberList& list) {
  if (sharing_) sharing_->OnEndpointList(list);
}

void Fleet::Start(ForwarderControl forwarder) {
  forwarder_ = std::move(forwarder);
  const std::string address = roster_.self().address;
  transport_.Open(address);
  inbox_.Open();
  replicated_log_.Start();
  // The returned commands are dropped: they are due again in the next iteration of the thread's
  // loop, when there are peers to send them to.
  static_cast<void>(duty_executor_.Execute(known_state_.get(), Now()));
  control_server_ = std::make_unique<ControlServer>(
      folder_, [this](const ControlRequest& request) { return HandleControlRequest(request); });
  thread_ = Thread::Require("fleet", [this] { Run(); });
  observe::Log(Concern::kFleet, Level::kInfo, "fleet member",
               {{"name", self_name_},
                {"fleet", roster_.roster().fleet},
                {"members", roster_.roster().members.size()},
                {"address", address},
                {"life", local_identity_.process_incarnation()}});
}

void Fleet::ReloadRoster() { inbox_.Push(RosterReloadRequested{}); }

void Fleet::Stop() {
  if (!thread_.started()) return;
  inbox_.Push(StopRequested{});
  thread_.Join();
  // These calls break the promises that the control server's thread is waiting for.
  inbox_.Close();
  operator_requests_.Abandon();
  control_server_.reset();
}

ControlReply Fleet::HandleControlRequest(const ControlRequest& request) {
  ReceivedControlRequest received{request, {}};
  std::future<ControlReply> reply = received.reply.get_future();
  inbox_.Push(std::move(received));
  try {
    return reply.get();
  } catch (const std::future_error&) {
    return ErrorReply(kStatusUnavailable, "this forwarder ends");
  }
}

// ======== the thread ========

void Fleet::Run() {
  while (!stopping_) {
    const Readiness ready = WaitForInput();
    // Timers run first: a process that was suspended must detect this before it reads the frames
    // that arrived in the meantime.
    const Time now = Now();
    failure_detector_.Tick(now);
    replicated_log_.Tick(now);
    if (sharing_) sharing_->Tick(replicated_log_.is_leader(), now);
    if (ready.datagrams) {
      transport_.ReceiveFrames(now, [&](const peers::Frame& frame) { HandleFrame(frame, now); });
    }
    if (ready.events) HandleEvents();
    if (const auto* state = replicated_log_.state()) AdoptState(*state);
    UpdateLeadership(now);
    PerformDuty(now);
    RequestState(now);
    ExchangeSharing(now);
    AdvanceOperatorRequests(now);
    peer_change_log_.Write(failure_detector_);
    SendFrames();
  }
}

Fleet::Readiness Fleet::WaitForInput() const {
  Time next = std::min({failure_detector_.Next(), duty_executor_.Next(), state_exchange_.Next(),
                        replicated_log_.Next()});
  if (sharing_) next = std::min(next, sharing_->Next());
  const Time wait = std::clamp<Time>(next - Now(), Time{}, kMaxPollWait);
  const auto wait_ms = std::chrono::ceil<milliseconds>(wait).count();
  std::array<pollfd, 2> ready{{{transport_.fd(), POLLIN, 0}, {inbox_.fd(), POLLIN, 0}}};
  poll(ready.data(), ready.size(), static_cast<int>(wait_ms));
  return {.datagrams = ready[0].revents != 0, .events = ready[1].revents != 0};
}

void Fleet::HandleEvents() {
  inbox_.HandleAll(
      [this](Event& received) { std::visit([this](auto& event) { On(event); }, received); });
}

void Fleet::On(const RosterReloadRequested&) {
  try {
    roster_.Reload();
    const peers::Roster& roster = roster_.roster();
    if (sharing_) sharing_->SetRoster(roster, Now());
    failure_detector_.SetMembers(roster_.MemberNames());
    replicated_log_.OnRosterChanged();
    observe::Log(Concern::kFleet, Level::kInfo, "roster read again",
                 {{"members", roster.members.size()}});
  } catch (const std::exception& error) {
    observe::Log(Concern::kFleet, Level::kError, "roster not taken up, the old one holds",
                 {{"fault", error.what()}});
  }
}

void Fleet::On(const StopRequested&) {
  failure_detector_.Leave(Now());
  SendFrames();
  stopping_ = true;
}

void Fleet::On(ExclusionsApplied& event) {
  duty_executor_.ConfirmExclusions(std::move(event.endpoints));
}

void Fleet::On(ReceivedControlRequest& event) {
  operator_requests_.Accept(std::move(event), View(), sharing_.get(), local_identity_.identity(),
                            Now());
}

// ======== frames ========

void Fleet::HandleFrame(const peers::Frame& frame, Time now) {
  failure_detector_.Receive(frame, now);
  if (roster_.roster().Find(frame.from) == nullptr || frame.from == self_name_) return;
  switch (frame.kind) {
    case peers::Kind::kRaftMessage:
    case peers::Kind::kBootstrap:
      return replicated_log_.Receive(frame, now);
    case peers::Kind::kCommand:
      return HandleForwardedCommand(frame);
    case peers::Kind::kReplicatedState:
      return HandleStateMessage(frame);
    case peers::Kind::kLeaseRequest:
    case peers::Kind::kLeaseGrant:
    case peers::Kind::kHealthReports:
      if (sharing_) sharing_->Receive(frame, now);
      return;
    default:
      return;
  }
}

// Handles a command that another member submits to the leader. There is no reply: the member
// submits the command repeatedly until it sees the result in the committed state.
void Fleet::HandleForwardedCommand(const peers::Frame& frame) {
  if (!replicated_log_.is_leader() || !maintenance::Command::Decode(frame.body)) return;
  replicated_log_.Propose(frame.body, IgnoreOutcome);
}

void Fleet::HandleStateMessage(const peers::Frame& frame) {
  const auto message = DecodeStateMessage(frame.body);
  if (!message) return;
  if (const auto* request = std::get_if<StateRequest>(&*message)) {
    leadership_.SetReportedLoad(frame.from, request->messages_in_flight);
    if (!replicated_log_.bootstrapped()) return;
    const maintenance::MaintenanceState& known = known_state_.get();
    StateUpdate reply{.revision = known.revision(), .leader = KnownLeader(), .state = ""};
    if (known.revision() > request->revision) reply.state = known.Save();
    return QueueFrame(peers::Kind::kReplicatedState, frame.from, Encode(reply));
  }
  const auto& update = std::get<StateUpdate>(*message);
  state_exchange_.SetReportedLeader(update.leader);
  maintenance::MaintenanceState state;
  if (!update.state.empty() && state.Load(update.state)) AdoptState(state);
}

void Fleet::QueueFrame(peers::Kind kind, const std::string& to, std::string body) {
  outgoing_frames_.push_back({kind, self_name_, to, local_identity_.identity(),
                              failure_detector_.incarnation(), std::move(body)});
}

void Fleet::SendFrames() {
  for (const peers::Frame& frame : failure_detector_.TakeFrames()) transport_.Send(frame);
  for (consensus::RaftNode::Message& message : replicated_log_.TakeMessages()) {
    const auto kind = message.is_bootstrap ? peers::Kind::kBootstrap : peers::Kind::kRaftMessage;
    QueueFrame(kind, message.to, std::move(message.body));
  }
  for (const peers::Frame& frame : std::exchange(outgoing_frames_, {})) transport_.Send(frame);
}

// ======== the committed state ========

// Adopts a state from this member's own log or from the leader. The resulting duties are carried
// out in the same iteration of the loop.
void Fleet::AdoptState(const maintenance::MaintenanceState& state) {
  if (known_state_.Update(state)) duty_executor_.MakeDue();
}

std::string Fleet::KnownLeader() const {
  return replicated_log_.bootstrapped() ? replicated_log_.leader()
                                        : state_exchange_.reported_leader();
}

void Fleet::SubmitToLeader(const maintenance::Command& command) {
  if (replicated_log_.is_leader()) {
    return replicated_log_.Propose(command.Encode(), IgnoreOutcome);
  }
  const std::string leader = KnownLeader();
  if (!leader.empty()) QueueFrame(peers::Kind::kCommand, leader, command.Encode());
}

void Fleet::UpdateLeadership(Time now) {
  const MaintenanceLeadership::Self self{
      .name = self_name_,
      .process_incarnation = local_identity_.process_incarnation(),
      .messages_in_flight = forwarder_.messages_in_flight()};
  leadership_.Update(replicated_log_, roster_.roster(), failure_detector_, self, now);
}

void Fleet::PerformDuty(Time now) {
  for (const auto& command : duty_executor_.Execute(known_state_.get(), now)) {
    SubmitToLeader(command);
  }
}

void Fleet::RequestState(Time now) {
  const auto recipient = state_exchange_.NextRecipient(KnownLeader(), now);
  if (!recipient) return;
  const StateRequest request{.revision = known_state_.get().revision(),
                             .messages_in_flight = forwarder_.messages_in_flight()};
  QueueFrame(peers::Kind::kReplicatedState, *recipient, Encode(request));
}

// ======== limits, health reports, operators ========

void Fleet::ExchangeSharing(Time now) {
  if (!sharing_) return;
  std::vector<std::string> present{self_name_};
  for (const auto& [name, peer] : failure_detector_.peers()) {
    if (peer.state == peers::State::kAlive || peer.state == peers::State::kSuspect) {
      present.push_back(name);
    }
  }
  sharing_->Update(KnownLeader(), std::move(present), now);
  for (OutgoingFrame& frame : sharing_->TakeFrames()) {
    QueueFrame(frame.kind, frame.to, std::move(frame.body));
  }
  for (EndpointUpdate& update : sharing_->TakeEndpointUpdates()) {
    forwarder_.update_endpoint(std::move(update));
  }
}

void Fleet::AdvanceOperatorRequests(Time now) {
  const auto submit = [this](const maintenance::Command& command) { SubmitToLeader(command); };
  if (operator_requests_.Advance(View(), submit, now)) state_exchange_.OnCommandSubmitted(now);
}

MemberView Fleet::View() const {
  return {.self = self_name_,
          .leader = KnownLeader(),
          .term = replicated_log_.term(),
          .known_state = known_state_.get(),
          .roster = roster_.roster(),
          .failure_detector = failure_detector_,
          .local_member = duty_executor_.local_member(),
          .process_incarnation = local_identity_.process_incarnation(),
          .votes = replicated_log_.votes()};
}

}  // namespace brassfront::fleet
