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
constexpr std::size_t kDefaultConcurrentCalls = 32;
constexpr std::size_t kMaxHealthChecks = 16;  // probes take no slot
constexpr double kMaxBodyMemoryShare = 0.25;  // of the memory, for the bodies of all held messages
constexpr milliseconds kHousekeepingInterval{1000};
// A call that several messages share is over so long before the first of their times. Guards
// against an answer between that time as the client and the partner count it, from the sending of
// the message, and ours, which began with its coming and waits for our next turn.
constexpr milliseconds kBatchTimeoutMargin{50};
// No notice is overdue until 1.5 s after a restarted forwarder is ready.
constexpr milliseconds kMinTimeAfterRestore{1500};
// New connections may come for 0.4 s after SIGTERM, and SIGKILL 3.7 s after it.
constexpr milliseconds kMinShutdownTime{700};
constexpr milliseconds kMaxShutdownTime{3200};

dispatch_policy::Time Now() { return steady_clock::now().time_since_epoch(); }

steady_clock::time_point ToTimePoint(dispatch_policy::Time time) {
  return steady_clock::time_point(duration_cast<steady_clock::duration>(time));
}

UnixMs UnixNow() {
  return duration_cast<UnixMs>(std::chrono::system_clock::now().time_since_epoch());
}

milliseconds CeilToMs(dispatch_policy::Duration time) {
  return std::chrono::ceil<milliseconds>(time);
}

std::size_t MaxConcurrentCalls(const Config& config) {
  return config.policy_settings.max_concurrent_calls > 0
             ? config.policy_settings.max_concurrent_calls
             : kDefaultConcurrentCalls;
}

std::size_t MaxCallThreads(const Config& config) {
  return MaxConcurrentCalls(config) + kMaxHealthChecks;
}

// A sixteenth of the descriptors, or more where more calls are out at once.
std::size_t MaxIdleConnections(const Config& config) {
  return std::max(MaxConcurrentCalls(config), config.limits.sockets / 16);
}

// The place of the name in the list; its size if it is not there.
std::size_t IndexOf(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

}  // namespace

std::size_t Engine::MaxEndpointConnections(const Config& config) {
  return MaxCallThreads(config) + MaxIdleConnections(config);
}

Engine::Engine(const Config& config, Spool& spool, BufferPool& buffers,
               DiscoveryWatcher::OnEndpointList divert)
    : config_(config),
      spool_(spool),
      inbox_(kInboxCapacity),
      policy_(config.policy_settings, config.seed),
      next_message_(spool.next_number()),
      endpoint_client_({.threads = MaxCallThreads(config),
                        .max_idle_connections = MaxIdleConnections(config),
                        .group_size = config.policy_settings.group_size,
                        .connection_idle = config.connection_idle,
                        .connect_timeout = duration_cast<milliseconds>(config.connect_timeout)},
                       buffers, [this](EndpointCallResult end) { inbox_.Push(std::move(end)); }),
      notification_client_(
          config.discovery, buffers,
          [this](MessageId message) { inbox_.Push(NotificationConfirmed{message}); }),
      discovery_watcher_(
          config.discovery, config.known.revision,
          {.size = config.policy_settings.group_size, .seed = config.seed}, buffers,
          divert ? std::move(divert) : [this](MemberList list) { SetEndpoints(std::move(list)); }) {
  for (const dispatch_policy::ClassSettings& c : config.policy_settings.classes) {
    longest_deadline_ = std::max(longest_deadline_, c.deadline);
  }
  deadlines_.Set(Now() + kHousekeepingInterval, {DeadlineKind::kHousekeeping});
}

Engine::~Engine() { Close(); }

// Guards against threads that wait for the engine for good, and are waited for at its end.
void Engine::Close() {
  inbox_.Close();
  while (inbox_.Pop()) {
  }
  submissions_.clear();
}

// ======== for other threads ========

