// The two interfaces between the engine and a component that shares state with other forwarders:
// what an observer learns about this forwarder's calls, and what it may report to the engine. The
// engine also works without an observer.
#ifndef BRASSFRONT_FORWARDER_CALL_OBSERVER_HPP_
#define BRASSFRONT_FORWARDER_CALL_OBSERVER_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "dispatch_policy/dispatch_policy.hpp"

namespace brassfront {

// Where a call goes.
struct CallTarget {
  std::string endpoint;  // the endpoint's id in the list
  std::uint64_t destination = 0;
  bool has_own_rate_limit = false;  // false: its calls count towards the destination's limit
};

// How a call ended, in the dispatch policy's terms.
struct CallCompleted {
  CallTarget target;
  dispatch_policy::Outcome outcome = dispatch_policy::Outcome::kNotSent;  // of the call as a whole
  bool health_check = false;
  std::chrono::steady_clock::time_point started{};
  std::chrono::milliseconds retry_after{};  // from the answer; 0 if it has none
  dispatch_policy::LoadReport report;
};

// Observes this forwarder's calls. The methods must not block: they are called by the engine's
// thread and by the threads that carry out calls.
class CallObserver {
 public:
  CallObserver() = default;
  CallObserver(const CallObserver&) = delete;
  CallObserver& operator=(const CallObserver&) = delete;
  virtual ~CallObserver() = default;
  // Called by the engine's thread when a message for the destination has arrived and is within the
  // limits.
  virtual void OnMessageArrived(std::uint64_t destination) = 0;
  // Called by the call's thread just before the call's first byte is written. If it returns false,
  // the call is not sent, and the policy may try again.
  virtual bool AllowsCall(const CallTarget& target) = 0;
  // Called by the engine's thread.
  virtual void OnCallCompleted(const CallCompleted& end) = 0;
};

// A report from an observer to the engine: an event for the policy about the endpoint with this id.
// It is ignored if the endpoint is unknown.
struct EndpointUpdate {
  std::string endpoint;
  std::variant<dispatch_policy::QuotaLeased, dispatch_policy::PeerHealthReport> event;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_CALL_OBSERVER_HPP_
