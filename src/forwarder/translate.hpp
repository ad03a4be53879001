// Between the terms of the network code and the module's: how a delivery's end reads for each of
// its attempts, and how attempts are written into a call.
#ifndef BRASSFRONT_FORWARDER_TRANSLATE_HPP_
#define BRASSFRONT_FORWARDER_TRANSLATE_HPP_

#include <chrono>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch_policy/dispatch_policy.hpp"
#include "net/endpoint_call.hpp"
#include "protocol/discovery.hpp"

namespace brassfront {

struct AttemptEnd {
  dispatch_policy::Outcome outcome = dispatch_policy::Outcome::kReset;
  bool over = false;       // nothing more is owed
  bool exhausted = false;  // all its attempts are used
};

// The outcome shows that nothing ran.
bool NeverRan(dispatch_policy::Outcome outcome);

AttemptEnd EndOfSingle(const EndpointCallResult& end);
std::vector<AttemptEnd> EndsOfBundle(const EndpointCallResult& end,
                                     std::span<const std::string> ids);
dispatch_policy::Outcome OutcomeOfProbe(const EndpointCallResult& end);

// How long the next hop asks to wait; 0: it does not.
std::chrono::milliseconds WaitOf(const EndpointCallResult& end);
dispatch_policy::LoadReport ReportOf(const EndpointCallResult& end);

dispatch_policy::EndpointState StateOf(Phase phase);

// One message of a call.
struct Part {
  std::string_view id, key, body;
};
std::string BundleItem(const Part& part);
std::string SingleCall(const std::string& address, const Part& part,
                       std::chrono::milliseconds left);
std::string BundleCall(const std::string& address, std::span<const Part> parts,
                       std::chrono::milliseconds left);

// Lines of the log: the module's own lines name endpoints by these numbers.
void LogListed(const Member& member, dispatch_policy::EndpointId number);
void LogCallEnd(const EndpointCallResult& end, dispatch_policy::EndpointId number,
                std::size_t parts, std::chrono::milliseconds took);

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_TRANSLATE_HPP_