// What the settings alone can turn away is turned away here, on the client's thread. Guards against
// a flood of bad envelopes that the engine would have to look at, one by one.
SubmitResult Engine::Submit(DeliveryRequest request) {
  PendingSubmission submission;
  std::string fault = Reject(request, submission.message_class, submission.tenant);
  if (!fault.empty()) return SubmitResult::Invalid(std::move(fault));
  if (!KnowsDestination(request.destination)) {
    SubmitResult unlisted = SubmitResult::Rejected(dispatch_policy::kRetryAfterWhenFull);
    unlisted.unknown_destination = true;
    return unlisted;
  }
  submission.request = std::move(request);
  submission.submitted_at = Now();
  std::future<SubmitResult> reply = submission.reply.get_future();
  if (!inbox_.Push(std::move(submission))) return {};
  try {
    return reply.get();
  } catch (const std::future_error&) {  // the engine has left
    return {};
  }
}

void Engine::OnAcknowledged(std::uint64_t message) { inbox_.Push(MessageAcknowledged{message}); }
void Engine::OnClientDisconnected(std::uint64_t message) {
  inbox_.Push(ClientDisconnected{message});
}
void Engine::BeginGracefulShutdown() { inbox_.Push(ShutdownRequested{}); }
void Engine::Post(std::function<void()> what) { inbox_.Push(PostedTask{std::move(what)}); }
void Engine::SetDiscoveryAddress(std::string discovery) {
  inbox_.Push(DiscoveryAddressChanged{std::move(discovery)});
}

// ======== turns ========

void Engine::Restore(const MemberList& known) {
  const Time now = Now();
  const UnixMs unix_now = UnixNow();
  events_.emplace_back(ApplyList(known));
  for (RecoveredMessage& recovered : spool_.Recover()) {
    dispatch_policy::MessageRestored event;
    event.message = recovered.number;
    event.destination = recovered.message.destination;
    event.message_class = IndexOf(config_.class_names, recovered.message.class_name);
    event.time_left = recovered.message.deadline - unix_now;
    event.attempts_used = recovered.attempts.size();
    for (const SpooledAttempt& attempt : recovered.attempts) {
      if (attempt.known_not_run || event.may_have_run) continue;
      event.may_have_run = now - (unix_now - attempt.started_at);
      event.ran_on_endpoint = FindOrAddEndpoint(attempt.endpoint);
    }
    body_bytes_ += recovered.message.body.size();
    ++deliverable_;
    ids_by_client_id_[recovered.message.id] = recovered.number;
    messages_[recovered.number] = {.id = recovered.message.id,
                                   .key = recovered.message.key,
                                   .body = std::move(recovered.message.body),
                                   .acknowledged = true,
                                   .attempts = recovered.attempts.size()};
    // A notice is not overdue until a while after the restart.
    trace_.Begin(recovered.number, now,
                 now + std::max<Duration>(event.time_left, kMinTimeAfterRestore),
                 TraceStep::kRestored, static_cast<std::uint32_t>(recovered.attempts.size()));
    events_.emplace_back(std::move(event));
  }
  observe::Log(Concern::kEngine, Level::kInfo, "restored", {{"messages", deliverable_}});
  Decide(now);
}

void Engine::Run(std::function<void()> on_drain) {
  on_drain_ = std::move(on_drain);
  // What Restore decided. Guards against waiting for the first thing to happen, while its time
  // runs.
  StartReadyCalls(Now());
  while (!exited_) {
    DrainUntil(
        inbox_, [this] { return ToTimePoint(NextWakeUp()); }, steady_clock::now,
        [this](InboxEvent item) {
          std::visit([this](auto& event) { On(std::move(event)); }, item);
        });
    const Time now = Now();
    while (const auto due = deadlines_.PopDue(now)) On(*due);
    if (!events_.empty() && now >= last_decision_ + config_.policy_settings.decision_interval) {
      Decide(now);
    }
    StartReadyCalls(now);
    messages_in_flight_ = messages_.size();
    if (now >= trace_.NextOverdue()) LogOverdue(now);
    if (shutting_down_ && may_exit_ && messages_.empty()) exited_ = true;
  }
  latencies_.LogAndReset(Level::kInfo, messages_.size(), calls_.size());
  observe::Log(Concern::kEngine, Level::kInfo, "shutdown complete",
               {{"in_flight", messages_.size()}, {"overdue", trace_.overdue()}});
}

Engine::Time Engine::NextWakeUp() const {
  const Time next = std::min(deadlines_.Next(), trace_.NextOverdue());
  return events_.empty()
             ? next
             : std::min(next, last_decision_ + config_.policy_settings.decision_interval);
}

