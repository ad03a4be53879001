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

constexpr int kMostDatagrams = 256;  // read before the cores get their turn
constexpr Time kTellEvery = std::chrono::minutes(1);
constexpr Time kLongestWait = milliseconds(250);
constexpr Time kDutyEvery = milliseconds(100);        // what this member owes the settled state
constexpr Time kNewsEvery = milliseconds(500);        // from the leader, with our load for it
constexpr Time kStandByAtLeast = milliseconds(1500);  // so that clients have gone elsewhere
constexpr Time kOperatorWaits = std::chrono::seconds(5);
constexpr Time kTryAgain = milliseconds(300);
constexpr Time kCouncilAgain = std::chrono::seconds(2);  // after its store failed

constexpr std::size_t kFlipsOfTwins = 3;

enum class News : std::uint8_t { kAsk = 1, kTell = 2 };

Time Now() { return std::chrono::steady_clock::now().time_since_epoch(); }

sockaddr_in AddressFrom(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1))));
  return address;
}

std::vector<std::string> NamesOf(const peers::Roster& roster) {
  std::vector<std::string> names;
  for (const peers::Member& member : roster.members) names.push_back(member.name);
  return names;
}

peers::Roster RosterWith(const std::string& path, const std::string& self) {
  peers::Roster roster = peers::LoadRoster(path);
  if (roster.Find(self) == nullptr) {
    throw std::runtime_error(path + " has no member " + self + ", which is this forwarder");
  }
  return roster;
}

}  // namespace

Fleet::Fleet(std::string roster_path, const std::string& self, const std::string& folder,
             std::uint64_t seed)
    : path_(std::move(roster_path)),
      folder_(folder),
      roster_(RosterWith(path_, self)),
      self_name_(self),
      seed_(seed),
      self_(folder),
      failure_detector_(roster_.timings, self, NamesOf(roster_), self_.identity(),
                        self_.process_incarnation(), seed ^ self_.identity()),
      store_(folder_),
      buffer_(peers::kMostFrame + 1) {
  std::ifstream in(folder_ + "/known", std::ios::binary);
  const std::string kept{std::istreambuf_iterator<char>(in), {}};
  if (!kept.empty() && !known_.Load(kept)) {
    observe::Log(Concern::kFleet, Level::kWarning, "kept state cannot be read, asked for anew");
  }
  if (roster_.sharing.limits || roster_.sharing.verdicts) {
    sharing_ = std::make_unique<Sharing>(roster_, self_name_, self_.process_incarnation());
  }
  // What was settled holds from the first list on.
  const maintenance::Duty duty =
      ComputeDuty(known_, self_name_, self_.process_incarnation(), local_);
  exclusions_.Set(duty.ban);
}

Fleet::~Fleet() { Leave(); }

bool Fleet::Votes() const {
  const peers::Member* self = roster_.Find(self_name_);
  return self != nullptr && self->voter;
}

