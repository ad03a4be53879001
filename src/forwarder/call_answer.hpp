// Interprets the answer to a call for each message in it.
#ifndef BRASSFRONT_FORWARDER_CALL_ANSWER_HPP_
#define BRASSFRONT_FORWARDER_CALL_ANSWER_HPP_

#include <string>
#include <vector>

#include "forwarder/call_tracker.hpp"
#include "forwarder/endpoint_protocol.hpp"
#include "forwarder/message_table.hpp"

namespace brassfront {

// Returns the clients' ids of a batch; empty for a call with one message and for a health check.
[[nodiscard]] std::vector<std::string> BatchIds(const PendingCall& call);

// Returns one result for each attempt of a call with messages, in the order of the attempts. The
// deliveries of a call are late unless the delivery of each of its messages is certain to count:
// the platform counts nothing of a call that completes after the end of one of its messages.
[[nodiscard]] std::vector<AttemptResult> ReadCallAnswer(const PendingCall& call,
                                                        const EndpointCallResult& answer,
                                                        const MessageTable& messages,
                                                        dispatch_policy::Time now);

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_CALL_ANSWER_HPP_
