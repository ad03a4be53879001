#include "forwarder/call_dispatcher.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include "forwarder/call_answer.hpp"
#include "forwarder/clock.hpp"
#include "observe/log.hpp"
#include "observe/metrics.hpp"
#include "protocol/http.hpp"

namespace brassfront {
namespace {

using observe::Concern;
using observe::Level;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::size_t kDefaultConcurrentCalls = 32;  // if the settings have no maximum
constexpr std::size_t kMaxHealthChecks = 16;         // in addition to the concurrent calls
constexpr std::size_t kIdleConnectionDivisor = 16;   // a sixteenth of the descriptors
constexpr const char* kHealthCheckPath = "/-/healthy";
// Upper bound for the comma after an item of a batch and the brackets around all items.
constexpr std::size_t kBatchItemOverheadBytes = 2;

std::string_view ToString(dispatch_policy::Outcome outcome) {
  using dispatch_policy::Outcome;
  switch (outcome) {
    case Outcome::kDelivered:
      return "delivered";
    case Outcome::kError:
      return "error";
    case Outcome::kRejected:
      return "rejected";
    case Outcome::kTimeout:
      return "timeout";
    case Outcome::kConnectFailed:
      return "connect-failed";
    case Outcome::kReset:
      return "reset";
    case Outcome::kCancelled:
      return "cancelled";
    case Outcome::kNotSent:
      return "not-sent";
    case Outcome::kConnectionLimitReached:
      return "connection-limit-reached";
  }
  return "unknown";
}

std::string_view ToString(AnswerCertainty certainty) {
  switch (certainty) {
    case AnswerCertainty::kCertain:
      return "certain";
    case AnswerCertainty::kLikely:
      return "likely";
    case AnswerCertainty::kDoubtful:
      return "doubtful";
  }
  return "unknown";
}

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

EndpointClient::Options ClientOptions(const Config& config) {
  return {.threads = MaxCallThreads(config),
          .max_idle_connections = MaxIdleConnections(config),
          .group_size = config.policy_settings.group_size,
          .connection_idle = config.connection_idle_timeout,
          .connect_timeout = duration_cast<milliseconds>(config.connect_timeout)};
}

std::string FormatRequest(const Endpoint& endpoint, const std::vector<CallItem>& items,
                          milliseconds time_left) {
  if (items.empty()) return HttpGet(kHealthCheckPath, endpoint.address);
  if (items.size() == 1) return FormatSingleCall(endpoint.address, items[0], time_left);
  return FormatBatchCall(endpoint.address, items, time_left);
}

void LogCallCompleted(const PendingCall& call, const EndpointCallResult& result,
                      milliseconds elapsed) {
  if (!observe::ShouldLog(Concern::kEngine, Level::kDebug)) return;
  observe::Log(
      Concern::kEngine, Level::kDebug, "call completed",
      {{"call", result.call_id},
       {"endpoint", call.endpoint},
       {"messages", call.attempts.size()},
       {"outcome", static_cast<int>(result.outcome)},
       {"status", result.status},
       {"retry_after_ms", result.retry_after_ms},
       {"elapsed_ms", elapsed.count()},
       {"connection", result.connection_use.connection},
       {"connection_calls", result.connection_use.calls},
       {"certainty", ToString(result.certainty)},
       {"idle_before_ms", duration_cast<milliseconds>(result.connection_use.idle_before).count()},
       {"load", result.load_report}});
}

void LogCallStarted(CallId id, const PendingCall& call, const Endpoint& endpoint) {
  if (!observe::ShouldLog(Concern::kEngine, Level::kDebug)) return;
  for (const PendingAttempt& attempt : call.attempts) {
    observe::Log(Concern::kEngine, Level::kDebug, "call started",
                 {{"call", id},
                  {"endpoint", endpoint.name},
                  {"id", attempt.client_id},
                  {"attempt", attempt.spool_index}});
  }
}

// What the call requires of its connection. A doubtful refusal would fail a message that may not be
// repeated.
AnswerNeed AnswerNeedOf(const PendingCall& call, const MessageTable& messages) {
  const bool repeatable =
      std::all_of(call.attempts.begin(), call.attempts.end(), [&](const PendingAttempt& attempt) {
        return messages.Find(attempt.message)->effect != dispatch_policy::Effect::kNotIdempotent;
      });
  return repeatable ? AnswerNeed::kAny : AnswerNeed::kSettled;
}

// Whether the answer to a call ends all of its messages, so that none is sent again.
bool EndsAllMessages(const EndpointCallResult& answer, const std::vector<std::string>& batch_ids) {
  const std::vector<AttemptResult> results = ParseAnswer(answer, batch_ids);
  return std::all_of(results.begin(), results.end(),
                     [](const AttemptResult& result) { return result.end.has_value(); });
}

void LogRetryAfter(const CallTarget& target, milliseconds retry_after) {
  observe::Count("retry_after_total");
  observe::LogRateLimited(Concern::kEngine, Level::kInfo, "endpoint asked to wait",
                          {{"endpoint", target.endpoint},
                           {"destination", target.destination},
                           {"retry_after_ms", retry_after.count()},
                           {"binds", target.has_own_rate_limit ? "endpoint" : "destination"}});
}

}  // namespace

std::size_t CallDispatcher::MaxConnections(const Config& config) {
  return MaxCallThreads(config) + MaxIdleConnections(config);
}

CallDispatcher::CallDispatcher(const Context& context, BufferPool& buffers,
                               EndpointClient::OnResult on_result, SetDeadline set_deadline)
    : context_(context),
      set_deadline_(std::move(set_deadline)),
      calls_(MaxConcurrentCalls(context.config)),
      endpoint_client_(ClientOptions(context.config), buffers, std::move(on_result)) {}

void CallDispatcher::StartHealthCheck(const dispatch_policy::StartHealthCheck& action,
                                      Time decided_at) {
  calls_.AddHealthCheck(action.endpoint, decided_at, decided_at + context_.config.connect_timeout);
}

void CallDispatcher::Send(const dispatch_policy::SendAttempt& action, Time decided_at) {
  DecidedAttempt decided;
  decided.attempt.message = action.message;
  decided.endpoint = action.endpoint;
  decided.max_batch = context_.endpoints.MaxBatch(action.endpoint);
  decided.decided_at = decided_at;
  decided.start_by = action.start_by;
  decided.deadline = decided_at + action.timeout;
  if (InFlightMessage* message = context_.messages.Find(action.message)) {
    decided.attempt.client_id = message->client_id;
    decided.attempt.attempt = message->attempts_decided++;
    const CallItem item{message->client_id, message->key, message->body};
    decided.bytes = FormatBatchItem(item).size() + kBatchItemOverheadBytes;
  }
  calls_.AddAttempt(std::move(decided));
}

void CallDispatcher::Cancel(const dispatch_policy::CancelAttempt& action) {
  const bool message_over = !context_.messages.IsDeliverable(action.message);
  calls_.CancelAttempt(action.message, action.attempt, message_over);
}

bool CallDispatcher::IsDeliverable(MessageId message) const {
  return context_.messages.IsDeliverable(message);
}

bool CallDispatcher::IsAcknowledged(MessageId message) const {
  return context_.messages.Find(message)->acknowledged;
}

bool CallDispatcher::Start(CallId id, PendingCall& call, Time now) {
  const Endpoint& endpoint = context_.endpoints.At(call.endpoint);
  std::vector<CallItem> items;
  for (PendingAttempt& attempt : call.attempts) {
    const auto spool_index = context_.messages.BeginAttempt(attempt.message, endpoint, now,
                                                            context_.messages.SpoolTime());
    if (!spool_index) return false;
    attempt.spool_index = *spool_index;
    const InFlightMessage& message = *context_.messages.Find(attempt.message);
    items.push_back({message.client_id, message.key, message.body});
  }
  if (items.size() > 1) call.deadline -= CallTracker::kBatchTimeoutMargin;
  const milliseconds time_left = std::max(CeilToMs(call.deadline - now), milliseconds(0));
  call.started_at = now;
  context_.latencies.start.Add(now - call.decided_at);
  LogCallStarted(id, call, endpoint);
  call.endpoint_call = std::make_shared<EndpointCall>(
      id, call.endpoint, endpoint.address, FormatRequest(endpoint, items, time_left),
      ToTimePoint(call.start_by), CallPermit(call.endpoint), AnswerNeedOf(call, context_.messages),
      [batch_ids = BatchIds(call)](const EndpointCallResult& answer) {
        return EndsAllMessages(answer, batch_ids);
      });
  set_deadline_(call.deadline, {DeadlineKind::kCallTimeout, id});
  endpoint_client_.Start(call.endpoint_call);
  return true;
}

void CallDispatcher::OnResult(const EndpointCallResult& result) {
  const auto call = calls_.Complete(result.call_id);
  if (!call) return;
  ScheduleIdleExpiry();
  CompleteCall(*call, result, Now());
  const milliseconds retry_after = ParseRetryAfter(result);
  if (retry_after <= milliseconds(0)) return;
  LogRetryAfter(context_.endpoints.Target(call->endpoint), retry_after);
  // The Retry-After applies to all calls under the same rate limit whose requests are not yet being
  // written.
  calls_.WithdrawCalls(
      [&](auto endpoint) { return context_.endpoints.SharesRateLimit(call->endpoint, endpoint); });
}

void CallDispatcher::CompleteCall(const PendingCall& call, const EndpointCallResult& result,
                                  Time now) {
  const dispatch_policy::Duration elapsed = now - call.started_at;
  const milliseconds retry_after = ParseRetryAfter(result);
  const dispatch_policy::LoadReport report = ParseLoadReport(result);
  const dispatch_policy::Outcome outcome = ParseSingleAnswer(result).outcome;
  LogCallCompleted(call, result, duration_cast<milliseconds>(elapsed));
  if (call_observer_ != nullptr) {
    call_observer_->OnCallCompleted({context_.endpoints.Target(call.endpoint), outcome,
                                     call.health_check, ToTimePoint(call.started_at), retry_after,
                                     report});
  }
  if (call.health_check) {
    context_.policy_events.emplace_back(
        dispatch_policy::HealthCheckCompleted{call.endpoint, outcome, elapsed, report});
    return;
  }
  const std::vector<AttemptResult> results = ReadCallAnswer(call, result, context_.messages, now);
  for (std::size_t i = 0; i < results.size(); ++i) {
    dispatch_policy::AttemptCompleted completed;
    completed.elapsed = elapsed;
    completed.retry_after = retry_after;
    completed.report = report;
    CompleteAttempt(call, call.attempts[i], results[i], completed, now);
  }
}

void CallDispatcher::OnAttemptNotSent(const PendingCall& call, const PendingAttempt& attempt,
                                      Time now) {
  CompleteAttempt(call, attempt, WithoutAnswer(dispatch_policy::Outcome::kNotSent), {}, now);
}

// `completed` holds the part of the call's answer that applies to all attempts.
void CallDispatcher::CompleteAttempt(const PendingCall& call, const PendingAttempt& attempt,
                                     const AttemptResult& result,
                                     dispatch_policy::AttemptCompleted completed, Time now) {
  if (call.endpoint_call) {
    context_.messages.CompleteAttempt(attempt.message, attempt.spool_index, result, now);
  }
  observe::Count("attempts_total", {"outcome", ToString(result.outcome)});
  completed.message = attempt.message;
  completed.attempt = attempt.attempt;
  completed.endpoint = call.endpoint;
  completed.outcome = result.outcome;
  completed.may_have_run = result.may_have_run;
  completed.finished = result.end || context_.messages.Find(attempt.message) == nullptr;
  context_.policy_events.emplace_back(completed);
}

std::function<bool()> CallDispatcher::CallPermit(dispatch_policy::EndpointId endpoint) const {
  if (call_observer_ == nullptr && exclusions_ == nullptr) return nullptr;
  return [observer = call_observer_, exclusions = exclusions_,
          target = context_.endpoints.Target(endpoint)] {
    if (exclusions != nullptr && exclusions->IsExcluded(target.endpoint)) return false;
    return observer == nullptr || observer->AllowsCall(target);
  };
}

void CallDispatcher::OnEndpointsChanged() {
  calls_.WithdrawCalls([this](auto endpoint) { return !context_.endpoints.IsServing(endpoint); });
  for (const auto endpoint : context_.endpoints.NotServing()) {
    endpoint_client_.RemoveEndpoint(endpoint);
  }
}

void CallDispatcher::CancelAll() {
  calls_.WithdrawCalls([](auto) { return true; });
  calls_.StopStarted();
}

void CallDispatcher::OnEndpointForgotten(dispatch_policy::EndpointId endpoint) {
  // A call that was in flight when the endpoint was removed may have left an idle connection.
  endpoint_client_.RemoveEndpoint(endpoint);
}

void CallDispatcher::OnIdleConnectionExpiry() {
  idle_expiry_at_ = Time::max();
  endpoint_client_.CloseExpiredIdle();
  ScheduleIdleExpiry();
}

void CallDispatcher::ScheduleIdleExpiry() {
  const Time next = endpoint_client_.NextIdleExpiry().time_since_epoch();
  if (next >= idle_expiry_at_) return;
  idle_expiry_at_ = next;
  set_deadline_(next, {DeadlineKind::kIdleConnectionExpiry});
}

}  // namespace brassfront