void Fleet::Begin(ForwarderControl control) {
  forwarder_ = std::move(control);
  const std::string& address = roster_.Find(self_name_)->address;
  socket_ = BindDatagrams(address);
  if (!socket_.is_open()) {
    throw std::runtime_error("cannot take datagrams at " + address + ": " + std::strerror(errno));
  }
  DoNotWait(socket_);
  wake_ = Socket(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
  if (!wake_.is_open()) throw std::runtime_error("no room for a descriptor");
  MakeRaftNode();
  DoDuty(Now());
  control_server_ = std::make_unique<ControlServer>(folder_, [this](const ControlRequest& call) {
    Asked asked{call, {}};
    std::future<ControlReply> reply = asked.reply.get_future();
    Put(std::move(asked));
    try {
      return reply.get();
    } catch (const std::future_error&) {
      return Refusal(503, "this forwarder ends");
    }
  });
  thread_ = Thread("fleet", [this] { Work(); });
  if (!thread_.started()) throw std::runtime_error("no room for a thread");
  observe::Log(Concern::kFleet, Level::kInfo, "fleet member",
               {{"name", self_name_},
                {"fleet", roster_.fleet},
                {"members", roster_.members.size()},
                {"address", address},
                {"life", self_.process_incarnation()}});
}

void Fleet::Put(Item item) {
  if (inbox_.Push(std::move(item))) eventfd_write(wake_.fd(), 1);
}

void Fleet::Reload() { Put(ReloadNow{}); }

void Fleet::Leave() {
  if (!thread_.started()) return;
  Put(LeaveNow{});
  thread_.Join();
  inbox_.Close();
  while (inbox_.Pop()) {
  }
  pending_.clear();  // or whoever asked would be waited for
  control_server_.reset();
}

// ======== the thread ========

void Fleet::Work() {
  while (!leaving_) {
    Time next = std::min({failure_detector_.Next(), next_duty_, next_news_});
    if (raft_node_) next = std::min(next, raft_node_->Next());
    if (sharing_) next = std::min(next, sharing_->Next());
    const Time wait = std::clamp<Time>(next - Now(), Time{}, kLongestWait);
    pollfd ready[2] = {{socket_.fd(), POLLIN, 0}, {wake_.fd(), POLLIN, 0}};
    poll(ready, 2, static_cast<int>(std::chrono::ceil<milliseconds>(wait).count()));
    // First what is due: a process that was stopped must see that before what came meanwhile.
    const Time now = Now();
    failure_detector_.Tick(now);
    TickRaftNode(now);
    if (sharing_) sharing_->Tick(raft_node_ && raft_node_->leads(), now);
    if (ready[0].revents != 0) ReadDatagrams(now);
    if (ready[1].revents != 0) TakeItems();
    if (raft_node_) Know(settled_);
    LeadTurns(now);
    DoDuty(now);
    AskForNews(now);
    Share(now);
    SettlePending(now);
    TellChanges();
    SendFrames();
  }
}

void Fleet::TakeItems() {
  eventfd_t count = 0;
  eventfd_read(wake_.fd(), &count);
  while (auto item = inbox_.PopUntil(std::chrono::steady_clock::time_point::min())) {
    std::visit([this](auto& e) { On(e); }, *item);
  }
}

void Fleet::On(const LeaveNow&) {
  failure_detector_.Leave(Now());
  SendFrames();
  leaving_ = true;
}

// ======== frames ========

void Fleet::ReadDatagrams(Time now) {
  for (int i = 0; i < kMostDatagrams; ++i) {
    const long n = socket_.ReceiveNow({buffer_.data(), buffer_.size()});
    if (n < 0) return;
    peers::Frame frame;
    const std::string_view bytes(buffer_.data(), static_cast<std::size_t>(n));
    const peers::Drop drop = peers::Decode(bytes, roster_.fleet, roster_.secret, self_name_, frame);
    if (drop != peers::Drop::kNone) {
      TellDropped(drop, frame.from, now);
      continue;
    }
    TakeFrame(frame, now);
  }
}

void Fleet::TakeFrame(const peers::Frame& frame, Time now) {
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
      return TakeAsk(frame);
    case peers::Kind::kNews:
      return TakeNews(frame);
    case peers::Kind::kWant:
    case peers::Kind::kGrant:
    case peers::Kind::kWords:
      if (sharing_) sharing_->Take(frame, now);
      return;
    default:
      return;
  }
}

// A command of another member's. It sees in the settled state whether it was settled; what it
// cannot see is sent again, so nothing is answered.
void Fleet::TakeAsk(const peers::Frame& frame) {
  if (!raft_node_ || !raft_node_->leads() || !maintenance::Command::Decode(frame.body)) return;
  raft_node_->Propose(frame.body, [](consensus::RaftNode::Outcome) {});
}

void Fleet::TakeNews(const peers::Frame& frame) {
  peers::Reader in(frame.body);
  const auto what = static_cast<News>(in.U8());
  const std::uint64_t revision = in.U64();
  if (what == News::kAsk) {
    const std::uint64_t load = in.U64();
    if (!in.done()) return;
    loads_[frame.from] = load;
    if (!raft_node_ || !raft_node_->bootstrapped()) return;
    peers::Writer body;
    body.U8(static_cast<std::uint64_t>(News::kTell)).U64(known_.revision());
    body.Name(Leader()).Text(known_.revision() > revision ? known_.Save() : "");
    return Send(peers::Kind::kNews, frame.from, body.Take());
  }
  const std::string leader = in.Name(), state = in.Text();
  if (what != News::kTell || !in.done()) return;
  believed_leader_ = leader;
  maintenance::MaintenanceState told;
  if (!state.empty() && told.Load(state)) Know(told);
}

// One line a sender and minute; whoever claims a name that the roster has not is one sender.
void Fleet::TellDropped(peers::Drop drop, const std::string& from, Time now) {
  ++dropped_[drop];
  const std::string who = roster_.Find(from) == nullptr ? "unknown" : from;
  const auto [it, first] = told_.try_emplace(who, now);
  if (!first && now - it->second < kTellEvery) return;
  it->second = now;
  observe::Log(Concern::kFleet, Level::kWarning, "frame dropped",
               {{"from", who}, {"reason", peers::ToString(drop)}, {"dropped", dropped_[drop]}});
}

