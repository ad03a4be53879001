#include "forwarder/message_table.hpp"

#include <algorithm>
#include <utility>

#include "forwarder/endpoint_protocol.hpp"
#include "observe/log.hpp"
#include "observe/metrics.hpp"

namespace brassfront {

using observe::Concern;
using observe::Level;

namespace {

// While the spool cannot be read, the ids that it has used are unknown. Ids far above them are
// assigned then. They start at the spool's time, so that no two processes start at the same id.
MessageTable::MessageId FirstIdWithoutSpool(const Spool& spool) {
  constexpr MessageTable::MessageId kFarAbove = MessageTable::MessageId{1} << 52;
  return kFarAbove + static_cast<MessageTable::MessageId>(spool.Now().count()) * 1024;
}

}  // namespace

MessageTable::MessageTable(Spool& spool, const Limits& limits)
    : spool_(spool),
      limits_(limits),
      next_id_(spool.is_available() ? spool.next_number() : FirstIdWithoutSpool(spool)) {}

bool MessageTable::HasClientId(const std::string& client_id) const {
  return ids_by_client_id_.count(client_id) != 0;
}

bool MessageTable::HasCapacityFor(std::size_t body_bytes) const {
  const bool below_max = limits_.max_in_flight == 0 || deliverable_ < limits_.max_in_flight;
  return below_max && body_bytes_ + body_bytes <= limits_.max_body_bytes;
}

MessageTable::MessageId MessageTable::Add(const DeliveryRequest& request,
                                          dispatch_policy::Effect effect) {
  const MessageId id = next_id_++;
  Insert(id, {.client_id = request.id, .key = request.key, .body = request.body, .effect = effect});
  return id;
}

void MessageTable::AddRestored(RecoveredMessage message, Duration time_left, Time now,
                               dispatch_policy::Effect effect) {
  const std::size_t attempts = message.attempts.size();
  ++totals_.restored;
  observe::Count("messages_restored_total");
  next_id_ = std::max(next_id_, message.spool_id + 1);
  Insert(message.spool_id, {.client_id = std::move(message.message.id),
                            .key = std::move(message.message.key),
                            .body = std::move(message.message.body),
                            .effect = effect,
                            .acknowledged = true,
                            .attempts_recorded = attempts});
  trace_.Begin(message.spool_id, now, now + std::max(time_left, kMinTimeAfterRestore),
               TraceStep::kRestored, static_cast<std::uint32_t>(attempts));
  final_answers_.Open(message.spool_id, now + time_left,
                      now + std::max(time_left, kMinDecisionTimeAfterRestore));
  if (!message.give_up) return;
  GiveUp({.message = message.spool_id,
          .retry_allowed = message.give_up->retry_allowed,
          .retry_after = message.give_up->retry_after},
         "given-up-before", now);
}

void MessageTable::Insert(MessageId id, InFlightMessage message) {
  ++deliverable_;
  body_bytes_ += message.body.size();
  ids_by_client_id_[message.client_id] = id;
  messages_[id] = std::move(message);
}

bool MessageTable::Persist(MessageId message, DeliveryRequest request, Time received_at, Time now,
                           UnixMs unix_now) {
  const Time deadline = received_at + request.time_left;
  const SpooledMessage record{
      std::move(request.id),
      std::move(request.key),
      std::move(request.class_name),
      std::move(request.tenant_name),
      request.destination,
      unix_now + std::chrono::floor<std::chrono::milliseconds>(deadline - now),
      std::move(request.body)};
  if (!spool_.Accept(message, record)) {
    Remove(message);
    return false;
  }
  ++totals_.accepted;
  observe::Count("messages_accepted_total");
  trace_.Begin(message, received_at, deadline, TraceStep::kAccepted);
  final_answers_.Open(message, deadline);
  return true;
}

void MessageTable::Remove(MessageId message) {
  const auto it = messages_.find(message);
  if (it == messages_.end()) return;
  if (it->second.progress == MessageProgress::kDeliverable) --deliverable_;
  body_bytes_ -= it->second.body.size();
  ids_by_client_id_.erase(it->second.client_id);
  messages_.erase(it);
}

InFlightMessage* MessageTable::Find(MessageId message) {
  const auto it = messages_.find(message);
  return it == messages_.end() ? nullptr : &it->second;
}

const InFlightMessage* MessageTable::Find(MessageId message) const {
  const auto it = messages_.find(message);
  return it == messages_.end() ? nullptr : &it->second;
}

bool MessageTable::IsDeliverable(MessageId message) const {
  const InFlightMessage* found = Find(message);
  return found != nullptr && found->progress == MessageProgress::kDeliverable;
}

void MessageTable::Acknowledge(MessageId message, Time now) {
  InFlightMessage* found = Find(message);
  if (found == nullptr) return;
  found->acknowledged = true;
  trace_.Note(message, now, TraceStep::kAcknowledged);
  if (const auto held = std::exchange(found->held_notification, std::nullopt)) {
    final_answers_.Notify(*held, now, found->notification_due);
  }
}

std::optional<std::size_t> MessageTable::BeginAttempt(MessageId message, const Endpoint& endpoint,
                                                      Time now, UnixMs unix_now) {
  if (!spool_.BeginAttempt(message, endpoint.name, unix_now)) return std::nullopt;
  trace_.Note(message, now, TraceStep::kStarted,
              static_cast<std::uint32_t>(endpoint.entry.endpoint));
  return messages_.at(message).attempts_recorded++;
}

// The end is recorded before anything else: a process that is killed in between must not leave a
// message that the next one calls again.
void MessageTable::CompleteAttempt(MessageId message, std::size_t spool_index,
                                   const AttemptResult& result, Time now) {
  trace_.Note(message, now, TraceStep::kCompleted, static_cast<std::uint32_t>(result.outcome));
  if (result.end) return Conclude(message, *result.end, now);
  if (!result.may_have_run) spool_.MarkNotRun(message, spool_index);
}

void MessageTable::Conclude(MessageId message, MessageEnd end, Time now) {
  if (!IsDeliverable(message)) return;
  switch (end) {
    case MessageEnd::kDelivered:
      return End(message, TraceStep::kDelivered, now);
    case MessageEnd::kDeliveredLate:
      return GiveUp({.message = message}, "delivered-late", now);
    case MessageEnd::kDeliveredDoubtful:
      return ConfirmDelivery(message, now);
    case MessageEnd::kOver:
      return GiveUp({.message = message}, "gone", now);
    case MessageEnd::kExhausted:
      return GiveUp({.message = message}, "exhausted", now);
  }
}

// Returns the next common time for the notifications of doubtful deliveries, at least
// kDoubtfulDeliveryDelay from now, so that many of them share a post. Earlier if the message has
// less time left.
MessageTable::Time MessageTable::SharedNotificationTime(MessageId message, Time now) const {
  const Time shared = (now / kDoubtfulDeliveryDelay + 2) * Time(kDoubtfulDeliveryDelay);
  const Duration time_left = final_answers_.TimeLeft(message, now);
  return std::clamp(now + time_left - FinalAnswerLedger::kDeliveryMargin, now, shared);
}

// The platform is notified as well: that does no harm if the message was delivered, and ends it
// otherwise. Many messages share a post.
void MessageTable::ConfirmDelivery(MessageId message, Time now) {
  observe::Count("doubtful_deliveries_total");
  InFlightMessage& found = messages_.at(message);
  found.notification_due = SharedNotificationTime(message, now);
  found.final_step = TraceStep::kDelivered;
  body_bytes_ -= found.body.size();
  found.body.clear();
  trace_.Note(message, now, TraceStep::kGivenUp);
  StopDelivery({.message = message}, found);
  Notify({.message = message}, found, now);
  if (!observe::ShouldLog(Concern::kEngine, Level::kDebug)) return;
  const auto due =
      std::chrono::duration_cast<std::chrono::milliseconds>(found.notification_due - now);
  observe::Log(Concern::kEngine, Level::kDebug, "delivery confirmed by a notification",
               {{"id", found.client_id}, {"due_ms", due.count()}});
}

void MessageTable::GiveUp(const Notification& notification, std::string_view reason, Time now) {
  InFlightMessage* found = Find(notification.message);
  if (found == nullptr || found->progress == MessageProgress::kGivenUp) return;
  found->notification_due = now;
  trace_.Note(notification.message, now, TraceStep::kGivenUp, notification.retry_allowed ? 1 : 0);
  StopDelivery(notification, *found);
  Notify(notification, *found, now);
  observe::Log(Concern::kEngine, Level::kInfo, "message given up",
               {{"id", found->client_id},
                {"reason", reason},
                {"notification", notification.retry_allowed ? "deferred" : "undeliverable"},
                {"history", trace_.History(notification.message)}});
}

// Records that the message is not called again, in the spool first.
void MessageTable::StopDelivery(const Notification& notification, InFlightMessage& found) {
  found.progress = MessageProgress::kGivenUp;
  --deliverable_;
  spool_.GiveUp(notification.message, {.retry_allowed = notification.retry_allowed,
                                       .retry_after = notification.retry_after});
  final_answers_.GiveUp(notification.message);
}

// Posts the notification when it is due, but not before the message is acknowledged.
void MessageTable::Notify(const Notification& notification, InFlightMessage& found, Time now) {
  Notification identified = notification;
  identified.id = found.client_id;
  if (found.acknowledged) {
    final_answers_.Notify(identified, now, found.notification_due);
  } else {
    found.held_notification = std::move(identified);
  }
}

std::vector<MessageTable::Time> MessageTable::EndNotified(std::span<const MessageId> messages,
                                                          Time now) {
  spool_.FinishTogether(messages);  // End records the others
  std::vector<Time> due;
  for (const MessageId message : messages) {
    const InFlightMessage& found = messages_.at(message);
    due.push_back(found.notification_due);
    End(message, found.final_step, now);
  }
  return due;
}

void MessageTable::End(MessageId message, TraceStep final_step, Time now) {
  spool_.Finish(message);
  totals_.CountEnd(final_step);
  observe::Count("messages_ended_total", {"reason", ToString(final_step)});
  if (observe::ShouldLog(Concern::kEngine, Level::kDebug)) {
    observe::Log(Concern::kEngine, Level::kDebug, "message ended",
                 {{"id", messages_.at(message).client_id},
                  {"reason", ToString(final_step)},
                  {"history", trace_.History(message)}});
  }
  trace_.Note(message, now, final_step);
  final_answers_.Close(message);
  Remove(message);
}

void MessageTable::LogOverdue(Time now) {
  for (const MessageTrace::Overdue& late : trace_.TakeOverdue(now)) {
    const InFlightMessage* message = Find(late.message);
    observe::Log(Concern::kEngine, Level::kError, "message overdue",
                 {{"id", message == nullptr ? "" : message->client_id},
                  {"state", ToString(late.state)},
                  {"history", late.history},
                  {"overdue", trace_.overdue()}});
  }
}

}  // namespace brassfront
