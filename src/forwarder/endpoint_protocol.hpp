// The HTTP protocol of endpoints: how attempts are written into a call, and what the answer of a
// call means for each of them, in the dispatch policy's terms. Functions of their arguments alone,
// for any thread.
#ifndef BRASSFRONT_FORWARDER_ENDPOINT_PROTOCOL_HPP_
#define BRASSFRONT_FORWARDER_ENDPOINT_PROTOCOL_HPP_

#include <chrono>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch_policy/dispatch_policy.hpp"
#include "net/endpoint_call.hpp"
#include "protocol/discovery.hpp"

namespace brassfront {

// ---- writing calls ----

// One message of a call. The texts are the caller's.
struct CallItem {
  std::string_view id;   // the client's
  std::string_view key;  // the idempotency key; empty: none
  std::string_view body;
};

// The item's JSON in the body of a batch.
[[nodiscard]] std::string FormatBatchItem(const CallItem& item);
// `time_left`: of the call, which the endpoint is told. At least 0.
[[nodiscard]] std::string FormatSingleCall(const std::string& address, const CallItem& item,
                                           std::chrono::milliseconds time_left);
[[nodiscard]] std::string FormatBatchCall(const std::string& address,
                                          std::span<const CallItem> items,
                                          std::chrono::milliseconds time_left);

// ---- reading answers ----

struct AttemptResult {
  dispatch_policy::Outcome outcome = dispatch_policy::Outcome::kReset;
  bool message_over = false;  // delivered, or the endpoint says that nothing more is owed
  bool in_doubt = false;      // delivered, but the platform may not count it (call_answer.hpp)
  bool exhausted = false;     // the endpoint takes no further attempt of the message
  SharedAnswerCertainty certainty{};  // of the answer that says so; none if it is certain
};

// The result of a call with one message, or of a health check.
[[nodiscard]] AttemptResult ParseSingleAnswer(const EndpointCallResult& result);
// One result for each id, in their order. An id that a complete answer does not name may have run;
// an incomplete answer delivers nothing.
[[nodiscard]] std::vector<AttemptResult> ParseBatchAnswer(const EndpointCallResult& result,
                                                          std::span<const std::string> ids);
// Whether the outcome shows that the attempt did not run.
[[nodiscard]] bool KnownNotRun(dispatch_policy::Outcome outcome);

// How long the endpoint asks to wait, one hour at most; 0: it does not.
[[nodiscard]] std::chrono::milliseconds ParseRetryAfter(const EndpointCallResult& result);
// Values out of range are left out.
[[nodiscard]] dispatch_policy::LoadReport ParseLoadReport(const EndpointCallResult& result);

// ---- discovery ----

[[nodiscard]] dispatch_policy::EndpointState ToEndpointState(Phase phase);

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_ENDPOINT_PROTOCOL_HPP_
