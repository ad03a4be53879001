// The messages in flight: accepted and not ended. It keeps the spool's records of them, their
// histories (MessageTrace) and what is still owed to the platform (FinalAnswerLedger), and finds
// them by id and by the client's id.
#ifndef BRASSFRONT_FORWARDER_MESSAGE_TABLE_HPP_
#define BRASSFRONT_FORWARDER_MESSAGE_TABLE_HPP_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "dispatch_policy/dispatch_policy.hpp"
#include "forwarder/endpoint_registry.hpp"
#include "forwarder/final_answer_ledger.hpp"
#include "forwarder/message_totals.hpp"
#include "forwarder/message_trace.hpp"
#include "protocol/delivery_request.hpp"
#include "spool/spool.hpp"

namespace brassfront {

enum class MessageProgress {
  kDeliverable,
  kUnsettled,  // an answer says that it was delivered, which is not certain yet
  kGivenUp,    // its notification is not confirmed yet
};

struct InFlightMessage {
  std::string client_id{};
  std::string key{};  // the idempotency key; empty: none
  std::string body{};
  bool acknowledged = false;  // its client knows that it was accepted
  MessageProgress progress = MessageProgress::kDeliverable;
  std::optional<Notification> held_notification{};  // until it is acknowledged
  dispatch_policy::Time given_up_at{};
  std::size_t attempts_recorded = 0;  // in the spool, by earlier processes too
  std::size_t attempts_decided = 0;   // by the policy of this process
};

// What an endpoint's answer makes of a message.
enum class MessageEnd {
  kDelivered,           // for certain
  kDeliveredInDoubt,    // the platform may not count the answer
  kDeliveredUnsettled,  // the answer may be that of an earlier call
  kGone                 // nothing more is owed, as the endpoint says
};

// Used by the engine's thread alone. Knows no clock: times are the caller's.
class MessageTable {
 public:
  using MessageId = dispatch_policy::MessageId;  // the same number in the spool
  using Time = dispatch_policy::Time;
  using Duration = dispatch_policy::Duration;

  struct Limits {
    std::size_t max_in_flight = 0;   // messages that are not given up; 0: unlimited
    std::size_t max_body_bytes = 0;  // of all bodies together
  };

  // A restored message is overdue no earlier than this after the restart: its notification may have
  // to wait for the platform.
  static constexpr Duration kMinTimeAfterRestore = std::chrono::milliseconds(1500);
  // The policy has so much time to decide about a restored message, however old it is.
  static constexpr Duration kMinDecisionTimeAfterRestore = std::chrono::milliseconds(200);

  // The spool outlives the table.
  MessageTable(Spool& spool, const Limits& limits);

  // ---- entering ----

  [[nodiscard]] bool HasClientId(const std::string& client_id) const;
  // Whether one more message with a body of that size is within the limits.
  [[nodiscard]] bool HasCapacityFor(std::size_t body_bytes) const;
  // Enters a message that the spool has not recorded yet.
  [[nodiscard]] MessageId Add(const DeliveryRequest& request);
  // Records an added message in the spool; its time counts from its receipt. False if the spool
  // has no room: the message is removed.
  [[nodiscard]] bool Persist(MessageId message, DeliveryRequest request, Time received_at, Time now,
                             UnixMs unix_now);
  // Removes a message that is not in the spool.
  void Remove(MessageId message);
  // Enters a message that an earlier process had accepted. One that it had given up stays given up,
  // and is notified as it was to be.
  void AddRestored(RecoveredMessage message, Duration time_left, Time now);

  // ---- progress ----

  // None if the message is not in flight.
  [[nodiscard]] InFlightMessage* Find(MessageId message);
  [[nodiscard]] const InFlightMessage* Find(MessageId message) const;
  // In flight, not given up, and no answer says that it was delivered.
  [[nodiscard]] bool IsDeliverable(MessageId message) const;
  void Acknowledge(MessageId message, Time now);
  // Records an attempt of a message in flight in the spool before its first byte, and returns
  // the spool's number of it. None if it cannot be recorded: it must not be sent.
  [[nodiscard]] std::optional<std::size_t> BeginAttempt(MessageId message, const Endpoint& endpoint,
                                                        Time now, UnixMs unix_now);
  // An attempt that was started has completed; the message may have ended before.
  void CompleteAttempt(MessageId message, std::size_t spool_index, dispatch_policy::Outcome outcome,
                       Time now);
  // The message will not be delivered, which the spool records first: the notification, which gets
  // its client's id here, is posted once the message is acknowledged and until it is confirmed,
  // which ends the message. `reason`: for the log. Without effect if the message has ended or was
  // given up before.
  void GiveUp(Notification notification, std::string_view reason, Time now);
  // Whether an answer of 200 at this time is certain to be counted by the platform as the message's
  // delivery. For a call with several messages it must be so for each of them.
  [[nodiscard]] bool IsDeliveryCertain(MessageId message, Time now) const {
    return IsDeliverable(message) && final_answers_.IsDeliveryCertain(message, now);
  }
  // An endpoint has answered that the message is over. Ends the message if it was delivered for
  // certain; else the platform is notified as well, which does no harm, unless the delivery is yet
  // to be settled. Without effect if the message has ended or was given up before.
  void Conclude(MessageId message, MessageEnd end, Time now);
  // The unsettled delivery of a message is certain, or is in doubt. Without effect if there is
  // none.
  void SettleDelivery(MessageId message, bool is_certain, Time now);
  // Records the end of a message in flight in spool, log and history, and removes it.
  void End(MessageId message, TraceStep final_step, Time now);

  // ---- all messages ----

  // The time to be recorded for what happens now.
  [[nodiscard]] UnixMs SpoolTime() const { return spool_.Now(); }

  // Writes the messages that are overdue by `now` to the log.
  void LogOverdue(Time now);
  [[nodiscard]] Time NextOverdue() const { return trace_.NextOverdue(); }
  [[nodiscard]] std::uint64_t overdue() const { return trace_.overdue(); }
  [[nodiscard]] FinalAnswerLedger& final_answers() { return final_answers_; }
  [[nodiscard]] const FinalAnswerLedger& final_answers() const { return final_answers_; }
  // The message's steps, for the log; empty if it is not in flight.
  [[nodiscard]] std::string History(MessageId message) const { return trace_.History(message); }
  [[nodiscard]] std::size_t size() const { return messages_.size(); }
  [[nodiscard]] std::size_t deliverable() const { return deliverable_; }
  [[nodiscard]] const MessageTotals& totals() const { return totals_; }

 private:
  void Insert(MessageId id, InFlightMessage message);
  void AwaitSettlement(MessageId message);

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
