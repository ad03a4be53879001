// Which accepted messages still need their final answer: a delivery, or a notification that the
// platform has confirmed. No I/O and no clock: times are the caller's. Used by one thread.
//
// Each accepted message is opened once and closed once. Whoever decides about deliveries gives it
// up by its deadline; where that does not happen, for whatever reason, TakeExpired says so, and the
// caller gives it up. From then on its notification is in the outbox until it is closed.
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

  // The message was accepted, or taken over from an earlier process. Without effect if it is open.
  void Open(MessageId message, Time deadline) {
    if (deadlines_.try_emplace(message, deadline).second) undecided_.insert({deadline, message});
  }
  // The message will not be delivered. False if it is not open or was given up before.
  bool GiveUp(const Notification& notification, Time now) {
    const auto it = deadlines_.find(notification.message);
    if (it == deadlines_.end()) return false;
    if (undecided_.erase({it->second, it->first}) == 0) return false;
    outbox_.Add(notification, now);
    return true;
  }
  // The message has its final answer, or needs none. False if it was not open.
  bool Close(MessageId message) {
    const auto node = deadlines_.extract(message);
    if (node.empty()) return false;
    undecided_.erase({node.mapped(), message});
    outbox_.Remove(message);
    return true;
  }

  // The messages whose deadline has passed and that were not given up. They stay open, and are
  // returned until they are given up or closed.
  [[nodiscard]] std::vector<MessageId> FindExpired(Time now) const {
    std::vector<MessageId> expired;
    for (const auto& [deadline, message] : undecided_) {
      if (deadline > now) break;
      expired.push_back(message);
    }
    return expired;
  }

  [[nodiscard]] NotificationOutbox& outbox() { return outbox_; }
  [[nodiscard]] const NotificationOutbox& outbox() const { return outbox_; }
  // When to look for expired messages and posts next; Time::max() if there is neither.
  [[nodiscard]] Time NextWakeUp() const {
    const Time next_deadline = undecided_.empty() ? Time::max() : undecided_.begin()->first;
    return std::min(next_deadline, outbox_.NextWakeUp());
  }
  [[nodiscard]] std::size_t open() const { return deadlines_.size(); }

 private:
  std::map<MessageId, Time> deadlines_;             // of all open messages
  std::set<std::pair<Time, MessageId>> undecided_;  // of these, not given up
  NotificationOutbox outbox_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_FINAL_ANSWER_LEDGER_HPP_