void Engine::LogOverdue(Time now) {
  for (const MessageTrace::Overdue& late : trace_.TakeOverdue(now)) {
    const auto held = messages_.find(late.message);
    observe::Log(Concern::kEngine, Level::kError, "message overdue",
                 {{"id", held == messages_.end() ? "" : held->second.id},
                  {"state", ToString(late.state)},
                  {"history", late.history},
                  {"overdue", trace_.overdue()}});
  }
}

void Engine::Decide(Time now) {
  last_decision_ = now;
  std::vector<dispatch_policy::Event> events;
  events.swap(events_);
  const std::vector<dispatch_policy::Action> actions = policy_.Decide(now, events);
  // What is turned away is so before anything is kept.
  for (const dispatch_policy::Action& action : actions) {
    if (const auto* reject = std::get_if<dispatch_policy::RejectMessage>(&action)) Apply(*reject);
    if (const auto* fail = std::get_if<dispatch_policy::FailMessage>(&action)) Apply(*fail);
  }
  PersistAccepted();
  for (const dispatch_policy::Action& action : actions) {
    const bool done = std::holds_alternative<dispatch_policy::RejectMessage>(action) ||
                      std::holds_alternative<dispatch_policy::FailMessage>(action);
    if (!done) std::visit([this](const auto& event) { Apply(event); }, action);
  }
  open_batches_.clear();
  // Last: the calls of what was given up are ended by now.
  for (Notification& notice : std::exchange(notifications_, {}))
    notification_client_.Post(std::move(notice));
  latencies_.decide.Add(Now() - now);
}

// Arrivals that were not refused are kept by the spool, and only then are their clients told.
void Engine::PersistAccepted() {
  for (auto& [message, submission] : submissions_) {
    DeliveryRequest& request = submission.request;
    const SpooledMessage record{request.id,
                                request.key,
                                request.class_name,
                                request.tenant_name,
                                request.destination,
                                UnixNow() + request.time_left,
                                std::move(request.body)};
    const Time now = Now();
    latencies_.accept.Add(now - submission.submitted_at);
    if (spool_.Accept(message, record)) {
      trace_.Begin(message, submission.submitted_at, now + request.time_left, TraceStep::kAccepted);
      submission.reply.set_value({.status = SubmitResult::Status::kAccepted,
                                  .retry_after = {},
                                  .error = {},
                                  .message = message});
      continue;
    }
    observe::LogSeldom(Concern::kSpool, Level::kWarning, "spool full: message rejected");
    events_.emplace_back(dispatch_policy::MessageCancelled{message});
    Erase(message);
    submission.reply.set_value(SubmitResult::Rejected(dispatch_policy::kRetryAfterWhenFull));
  }
  submissions_.clear();
}

// ======== what comes in ========

// The fault of an request that the settings do not know, or nothing. For any thread: the settings
// stay as they are.
std::string Engine::Reject(const DeliveryRequest& request, std::size_t& message_class,
                           std::size_t& tenant) const {
  message_class = IndexOf(config_.class_names, request.class_name);
  if (message_class == config_.class_names.size()) return "unknown class";
  tenant = request.tenant_name.empty() ? 0 : IndexOf(config_.tenant_names, request.tenant_name);
  if (tenant > 0 && tenant == config_.tenant_names.size()) return "unknown tenant";
  const bool keyed = config_.policy_settings.classes[message_class].effect ==
                     dispatch_policy::Effect::kIdempotentWithKey;
  if (keyed && request.key.empty()) return "no key";
  return "";
}

// Some endpoint of the destination is listed, or was lately. What no list names is not taken on,
// but a list may be late.
bool Engine::KnowsDestination(dispatch_policy::DestinationId destination) const {
  const std::shared_lock lock(known_destinations_mutex_);
  return known_destinations_.count(destination) != 0;
}

void Engine::PublishKnownDestinations() {
  std::unordered_set<dispatch_policy::DestinationId> listed;
  for (const auto& [number, endpoint] : endpoints_) listed.insert(endpoint.entry.destination);
  const std::unique_lock lock(known_destinations_mutex_);
  known_destinations_.swap(listed);
}

