// Messages whose delivery was reported by an answer that may still turn out to be the answer to an
// earlier call. Does no I/O and reads no clock: the caller passes all times. Used by one thread.
#ifndef BRASSFRONT_FORWARDER_UNSETTLED_DELIVERIES_HPP_
#define BRASSFRONT_FORWARDER_UNSETTLED_DELIVERIES_HPP_

#include <cstdint>
#include <utility>
#include <vector>

#include "dispatch_policy/dispatch_policy.hpp"
#include "net/unsettled_answers.hpp"

namespace brassfront {

class UnsettledDeliveries {
 public:
  using MessageId = dispatch_policy::MessageId;
  using Time = dispatch_policy::Time;

  struct Settled {
    MessageId message = 0;
    bool is_certain = false;
  };

  // `deadline` is the message's deadline. An answer that is not settled by then is in doubt.
  void Add(MessageId message, SharedAnswerCertainty certainty, Time deadline) {
    deliveries_.push_back({message, std::move(certainty), deadline});
  }
  // Removes and returns the deliveries that are settled by now.
  [[nodiscard]] std::vector<Settled> TakeSettled(Time now) {
    std::vector<Settled> settled;
    std::erase_if(deliveries_, [&](const Delivery& delivery) {
      const AnswerCertainty certainty = *delivery.certainty;
      if (certainty == AnswerCertainty::kUnsettled && now < delivery.deadline) return false;
      settled.push_back({delivery.message, certainty == AnswerCertainty::kCertain});
      return true;
    });
    return settled;
  }
  [[nodiscard]] bool empty() const { return deliveries_.empty(); }

 private:
  struct Delivery {
    MessageId message = 0;
    SharedAnswerCertainty certainty;
    Time deadline{};
  };

  std::vector<Delivery> deliveries_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_UNSETTLED_DELIVERIES_HPP_
