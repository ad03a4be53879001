// Tracks which accepted messages still need their final answer: a delivery, or a notification that
// the platform has confirmed. Does no I/O and reads no clock: the caller passes all times. Used by
// one thread.
//
// Each accepted message is opened once and closed once. The dispatch policy gives it up by its
// deadline. If that does not happen, for whatever reason, FindExpired returns the message, and the
// caller gives it up. From then on its notification is in the outbox until the message is closed,
// but not before the message's client knows that it was accepted: a final answer before that may
// not count.
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

  // The platform may not count an answer that is received less than this before the deadline, or
  // later: it measures the message's time from when the client sent it, and this process may have
  // been stalled for 150 ms before it read the message, or before it read the answer.
  static constexpr std::chrono::milliseconds kDeliveryMargin{250};

  // The dispatch policy has this much time after the deadline to give a message up, because its own
  // deadline may be a little later.
  static constexpr std::chrono::milliseconds kDecisionGrace{50};

  // Must be called when the message was accepted, or restored from an earlier process. The message
  // must be given up by `give_up_by`, which is not before its deadline, plus kDecisionGrace. Has no
  // effect if the message is open.
  void Open(MessageId message, Time deadline, Time give_up_by) {
    const OpenMessage open_message{.deadline = deadline, .expires_at = give_up_by + kDecisionGrace};
    const bool opened = open_.try_emplace(message, open_message).second;
    if (opened) undecided_.insert({open_message.expires_at, message});
  }
  void Open(MessageId message, Time deadline) { Open(message, deadline, deadline); }
  // Must be called when the message will not be delivered. Notify must follow once the message's
  // client knows that it was accepted. Returns false if the message is not open or was given up
  // before.
  bool GiveUp(MessageId message) {
    const auto it = open_.find(message);
    return it != open_.end() && undecided_.erase({it->second.expires_at, message}) > 0;
  }
  // Posts the notification of a message that was given up, at `due` or soon after, and repeats it
  // until the message is closed.
  void Notify(const Notification& notification, Time now, Time due) {
    if (open_.count(notification.message) > 0) outbox_.Add(notification, now, due);
  }
  void Notify(const Notification& notification, Time now) { Notify(notification, now, now); }
  // Must be called when the message has its final answer, or needs none. Returns false if it was
  // not open.
  bool Close(MessageId message) {
    const auto node = open_.extract(message);
    if (node.empty()) return false;
    undecided_.erase({node.mapped().expires_at, message});
    outbox_.Remove(message);
    return true;
  }

  // Returns the time until the deadline, which is negative after it. The message must be open.
  [[nodiscard]] Time TimeLeft(MessageId message, Time now) const {
    return open_.at(message).deadline - now;
  }
  // Whether the platform is certain to count a delivery at this time. The message must be open.
  [[nodiscard]] bool IsDeliveryCertain(MessageId message, Time now) const {
    return TimeLeft(message, now) >= kDeliveryMargin;
  }
  // Returns the open messages that should have been given up by now and were not. They stay open,
  // and are returned until they are given up or closed.
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
  // Returns when to call FindExpired or to check the outbox for posts next; Time::max() if there is
  // nothing to wait for.
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
  std::set<std::pair<Time, MessageId>> undecided_;  // open and not given up, by expires_at
  NotificationOutbox outbox_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_FINAL_ANSWER_LEDGER_HPP_
