// Between the terms of the network code and the module's: how a delivery's end reads for each of
// its attempts, and how attempts are written into a call.
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

struct AttemptResult {
  dispatch_policy::Outcome outcome = dispatch_policy::Outcome::kReset;
  bool over = false;       // nothing more is owed
  bool exhausted = false;  // all its attempts are used
};

// The outcome shows that nothing ran.
bool KnownNotRun(dispatch_policy::Outcome outcome);

AttemptResult ParseSingleAnswer(const EndpointCallResult& end);
std::vector<AttemptResult> ParseBatchAnswer(const EndpointCallResult& end,
                                            std::span<const std::string> ids);

// How long the next hop asks to wait; 0: it does not.
std::chrono::milliseconds ParseRetryAfter(const EndpointCallResult& end);
dispatch_policy::LoadReport ParseLoadReport(const EndpointCallResult& end);

dispatch_policy::EndpointState ToEndpointState(Phase phase);

// One message of a call.
struct CallItem {
  std::string_view id, key, body;
};
std::string FormatBatchItem(const CallItem& part);
std::string FormatSingleCall(const std::string& address, const CallItem& part,
                             std::chrono::milliseconds left);
std::string FormatBatchCall(const std::string& address, std::span<const CallItem> parts,
                            std::chrono::milliseconds left);

// Lines of the log: the module's own lines name endpoints by these numbers.
void LogEndpointListed(const Member& member, dispatch_policy::EndpointId number);
void LogCallCompleted(const EndpointCallResult& end, dispatch_policy::EndpointId number,
                      std::size_t parts, std::chrono::milliseconds took);

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_ENDPOINT_PROTOCOL_HPP_