bool Engine::HasCapacityFor(const DeliveryRequest& request) const {
  const std::size_t limit = config_.policy_settings.max_in_flight;
  const auto bytes = static_cast<std::size_t>(static_cast<double>(config_.limits.memory_bytes) *
                                              kMaxBodyMemoryShare);
  return (limit == 0 || deliverable_ < limit) && body_bytes_ + request.body.size() <= bytes;
}

void Engine::On(PendingSubmission submission) {
  const DeliveryRequest& request = submission.request;
  latencies_.submit.Add(Now() - submission.submitted_at);
  if (ids_by_client_id_.count(request.id) != 0) {
    return Reply(submission, SubmitResult::Invalid("the id is taken"));
  }
  dispatch_policy::MessageArrived event;
  event.message_class = submission.message_class;
  event.tenant = submission.tenant;
  if (!HasCapacityFor(request)) {
    return Reply(submission, SubmitResult::Rejected(dispatch_policy::kRetryAfterWhenFull));
  }
  event.message = next_message_++;
  event.destination = request.destination;
  if (call_observer_ != nullptr) call_observer_->OnMessageArrived(event.destination);
  // Guards against a time that no client may ask for, and a message that is held for a day.
  event.time_left = submission.request.time_left = std::min<milliseconds>(
      request.time_left, CeilToMs(config_.policy_settings.classes[event.message_class].deadline));
  ++deliverable_;
  body_bytes_ += request.body.size();
  ids_by_client_id_[request.id] = event.message;
  messages_[event.message] = {.id = request.id, .key = request.key, .body = request.body};
  submissions_.emplace(event.message, std::move(submission));
  events_.emplace_back(std::move(event));
}

void Engine::Reply(PendingSubmission& submission, SubmitResult reply) {
  latencies_.accept.Add(Now() - submission.submitted_at);
  submission.reply.set_value(std::move(reply));
}

void Engine::On(const MessageAcknowledged& event) {
  const auto it = messages_.find(event.message);
  if (it == messages_.end()) return;
  it->second.acknowledged = true;
  trace_.Note(event.message, Now(), TraceStep::kAcknowledged);
}

void Engine::On(const ClientDisconnected& event) {
  if (messages_.count(event.message) == 0) return;
  events_.emplace_back(dispatch_policy::MessageCancelled{event.message});
  End(event.message, TraceStep::kCancelled);
}

void Engine::On(const NotificationConfirmed& event) {
  const auto it = messages_.find(event.message);
  if (it == messages_.end()) return;
  latencies_.notify.Add(Now() - it->second.given_up_at);
  End(event.message, TraceStep::kNotified);
}

// The end of a taken message: the spool's record, and the last line of its life.
void Engine::End(MessageId message, TraceStep step) {
  spool_.Finish(message);
  if (observe::Logs(Concern::kEngine, Level::kDebug)) {
    observe::Log(Concern::kEngine, Level::kDebug, "message ended",
                 {{"id", messages_.at(message).id},
                  {"reason", ToString(step)},
                  {"history", trace_.History(message)}});
  }
  trace_.Note(message, Now(), step);
  Erase(message);
}

void Engine::On(const ShutdownRequested&) {
  if (std::exchange(shutting_down_, true)) return;
  observe::Log(Concern::kEngine, Level::kInfo, "shutdown requested",
               {{"in_flight", messages_.size()}});
  deadlines_.Set(Now() + kMinShutdownTime, {DeadlineKind::kEarliestExit});
  deadlines_.Set(Now() + kMaxShutdownTime, {DeadlineKind::kLatestExit});
  on_drain_();
}

void Engine::On(const PostedTask& event) { event.what(); }

void Engine::On(EndpointUpdate event) {
  const auto it = endpoint_ids_.find(event.endpoint);
  if (it == endpoint_ids_.end()) return;
  const auto add = [&](auto& policy_event) {
    policy_event.endpoint = it->second;
    events_.emplace_back(policy_event);
  };
  std::visit(add, event.event);
}

CallTarget Engine::Target(const Endpoint& endpoint) const {
  const auto& kinds = config_.policy_settings.kinds;
  return {endpoint.name, endpoint.entry.destination,
          endpoint.entry.kind < kinds.size() && kinds[endpoint.entry.kind].per_endpoint_limits};
}

