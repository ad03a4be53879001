// Which accepted messages still need their final answer: a delivery, or a notification that the
// platform has confirmed. No I/O and no clock: times are the caller's. Used by one thread.
//
// Each accepted message is opened once and closed once. Whoever decides about deliveries gives it
// up by its deadline; where that does not happen, for whatever reason, TakeExpired says so, and the
// caller gives it up. Its notification is in the outbox from then on until it is closed, but not
// before the message's client knows that it was accepted: a final answer before that may not count.
#ifndef BRASSFRONT_FORWARDER_FINAL_ANSWER_LEDGER_HPP_
#define BRASSFRONT_FORWARDER_FINAL_ANSWER_LEDGER_HPP_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "forwarder/notification_outbox.hpp"

namespace brassfront {

class FinalAnswerLedger {
 public:
  using Time = NotificationOutbox::Time;
  using MessageId = NotificationOutbox::MessageId;

  // An answer that came within so much of the deadline, or later, may be one that the platform does
  // not count: its clock for the message began when the client sent it, and this process may have
  // been held up for 150 ms before it read that, or before it read the answer.
  static constexpr std::chrono::milliseconds kDeliveryMargin{250};

  // Whoever decides about deliveries has so much time behind the deadline: it may count from a
  // moment that is a little later.
  static constexpr std::chrono::milliseconds kDecisionGrace{50};

  // The message was accepted, or taken over from an earlier process. `decided_by`: when it has to
  // be given up at the latest, which is not before its deadline; its grace comes on top. Without
  // effect if it is open.
  void Open(MessageId message, Time deadline, Time give_up_by) {
    const OpenMessage open_message{.deadline = deadline, .expires_at = give_up_by + kDecisionGrace};
    const bool opened = open_.try_emplace(message, open_message).second;
    if (opened) undecided_.insert({open_message.expires_at, message});
  }
  void Open(MessageId message, Time deadline) { Open(message, deadline, deadline); }
  // The message will not be delivered, and Notify follows once its client knows that it was
  // accepted. False if it is not open or was given up before.
  bool GiveUp(MessageId message) {
    const auto it = open_.find(message);
    return it != open_.end() && undecided_.erase({it->second.expires_at, message}) > 0;
  }
  // Posts the notification of a message that was given up, until the message is closed.
  void Notify(const Notification& notification, Time now) {
    if (open_.count(notification.message) > 0) outbox_.Add(notification, now);
  }
  // The message has its final answer, or needs none. False if it was not open.
  bool Close(MessageId message) {
    const auto node = open_.extract(message);
    if (node.empty()) return false;
    undecided_.erase({node.mapped().expires_at, message});
    outbox_.Remove(message);
    return true;
  }

  // Until the deadline, below 0 behind it. Only for a message that is open.
  [[nodiscard]] Time TimeLeft(MessageId message, Time now) const {
    return open_.at(message).deadline - now;
  }
  // Whether a delivery at this time is certain to count. Only for a message that is open.
  [[nodiscard]] bool IsDeliveryCertain(MessageId message, Time now) const {
    return TimeLeft(message, now) >= kDeliveryMargin;
  }
  // The messages that should have been decided about by now, and were not given up. They stay
  // open, and are returned until they are given up or closed.
  [[nodiscard]] std::vector<MessageId> FindExpired(Time now) const {
    std::vector<MessageId> expired;
    for (const auto& [expires_at, message] : undecided_) {
      if (expires_at > now) break;
      expired.push_back(message);
    }
    return expired;
  }

  [[nodiscard]] NotificationOutbox& outbox() { return outbox_; }
  [[nodiscard]] const NotificationOutbox& outbox() const { return outbox_; }
  // When to look for expired messages and posts next; Time::max() if there is neither.
  [[nodiscard]] Time NextWakeUp() const {
    if (undecided_.empty()) return outbox_.NextWakeUp();
    return std::min(undecided_.begin()->first, outbox_.NextWakeUp());
  }
  [[nodiscard]] std::size_t open() const { return open_.size(); }

 private:
  struct OpenMessage {
    Time deadline{};
    Time expires_at{};
  };

  std::map<MessageId, OpenMessage> open_;
  std::set<std::pair<Time, MessageId>> undecided_;  // of these, not given up; by expires_at
  NotificationOutbox outbox_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_FINAL_ANSWER_LEDGER_HPP_
