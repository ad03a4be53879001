// The messages that were accepted, their attempts, and the one final answer that each gets.
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

// Owns all Message records and the queues of ordering keys. References to messages are valid until
// the message is forgotten.
class MessageLedger {
 public:
  MessageLedger(DecisionContext& context, EndpointRegistry& registry, AdmissionGate& admission_gate)
      : settings_(context.settings),
        now_(context.now),
        context_(context),
        registry_(registry),
        gate_(admission_gate) {}

  // A client has submitted a message: holds it, or rejects it.
  void AdmitMessage(const MessageArrived& event);

  // Holds a message that an earlier process accepted; it passes the admission gate. Its attempts
  // and when it may first have run still count, so that no limit is exceeded and nothing is sent
  // after its dedup window.
  void RestoreMessage(const MessageRestored& event);

  // Drops a message whose client has gone.
  void CancelMessage(const MessageCancelled& event);

  // Records the end of an attempt: whether the message may have run, and where. Its ordering key
  // cools down if the attempt may still run. Null if the message or its attempt is unknown, or the
  // attempt has an outcome already.
  Message* RecordCompletion(const AttemptCompleted& event);

  // Gives the message up at once: rejects it where submitting it again is harmless, else fails it.
  void GiveUp(Message& message, GiveUpReason reason);

  // The message is over. Its record stays while an attempt is in flight.
  void Finish(Message& message);

  // Drops the record of a message that is over and has no attempt in flight.
  void Forget(const Message& message);

  // Cancels all attempts in flight, where the caller can do so.
  void CancelAttempts(Message& message);

  // Whether no further attempt is allowed.
  [[nodiscard]] bool AttemptsExhausted(const Message& message) const;

  // Whether the receiver may have forgotten the message's idempotency key: it must not be sent
  // again.
  [[nodiscard]] bool DedupWindowExpired(const Message& message) const;

  // Whether the message is the next of its ordering key.
  [[nodiscard]] bool IsNextOfKey(const Message& message) const;

  // The message must have an ordering key.
  [[nodiscard]] Time KeyCooldownEnd(const Message& message) const {
    return keys_.at(message.key).cooldown_until;
  }

  // Drops ordering keys without messages.
  void ForgetIdleKeys();

  // Until when an attempt of the message may start.
  [[nodiscard]] Time LatestStart(const Message& message) const;

  // Until when the message waits for others to join its call.
  [[nodiscard]] Time BatchingDeadline(const Message& message) const;

  // Settings of the message's class.
  [[nodiscard]] const ClassSettings& ClassOf(const Message& message) const {
    return settings_.classes[message.message_class];
  }

  // The message must be known.
  Message& MessageAt(MessageId id) { return messages_.at(id); }

  // All messages that are not forgotten, in ascending order of their ids.
  std::map<MessageId, Message>& messages() { return messages_; }

 private:
  // Queues the message for its destination, and for its key if its class is ordered.
  void Enqueue(Message message, DestinationId destination, const std::string& key);

  // Whether submitting the message again does no harm.
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