std::function<bool()> Engine::CallPermit(const Endpoint& endpoint) const {
  if (call_observer_ == nullptr) return nullptr;
  return [observer = call_observer_, target = Target(endpoint)] {
    return observer->AllowsCall(target);
  };
}

void Engine::On(const DiscoveryAddressChanged& event) {
  discovery_watcher_.SetAddress(event.discovery);
  notification_client_.SetAddress(event.discovery);
}

void Engine::On(const Deadline& event) {
  switch (event.kind) {
    case DeadlineKind::kPolicyTimer:
      events_.emplace_back(dispatch_policy::TimerFired{event.id});
      return;
    case DeadlineKind::kCallTimeout: {
      const auto it = calls_.find(event.id);
      if (it == calls_.end()) return;
      // Of a shared call the brief messages are to blame, and not the endpoint for its silence.
      const bool shared = it->second.attempts.size() > 1;
      it->second.endpoint_call->Abort(shared ? EndpointCall::StopReason::kCancelled
                                             : EndpointCall::StopReason::kTimedOut);
      return;
    }
    case DeadlineKind::kIdleConnectionExpiry:
      idle_expiry_at_ = Time::max();
      endpoint_client_.CloseExpiredIdle();
      ScheduleIdleExpiry();
      return;
    case DeadlineKind::kHousekeeping:
      endpoint_client_.CloseExpiredIdle();
      ForgetRemovedEndpoints(Now());
      latencies_.LogAndReset(Level::kDebug, messages_.size(), calls_.size());
      deadlines_.Set(Now() + kHousekeepingInterval, {DeadlineKind::kHousekeeping});
      return;
    case DeadlineKind::kEarliestExit:
      may_exit_ = true;
      return;
    case DeadlineKind::kLatestExit:
      exited_ = true;
      return;
  }
}

void Engine::ScheduleIdleExpiry() {
  const Time next = endpoint_client_.NextIdleExpiry().time_since_epoch();
  if (next >= idle_expiry_at_) return;
  idle_expiry_at_ = next;
  deadlines_.Set(next, {DeadlineKind::kIdleConnectionExpiry});
}

dispatch_policy::EndpointId Engine::FindOrAddEndpoint(const std::string& name) {
  const auto [it, added] = endpoint_ids_.try_emplace(name, next_endpoint_);
  if (added) ++next_endpoint_;
  return it->second;
}

// What was removed for as long as any message may live is forgotten, once no call to it is out.
// Until then its destination is known, though it may have no other endpoint for the moment.
void Engine::ForgetRemovedEndpoints(Time now) {
  std::set<dispatch_policy::EndpointId> called;
  for (const auto& [number, call] : calls_) called.insert(call.endpoint);
  const auto forgotten = std::erase_if(endpoints_, [&](const auto& entry) {
    const auto& [number, endpoint] = entry;
    const bool gone = endpoint.entry.state == dispatch_policy::EndpointState::kRemoved &&
                      now - endpoint.gone_since > longest_deadline_ && called.count(number) == 0;
    if (!gone) return false;
    endpoint_ids_.erase(endpoint.name);
    endpoint_client_.RemoveEndpoint(
        number);  // a call that was out at its removal has come back since
    return true;
  });
  if (forgotten > 0) PublishKnownDestinations();
}

dispatch_policy::EndpointList Engine::ApplyList(const MemberList& list) {
  dispatch_policy::EndpointList event;
  event.version = revision_ = list.revision;
  event.form =
      list.complete ? dispatch_policy::ListForm::kComplete : dispatch_policy::ListForm::kChanges;
  if (list.complete) {
    for (auto& [number, endpoint] : endpoints_)
      endpoint.entry.state = dispatch_policy::EndpointState::kRemoved;
  }
  const Time now = Now();
  for (const Member& member : list.members) {
    const dispatch_policy::EndpointId number = FindOrAddEndpoint(member.id);
    if (endpoints_.count(number) == 0) LogEndpointListed(member, number);
    Endpoint& endpoint = endpoints_[number];
    endpoint.name = member.id;
    endpoint.address = member.address;
    endpoint.entry = {.endpoint = number,
                      .destination = member.destination,
                      .kind = IndexOf(config_.kind_names, member.kind),
                      .zone = IndexOf(config_.zone_names, member.zone),
                      .state = ToEndpointState(member.phase),
                      .weight = member.weight};
    event.entries.push_back(endpoint.entry);
  }
  for (auto& [number, endpoint] : endpoints_) {
    if (endpoint.entry.state != dispatch_policy::EndpointState::kRemoved) {
      endpoint.gone_since = {};
    } else if (endpoint.gone_since == Time{}) {
      endpoint.gone_since = now;
    }
  }
  PublishKnownDestinations();
  return event;
}