void Fleet::Send(peers::Kind kind, const std::string& to, std::string body) {
  out_.push_back(
      {kind, self_name_, to, self_.identity(), failure_detector_.incarnation(), std::move(body)});
}

void Fleet::SendFrames() {
  for (const peers::Frame& frame : failure_detector_.TakeFrames()) SendOut(frame);
  if (raft_node_) {
    for (auto& m : raft_node_->TakeMessages()) {
      Send(m.founding ? peers::Kind::kFound : peers::Kind::kSettled, m.to, std::move(m.body));
    }
  }
  for (const peers::Frame& frame : std::exchange(out_, {})) SendOut(frame);
}

void Fleet::SendOut(const peers::Frame& frame) {
  const peers::Member* to = roster_.Find(frame.to);
  if (to == nullptr) return;
  const std::string bytes = peers::Encode(frame, roster_.fleet, roster_.secret);
  if (bytes.size() > peers::kMostFrame) {
    observe::LogSeldom(Concern::kFleet, Level::kError, "frame too long",
                       {{"to", frame.to}, {"bytes", bytes.size()}});
    return;
  }
  const sockaddr_in address = AddressFrom(to->address);
  // What does not go out now is as good as lost, which every core bears.
  sendto(socket_.fd(), bytes.data(), bytes.size(), MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

// ======== the settled log ========

// Anew at the start, when the folder turned out to be an old copy, and when the store failed.
void Fleet::MakeRaftNode() {
  raft_node_.reset();
  if (!Votes()) return;
  settled_ = {};
  consensus::RaftNode::Options options;
  options.id = self_.identity();
  options.self = self_name_;
  options.voters = roster_.Voters();
  options.heartbeat = roster_.timings.heartbeat;
  options.election = roster_.timings.election;
  options.seed = seed_ ^ self_.identity() ^ self_.process_incarnation();
  raft_node_ = std::make_unique<consensus::RaftNode>(std::move(options), store_, settled_);
  if (raft_node_->damaged()) {
    Rejoin("settled log damaged, this folder joins anew and has no vote until then");
  }
}

// What the folder says of votes cannot be trusted: it forgets them and is another one from now on.
void Fleet::Rejoin(std::string_view why) {
  observe::Log(Concern::kFleet, Level::kError, why);
  store_.Clear();
  self_.Renew();
  MakeRaftNode();
}

void Fleet::TickRaftNode(Time now) {
  if (!raft_node_) return;
  if (failure_detector_.folder_is_stale() && !raft_node_->bootstrapped() &&
      !std::exchange(old_seen_, true)) {
    // Peers remember later lives of ours: a vote since then may be missing here.
    bool damaged = false;
    if (!store_.Load(damaged).empty() || damaged) {
      Rejoin("settled log is an old copy, this folder joins anew");
    }
  }
  // Half of the other voters at least have told what they remember of us.
  const std::size_t others = roster_.Voters().size() - 1;
  if (failure_detector_.answered_by() >= (others + 1) / 2) raft_node_->AllowVoting();
  if (raft_node_->broken()) {
    if (council_again_ == Time{}) {
      observe::Log(Concern::kFleet, Level::kError, "settled log cannot be written");
      council_again_ = now + kCouncilAgain;
    }
    if (now < council_again_) return;
    council_again_ = {};
    MakeRaftNode();
    return;
  }
  raft_node_->Tick(now);
}

// From our own log or the leader; the duty that follows is done in this turn.
void Fleet::Know(const maintenance::MaintenanceState& newer) {
  if (newer.revision() <= known_.revision()) return;
  TellRequests(std::exchange(known_, newer));
  next_duty_ = {};
}

// A line for each request that is in another state now. The state is kept for the next start.
void Fleet::TellRequests(const maintenance::MaintenanceState& before) {
  const auto tell = [&](const maintenance::Request& request) {
    observe::Log(Concern::kFleet, Level::kInfo, "work",
                 {{"request", request.id},
                  {"name", request.name},
                  {"state", ToString(request.state)},
                  {"used", known_.UsedInAll()},
                  {"revision", known_.revision()}});
  };
  const auto was = [&](std::uint64_t id) -> std::optional<maintenance::State> {
    const auto it = before.requests().find(id);
    if (it == before.requests().end()) return std::nullopt;
    return it->second.state;
  };
  for (const auto& [id, request] : known_.requests()) {
    if (was(id) != request.state) tell(request);
  }
  for (const auto& request : known_.over()) {
    if (was(request.id)) tell(request);
  }
  if (!peers::WriteAtomically(folder_ + "/known", known_.Save())) {
    observe::LogSeldom(Concern::kFleet, Level::kError, "settled state cannot be kept");
  }
}

std::string Fleet::Leader() const {
  if (raft_node_ && raft_node_->bootstrapped()) return raft_node_->leader();
  return believed_leader_;
}

// To the leader, from wherever; what is lost on the way is submitted again by who needs it.
void Fleet::Submit(const maintenance::Command& command) {
  if (raft_node_ && raft_node_->leads()) {
    return raft_node_->Propose(command.Encode(), [](consensus::RaftNode::Outcome) {});
  }
  const std::string leader = Leader();
  if (!leader.empty()) Send(peers::Kind::kAsk, leader, command.Encode());
}

void Fleet::LeadTurns(Time now) {
  if (!raft_node_ || !raft_node_->leads()) {
    if (leads_since_) observe::Log(Concern::kFleet, Level::kInfo, "leads no longer");
    leads_since_.reset();
    leader_waits_ = false;
    return;
  }
  if (!leads_since_) {
    leads_since_ = now;
    leader_ = {};
    leader_waits_ = false;
    observe::Log(Concern::kFleet, Level::kInfo, "leads", {{"term", raft_node_->term()}});
  }
  if (leader_waits_) return;
  std::map<std::string, maintenance::ObservedMember> seen;
  for (const auto& [name, peer] : failure_detector_.peers()) {
    seen[name] = {peer.state, peers::ProcessIncarnationOf(peer.incarnation), loads_[name]};
  }
  seen[self_name_] = {peers::State::kAlive, self_.process_incarnation(),
                      forwarder_.messages_in_flight()};
  const auto command = leader_.Next(settled_, roster_, seen, now - *leads_since_, now);
  if (!command) return;
  leader_waits_ = true;
  raft_node_->Propose(command->Encode(),
                      [this](consensus::RaftNode::Outcome) { leader_waits_ = false; });
}

// ======== this member's part ========

void Fleet::DoDuty(Time now) {
  if (now < next_duty_) return;
  next_duty_ = now + kDutyEvery;
  local_.drained = local_.standing_by && now - stands_by_since_ >= kStandByAtLeast &&
                   forwarder_.messages_in_flight() == 0;
  // Guards against a machine that is asked back while its old process still ends: it takes no more
  // clients, and only the next process may say that it serves.
  local_.serving = !local_.standing_by && forwarder_.keeps_running();
  const maintenance::Duty duty =
      ComputeDuty(known_, self_name_, self_.process_incarnation(), local_);
  if (duty.stand_by != local_.standing_by) {
    local_.standing_by = duty.stand_by;
    stands_by_since_ = now;
    forwarder_.set_standby(duty.stand_by);
    observe::Log(Concern::kFleet, Level::kInfo, duty.stand_by ? "standby" : "active");
  }
  if (duty.ban != ban_asked_) {
    std::vector<std::string> back;
    for (const std::string& e : ban_asked_) {
      if (!duty.ban.contains(e)) back.push_back(e);
    }
    ban_asked_ = duty.ban;
    // Until the engine has taken this up, only what both have is certain.
    std::erase_if(local_.banned, [&](const std::string& e) { return !duty.ban.contains(e); });
    MemberList changes = exclusions_.Set(duty.ban);
    if (!changes.members.empty()) forwarder_.set_endpoints(std::move(changes));
    // It was settled, so it binds as if two had seen it.
    for (std::string& e : back) {
      forwarder_.update_endpoint(
          {std::move(e), dispatch_policy::PeerHealthReport{
                             .health = dispatch_policy::PeerHealth::kWarmingUp, .witnesses = 2}});
    }
    forwarder_.post([this, ban = duty.ban] { Put(Banned{ban}); });
  }
  if (!thread_.started()) return;  // nobody to tell yet
  for (const maintenance::Command& command : duty.say) Submit(command);
}

void Fleet::AskForNews(Time now) {
  if (now < next_news_) return;
  next_news_ = now + kNewsEvery;
  std::string to = Leader();
  if (to == self_name_) return;
  if (to.empty()) {
    // Any voter that is there tells who leads.
    std::vector<std::string> there;
    for (const std::string& voter : roster_.Voters()) {
      const auto it = failure_detector_.peers().find(voter);
      if (it != failure_detector_.peers().end() && it->second.state == peers::State::kAlive) {
        there.push_back(voter);
      }
    }
    if (there.empty()) return;
    to = there[static_cast<std::size_t>(now.count() / 1'000'000) % there.size()];
  }
  if (failure_detector_.peers().contains(to) &&
      failure_detector_.peers().at(to).state == peers::State::kDead) {
    believed_leader_.clear();
  }
  peers::Writer body;
  body.U8(static_cast<std::uint64_t>(News::kAsk))
      .U64(known_.revision())
      .U64(forwarder_.messages_in_flight());
  Send(peers::Kind::kNews, to, body.Take());
}

void Fleet::Share(Time now) {
  if (!sharing_) return;
  std::vector<std::string> present{self_name_};
  for (const auto& [name, peer] : failure_detector_.peers()) {
    if (peer.state == peers::State::kAlive || peer.state == peers::State::kSuspect) {
      present.push_back(name);
    }
  }
  sharing_->Turn(Leader(), std::move(present), now);
  for (Sharing::Out& out : sharing_->TakeFrames()) Send(out.kind, out.to, std::move(out.body));
  for (EndpointUpdate& news : sharing_->TakeNews()) forwarder_.update_endpoint(std::move(news));
}

// ======== operators ========

void Fleet::On(Asked& e) {
  const ControlRequest& call = e.call;
  if (call.method == "GET") {
    if (call.path == "/fleet/status") return e.reply.set_value(Status(false));
    if (call.path == "/fleet/members") return e.reply.set_value(Status(true));
    if (call.path == "/fleet/maintenance") return e.reply.set_value(List());
    if (call.path == "/fleet/limits" || call.path == "/fleet/verdicts") {
      if (!sharing_) return e.reply.set_value(Refusal(409, "the roster has no `sharing`"));
      const bool limits = call.path == "/fleet/limits";
      return e.reply.set_value(
          {200, limits ? sharing_->LimitsJson(Now()) : sharing_->VerdictsJson(Now())});
    }
    return e.reply.set_value(Refusal(404, "nothing is at " + call.path));
  }
  maintenance::Command c;
  std::string fault;
  if (!CommandFrom(call.path, call.query, c, fault)) {
    return e.reply.set_value(
        Refusal(call.path.rfind("/fleet/maintenance/", 0) == 0 ? 400 : 404, fault));
  }
  while (c.token == 0) {
    c.token =
        peers::ProcessIncarnationOf(self_.identity()) ^ static_cast<std::uint64_t>(Now().count());
  }
  pending_.push_back({std::move(c), std::move(e.reply), Now() + kOperatorWaits, Time{}});
}

void Fleet::SettlePending(Time now) {
  std::erase_if(pending_, [&](Pending& p) {
    if (const maintenance::RequestResult* answer = known_.ResultFor(p.command.token)) {
      p.reply.set_value({answer->good ? 200 : 409, AnswerJson(*answer, p.command.token)});
      return true;
    }
    if (now >= p.until) {
      p.reply.set_value(Refusal(503, NoQuorumText(Leader(), roster_, failure_detector_)));
      return true;
    }
    if (now >= p.next_try) {
      p.next_try = now + kTryAgain;
      next_news_ = std::min(next_news_, now + kTryAgain / 3);
      Submit(p.command);
    }
    return false;
  });
}

ControlReply Fleet::Status(bool members) const {
  StatusFacts facts{self_name_,
                    Leader(),
                    raft_node_ ? raft_node_->term() : 0,
                    known_,
                    roster_,
                    failure_detector_,
                    local_,
                    self_.process_incarnation(),
                    raft_node_ && raft_node_->votes()};
  return {200, members ? MembersJson(facts) : StatusJson(facts)};
}

ControlReply Fleet::List() const { return {200, RequestsJson(known_)}; }

// ======== what is told ========

void Fleet::TellChanges() {
  for (const auto& [name, peer] : failure_detector_.peers()) {
    // A folder that was lost flips once, and a late frame of its former process_incarnation once
    // more.
    if (peer.flips < kFlipsOfTwins || !duplicate_members_.insert(name).second) continue;
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

void Fleet::TakeRoster() {
  try {
    peers::Roster next = RosterWith(path_, self_name_);
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
    const bool voted = Votes();
    roster_ = std::move(next);
    if (sharing_) sharing_->SetRoster(roster_, Now());
    failure_detector_.SetMembers(NamesOf(roster_));
    if (voted != Votes()) {
      MakeRaftNode();
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
