// Records of the accepted messages and their attempts. Each message gets exactly one final answer.
#ifndef BRASSFRONT_POLICY_MESSAGE_LEDGER_HPP_
#define BRASSFRONT_POLICY_MESSAGE_LEDGER_HPP_

#include <cstddef>
#include <map>
#include <string>

#include "policy/admission_gate.hpp"
#include "policy/decision_context.hpp"
#include "policy/endpoint_registry.hpp"
#include "policy/policy_state.hpp"
#include "policy/rate_limiter.hpp"

namespace dispatch_policy {

// Owns all Message records and the queues of ordering keys. References to a message are valid until
// Forget drops its record.
class MessageLedger {
 public:
  MessageLedger(DecisionContext& context, EndpointRegistry& registry, AdmissionGate& admission_gate)
      : settings_(context.settings),
        now_(context.now),
        context_(context),
        registry_(registry),
        gate_(admission_gate) {}

  // Accepts or rejects a message that a client has submitted.
  void AdmitMessage(const MessageArrived& event);

  // Accepts a message that an earlier process had accepted; the admission gate does not apply. The
  // earlier attempts and the time when the message may first have run still count, so that no limit
  // is exceeded and the message is not sent after its dedup window.
  void RestoreMessage(const MessageRestored& event);

  // Drops a message whose client has disconnected.
  void CancelMessage(const MessageCancelled& event);

  // Records the end of an attempt: whether the message may have run, and in which zone. If the
  // attempt may still be running, starts the cooldown of the ordering key. Returns null if the
  // message or the attempt is unknown, or if the attempt already has an outcome.
  Message* RecordCompletion(const AttemptCompleted& event);

  // Gives the message up: rejects it if submitting it again is harmless, otherwise fails it.
  void GiveUp(Message& message, GiveUpReason reason);

  // Marks the message as finished. Its record stays while an attempt is in flight.
  void Finish(Message& message);

  // Drops the record of the message if the message is finished and has no attempt in flight.
  void Forget(const Message& message);

  // Cancels all attempts in flight if the caller supports it.
  void CancelAttempts(Message& message);

  // Returns whether no further attempt is allowed.
  [[nodiscard]] bool AttemptsExhausted(const Message& message) const;

  // Returns whether the receiver may have forgotten the message's idempotency key: the message must
  // not be sent again then.
  [[nodiscard]] bool DedupWindowExpired(const Message& message) const;

  // Returns whether the message is the next one of its ordering key.
  [[nodiscard]] bool IsNextOfKey(const Message& message) const;

  // Returns the end of the cooldown of the message's ordering key. The message must have one.
  [[nodiscard]] Time KeyCooldownEnd(const Message& message) const {
    return keys_.at(message.key).cooldown_until;
  }

  // Drops ordering keys that have no messages and are not in cooldown.
  void ForgetIdleKeys();

  // Returns the latest time at which an attempt of the message may start.
  [[nodiscard]] Time LatestStart(const Message& message) const;

  // Returns the time until which the message waits for others to share its call.
  [[nodiscard]] Time BatchingDeadline(const Message& message) const;

  // Returns the settings of the message's class.
  [[nodiscard]] const ClassSettings& ClassOf(const Message& message) const {
    return settings_.classes[message.message_class];
  }

  // Returns the message, which must be known.
  Message& MessageAt(MessageId id) { return messages_.at(id); }

  // Messages whose records have not been dropped, in ascending order of their ids.
  std::map<MessageId, Message>& messages() { return messages_; }

 private:
  // Queues the message for its destination, and for its key if its class is ordered.
  void Enqueue(Message message, DestinationId destination, const std::string& key);

  // Returns whether submitting the message again is harmless.
  [[nodiscard]] bool SafeToResubmit(const Message& message) const;

  const Settings& settings_;
  const Time& now_;
  DecisionContext& context_;
  EndpointRegistry& registry_;
  AdmissionGate& gate_;
  std::map<MessageId, Message> messages_;
  std::map<std::string, OrderingQueue> keys_;
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_MESSAGE_LEDGER_HPP_
