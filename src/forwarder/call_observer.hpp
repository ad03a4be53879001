// The two doors between the engine and whoever shares with other forwarders: what it hears of this
// forwarder's calls, and what it asks of the engine. The engine knows no fleet; without one behind
// the doors nothing passes them.
#ifndef BRASSFRONT_FORWARDER_CALL_OBSERVER_HPP_
#define BRASSFRONT_FORWARDER_CALL_OBSERVER_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "dispatch_policy/dispatch_policy.hpp"

namespace brassfront {

// Where a call goes. `apart`: it is a route with a limit of its own, else the limit is its
// destination's.
struct CallTarget {
  std::string endpoint;  // its id in the list
  std::uint64_t destination = 0;
  bool has_own_rate_limit = false;
};

// How a call ended, in the module's terms.
struct CallCompleted {
  CallTarget target;
  dispatch_policy::Outcome outcome = dispatch_policy::Outcome::kNotSent;  // of the call as a whole
  bool health_check = false;
  std::chrono::steady_clock::time_point started{};
  std::chrono::milliseconds retry_after{};  // told; 0: none
  dispatch_policy::LoadReport report;
};

// What it hears. The engine's thread calls Ended, the threads that carry deliveries AllowsCall;
// none may wait.
class CallObserver {
 public:
  virtual ~CallObserver() = default;
  // A message for the destination was taken on.
  virtual void OnMessageArrived(std::uint64_t destination) = 0;
  // The last question before a call's first byte. False: not now; it never ran, and the module
  // tries again.
  virtual bool AllowsCall(const CallTarget& target) = 0;
  virtual void OnCallCompleted(const CallCompleted& end) = 0;
};

// What it asks: a typed event for the module, about the endpoint of that id. One that is not in the
// list is not told of.
struct EndpointUpdate {
  std::string endpoint;
  std::variant<dispatch_policy::QuotaLeased, dispatch_policy::PeerHealthReport> event;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_CALL_OBSERVER_HPP_
