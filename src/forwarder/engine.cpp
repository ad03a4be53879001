#include "forwarder/engine.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace brassfront {
namespace {

using observe::Concern;
using observe::Level;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kInboxCapacity = 1024;
constexpr std::size_t kSlotsWhereNoneAreSet = 32;
constexpr std::size_t kProbeThreads = 16;  // probes take no slot
constexpr double kBodyShare = 0.25;        // of the memory, for the bodies of all held messages
constexpr milliseconds kHousekeepingEvery{1000};
// A call that several messages share is over so long before the first of their times. Guards
// against an answer between that time as the client and the partner count it, from the sending of
// the message, and ours, which began with its coming and waits for our next turn.
constexpr milliseconds kSharedEndsEarly{50};
// No notice is overdue until 1.5 s after a restarted forwarder is ready.
constexpr milliseconds kAfterRestart{1500};
// New connections may come for 0.4 s after SIGTERM, and SIGKILL 3.7 s after it.
constexpr milliseconds kStayAtLeast{700};
constexpr milliseconds kStayAtMost{3200};

dispatch_policy::Time Now() { return steady_clock::now().time_since_epoch(); }

steady_clock::time_point Point(dispatch_policy::Time time) {
  return steady_clock::time_point(duration_cast<steady_clock::duration>(time));
}

UnixMs UnixNow() {
  return duration_cast<UnixMs>(std::chrono::system_clock::now().time_since_epoch());
}

milliseconds InMs(dispatch_policy::Duration time) { return std::chrono::ceil<milliseconds>(time); }

std::size_t SlotsOf(const Config& config) {
  return config.policy_settings.max_concurrent_calls > 0
             ? config.policy_settings.max_concurrent_calls
             : kSlotsWhereNoneAreSet;
}

std::size_t MostOut(const Config& config) { return SlotsOf(config) + kProbeThreads; }

// A sixteenth of the descriptors, or more where more calls are out at once.
std::size_t MostIdle(const Config& config) {
  return std::max(SlotsOf(config), config.limits.sockets / 16);
}

// The place of the name in the list; its size if it is not there.
std::size_t PlaceOf(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

}  // namespace

std::size_t Engine::MaxEndpointConnections(const Config& config) {
  return MostOut(config) + MostIdle(config);
}

Engine::Engine(const Config& config, Spool& spool, BufferPool& buffers,
               DiscoveryWatcher::OnEndpointList divert)
    : config_(config),
      spool_(spool),
      inbox_(kInboxCapacity),
      policy_(config.policy_settings, config.seed),
      next_message_(spool.next_number()),
      endpoint_client_({.threads = MostOut(config),
                        .max_idle_connections = MostIdle(config),
                        .group_size = config.policy_settings.group_size,
                        .connection_idle = config.connection_idle,
                        .connect_timeout = duration_cast<milliseconds>(config.connect_timeout)},
                       buffers, [this](EndpointCallResult end) { inbox_.Push(std::move(end)); }),
      notices_(config.discovery, buffers,
               [this](MessageId message) { inbox_.Push(NoticeHeard{message}); }),
      watch_(
          config.discovery, config.known.revision,
          {.size = config.policy_settings.group_size, .seed = config.seed}, buffers,
          divert ? std::move(divert) : [this](MemberList list) { SetEndpoints(std::move(list)); }) {
  for (const dispatch_policy::ClassSettings& c : config.policy_settings.classes) {
    longest_deadline_ = std::max(longest_deadline_, c.deadline);
  }
  deadlines_.Set(Now() + kHousekeepingEvery, {Due::kEverySecond});
}

Engine::~Engine() { Close(); }

// Guards against threads that wait for the engine for good, and are waited for at its end.
void Engine::Close() {
  inbox_.Close();
  while (inbox_.Pop()) {
  }
  arrivals_.clear();
}

// ======== for other threads ========

// What the settings alone can turn away is turned away here, on the client's thread. Guards against
// a flood of bad envelopes that the engine would have to look at, one by one.
SubmitResult Engine::Submit(DeliveryRequest request) {
  Arrival arrival;
  std::string fault = Reject(request, arrival.the_class, arrival.tenant);
  if (!fault.empty()) return SubmitResult::Invalid(std::move(fault));
  if (!IsListed(request.destination)) {
    SubmitResult unlisted = SubmitResult::Rejected(dispatch_policy::kRetryAfterWhenFull);
    unlisted.unknown_destination = true;
    return unlisted;
  }
  arrival.request = std::move(request);
  arrival.handed_in = Now();
  std::future<SubmitResult> answer = arrival.answer.get_future();
  if (!inbox_.Push(std::move(arrival))) return {};
  try {
    return answer.get();
  } catch (const std::future_error&) {  // the engine has left
    return {};
  }
}

void Engine::OnAcknowledged(std::uint64_t message) { inbox_.Push(HeardNow{message}); }
void Engine::OnClientDisconnected(std::uint64_t message) { inbox_.Push(LostNow{message}); }
void Engine::BeginGracefulShutdown() { inbox_.Push(LeaveNow{}); }
void Engine::Post(std::function<void()> what) { inbox_.Push(ThenNow{std::move(what)}); }
void Engine::SetDiscoveryAddress(std::string discovery) {
  inbox_.Push(MoveNow{std::move(discovery)});
}

// ======== turns ========

void Engine::Restore(const MemberList& known) {
  const Time now = Now();
  const UnixMs unix_now = UnixNow();
  events_.emplace_back(TakeList(known));
  for (RecoveredMessage& owed : spool_.Recover()) {
    dispatch_policy::MessageRestored e;
    e.message = owed.number;
    e.destination = owed.message.destination;
    e.message_class = PlaceOf(config_.class_names, owed.message.class_name);
    e.time_left = owed.message.deadline - unix_now;
    e.attempts_used = owed.attempts.size();
    for (const SpooledAttempt& attempt : owed.attempts) {
      if (attempt.known_not_run || e.may_have_run) continue;
      e.may_have_run = now - (unix_now - attempt.started_at);
      e.ran_on_endpoint = HopNumber(attempt.endpoint);
    }
    body_bytes_ += owed.message.body.size();
    ++owed_;
    numbers_[owed.message.id] = owed.number;
    held_[owed.number] = {.id = owed.message.id,
                          .key = owed.message.key,
                          .body = std::move(owed.message.body),
                          .heard = true,
                          .attempts = owed.attempts.size()};
    // A notice is not overdue until a while after the restart.
    lives_.Begin(owed.number, now, now + std::max<Duration>(e.time_left, kAfterRestart),
                 Step::kRestored, static_cast<std::uint32_t>(owed.attempts.size()));
    events_.emplace_back(std::move(e));
  }
  observe::Log(Concern::kEngine, Level::kInfo, "restored", {{"messages", owed_}});
  Turn(now);
}

void Engine::Run(std::function<void()> on_drain) {
  on_drain_ = std::move(on_drain);
  // What Restore decided. Guards against waiting for the first thing to happen, while its time
  // runs.
  StartReady(Now());
  while (!left_) {
    DrainUntil(
        inbox_, [this] { return Point(NextDue()); }, steady_clock::now,
        [this](Item item) { std::visit([this](auto& e) { On(std::move(e)); }, item); });
    const Time now = Now();
    while (const auto due = deadlines_.TakeDue(now)) On(*due);
    if (!events_.empty() && now >= last_turn_ + config_.policy_settings.decision_interval) {
      Turn(now);
    }
    StartReady(now);
    messages_in_flight_ = held_.size();
    if (now >= lives_.Next()) TellOverdue(now);
    if (leaving_ && may_leave_ && held_.empty()) left_ = true;
  }
  stages_.Tell(Level::kInfo, held_.size(), out_.size());
  observe::Log(Concern::kEngine, Level::kInfo, "shutdown complete",
               {{"in_flight", held_.size()}, {"overdue", lives_.overdue()}});
}

Engine::Time Engine::NextDue() const {
  const Time next = std::min(deadlines_.Next(), lives_.Next());
  return events_.empty() ? next
                         : std::min(next, last_turn_ + config_.policy_settings.decision_interval);
}

void Engine::TellOverdue(Time now) {
  for (const MessageTrace::Overdue& late : lives_.TakeOverdue(now)) {
    const auto held = held_.find(late.message);
    observe::Log(Concern::kEngine, Level::kError, "message overdue",
                 {{"id", held == held_.end() ? "" : held->second.id},
                  {"state", NameOf(late.state)},
                  {"history", late.history},
                  {"overdue", lives_.overdue()}});
  }
}

void Engine::Turn(Time now) {
  last_turn_ = now;
  std::vector<dispatch_policy::Event> events;
  events.swap(events_);
  const std::vector<dispatch_policy::Action> actions = policy_.Decide(now, events);
  // What is turned away is so before anything is kept.
  for (const dispatch_policy::Action& action : actions) {
    if (const auto* refuse = std::get_if<dispatch_policy::RejectMessage>(&action)) Do(*refuse);
    if (const auto* surrender = std::get_if<dispatch_policy::FailMessage>(&action)) Do(*surrender);
  }
  KeepArrivals();
  for (const dispatch_policy::Action& action : actions) {
    const bool done = std::holds_alternative<dispatch_policy::RejectMessage>(action) ||
                      std::holds_alternative<dispatch_policy::FailMessage>(action);
    if (!done) std::visit([this](const auto& e) { Do(e); }, action);
  }
  bundle_.clear();
  // Last: the calls of what was given up are ended by now.
  for (Notification& notice : std::exchange(given_up_, {})) notices_.Post(std::move(notice));
  stages_.turn.Add(Now() - now);
}

// Arrivals that were not refused are kept by the spool, and only then are their clients told.
void Engine::KeepArrivals() {
  for (auto& [message, arrival] : arrivals_) {
    DeliveryRequest& request = arrival.request;
    const SpooledMessage record{request.id,
                                request.key,
                                request.class_name,
                                request.tenant_name,
                                request.destination,
                                UnixNow() + request.time_left,
                                std::move(request.body)};
    const Time now = Now();
    stages_.answer.Add(now - arrival.handed_in);
    if (spool_.Accept(message, record)) {
      lives_.Begin(message, arrival.handed_in, now + request.time_left, Step::kTaken);
      arrival.answer.set_value({.status = SubmitResult::Status::kAccepted,
                                .retry_after = {},
                                .error = {},
                                .message = message});
      continue;
    }
    observe::LogSeldom(Concern::kSpool, Level::kWarning, "spool full: message rejected");
    events_.emplace_back(dispatch_policy::MessageCancelled{message});
    Erase(message);
    arrival.answer.set_value(SubmitResult::Rejected(dispatch_policy::kRetryAfterWhenFull));
  }
  arrivals_.clear();
}

// ======== what comes in ========

// The fault of an request that the settings do not know, or nothing. For any thread: the settings
// stay as they are.
std::string Engine::Reject(const DeliveryRequest& request, std::size_t& the_class,
                           std::size_t& tenant) const {
  the_class = PlaceOf(config_.class_names, request.class_name);
  if (the_class == config_.class_names.size()) return "unknown class";
  tenant = request.tenant_name.empty() ? 0 : PlaceOf(config_.tenant_names, request.tenant_name);
  if (tenant > 0 && tenant == config_.tenant_names.size()) return "unknown tenant";
  const bool keyed = config_.policy_settings.classes[the_class].effect ==
                     dispatch_policy::Effect::kIdempotentWithKey;
  if (keyed && request.key.empty()) return "no key";
  return "";
}

// Some endpoint of the destination is listed, or was lately. What no list names is not taken on,
// but a list may be late.
bool Engine::IsListed(dispatch_policy::DestinationId destination) const {
  const std::shared_lock lock(listed_mutex_);
  return listed_.count(destination) != 0;
}

void Engine::NoteListed() {
  std::unordered_set<dispatch_policy::DestinationId> listed;
  for (const auto& [number, hop] : hops_) listed.insert(hop.entry.destination);
  const std::unique_lock lock(listed_mutex_);
  listed_.swap(listed);
}

bool Engine::HasRoomFor(const DeliveryRequest& request) const {
  const std::size_t most = config_.policy_settings.max_in_flight;
  const auto bytes =
      static_cast<std::size_t>(static_cast<double>(config_.limits.memory_bytes) * kBodyShare);
  return (most == 0 || owed_ < most) && body_bytes_ + request.body.size() <= bytes;
}

void Engine::On(Arrival arrival) {
  const DeliveryRequest& request = arrival.request;
  stages_.put.Add(Now() - arrival.handed_in);
  if (numbers_.count(request.id) != 0) {
    return Refused(arrival, SubmitResult::Invalid("the id is taken"));
  }
  dispatch_policy::MessageArrived e;
  e.message_class = arrival.the_class;
  e.tenant = arrival.tenant;
  if (!HasRoomFor(request)) {
    return Refused(arrival, SubmitResult::Rejected(dispatch_policy::kRetryAfterWhenFull));
  }
  e.message = next_message_++;
  e.destination = request.destination;
  if (call_observer_ != nullptr) call_observer_->OnMessageArrived(e.destination);
  // Guards against a time that no client may ask for, and a message that is held for a day.
  e.time_left = arrival.request.time_left = std::min<milliseconds>(
      request.time_left, InMs(config_.policy_settings.classes[e.message_class].deadline));
  ++owed_;
  body_bytes_ += request.body.size();
  numbers_[request.id] = e.message;
  held_[e.message] = {.id = request.id, .key = request.key, .body = request.body};
  arrivals_.emplace(e.message, std::move(arrival));
  events_.emplace_back(std::move(e));
}

void Engine::Refused(Arrival& arrival, SubmitResult answer) {
  stages_.answer.Add(Now() - arrival.handed_in);
  arrival.answer.set_value(std::move(answer));
}

void Engine::On(const HeardNow& e) {
  const auto it = held_.find(e.message);
  if (it == held_.end()) return;
  it->second.heard = true;
  lives_.Note(e.message, Now(), Step::kHeard);
}

void Engine::On(const LostNow& e) {
  if (held_.count(e.message) == 0) return;
  events_.emplace_back(dispatch_policy::MessageCancelled{e.message});
  End(e.message, Step::kWithdrawn);
}

void Engine::On(const NoticeHeard& e) {
  const auto it = held_.find(e.message);
  if (it == held_.end()) return;
  stages_.notice.Add(Now() - it->second.given_up);
  End(e.message, Step::kNoticed);
}

// The end of a taken message: the spool's record, and the last line of its life.
void Engine::End(MessageId message, Step step) {
  spool_.Finish(message);
  if (observe::Logs(Concern::kEngine, Level::kDebug)) {
    observe::Log(Concern::kEngine, Level::kDebug, "message ended",
                 {{"id", held_.at(message).id},
                  {"reason", NameOf(step)},
                  {"history", lives_.HistoryOf(message)}});
  }
  lives_.Note(message, Now(), step);
  Erase(message);
}

void Engine::On(const LeaveNow&) {
  if (std::exchange(leaving_, true)) return;
  observe::Log(Concern::kEngine, Level::kInfo, "shutdown requested", {{"in_flight", held_.size()}});
  deadlines_.Set(Now() + kStayAtLeast, {Due::kMayShutDown});
  deadlines_.Set(Now() + kStayAtMost, {Due::kMustShutDown});
  on_drain_();
}

void Engine::On(const ThenNow& e) { e.what(); }

void Engine::On(EndpointUpdate e) {
  const auto it = hop_numbers_.find(e.endpoint);
  if (it == hop_numbers_.end()) return;
  const auto tell = [&](auto& event) {
    event.endpoint = it->second;
    events_.emplace_back(event);
  };
  std::visit(tell, e.event);
}

CallTarget Engine::TargetOf(const Hop& hop) const {
  const auto& kinds = config_.policy_settings.kinds;
  return {hop.name, hop.entry.destination,
          hop.entry.kind < kinds.size() && kinds[hop.entry.kind].per_endpoint_limits};
}

std::function<bool()> Engine::PermitOf(const Hop& hop) const {
  if (call_observer_ == nullptr) return nullptr;
  return
      [observer = call_observer_, target = TargetOf(hop)] { return observer->AllowsCall(target); };
}

void Engine::On(const MoveNow& e) {
  watch_.SetAddress(e.discovery);
  notices_.SetAddress(e.discovery);
}

void Engine::On(const Deadline& e) {
  switch (e.due) {
    case Due::kPolicyTimer:
      events_.emplace_back(dispatch_policy::TimerFired{e.number});
      return;
    case Due::kCallTimeout: {
      const auto it = out_.find(e.number);
      if (it == out_.end()) return;
      // Of a shared call the brief messages are to blame, and not the endpoint for its silence.
      const bool shared = it->second.parts.size() > 1;
      it->second.delivery->Abort(shared ? EndpointCall::StopReason::kCancelled
                                        : EndpointCall::StopReason::kTimedOut);
      return;
    }
    case Due::kCloseIdle:
      retire_at_ = Time::max();
      endpoint_client_.CloseExpiredIdle();
      RetireInTime();
      return;
    case Due::kEverySecond:
      endpoint_client_.CloseExpiredIdle();
      ForgetHops(Now());
      stages_.Tell(Level::kDebug, held_.size(), out_.size());
      deadlines_.Set(Now() + kHousekeepingEvery, {Due::kEverySecond});
      return;
    case Due::kMayShutDown:
      may_leave_ = true;
      return;
    case Due::kMustShutDown:
      left_ = true;
      return;
  }
}

void Engine::RetireInTime() {
  const Time next = endpoint_client_.NextIdleExpiry().time_since_epoch();
  if (next >= retire_at_) return;
  retire_at_ = next;
  deadlines_.Set(next, {Due::kCloseIdle});
}

dispatch_policy::EndpointId Engine::HopNumber(const std::string& name) {
  const auto [it, added] = hop_numbers_.try_emplace(name, next_hop_);
  if (added) ++next_hop_;
  return it->second;
}

// What was removed for as long as any message may live is forgotten, once no call to it is out.
// Until then its destination is known, though it may have no other endpoint for the moment.
void Engine::ForgetHops(Time now) {
  std::set<dispatch_policy::EndpointId> called;
  for (const auto& [number, out] : out_) called.insert(out.hop);
  const auto forgotten = std::erase_if(hops_, [&](const auto& entry) {
    const auto& [number, hop] = entry;
    const bool gone = hop.entry.state == dispatch_policy::EndpointState::kRemoved &&
                      now - hop.gone_since > longest_deadline_ && called.count(number) == 0;
    if (!gone) return false;
    hop_numbers_.erase(hop.name);
    endpoint_client_.RemoveEndpoint(
        number);  // a call that was out at its removal has come back since
    return true;
  });
  if (forgotten > 0) NoteListed();
}

dispatch_policy::EndpointList Engine::TakeList(const MemberList& list) {
  dispatch_policy::EndpointList e;
  e.version = revision_ = list.revision;
  e.form =
      list.complete ? dispatch_policy::ListForm::kComplete : dispatch_policy::ListForm::kChanges;
  if (list.complete) {
    for (auto& [number, hop] : hops_) hop.entry.state = dispatch_policy::EndpointState::kRemoved;
  }
  const Time now = Now();
  for (const Member& member : list.members) {
    const dispatch_policy::EndpointId number = HopNumber(member.id);
    if (hops_.count(number) == 0) LogListed(member, number);
    Hop& hop = hops_[number];
    hop.name = member.id;
    hop.address = member.address;
    hop.entry = {.endpoint = number,
                 .destination = member.destination,
                 .kind = PlaceOf(config_.kind_names, member.kind),
                 .zone = PlaceOf(config_.zone_names, member.zone),
                 .state = StateOf(member.phase),
                 .weight = member.weight};
    e.entries.push_back(hop.entry);
  }
  for (auto& [number, hop] : hops_) {
    if (hop.entry.state != dispatch_policy::EndpointState::kRemoved) {
      hop.gone_since = {};
    } else if (hop.gone_since == Time{}) {
      hop.gone_since = now;
    }
  }
  NoteListed();
  return e;
}

void Engine::On(const MemberList& list) {
  if (list.revision < revision_) return;
  events_.emplace_back(TakeList(list));
  Recall([this](const Out& out) {
    return hops_.at(out.hop).entry.state != dispatch_policy::EndpointState::kListed;
  });
  for (const auto& [number, hop] : hops_) {
    if (hop.entry.state != dispatch_policy::EndpointState::kListed)
      endpoint_client_.RemoveEndpoint(number);
  }
}

// ======== what the module asks for ========

void Engine::Do(const dispatch_policy::RejectMessage& e) {
  if (const auto it = arrivals_.find(e.message); it != arrivals_.end()) {
    Refused(it->second, SubmitResult::Rejected(e.retry_after));
    arrivals_.erase(it);
    return Erase(e.message);
  }
  GiveUp(e.message, {.retry_allowed = true, .retry_after = InMs(e.retry_after)});
}

void Engine::Do(const dispatch_policy::FailMessage& e) {
  if (const auto it = arrivals_.find(e.message); it != arrivals_.end()) {
    Refused(it->second, SubmitResult::Invalid("cannot be delivered"));
    arrivals_.erase(it);
    return Erase(e.message);
  }
  GiveUp(e.message, {});
}

void Engine::GiveUp(MessageId message, Notification notice) {
  const auto it = held_.find(message);
  if (it == held_.end() || std::exchange(it->second.ending, true)) return;
  --owed_;
  it->second.given_up = Now();
  lives_.Note(message, it->second.given_up, Step::kGivenUp, notice.retry_allowed ? 1 : 0);
  notice.message = message;
  notice.id = it->second.id;
  given_up_.push_back(std::move(notice));
}

void Engine::Erase(MessageId message) {
  const auto it = held_.find(message);
  if (it == held_.end()) return;
  if (!it->second.ending) --owed_;
  body_bytes_ -= it->second.body.size();
  numbers_.erase(it->second.id);
  held_.erase(it);
}

void Engine::Do(const dispatch_policy::SetTimer& e) {
  deadlines_.Set(e.at, {Due::kPolicyTimer, e.token});
}

void Engine::Do(const dispatch_policy::LogMessage& e) {
  observe::Log(Concern::kPolicy, Level::kInfo, "policy: " + e.text);
}

void Engine::Do(const dispatch_policy::StartHealthCheck& e) {
  Out& out = out_[next_out_];
  out.hop = e.endpoint;
  out.asked = last_turn_;
  out.start_by = out.ends = last_turn_ + config_.connect_timeout;
  ready_.push_back(next_out_++);
}

// Sends of one turn to one next hop share a call, as far as its kind and the size allow.
void Engine::Do(const dispatch_policy::SendAttempt& e) {
  const Hop& hop = hops_.at(e.endpoint);
  OutPart part{.message = e.message};
  std::size_t bytes = 0;
  if (const auto held = held_.find(e.message); held != held_.end()) {
    part.id = held->second.id;
    part.attempt = held->second.attempts_told++;
    bytes = BundleItem({part.id, held->second.key, held->second.body}).size() + 2;
  }
  const auto& kinds = config_.policy_settings.kinds;
  const std::size_t most = hop.entry.kind < kinds.size() ? kinds[hop.entry.kind].max_batch : 1;
  const Time ends = last_turn_ + e.timeout;
  if (const auto open = bundle_.find(e.endpoint); open != bundle_.end()) {
    Out& out = out_.at(open->second);
    if (out.parts.size() < most && out.bytes + bytes <= kMaxBodyBytes) {
      out.parts.push_back(std::move(part));
      out.bytes += bytes;
      out.start_by = std::min(out.start_by, e.start_by);
      out.ends = std::min(out.ends, ends);
      return;
    }
  }
  const std::uint64_t number = next_out_++;
  Out& out = out_[number];
  out.hop = e.endpoint;
  out.parts.push_back(std::move(part));
  out.bytes = bytes;
  out.asked = last_turn_;
  out.start_by = e.start_by;
  out.ends = ends;
  ready_.push_back(number);
  bundle_[e.endpoint] = number;
}

void Engine::Do(const dispatch_policy::CancelAttempt& e) {
  for (auto& [number, out] : out_) {
    for (OutPart& part : out.parts) {
      if (part.message != e.message || part.attempt != e.attempt) continue;
      part.cancelled = true;
      // A call is one for all in it: it ends when nobody waits for it any longer, or with the first
      // of them that is given up. Guards against an answer that comes after that: the partner holds
      // the call's time for up and counts nothing in it as delivered, and we would.
      const auto held = held_.find(part.message);
      const bool over = held == held_.end() || held->second.ending;
      const bool all = std::all_of(out.parts.begin(), out.parts.end(),
                                   [](const OutPart& p) { return p.cancelled; });
      if (!over && !all) return;
      out.recalled = true;
      if (out.delivery) out.delivery->Abort(EndpointCall::StopReason::kCancelled);
      return;
    }
  }
}

// ======== deliveries ========

// Starts what may be started: its clients know that it was taken on, and a slot is free.
void Engine::StartReady(Time now) {
  std::deque<std::uint64_t> later;
  for (const std::uint64_t number : std::exchange(ready_, {})) {
    Out& out = out_.at(number);
    const bool probe = out.parts.empty();
    std::erase_if(out.parts, [&](const OutPart& part) {
      const auto held = held_.find(part.message);
      const bool owed = held != held_.end() && !held->second.ending;
      if (!owed) Settle(out, part, {.outcome = dispatch_policy::Outcome::kNotSent}, now);
      return !owed;
    });
    const bool heard = std::all_of(out.parts.begin(), out.parts.end(), [&](const OutPart& part) {
      return held_.at(part.message).heard;
    });
    if (out.recalled || now > out.start_by || (out.parts.empty() && !probe)) {
      SettleUnsent(out, now);
      out_.erase(number);
    } else if (!heard || (!probe && slots_taken_ >= SlotsOf(config_))) {
      later.push_back(number);
    } else if (!Start(number, out, now)) {
      SettleUnsent(out, now);
      out_.erase(number);
    }
  }
  ready_.insert(ready_.begin(), later.begin(), later.end());
}

// Notes the attempts and hands the call to a thread; false if they could not be noted.
bool Engine::Start(std::uint64_t number, Out& out, Time now) {
  const Hop& hop = hops_.at(out.hop);
  std::vector<Part> parts;
  for (OutPart& part : out.parts) {
    Held& held = held_.at(part.message);
    if (!spool_.BeginAttempt(part.message, hop.name, UnixNow())) return false;
    part.noted = held.attempts++;
    lives_.Note(part.message, now, Step::kStarted, static_cast<std::uint32_t>(out.hop));
    parts.push_back({held.id, held.key, held.body});
  }
  if (parts.size() > 1) out.ends -= kSharedEndsEarly;
  const milliseconds left = std::max(InMs(out.ends - now), milliseconds(0));
  std::string request = parts.empty()       ? HttpGet("/-/healthy", hop.address)
                        : parts.size() == 1 ? SingleCall(hop.address, parts[0], left)
                                            : BundleCall(hop.address, parts, left);
  out.started = now;
  stages_.start.Add(now - out.asked);
  out.delivery = std::make_shared<EndpointCall>(number, out.hop, hop.address, std::move(request),
                                                Point(out.start_by), PermitOf(hop));
  deadlines_.Set(out.ends, {Due::kCallTimeout, number});
  if (!parts.empty()) ++slots_taken_;
  endpoint_client_.Start(out.delivery);
  return true;
}

void Engine::On(const EndpointCallResult& e) {
  const auto it = out_.find(e.call_id);
  if (it == out_.end()) return;
  RetireInTime();
  const Out out = std::move(it->second);
  out_.erase(it);
  const Time now = Now();
  const Duration wait = WaitOf(e);
  const dispatch_policy::LoadReport report = ReportOf(e);
  LogCallEnd(e, out.hop, out.parts.size(), duration_cast<milliseconds>(now - out.started));
  if (call_observer_ != nullptr) {
    const bool probe = out.parts.empty();
    call_observer_->OnCallCompleted({TargetOf(hops_.at(out.hop)),
                                     probe ? OutcomeOfProbe(e) : EndOfSingle(e).outcome, probe,
                                     Point(out.started), WaitOf(e), report});
  }
  if (out.parts.empty()) {
    events_.emplace_back(dispatch_policy::HealthCheckCompleted{out.hop, OutcomeOfProbe(e),
                                                               now - out.started, report});
  } else {
    --slots_taken_;
    std::vector<std::string> ids;
    for (const OutPart& part : out.parts) ids.push_back(part.id);
    const std::vector<AttemptEnd> ends =
        ids.size() == 1 ? std::vector<AttemptEnd>{EndOfSingle(e)} : EndsOfBundle(e, ids);
    for (std::size_t i = 0; i < ends.size(); ++i) {
      Settle(out, out.parts[i], ends[i], now, wait, report);
    }
  }
  if (wait <= Duration{}) return;
  // Told to wait: what is not being written yet is not sent to that destination.
  const CallTarget told = TargetOf(hops_.at(out.hop));
  Recall([&](const Out& other) {
    return told.has_own_rate_limit ? other.hop == out.hop
                                   : hops_.at(other.hop).entry.destination == told.destination;
  });
}

template <typename Bound>
void Engine::Recall(Bound bound) {
  for (auto& [number, out] : out_) {
    if (!bound(out)) continue;
    out.recalled = true;
    if (out.delivery) out.delivery->WithdrawBeforeSend();
  }
}

void Engine::SettleUnsent(const Out& out, Time now) {
  for (const OutPart& part : out.parts) {
    Settle(out, part, {.outcome = dispatch_policy::Outcome::kNotSent}, now);
  }
}

void Engine::Settle(const Out& out, const OutPart& part, const AttemptEnd& end, Time now,
                    Duration wait, const dispatch_policy::LoadReport& report) {
  if (NeverRan(end.outcome) && out.delivery) spool_.MarkNotRun(part.message, part.noted);
  if (out.delivery) {
    lives_.Note(part.message, now, Step::kSettled, static_cast<std::uint32_t>(end.outcome));
  }
  if (end.over && held_.count(part.message) != 0) {
    const bool delivered = end.outcome == dispatch_policy::Outcome::kDelivered;
    End(part.message, delivered ? Step::kDelivered : Step::kGone);
  }
  dispatch_policy::AttemptCompleted e;
  e.message = part.message;
  e.attempt = part.attempt;
  e.endpoint = out.hop;
  e.outcome = end.outcome;
  e.elapsed = out.delivery ? now - out.started : Duration{};
  e.finished = end.over || held_.count(part.message) == 0;
  e.exhausted = end.exhausted;
  e.retry_after = wait;
  e.report = report;
  events_.emplace_back(std::move(e));
}

}  // namespace brassfront