void Engine::On(const MemberList& list) {
  if (list.revision < revision_) return;
  events_.emplace_back(ApplyList(list));
  WithdrawCalls([this](const PendingCall& call) {
    return endpoints_.at(call.endpoint).entry.state != dispatch_policy::EndpointState::kListed;
  });
  for (const auto& [number, endpoint] : endpoints_) {
    if (endpoint.entry.state != dispatch_policy::EndpointState::kListed)
      endpoint_client_.RemoveEndpoint(number);
  }
}

// ======== what the module asks for ========

void Engine::Apply(const dispatch_policy::RejectMessage& action) {
  if (const auto it = submissions_.find(action.message); it != submissions_.end()) {
    Reply(it->second, SubmitResult::Rejected(action.retry_after));
    submissions_.erase(it);
    return Erase(action.message);
  }
  GiveUp(action.message, {.retry_allowed = true, .retry_after = CeilToMs(action.retry_after)});
}

void Engine::Apply(const dispatch_policy::FailMessage& action) {
  if (const auto it = submissions_.find(action.message); it != submissions_.end()) {
    Reply(it->second, SubmitResult::Invalid("cannot be delivered"));
    submissions_.erase(it);
    return Erase(action.message);
  }
  GiveUp(action.message, {});
}

void Engine::GiveUp(MessageId message, Notification notice) {
  const auto it = messages_.find(message);
  if (it == messages_.end() || std::exchange(it->second.given_up, true)) return;
  --deliverable_;
  it->second.given_up_at = Now();
  trace_.Note(message, it->second.given_up_at, TraceStep::kGivenUp, notice.retry_allowed ? 1 : 0);
  notice.message = message;
  notice.id = it->second.id;
  notifications_.push_back(std::move(notice));
}

void Engine::Erase(MessageId message) {
  const auto it = messages_.find(message);
  if (it == messages_.end()) return;
  if (!it->second.given_up) --deliverable_;
  body_bytes_ -= it->second.body.size();
  ids_by_client_id_.erase(it->second.id);
  messages_.erase(it);
}

void Engine::Apply(const dispatch_policy::SetTimer& action) {
  deadlines_.Set(action.at, {DeadlineKind::kPolicyTimer, action.token});
}

void Engine::Apply(const dispatch_policy::LogMessage& action) {
  observe::Log(Concern::kPolicy, Level::kInfo, "policy: " + action.text);
}

void Engine::Apply(const dispatch_policy::StartHealthCheck& action) {
  PendingCall& call = calls_[next_call_];
  call.endpoint = action.endpoint;
  call.decided_at = last_decision_;
  call.start_by = call.deadline = last_decision_ + config_.connect_timeout;
  ready_calls_.push_back(next_call_++);
}

// Sends of one turn to one next endpoint share a call, as far as its kind and the size allow.
void Engine::Apply(const dispatch_policy::SendAttempt& action) {
  const Endpoint& endpoint = endpoints_.at(action.endpoint);
  PendingAttempt attempt{.message = action.message};
  std::size_t bytes = 0;
  if (const auto held = messages_.find(action.message); held != messages_.end()) {
    attempt.id = held->second.id;
    attempt.attempt = held->second.attempts_decided++;
    bytes = FormatBatchItem({attempt.id, held->second.key, held->second.body}).size() + 2;
  }
  const auto& kinds = config_.policy_settings.kinds;
  const std::size_t limit =
      endpoint.entry.kind < kinds.size() ? kinds[endpoint.entry.kind].max_batch : 1;
  const Time deadline = last_decision_ + action.timeout;
  if (const auto open = open_batches_.find(action.endpoint); open != open_batches_.end()) {
    PendingCall& call = calls_.at(open->second);
    if (call.attempts.size() < limit && call.bytes + bytes <= kMaxBodyBytes) {
      call.attempts.push_back(std::move(attempt));
      call.bytes += bytes;
      call.start_by = std::min(call.start_by, action.start_by);
      call.deadline = std::min(call.deadline, deadline);
      return;
    }
  }
  const std::uint64_t number = next_call_++;
  PendingCall& call = calls_[number];
  call.endpoint = action.endpoint;
  call.attempts.push_back(std::move(attempt));
  call.bytes = bytes;
  call.decided_at = last_decision_;
  call.start_by = action.start_by;
  call.deadline = deadline;
  ready_calls_.push_back(number);
  open_batches_[action.endpoint] = number;
}

