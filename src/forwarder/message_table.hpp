// The messages in flight: accepted and not ended. The table updates their spool records, their
// histories (MessageTrace) and the final answers that the platform still needs (FinalAnswerLedger),
// and finds them by id and by the client's id.
#ifndef BRASSFRONT_FORWARDER_MESSAGE_TABLE_HPP_
#define BRASSFRONT_FORWARDER_MESSAGE_TABLE_HPP_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dispatch_policy/dispatch_policy.hpp"
#include "forwarder/attempt_result.hpp"
#include "forwarder/endpoint_registry.hpp"
#include "forwarder/final_answer_ledger.hpp"
#include "forwarder/message_totals.hpp"
#include "forwarder/message_trace.hpp"
#include "protocol/delivery_request.hpp"
#include "spool/spool.hpp"

namespace brassfront {

enum class MessageProgress {
  kDeliverable,
  kGivenUp,  // its notification is not confirmed yet
};

struct InFlightMessage {
  std::string client_id{};
  std::string key{};  // the idempotency key; empty if there is none
  std::string body{};
  dispatch_policy::Effect effect = dispatch_policy::Effect::kNotIdempotent;
  bool acknowledged = false;  // its client knows that it was accepted
  MessageProgress progress = MessageProgress::kDeliverable;
  std::optional<Notification> held_notification{};  // posted once the message is acknowledged
  dispatch_policy::Time notification_due{};
  TraceStep final_step = TraceStep::kNotified;  // once the notification is confirmed
  std::size_t attempts_recorded = 0;            // in the spool, also by earlier processes
  std::size_t attempts_decided = 0;             // by the policy of this process
};

// Used only by the engine's thread. Reads no clock: the caller passes all times.
class MessageTable {
 public:
  using MessageId = dispatch_policy::MessageId;  // the same number in the spool
  using Time = dispatch_policy::Time;
  using Duration = dispatch_policy::Duration;

  struct Limits {
    std::size_t max_in_flight = 0;   // limit for deliverable messages; 0: unlimited
    std::size_t max_body_bytes = 0;  // limit for the total size of all bodies
  };

  // A restored message is not overdue before this time after the restart, because its notification
  // may have to wait for the platform.
  static constexpr Duration kMinTimeAfterRestore = std::chrono::milliseconds(1500);
  // The policy has at least this much time to decide about a restored message, even if its deadline
  // has passed.
  static constexpr Duration kMinDecisionTimeAfterRestore = std::chrono::milliseconds(200);
  // The notification that follows a doubtful delivery is posted after one to two times this, with
  // others, but earlier if the message has less time left.
  static constexpr Duration kDoubtfulDeliveryDelay = std::chrono::milliseconds(250);

  // The spool must outlive the table.
  MessageTable(Spool& spool, const Limits& limits);

  // ---- adding messages ----

  [[nodiscard]] bool HasClientId(const std::string& client_id) const;
  // Whether one more message with a body of that size is within the limits.
  [[nodiscard]] bool HasCapacityFor(std::size_t body_bytes) const;
  // Adds a message that the spool has not recorded yet.
  [[nodiscard]] MessageId Add(
      const DeliveryRequest& request,
      dispatch_policy::Effect effect = dispatch_policy::Effect::kNotIdempotent);
  // Records an added message in the spool. The message's time counts from `received_at`. If the
  // spool has no room, removes the message and returns false.
  [[nodiscard]] bool Persist(MessageId message, DeliveryRequest request, Time received_at, Time now,
                             UnixMs unix_now);
  // Removes a message that is not in the spool.
  void Remove(MessageId message);
  // Adds a message that an earlier process had accepted. If that process had given it up, the
  // message stays given up, and the recorded notification is posted.
  void AddRestored(RecoveredMessage message, Duration time_left, Time now,
                   dispatch_policy::Effect effect = dispatch_policy::Effect::kNotIdempotent);

  // ---- progress ----

  // Returns null if the message is not in flight.
  [[nodiscard]] InFlightMessage* Find(MessageId message);
  [[nodiscard]] const InFlightMessage* Find(MessageId message) const;
  // Whether the message is in flight and not given up.
  [[nodiscard]] bool IsDeliverable(MessageId message) const;
  void Acknowledge(MessageId message, Time now);
  // Records an attempt of a message in flight in the spool, before its first byte is sent, and
  // returns the spool's number of the attempt. Returns nothing if the attempt cannot be recorded;
  // it must not be sent then.
  [[nodiscard]] std::optional<std::size_t> BeginAttempt(MessageId message, const Endpoint& endpoint,
                                                        Time now, UnixMs unix_now);
  // Must be called when a started attempt has completed. Ends the message as the result says, and
  // records that the attempt did not run if the message has not ended. The message may have ended
  // before.
  void CompleteAttempt(MessageId message, std::size_t spool_index, const AttemptResult& result,
                       Time now);
  // Gives the message up: it will not be delivered. The spool records that first. The notification,
  // whose client id is set here, is posted once the message is acknowledged, and repeated until it
  // is confirmed, which ends the message. `reason` is for the log. Has no effect if the message has
  // ended or was given up before.
  void GiveUp(const Notification& notification, std::string_view reason, Time now);
  // Whether the platform is certain to count an answer of 200 at this time as the message's
  // delivery. In a call with several messages this must hold for each of them.
  [[nodiscard]] bool IsDeliveryCertain(MessageId message, Time now) const {
    return IsDeliverable(message) && final_answers_.IsDeliveryCertain(message, now);
  }
  // Must be called when the platform has confirmed the notifications of these messages. Returns
  // when each notification was due.
  std::vector<Time> EndNotified(std::span<const MessageId> messages, Time now);
  // Records the end of a message in flight in the spool, the log and the history, and removes it.
  void End(MessageId message, TraceStep final_step, Time now);

  // ---- all messages ----

  // Returns the spool's current time, for recording events that happen now.
  [[nodiscard]] UnixMs SpoolTime() const { return spool_.Now(); }

  // Writes the messages that are overdue by `now` to the log.
  void LogOverdue(Time now);
  [[nodiscard]] Time NextOverdue() const { return trace_.NextOverdue(); }
  [[nodiscard]] std::uint64_t overdue() const { return trace_.overdue(); }
  [[nodiscard]] FinalAnswerLedger& final_answers() { return final_answers_; }
  [[nodiscard]] const FinalAnswerLedger& final_answers() const { return final_answers_; }
  // Returns the message's steps, for the log; empty if the message is not in flight.
  [[nodiscard]] std::string History(MessageId message) const { return trace_.History(message); }
  [[nodiscard]] std::size_t size() const { return messages_.size(); }
  [[nodiscard]] std::size_t deliverable() const { return deliverable_; }
  [[nodiscard]] const MessageTotals& totals() const { return totals_; }

 private:
  void Insert(MessageId id, InFlightMessage message);
  void Conclude(MessageId message, MessageEnd end, Time now);
  void ConfirmDelivery(MessageId message, Time now);
  [[nodiscard]] Time SharedNotificationTime(MessageId message, Time now) const;
  void StopDelivery(const Notification& notification, InFlightMessage& found);
  void Notify(const Notification& notification, InFlightMessage& found, Time now);

  Spool& spool_;
  const Limits limits_;
  std::map<MessageId, InFlightMessage> messages_;
  std::unordered_map<std::string, MessageId> ids_by_client_id_;
  MessageTrace trace_;
  FinalAnswerLedger final_answers_;
  MessageTotals totals_;
  std::size_t deliverable_ = 0;
  std::size_t body_bytes_ = 0;
  MessageId next_id_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_MESSAGE_TABLE_HPP_
