// The two interfaces between the engine and whoever shares state with other forwarders: what an
// observer learns about this forwarder's calls, and what it may tell the engine. The engine works
// the same without an observer.
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
  std::string endpoint;  // its id in the list
  std::uint64_t destination = 0;
  bool has_own_rate_limit = false;  // else its calls count for the destination's limit
};

// How a call ended, in the dispatch policy's terms.
struct CallCompleted {
  CallTarget target;
  dispatch_policy::Outcome outcome = dispatch_policy::Outcome::kNotSent;  // of the call as a whole
  bool health_check = false;
  std::chrono::steady_clock::time_point started{};
  std::chrono::milliseconds retry_after{};  // of the answer; 0: none
  dispatch_policy::LoadReport report;
};

// What an observer learns. Its methods must not block: they are called by the engine's thread and
// by the threads that carry out calls.
class CallObserver {
 public:
  CallObserver() = default;
  CallObserver(const CallObserver&) = delete;
  CallObserver& operator=(const CallObserver&) = delete;
  virtual ~CallObserver() = default;
  // Engine's thread: a message for the destination has arrived and is within the limits.
  virtual void OnMessageArrived(std::uint64_t destination) = 0;
  // A call's thread, just before the call's first byte. False: the call is not sent, and the policy
  // may try again.
  virtual bool AllowsCall(const CallTarget& target) = 0;
  // Engine's thread.
  virtual void OnCallCompleted(const CallCompleted& end) = 0;
};

// What an observer may tell the engine: an event for the policy about the endpoint of that id. It
// is ignored if the endpoint is unknown.
struct EndpointUpdate {
  std::string endpoint;
  std::variant<dispatch_policy::QuotaLeased, dispatch_policy::PeerHealthReport> event;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_CALL_OBSERVER_HPP_