void Engine::Apply(const dispatch_policy::CancelAttempt& action) {
  for (auto& [number, call] : calls_) {
    for (PendingAttempt& attempt : call.attempts) {
      if (attempt.message != action.message || attempt.attempt != action.attempt) continue;
      attempt.cancelled = true;
      // A call is one for all in it: it ends when nobody waits for it any longer, or with the first
      // of them that is given up. Guards against an answer that comes after that: the partner holds
      // the call's time for up and counts nothing in it as delivered, and we would.
      const auto held = messages_.find(attempt.message);
      const bool over = held == messages_.end() || held->second.given_up;
      const bool all = std::all_of(call.attempts.begin(), call.attempts.end(),
                                   [](const PendingAttempt& p) { return p.cancelled; });
      if (!over && !all) return;
      call.withdrawn = true;
      if (call.endpoint_call) call.endpoint_call->Abort(EndpointCall::StopReason::kCancelled);
      return;
    }
  }
}

// ======== deliveries ========

// Starts what may be started: its clients know that it was taken on, and a slot is free.
void Engine::StartReadyCalls(Time now) {
  std::deque<std::uint64_t> later;
  for (const std::uint64_t number : std::exchange(ready_calls_, {})) {
    PendingCall& call = calls_.at(number);
    const bool probe = call.attempts.empty();
    std::erase_if(call.attempts, [&](const PendingAttempt& attempt) {
      const auto held = messages_.find(attempt.message);
      const bool deliverable = held != messages_.end() && !held->second.given_up;
      if (!deliverable)
        CompleteAttempt(call, attempt, {.outcome = dispatch_policy::Outcome::kNotSent}, now);
      return !deliverable;
    });
    const bool acknowledged = std::all_of(
        call.attempts.begin(), call.attempts.end(),
        [&](const PendingAttempt& attempt) { return messages_.at(attempt.message).acknowledged; });
    if (call.withdrawn || now > call.start_by || (call.attempts.empty() && !probe)) {
      CompleteUnsent(call, now);
      calls_.erase(number);
    } else if (!acknowledged || (!probe && running_calls_ >= MaxConcurrentCalls(config_))) {
      later.push_back(number);
    } else if (!Start(number, call, now)) {
      CompleteUnsent(call, now);
      calls_.erase(number);
    }
  }
  ready_calls_.insert(ready_calls_.begin(), later.begin(), later.end());
}

// Notes the attempts and hands the call to a thread; false if they could not be recorded.
bool Engine::Start(std::uint64_t number, PendingCall& call, Time now) {
  const Endpoint& endpoint = endpoints_.at(call.endpoint);
  std::vector<CallItem> attempts;
  for (PendingAttempt& attempt : call.attempts) {
    InFlightMessage& held = messages_.at(attempt.message);
    if (!spool_.BeginAttempt(attempt.message, endpoint.name, UnixNow())) return false;
    attempt.spool_index = held.attempts++;
    trace_.Note(attempt.message, now, TraceStep::kStarted,
                static_cast<std::uint32_t>(call.endpoint));
    attempts.push_back({held.id, held.key, held.body});
  }
  if (attempts.size() > 1) call.deadline -= kBatchTimeoutMargin;
  const milliseconds left = std::max(CeilToMs(call.deadline - now), milliseconds(0));
  std::string request = attempts.empty() ? HttpGet("/-/healthy", endpoint.address)
                        : attempts.size() == 1
                            ? FormatSingleCall(endpoint.address, attempts[0], left)
                            : FormatBatchCall(endpoint.address, attempts, left);
  call.started = now;
  latencies_.start.Add(now - call.decided_at);
  call.endpoint_call =
      std::make_shared<EndpointCall>(number, call.endpoint, endpoint.address, std::move(request),
                                     ToTimePoint(call.start_by), CallPermit(endpoint));
  deadlines_.Set(call.deadline, {DeadlineKind::kCallTimeout, number});
  if (!attempts.empty()) ++running_calls_;
  endpoint_client_.Start(call.endpoint_call);
  return true;
}

