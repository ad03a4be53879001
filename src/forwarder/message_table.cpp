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

MessageTable::MessageId MessageTable::Add(const DeliveryRequest& request) {
  const MessageId id = next_id_++;
  Insert(id, {.client_id = request.id, .key = request.key, .body = request.body});
  return id;
}

void MessageTable::AddRestored(RecoveredMessage message, Duration time_left, Time now) {
  const std::size_t attempts = message.attempts.size();
  ++totals_.restored;
  observe::Count("messages_restored_total");
  next_id_ = std::max(next_id_, message.spool_id + 1);
  Insert(message.spool_id, {.client_id = std::move(message.message.id),
                            .key = std::move(message.message.key),
                            .body = std::move(message.message.body),
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
    final_answers_.Notify(*held, now);
  }
}

std::optional<std::size_t> MessageTable::BeginAttempt(MessageId message, const Endpoint& endpoint,
                                                      Time now, UnixMs unix_now) {
  if (!spool_.BeginAttempt(message, endpoint.name, unix_now)) return std::nullopt;
  trace_.Note(message, now, TraceStep::kStarted,
              static_cast<std::uint32_t>(endpoint.entry.endpoint));
  return messages_.at(message).attempts_recorded++;
}

void MessageTable::CompleteAttempt(MessageId message, std::size_t spool_index,
                                   dispatch_policy::Outcome outcome, Time now) {
  if (KnownNotRun(outcome)) spool_.MarkNotRun(message, spool_index);
  trace_.Note(message, now, TraceStep::kCompleted, static_cast<std::uint32_t>(outcome));
}

void MessageTable::GiveUp(Notification notification, std::string_view reason, Time now) {
  InFlightMessage* found = Find(notification.message);
  if (found == nullptr || found->progress == MessageProgress::kGivenUp) return;
  const auto before = std::exchange(found->progress, MessageProgress::kGivenUp);
  if (before == MessageProgress::kDeliverable) --deliverable_;
  found->given_up_at = now;
  trace_.Note(notification.message, now, TraceStep::kGivenUp, notification.retry_allowed ? 1 : 0);
  notification.id = found->client_id;
  spool_.GiveUp(notification.message, {.retry_allowed = notification.retry_allowed,
                                       .retry_after = notification.retry_after});
  final_answers_.GiveUp(notification.message);
  if (found->acknowledged) {
    final_answers_.Notify(notification, now);
  } else {
    found->held_notification = notification;
  }
  observe::Log(Concern::kEngine, Level::kInfo, "message given up",
               {{"id", notification.id},
                {"reason", reason},
                {"notification", notification.retry_allowed ? "deferred" : "undeliverable"},
                {"history", trace_.History(notification.message)}});
}

void MessageTable::Conclude(MessageId message, MessageEnd end, Time now) {
  if (!IsDeliverable(message)) return;
  switch (end) {
    case MessageEnd::kDelivered:
      return End(message, TraceStep::kDelivered, now);
    case MessageEnd::kDeliveredInDoubt:
      return GiveUp({.message = message}, "delivered-late", now);
    case MessageEnd::kDeliveredUnsettled:
      return AwaitSettlement(message);
    case MessageEnd::kGone:
      return GiveUp({.message = message}, "gone", now);
  }
}

// The spool keeps the message, and its body, until the delivery is certain.
void MessageTable::AwaitSettlement(MessageId message) {
  InFlightMessage& unsettled = messages_.at(message);
  unsettled.progress = MessageProgress::kUnsettled;
  --deliverable_;
  body_bytes_ -= unsettled.body.size();
  unsettled.body.clear();
}

void MessageTable::SettleDelivery(MessageId message, bool is_certain, Time now) {
  const InFlightMessage* found = Find(message);
  if (found == nullptr || found->progress != MessageProgress::kUnsettled) return;
  if (is_certain) return End(message, TraceStep::kDelivered, now);
  observe::Count("doubtful_deliveries_total");
  GiveUp({.message = message}, "answer-doubtful", now);
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
