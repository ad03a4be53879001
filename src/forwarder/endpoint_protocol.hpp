// The HTTP protocol of endpoints: formats attempts as calls, and translates the answer to a call
// into the dispatch policy's terms for each attempt. All functions depend only on their arguments
// and may be called by any thread.
#ifndef BRASSFRONT_FORWARDER_ENDPOINT_PROTOCOL_HPP_
#define BRASSFRONT_FORWARDER_ENDPOINT_PROTOCOL_HPP_

#include <chrono>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch_policy/dispatch_policy.hpp"
#include "forwarder/attempt_result.hpp"
#include "net/endpoint_call.hpp"
#include "protocol/discovery.hpp"

namespace brassfront {

// ---- writing calls ----

// One message of a call. The caller owns the texts.
struct CallItem {
  std::string_view id;   // the client's id
  std::string_view key;  // the idempotency key; empty if there is none
  std::string_view body;
};

// Returns the item's JSON in the body of a batch.
[[nodiscard]] std::string FormatBatchItem(const CallItem& item);
// `time_left` is the time left for the call, which is sent to the endpoint. At least 0.
[[nodiscard]] std::string FormatSingleCall(const std::string& address, const CallItem& item,
                                           std::chrono::milliseconds time_left);
[[nodiscard]] std::string FormatBatchCall(const std::string& address,
                                          std::span<const CallItem> items,
                                          std::chrono::milliseconds time_left);

// ---- reading answers ----

// Returns the result of a call with one message, or of a health check.
[[nodiscard]] AttemptResult ParseSingleAnswer(const EndpointCallResult& result);
// Returns one result for each id, in the order of the ids. An attempt whose id is missing in a
// complete answer may have run; an incomplete answer delivers nothing.
[[nodiscard]] std::vector<AttemptResult> ParseBatchAnswer(const EndpointCallResult& result,
                                                          std::span<const std::string> ids);
// Returns the results of a call: of a batch with these ids, or of a call with one message or a
// health check if there are none.
[[nodiscard]] std::vector<AttemptResult> ParseAnswer(const EndpointCallResult& result,
                                                     std::span<const std::string> batch_ids);

// Returns the Retry-After of the answer, at most one hour; 0 if there is none.
[[nodiscard]] std::chrono::milliseconds ParseRetryAfter(const EndpointCallResult& result);
// Omits values that are out of range.
[[nodiscard]] dispatch_policy::LoadReport ParseLoadReport(const EndpointCallResult& result);

// ---- discovery ----

[[nodiscard]] dispatch_policy::EndpointState ToEndpointState(Phase phase);

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_ENDPOINT_PROTOCOL_HPP_