void Engine::On(const EndpointCallResult& event) {
  const auto it = calls_.find(event.call_id);
  if (it == calls_.end()) return;
  ScheduleIdleExpiry();
  const PendingCall call = std::move(it->second);
  calls_.erase(it);
  const Time now = Now();
  const Duration wait = ParseRetryAfter(event);
  const dispatch_policy::LoadReport report = ParseLoadReport(event);
  LogCallCompleted(event, call.endpoint, call.attempts.size(),
                   duration_cast<milliseconds>(now - call.started));
  if (call_observer_ != nullptr) {
    const bool probe = call.attempts.empty();
    call_observer_->OnCallCompleted(
        {Target(endpoints_.at(call.endpoint)),
         probe ? HealthCheckOutcome(event) : ParseSingleAnswer(event).outcome, probe,
         ToTimePoint(call.started), ParseRetryAfter(event), report});
  }
  if (call.attempts.empty()) {
    events_.emplace_back(dispatch_policy::HealthCheckCompleted{
        call.endpoint, HealthCheckOutcome(event), now - call.started, report});
  } else {
    --running_calls_;
    std::vector<std::string> ids;
    for (const PendingAttempt& attempt : call.attempts) ids.push_back(attempt.id);
    const std::vector<AttemptResult> results =
        ids.size() == 1 ? std::vector<AttemptResult>{ParseSingleAnswer(event)}
                        : ParseBatchAnswer(event, ids);
    for (std::size_t i = 0; i < results.size(); ++i) {
      CompleteAttempt(call, call.attempts[i], results[i], now, wait, report);
    }
  }
  if (wait <= Duration{}) return;
  // Told to wait: what is not being written yet is not sent to that destination.
  const CallTarget told = Target(endpoints_.at(call.endpoint));
  WithdrawCalls([&](const PendingCall& other) {
    return told.has_own_rate_limit
               ? other.endpoint == call.endpoint
               : endpoints_.at(other.endpoint).entry.destination == told.destination;
  });
}

template <typename Bound>
void Engine::WithdrawCalls(Bound bound) {
  for (auto& [number, call] : calls_) {
    if (!bound(call)) continue;
    call.withdrawn = true;
    if (call.endpoint_call) call.endpoint_call->WithdrawBeforeSend();
  }
}

void Engine::CompleteUnsent(const PendingCall& call, Time now) {
  for (const PendingAttempt& attempt : call.attempts) {
    CompleteAttempt(call, attempt, {.outcome = dispatch_policy::Outcome::kNotSent}, now);
  }
}

void Engine::CompleteAttempt(const PendingCall& call, const PendingAttempt& attempt,
                             const AttemptResult& end, Time now, Duration wait,
                             const dispatch_policy::LoadReport& report) {
  if (KnownNotRun(end.outcome) && call.endpoint_call)
    spool_.MarkNotRun(attempt.message, attempt.spool_index);
  if (call.endpoint_call) {
    trace_.Note(attempt.message, now, TraceStep::kCompleted,
                static_cast<std::uint32_t>(end.outcome));
  }
  if (end.over && messages_.count(attempt.message) != 0) {
    const bool delivered = end.outcome == dispatch_policy::Outcome::kDelivered;
    End(attempt.message, delivered ? TraceStep::kDelivered : TraceStep::kGone);
  }
  dispatch_policy::AttemptCompleted event;
  event.message = attempt.message;
  event.attempt = attempt.attempt;
  event.endpoint = call.endpoint;
  event.outcome = end.outcome;
  event.elapsed = call.endpoint_call ? now - call.started : Duration{};
  event.finished = end.over || messages_.count(attempt.message) == 0;
  event.exhausted = end.exhausted;
  event.retry_after = wait;
  event.report = report;
  events_.emplace_back(std::move(event));
}

}  // namespace brassfront
