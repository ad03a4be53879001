#include "forwarder/engine.hpp"

#include <algorithm>
#include <future>
#include <utility>

#include "forwarder/clock.hpp"
#include "forwarder/restored_message.hpp"
#include "observe/log.hpp"
#include "observe/metrics.hpp"

namespace brassfront {
namespace {

using observe::Concern;
using observe::Level;
using std::chrono::milliseconds;

// Maximum number of waiting events. Client and call threads block while the inbox is full.
constexpr std::size_t kInboxCapacity = 1024;
constexpr double kMaxBodyMemoryShare = 0.25;  // share of the memory for bodies in flight
constexpr milliseconds kHousekeepingInterval{1000};
constexpr milliseconds kSpoolRetryInterval{250};
constexpr milliseconds kHoldCheckInterval{5};  // while lists are held back
constexpr std::uint64_t kInitialRevision = 0;  // makes discovery send the complete list
constexpr milliseconds kMetricsLineInterval{60'000};
constexpr milliseconds kLastAnswersTimeout{100};  // wait for answers at the end of the process

MessageTable::Limits MessageLimits(const Config& config) {
  const auto memory = static_cast<double>(config.limits.memory_bytes);
  return {.max_in_flight = config.policy_settings.max_in_flight,
          .max_body_bytes = static_cast<std::size_t>(memory * kMaxBodyMemoryShare)};
}

// Rejections and failures are applied before accepted messages are persisted, all other actions
// after that.
bool EndsMessage(const dispatch_policy::Action& action) {
  return std::holds_alternative<dispatch_policy::RejectMessage>(action) ||
         std::holds_alternative<dispatch_policy::FailMessage>(action);
}

}  // namespace

std::size_t Engine::MaxEndpointConnections(const Config& config) {
  return CallDispatcher::MaxConnections(config);
}

Engine::Engine(const Config& config, Spool& spool, BufferPool& buffers,
               DiscoveryWatcher::OnEndpointList on_discovery_list)
    : config_(config),
      loop_(kInboxCapacity, Now),
      policy_(config.policy_settings, config.seed),
      known_list_hold_(Now()),
      messages_(spool, MessageLimits(config)),
      spool_(spool),
      endpoints_(config),
      condition_recorder_(endpoints_),
      submissions_(latencies_),
      call_dispatcher_(
          {config_, messages_, endpoints_, latencies_, policy_events_}, buffers,
          [this](EndpointCallResult result) { loop_.Push(std::move(result)); },
          [this](Time at, Deadline deadline) { loop_.SetDeadline(at, deadline); }),
      notification_poster_(config.discovery, messages_.final_answers().outbox(), buffers,
                           [this](NotificationPostResult result) { loop_.Push(result); }),
      discovery_watcher_(
          config.discovery, kInitialRevision,
          {.size = config.policy_settings.group_size, .seed = config.seed}, buffers,
          on_discovery_list ? std::move(on_discovery_list)
                            : [this](MemberList list) { SetEndpoints(std::move(list)); }) {
  for (const dispatch_policy::ClassSettings& settings : config.policy_settings.classes) {
    known_list_hold_.LimitBy(Now(), settings.deadline);
  }
  loop_.SetDeadline(Now() + kHousekeepingInterval, {DeadlineKind::kHousekeeping});
  loop_.SetDeadline(Now() + kSpoolRetryInterval, {DeadlineKind::kSpoolRetry});
}

Engine::~Engine() { Close(); }

void Engine::Close() {
  loop_.Close();
  submissions_.Clear();
}

void Engine::SetCallObserver(CallObserver& observer) {
  call_observer_ = &observer;
  call_dispatcher_.SetCallObserver(observer);
}

// ======== any thread ========

// Requests that the settings do not allow are rejected here, on the client's thread, so that many
// of them do not occupy the engine's thread.
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
  const Time now = Now();
  const auto received_at = request.received_at.value_or(ToTimePoint(now));
  PendingSubmission submission{.request = std::move(request),
                               .indexes = std::get<RequestIndexes>(validation),
                               .received_at = received_at.time_since_epoch(),
                               .submitted_at = now,
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
  const dispatch_policy::EndpointList list = endpoints_.Apply(known, now);
  held_events_.emplace_back(list);
  AddConditions(list);
  RestoreMessages(now);
  observe::Log(Concern::kEngine, Level::kInfo, "restored", {{"messages", messages_.deliverable()}});
  Decide(now);
}

// Restores the open messages that could be read from the spool by now. Returns their number.
std::size_t Engine::RestoreMessages(Time now) {
  std::vector<RecoveredMessage> messages = spool_.Recover();
  const UnixMs spool_now = spool_.Now();
  for (RecoveredMessage& recovered : messages) {
    RestoreMessage(std::move(recovered), now, spool_now);
  }
  return messages.size();
}

void Engine::RestoreMessage(RecoveredMessage recovered, Time now, UnixMs spool_now) {
  auto event = MakeRestoredEvent(recovered, config_, endpoints_, now, spool_now);
  messages_.AddRestored(std::move(recovered), event.time_left, now,
                        EffectOf(config_, event.message_class));
  if (!messages_.IsDeliverable(event.message)) return;
  known_list_hold_.LimitBy(now, event.time_left);
  condition_recorder_.OnMessageRestored(event.destination);
  AddListEvent(std::move(event));
}

void Engine::AddListEvent(dispatch_policy::Event event) {
  (held_events_.empty() ? policy_events_ : held_events_).emplace_back(std::move(event));
}

// Adds the stored conditions of a list's endpoints after the list itself.
void Engine::AddConditions(const dispatch_policy::EndpointList& list) {
  for (dispatch_policy::Event& event : condition_recorder_.RestoredConditionEvents(list)) {
    AddListEvent(std::move(event));
  }
}

// Must be called after all held lists were passed on, because the events may concern endpoints of
// any of them.
void Engine::AddLostConditions() {
  for (dispatch_policy::Event& event : condition_recorder_.TakeLostConditions()) {
    policy_events_.emplace_back(std::move(event));
  }
}

// Passes on the configured list and the events that were held back after it, once discovery's list
// has arrived or the hold has timed out, and the excluded endpoints are known.
void Engine::ReleaseHeldEvents(Time now) {
  if (held_events_.empty() || known_list_hold_.IsActive(now)) return;
  if (exclusions_ != nullptr && !exclusions_->is_complete()) return;
  for (dispatch_policy::Event& event : std::exchange(held_events_, {})) {
    if (auto* restored = std::get_if<dispatch_policy::MessageRestored>(&event)) {
      if (!messages_.IsDeliverable(restored->message)) continue;
      restored->time_left = messages_.final_answers().TimeLeft(restored->message, now);
    }
    policy_events_.emplace_back(std::move(event));
  }
  AddLostConditions();
}

void Engine::Run(std::function<void()> on_drain) {
  on_drain_ = std::move(on_drain);
  // The calls that Restore decided on must not wait for the first event.
  call_dispatcher_.StartReadyCalls(Now());
  while (true) {
    const Time now = ProcessEvents([this] { return NextWakeUp(); });
    ReleaseHeldEvents(now);
    const Time next_decision = last_decision_ + config_.policy_settings.decision_interval;
    if (!policy_events_.empty() && now >= next_decision) Decide(now);
    GiveUpExpired(now);
    call_dispatcher_.StartReadyCalls(now);
    notification_poster_.StartDue(now);
    messages_in_flight_ = messages_.size();
    if (now >= messages_.NextOverdue()) messages_.LogOverdue(now);
    if (shutdown_.IsOver(now, messages_.size())) break;
  }
  ProcessLastAnswers();
  latencies_.LogAndReset(Level::kInfo, messages_.size(), call_dispatcher_.calls().size());
  observe::Log(Concern::kEngine, Level::kInfo, "shutdown complete",
               {{"in_flight", messages_.size()}, {"overdue", messages_.overdue()}});
  LogFinalTotals(messages_.totals(), spool_);
}

// Waits for the wake-up time or an event, and handles all events that have arrived. Returns the
// time.
Engine::Time Engine::ProcessEvents(const std::function<Time()>& next_wake_up) {
  return loop_.RunOnce(
      next_wake_up,
      [this](InboxEvent event) {
        std::visit([this](auto& alternative) { On(std::move(alternative)); }, event);
      },
      [this](const Deadline& deadline) { On(deadline); });
}

// Called at the end of the process. Records the conditions that follow from the endpoints' last
// answers, because they apply to the next process too. Nothing is sent any more.
void Engine::ProcessLastAnswers() {
  call_dispatcher_.CancelAll();
  const Time end = Now() + kLastAnswersTimeout;
  while (call_dispatcher_.calls().HasStarted() && Now() < end) ProcessEvents([&] { return end; });
  const Time now = Now();
  static_cast<void>(policy_.Decide(now, std::exchange(policy_events_, {})));
  condition_recorder_.Record(policy_.TakeConditionChanges(), now);
}

Engine::Time Engine::NextWakeUp() const {
  Time next = std::min(messages_.NextOverdue(), messages_.final_answers().NextWakeUp());
  const Time now = Now();
  if (!held_events_.empty()) next = std::min<Time>(next, now + kHoldCheckInterval);
  if (policy_events_.empty()) return next;
  return std::min(next, last_decision_ + config_.policy_settings.decision_interval);
}

void Engine::Decide(Time now) {
  last_decision_ = now;
  const std::vector<dispatch_policy::Event> events = std::exchange(policy_events_, {});
  const std::vector<dispatch_policy::Action> actions = policy_.Decide(now, events);
  condition_recorder_.Record(policy_.TakeConditionChanges(), now);
  const auto apply = [this](const auto& action) { Apply(action); };
  for (const dispatch_policy::Action& action : actions) {
    if (EndsMessage(action)) std::visit(apply, action);
  }
  for (const MessageId message : submissions_.AcceptAll(messages_)) {
    policy_events_.emplace_back(dispatch_policy::MessageCancelled{message});
  }
  for (const dispatch_policy::Action& action : actions) {
    if (!EndsMessage(action)) std::visit(apply, action);
  }
  call_dispatcher_.CloseBatches();
  latencies_.decide.Add(Now() - now);
}

void Engine::On(const Deadline& event) {
  switch (event.kind) {
    case DeadlineKind::kPolicyTimer:
      policy_events_.emplace_back(dispatch_policy::TimerFired{event.id});
      return;
    case DeadlineKind::kCallTimeout:
      call_dispatcher_.OnTimeout(event.id);
      return;
    case DeadlineKind::kIdleConnectionExpiry:
      call_dispatcher_.OnIdleConnectionExpiry();
      return;
    case DeadlineKind::kHousekeeping:
      DoHousekeeping();
      return;
    case DeadlineKind::kSpoolRetry:
      RetrySpool();
      return;
    case DeadlineKind::kShutdown:  // Run checks in each round whether the shutdown is over
      return;
  }
}

void Engine::DoHousekeeping() {
  PublishMetrics();
  call_dispatcher_.CloseExpiredIdle();
  for (const auto endpoint :
       endpoints_.ForgetRemoved(Now(), call_dispatcher_.calls().EndpointsInUse())) {
    call_dispatcher_.OnEndpointForgotten(endpoint);
    condition_recorder_.OnEndpointForgotten(endpoint);
  }
  latencies_.LogAndReset(Level::kDebug, messages_.size(), call_dispatcher_.calls().size());
  loop_.SetDeadline(Now() + kHousekeepingInterval, {DeadlineKind::kHousekeeping});
}

// Retries failed operations on the folder, and restores messages and conditions that could not be
// read before.
void Engine::RetrySpool() {
  loop_.SetDeadline(Now() + kSpoolRetryInterval, {DeadlineKind::kSpoolRetry});
  spool_.Retry();
  if (condition_recorder_.Retry(Now())) AddConditions(endpoints_.Listing());
  const std::size_t restored = RestoreMessages(Now());
  if (restored == 0) return;
  if (held_events_.empty()) AddLostConditions();
  observe::Log(Concern::kEngine, Level::kInfo, "restored late", {{"messages", restored}});
}

void Engine::PublishMetrics() {
  observe::SetGauge("messages_in_flight", {}, static_cast<std::int64_t>(messages_.size()));
  observe::SetGauge("messages_overdue_total", {}, static_cast<std::int64_t>(messages_.overdue()));
  observe::SetGauge("calls_in_flight", {},
                    static_cast<std::int64_t>(call_dispatcher_.calls().size()));
  const Time now = Now();
  notification_poster_.PublishMetrics(now);
  if (now < next_metrics_line_) return;
  if (next_metrics_line_ != Time{}) observe::LogMetrics();
  next_metrics_line_ = now + kMetricsLineInterval;
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
  notification_poster_.SetAddress(event.discovery, Now());
}

// ======== messages ========

void Engine::On(PendingSubmission submission) {
  DeliveryRequest& request = submission.request;
  latencies_.submit.Add(Now() - submission.submitted_at);
  if (messages_.HasClientId(request.id)) {
    return submissions_.Reply(submission, SubmitResult::Invalid("the id is taken"));
  }
  if (!messages_.HasCapacityFor(request.body.size())) {
    observe::Count("messages_rejected_total", {"reason", "capacity"});
    return submissions_.Reply(submission,
                              SubmitResult::Rejected(dispatch_policy::kRetryAfterWhenFull));
  }
  // A message's time is limited by the deadline of its class.
  const auto& message_class = config_.policy_settings.classes[submission.indexes.message_class];
  request.time_left = std::min<milliseconds>(request.time_left, CeilToMs(message_class.deadline));
  const Time now = Now();
  if (submission.received_at + request.time_left <= now) {
    observe::Count("messages_rejected_total", {"reason", "late"});
    return submissions_.Reply(submission,
                              SubmitResult::Rejected(dispatch_policy::kRetryAfterWhenFull));
  }
  if (call_observer_ != nullptr) call_observer_->OnMessageArrived(request.destination);
  dispatch_policy::MessageArrived event;
  event.message = messages_.Add(request, message_class.effect);
  event.destination = request.destination;
  event.message_class = submission.indexes.message_class;
  event.tenant = submission.indexes.tenant;
  event.time_left = submission.received_at + request.time_left - now;
  known_list_hold_.LimitBy(now, request.time_left);
  LogMessageStep("message arrived", event.message);
  submissions_.Add(event.message, std::move(submission));
  policy_events_.emplace_back(std::move(event));
}

void Engine::On(const MessageAcknowledged& event) { messages_.Acknowledge(event.message, Now()); }

void Engine::On(const ClientDisconnected& event) {
  if (messages_.Find(event.message) == nullptr) return;
  policy_events_.emplace_back(dispatch_policy::MessageCancelled{event.message});
  messages_.End(event.message, TraceStep::kCancelled, Now());
}

void Engine::On(const NotificationPostResult& event) {
  const std::vector<MessageId> confirmed = notification_poster_.Complete(event, Now());
  const Time now = Now();
  for (const Time due : messages_.EndNotified(confirmed, now)) latencies_.notify.Add(now - due);
}

// Gives up messages that the policy did not decide about by their deadlines.
void Engine::GiveUpExpired(Time now) {
  for (const MessageId message : messages_.final_answers().FindExpired(now)) {
    observe::Count("messages_expired_undecided_total");
    policy_events_.emplace_back(dispatch_policy::MessageCancelled{message});
    messages_.GiveUp({.message = message}, "expired-undecided", now);
  }
}

// Logs a step of a message with its client's id, at debug level.
void Engine::LogMessageStep(const char* event, MessageId message, std::string_view reason) const {
  if (!observe::ShouldLog(Concern::kEngine, Level::kDebug)) return;
  const InFlightMessage* found = messages_.Find(message);
  if (found == nullptr) return;
  observe::Log(Concern::kEngine, Level::kDebug, event,
               {{"id", found->client_id},
                {"message", message},
                {"reason", reason},
                {"attempts", found->attempts_decided}});
}

void Engine::Apply(const dispatch_policy::RejectMessage& action) {
  LogMessageStep("message rejected", action.message, ToString(action.reason));
  observe::Count("messages_rejected_total", {"reason", "policy"});
  if (RejectSubmission(action.message, SubmitResult::Rejected(action.retry_after))) return;
  messages_.GiveUp({.message = action.message,
                    .retry_allowed = true,
                    .retry_after = CeilToMs(action.retry_after)},
                   ToString(action.reason), Now());
}

void Engine::Apply(const dispatch_policy::FailMessage& action) {
  LogMessageStep("message failed", action.message, ToString(action.reason));
  observe::Count("messages_failed_total");
  if (RejectSubmission(action.message, SubmitResult::Invalid("cannot be delivered"))) return;
  messages_.GiveUp({.message = action.message}, ToString(action.reason), Now());
}

// Replies to the message's client and removes the message. Returns false if no client waits for a
// reply.
bool Engine::RejectSubmission(MessageId message, SubmitResult result) {
  if (!submissions_.ReplyTo(message, std::move(result))) return false;
  messages_.Remove(message);
  return true;
}

void Engine::Apply(const dispatch_policy::SetTimer& action) {
  loop_.SetDeadline(action.at, {DeadlineKind::kPolicyTimer, action.token});
}

void Engine::Apply(const dispatch_policy::LogMessage& action) {
  observe::Log(Concern::kPolicy, Level::kInfo, "policy: " + action.text);
}

// ======== endpoints ========

void Engine::On(const MemberList& list) {
  // Discovery has answered, even if the list is refused below.
  if (list.source == ListSource::kDiscovery) known_list_hold_.End();
  if (endpoints_.IsStale(list)) {
    observe::LogRateLimited(Concern::kEngine, Level::kWarning, "endpoint list refused",
                            {{"reason", "older than the one in use"},
                             {"revision", list.revision},
                             {"source", ToString(list.source)}});
    observe::Count("endpoint_lists_refused_total", {"reason", "stale"});
    return;
  }
  const dispatch_policy::EndpointList applied = endpoints_.Apply(list, Now());
  AddListEvent(applied);
  AddConditions(applied);
  call_dispatcher_.OnEndpointsChanged();
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
  call_dispatcher_.StartHealthCheck(action, last_decision_);
}

void Engine::Apply(const dispatch_policy::SendAttempt& action) {
  LogMessageStep("attempt decided", action.message);
  call_dispatcher_.Send(action, last_decision_);
}

void Engine::Apply(const dispatch_policy::CancelAttempt& action) {
  call_dispatcher_.Cancel(action);
}

void Engine::On(const EndpointCallResult& result) { call_dispatcher_.OnResult(result); }

}  // namespace brassfront
