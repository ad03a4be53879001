#include "forwarder/engine.hpp"

#include <algorithm>
#include <utility>

#include "forwarder/clock.hpp"
#include "forwarder/index_of.hpp"
#include "observe/log.hpp"
#include "protocol/http.hpp"

namespace brassfront {
namespace {

using observe::Concern;
using observe::Level;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::size_t kInboxCapacity = 1024;
constexpr std::size_t kDefaultConcurrentCalls = 32;  // where the settings have no maximum
constexpr std::size_t kMaxHealthChecks = 16;         // beside the concurrent calls
constexpr double kMaxBodyMemoryShare = 0.25;         // of the memory, for bodies in flight
constexpr std::size_t kIdleConnectionDivisor = 16;   // a sixteenth of the descriptors
constexpr milliseconds kHousekeepingInterval{1000};
// A batch times out this long before the first deadline of its messages. Clients and the platform
// count the deadline from the submission, and the engine from the moment it saw it; an answer
// between the two would be taken here for a delivery that the platform does not count.
constexpr milliseconds kBatchTimeoutMargin{50};
constexpr char kHealthCheckPath[] = "/-/healthy";
// The comma behind an item of a batch, and the brackets around all, at most.
constexpr std::size_t kBatchItemOverheadBytes = 2;

std::size_t MaxConcurrentCalls(const Config& config) {
  const std::size_t configured = config.policy_settings.max_concurrent_calls;
  return configured > 0 ? configured : kDefaultConcurrentCalls;
}

std::size_t MaxCallThreads(const Config& config) {
  return MaxConcurrentCalls(config) + kMaxHealthChecks;
}

std::size_t MaxIdleConnections(const Config& config) {
  return std::max(MaxConcurrentCalls(config), config.limits.sockets / kIdleConnectionDivisor);
}

MessageTable::Limits MessageLimits(const Config& config) {
  const auto memory = static_cast<double>(config.limits.memory_bytes);
  return {.max_in_flight = config.policy_settings.max_in_flight,
          .max_body_bytes = static_cast<std::size_t>(memory * kMaxBodyMemoryShare)};
}

EndpointClient::Options ClientOptions(const Config& config) {
  return {.threads = MaxCallThreads(config),
          .max_idle_connections = MaxIdleConnections(config),
          .group_size = config.policy_settings.group_size,
          .connection_idle = config.connection_idle,
          .connect_timeout = duration_cast<milliseconds>(config.connect_timeout)};
}

// Rejections and failures are applied before accepted messages are persisted, all else after.
bool EndsMessage(const dispatch_policy::Action& action) {
  return std::holds_alternative<dispatch_policy::RejectMessage>(action) ||
         std::holds_alternative<dispatch_policy::FailMessage>(action);
}

std::string FormatRequest(const Endpoint& endpoint, const std::vector<CallItem>& items,
                          milliseconds time_left) {
  if (items.empty()) return HttpGet(kHealthCheckPath, endpoint.address);
  if (items.size() == 1) return FormatSingleCall(endpoint.address, items[0], time_left);
  return FormatBatchCall(endpoint.address, items, time_left);
}

std::vector<AttemptResult> ParseAnswer(const PendingCall& call, const EndpointCallResult& result) {
  if (call.attempts.size() == 1) return {ParseSingleAnswer(result)};
  std::vector<std::string> ids;
  for (const PendingAttempt& attempt : call.attempts) ids.push_back(attempt.client_id);
  return ParseBatchAnswer(result, ids);
}

}  // namespace

std::size_t Engine::MaxEndpointConnections(const Config& config) {
  return MaxCallThreads(config) + MaxIdleConnections(config);
}

Engine::Engine(const Config& config, Spool& spool, BufferPool& buffers,
               DiscoveryWatcher::OnEndpointList divert)
    : config_(config),
      loop_(kInboxCapacity, Now),
      policy_(config.policy_settings, config.seed),
      messages_(spool, MessageLimits(config)),
      spool_(spool),
      endpoints_(config),
      calls_(MaxConcurrentCalls(config)),
      endpoint_client_(ClientOptions(config), buffers,
                       [this](EndpointCallResult result) { loop_.Push(std::move(result)); }),
      notification_client_(
          config.discovery, buffers,
          [this](MessageId message) { loop_.Push(NotificationConfirmed{message}); }),
      discovery_watcher_(
          config.discovery, config.known.revision,
          {.size = config.policy_settings.group_size, .seed = config.seed}, buffers,
          divert ? std::move(divert) : [this](MemberList list) { SetEndpoints(std::move(list)); }) {
  loop_.SetDeadline(Now() + kHousekeepingInterval, {DeadlineKind::kHousekeeping});
}

Engine::~Engine() { Close(); }

void Engine::Close() {
  loop_.Close();
  submissions_.clear();
}

// ======== any thread ========

// Requests that the settings exclude are rejected here, on the client's thread, so that a flood of
// them does not occupy the engine's.
SubmitResult Engine::Submit(DeliveryRequest request) {
  const auto validation = ValidateRequest(config_, request);
  if (const auto* error = std::get_if<RequestError>(&validation)) {
    return SubmitResult::Invalid(ToString(*error));
  }
  if (!endpoints_.KnowsDestination(request.destination)) {
    SubmitResult unknown = SubmitResult::Rejected(dispatch_policy::kRetryAfterWhenFull);
    unknown.unknown_destination = true;
    return unknown;
  }
  PendingSubmission submission{.request = std::move(request),
                               .indexes = std::get<RequestIndexes>(validation),
                               .submitted_at = Now(),
                               .reply = {}};
  std::future<SubmitResult> reply = submission.reply.get_future();
  if (!loop_.Push(std::move(submission))) return {};
  try {
    return reply.get();
  } catch (const std::future_error&) {  // the engine has closed
    return {};
  }
}

void Engine::OnAcknowledged(std::uint64_t message) { loop_.Push(MessageAcknowledged{message}); }

void Engine::OnClientDisconnected(std::uint64_t message) {
  loop_.Push(ClientDisconnected{message});
}

void Engine::BeginGracefulShutdown() { loop_.Push(ShutdownRequested{}); }

void Engine::Post(std::function<void()> task) { loop_.Push(PostedTask{std::move(task)}); }

void Engine::SetDiscoveryAddress(std::string discovery) {
  loop_.Push(DiscoveryAddressChanged{std::move(discovery)});
}

// ======== the loop ========

void Engine::Restore(const MemberList& known) {
  const Time now = Now();
  const UnixMs unix_now = UnixNow();
  policy_events_.emplace_back(endpoints_.Apply(known, Now()));
  for (RecoveredMessage& recovered : spool_.Recover()) {
    RestoreMessage(std::move(recovered), now, unix_now);
  }
  observe::Log(Concern::kEngine, Level::kInfo, "restored", {{"messages", messages_.deliverable()}});
  Decide(now);
}

void Engine::RestoreMessage(RecoveredMessage recovered, Time now, UnixMs unix_now) {
  dispatch_policy::MessageRestored event;
  event.message = recovered.number;
  event.destination = recovered.message.destination;
  event.message_class = IndexOf(config_.class_names, recovered.message.class_name);
  event.time_left = recovered.message.deadline - unix_now;
  event.attempts_used = recovered.attempts.size();
  for (const SpooledAttempt& attempt : recovered.attempts) {
    if (attempt.known_not_run || event.may_have_run) continue;
    event.may_have_run = now - (unix_now - attempt.started_at);
    event.ran_on_endpoint = endpoints_.FindOrAddId(attempt.endpoint);
  }
  messages_.AddRestored(std::move(recovered), event.time_left, now);
  policy_events_.emplace_back(std::move(event));
}

void Engine::Run(std::function<void()> on_drain) {
  on_drain_ = std::move(on_drain);
  // What Restore decided must not wait for the first event.
  calls_.StartReadyCalls(Now(), *this);
  while (true) {
    const Time now = loop_.RunOnce(
        [this] { return NextWakeUp(); },
        [this](InboxEvent event) {
          std::visit([this](auto& alternative) { On(std::move(alternative)); }, event);
        },
        [this](const Deadline& deadline) { On(deadline); });
    const Time next_decision = last_decision_ + config_.policy_settings.decision_interval;
    if (!policy_events_.empty() && now >= next_decision) Decide(now);
    calls_.StartReadyCalls(now, *this);
    messages_in_flight_ = messages_.size();
    if (now >= messages_.NextOverdue()) messages_.LogOverdue(now);
    if (shutdown_.IsOver(now, messages_.size())) break;
  }
  latencies_.LogAndReset(Level::kInfo, messages_.size(), calls_.size());
  observe::Log(Concern::kEngine, Level::kInfo, "shutdown complete",
               {{"in_flight", messages_.size()}, {"overdue", messages_.overdue()}});
}

Engine::Time Engine::NextWakeUp() const {
  const Time next_overdue = messages_.NextOverdue();
  if (policy_events_.empty()) return next_overdue;
  return std::min(next_overdue, last_decision_ + config_.policy_settings.decision_interval);
}

void Engine::Decide(Time now) {
  last_decision_ = now;
  const std::vector<dispatch_policy::Event> events = std::exchange(policy_events_, {});
  const std::vector<dispatch_policy::Action> actions = policy_.Decide(now, events);
  const auto apply = [this](const auto& action) { Apply(action); };
  for (const dispatch_policy::Action& action : actions) {
    if (EndsMessage(action)) std::visit(apply, action);
  }
  PersistAccepted();
  for (const dispatch_policy::Action& action : actions) {
    if (!EndsMessage(action)) std::visit(apply, action);
  }
  calls_.CloseBatches();
  // Last: by now the calls of the messages that were given up have been cancelled.
  for (Notification& notification : std::exchange(notifications_, {})) {
    notification_client_.Post(std::move(notification));
  }
  latencies_.decide.Add(Now() - now);
}

void Engine::On(const Deadline& event) {
  switch (event.kind) {
    case DeadlineKind::kPolicyTimer:
      policy_events_.emplace_back(dispatch_policy::TimerFired{event.id});
      return;
    case DeadlineKind::kCallTimeout:
      calls_.OnTimeout(event.id);
      return;
    case DeadlineKind::kIdleConnectionExpiry:
      idle_expiry_at_ = Time::max();
      endpoint_client_.CloseExpiredIdle();
      ScheduleIdleExpiry();
      return;
    case DeadlineKind::kHousekeeping:
      DoHousekeeping();
      return;
    case DeadlineKind::kShutdown:  // Run checks it each round
      return;
  }
}

void Engine::DoHousekeeping() {
  endpoint_client_.CloseExpiredIdle();
  for (const auto endpoint : endpoints_.ForgetRemoved(Now(), calls_.EndpointsInUse())) {
    // A call that was out when the endpoint was removed may have left a connection since.
    endpoint_client_.RemoveEndpoint(endpoint);
  }
  latencies_.LogAndReset(Level::kDebug, messages_.size(), calls_.size());
  loop_.SetDeadline(Now() + kHousekeepingInterval, {DeadlineKind::kHousekeeping});
}

void Engine::ScheduleIdleExpiry() {
  const Time next = endpoint_client_.NextIdleExpiry().time_since_epoch();
  if (next >= idle_expiry_at_) return;
  idle_expiry_at_ = next;
  loop_.SetDeadline(next, {DeadlineKind::kIdleConnectionExpiry});
}

void Engine::On(const ShutdownRequested&) {
  const auto exit_times = shutdown_.Begin(Now());
  if (!exit_times) return;
  observe::Log(Concern::kEngine, Level::kInfo, "shutdown requested",
               {{"in_flight", messages_.size()}});
  loop_.SetDeadline(exit_times->earliest, {DeadlineKind::kShutdown});
  loop_.SetDeadline(exit_times->latest, {DeadlineKind::kShutdown});
  on_drain_();
}

void Engine::On(const PostedTask& event) { event.task(); }

void Engine::On(const DiscoveryAddressChanged& event) {
  discovery_watcher_.SetAddress(event.discovery);
  notification_client_.SetAddress(event.discovery);
}

// ======== messages ========

void Engine::On(PendingSubmission submission) {
  DeliveryRequest& request = submission.request;
  latencies_.submit.Add(Now() - submission.submitted_at);
  if (messages_.HasClientId(request.id)) {
    return Reply(submission, SubmitResult::Invalid("the id is taken"));
  }
  if (!messages_.HasCapacityFor(request.body.size())) {
    return Reply(submission, SubmitResult::Rejected(dispatch_policy::kRetryAfterWhenFull));
  }
  if (call_observer_ != nullptr) call_observer_->OnMessageArrived(request.destination);
  // No client may ask for more time than its class has.
  const auto& message_class = config_.policy_settings.classes[submission.indexes.message_class];
  request.time_left = std::min<milliseconds>(request.time_left, CeilToMs(message_class.deadline));
  dispatch_policy::MessageArrived event;
  event.message = messages_.Add(request);
  event.destination = request.destination;
  event.message_class = submission.indexes.message_class;
  event.tenant = submission.indexes.tenant;
  event.time_left = request.time_left;
  submissions_.emplace(event.message, std::move(submission));
  policy_events_.emplace_back(std::move(event));
}

void Engine::Reply(PendingSubmission& submission, SubmitResult result) {
  latencies_.accept.Add(Now() - submission.submitted_at);
  submission.reply.set_value(std::move(result));
}

// The submissions that the decision did not end are persisted, and only then are their clients
// told.
void Engine::PersistAccepted() {
  for (auto& [message, submission] : submissions_) {
    const UnixMs unix_now = UnixNow();
    const Time now = Now();
    latencies_.accept.Add(now - submission.submitted_at);
    if (messages_.Persist(message, std::move(submission.request), submission.submitted_at, now,
                          unix_now)) {
      SubmitResult accepted;
      accepted.status = SubmitResult::Status::kAccepted;
      accepted.message = message;
      submission.reply.set_value(std::move(accepted));
      continue;
    }
    observe::LogSeldom(Concern::kSpool, Level::kWarning, "spool full: message rejected");
    policy_events_.emplace_back(dispatch_policy::MessageCancelled{message});
    submission.reply.set_value(SubmitResult::Rejected(dispatch_policy::kRetryAfterWhenFull));
  }
  submissions_.clear();
}

void Engine::On(const MessageAcknowledged& event) { messages_.Acknowledge(event.message, Now()); }

void Engine::On(const ClientDisconnected& event) {
  if (messages_.Find(event.message) == nullptr) return;
  policy_events_.emplace_back(dispatch_policy::MessageCancelled{event.message});
  messages_.End(event.message, TraceStep::kCancelled, Now());
}

void Engine::On(const NotificationConfirmed& event) {
  const InFlightMessage* message = messages_.Find(event.message);
  if (message == nullptr) return;
  latencies_.notify.Add(Now() - message->given_up_at);
  messages_.End(event.message, TraceStep::kNotified, Now());
}

void Engine::Apply(const dispatch_policy::RejectMessage& action) {
  if (RejectSubmission(action.message, SubmitResult::Rejected(action.retry_after))) return;
  GiveUp(action.message, {.retry_allowed = true, .retry_after = CeilToMs(action.retry_after)});
}

void Engine::Apply(const dispatch_policy::FailMessage& action) {
  if (RejectSubmission(action.message, SubmitResult::Invalid("cannot be delivered"))) return;
  GiveUp(action.message, {});
}

// False if the message has no client that waits for a reply.
bool Engine::RejectSubmission(MessageId message, SubmitResult result) {
  const auto it = submissions_.find(message);
  if (it == submissions_.end()) return false;
  Reply(it->second, std::move(result));
  submissions_.erase(it);
  messages_.Remove(message);
  return true;
}

void Engine::GiveUp(MessageId message, Notification notification) {
  const InFlightMessage* found = messages_.GiveUp(message, notification.retry_allowed, Now());
  if (found == nullptr) return;
  notification.message = message;
  notification.id = found->client_id;
  notifications_.push_back(std::move(notification));
}

void Engine::Apply(const dispatch_policy::SetTimer& action) {
  loop_.SetDeadline(action.at, {DeadlineKind::kPolicyTimer, action.token});
}

void Engine::Apply(const dispatch_policy::LogMessage& action) {
  observe::Log(Concern::kPolicy, Level::kInfo, "policy: " + action.text);
}

// ======== endpoints ========

void Engine::On(const MemberList& list) {
  if (endpoints_.IsStale(list)) return;
  policy_events_.emplace_back(endpoints_.Apply(list, Now()));
  calls_.WithdrawCalls([this](auto endpoint) { return !endpoints_.IsServing(endpoint); });
  for (const auto endpoint : endpoints_.NotServing()) endpoint_client_.RemoveEndpoint(endpoint);
}

void Engine::On(EndpointUpdate update) {
  const auto endpoint = endpoints_.FindId(update.endpoint);
  if (!endpoint) return;
  const auto add_event = [&](auto& event) {
    event.endpoint = *endpoint;
    policy_events_.emplace_back(event);
  };
  std::visit(add_event, update.event);
}

// ======== calls ========

void Engine::Apply(const dispatch_policy::StartHealthCheck& action) {
  calls_.AddHealthCheck(action.endpoint, last_decision_, last_decision_ + config_.connect_timeout);
}

void Engine::Apply(const dispatch_policy::SendAttempt& action) {
  DecidedAttempt decided;
  decided.attempt.message = action.message;
  decided.endpoint = action.endpoint;
  decided.max_batch = endpoints_.MaxBatch(action.endpoint);
  decided.decided_at = last_decision_;
  decided.start_by = action.start_by;
  decided.deadline = last_decision_ + action.timeout;
  if (InFlightMessage* message = messages_.Find(action.message)) {
    decided.attempt.client_id = message->client_id;
    decided.attempt.attempt = message->attempts_decided++;
    const CallItem item{message->client_id, message->key, message->body};
    decided.bytes = FormatBatchItem(item).size() + kBatchItemOverheadBytes;
  }
  calls_.AddAttempt(std::move(decided));
}

void Engine::Apply(const dispatch_policy::CancelAttempt& action) {
  const bool message_over = !messages_.IsDeliverable(action.message);
  calls_.CancelAttempt(action.message, action.attempt, message_over);
}

bool Engine::IsDeliverable(MessageId message) const { return messages_.IsDeliverable(message); }

bool Engine::IsAcknowledged(MessageId message) const {
  return messages_.Find(message)->acknowledged;
}

bool Engine::Start(CallId id, PendingCall& call, Time now) {
  const Endpoint& endpoint = endpoints_.At(call.endpoint);
  std::vector<CallItem> items;
  for (PendingAttempt& attempt : call.attempts) {
    const auto spool_index = messages_.BeginAttempt(attempt.message, endpoint, now, UnixNow());
    if (!spool_index) return false;
    attempt.spool_index = *spool_index;
    const InFlightMessage& message = *messages_.Find(attempt.message);
    items.push_back({message.client_id, message.key, message.body});
  }
  if (items.size() > 1) call.deadline -= kBatchTimeoutMargin;
  const milliseconds time_left = std::max(CeilToMs(call.deadline - now), milliseconds(0));
  call.started_at = now;
  latencies_.start.Add(now - call.decided_at);
  std::function<bool()> permit;
  if (call_observer_ != nullptr) {
    permit = [observer = call_observer_, target = endpoints_.Target(call.endpoint)] {
      return observer->AllowsCall(target);
    };
  }
  call.endpoint_call = std::make_shared<EndpointCall>(
      id, call.endpoint, endpoint.address, FormatRequest(endpoint, items, time_left),
      ToTimePoint(call.start_by), std::move(permit));
  loop_.SetDeadline(call.deadline, {DeadlineKind::kCallTimeout, id});
  endpoint_client_.Start(call.endpoint_call);
  return true;
}

void Engine::On(const EndpointCallResult& result) {
  const auto call = calls_.Complete(result.call_id);
  if (!call) return;
  ScheduleIdleExpiry();
  CompleteCall(*call, result, Now());
  if (ParseRetryAfter(result) <= Duration{}) return;
  // The Retry-After binds all calls under the same rate limit that are not being written yet.
  calls_.WithdrawCalls(
      [&](auto endpoint) { return endpoints_.SharesRateLimit(call->endpoint, endpoint); });
}

void Engine::CompleteCall(const PendingCall& call, const EndpointCallResult& result, Time now) {
  const Duration elapsed = now - call.started_at;
  const milliseconds retry_after = ParseRetryAfter(result);
  const dispatch_policy::LoadReport report = ParseLoadReport(result);
  const dispatch_policy::Outcome outcome = ParseSingleAnswer(result).outcome;
  LogCallCompleted(result, call.endpoint, call.attempts.size(),
                   duration_cast<milliseconds>(elapsed));
  if (call_observer_ != nullptr) {
    call_observer_->OnCallCompleted({endpoints_.Target(call.endpoint), outcome, call.health_check,
                                     ToTimePoint(call.started_at), retry_after, report});
  }
  if (call.health_check) {
    policy_events_.emplace_back(
        dispatch_policy::HealthCheckCompleted{call.endpoint, outcome, elapsed, report});
    return;
  }
  const std::vector<AttemptResult> results = ParseAnswer(call, result);
  for (std::size_t i = 0; i < results.size(); ++i) {
    dispatch_policy::AttemptCompleted completed;
    completed.elapsed = elapsed;
    completed.retry_after = retry_after;
    completed.report = report;
    CompleteAttempt(call, call.attempts[i], results[i], std::move(completed), now);
  }
}

void Engine::OnAttemptNotSent(const PendingCall& call, const PendingAttempt& attempt, Time now) {
  CompleteAttempt(call, attempt, {.outcome = dispatch_policy::Outcome::kNotSent}, {}, now);
}

// `completed` has what the call's answer says of all attempts.
void Engine::CompleteAttempt(const PendingCall& call, const PendingAttempt& attempt,
                             const AttemptResult& result,
                             dispatch_policy::AttemptCompleted completed, Time now) {
  if (call.endpoint_call) {
    messages_.CompleteAttempt(attempt.message, attempt.spool_index, result.outcome, now);
  }
  if (result.over && messages_.Find(attempt.message) != nullptr) {
    const bool delivered = result.outcome == dispatch_policy::Outcome::kDelivered;
    messages_.End(attempt.message, delivered ? TraceStep::kDelivered : TraceStep::kGone, Now());
  }
  completed.message = attempt.message;
  completed.attempt = attempt.attempt;
  completed.endpoint = call.endpoint;
  completed.outcome = result.outcome;
  completed.finished = result.over || messages_.Find(attempt.message) == nullptr;
  completed.exhausted = result.exhausted;
  policy_events_.emplace_back(std::move(completed));
}

}  // namespace brassfront
