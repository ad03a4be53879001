// The functions of the forwarder that the fleet uses. The fleet's thread may call each of them at
// any time; none of them blocks for long.
#ifndef BRASSFRONT_FORWARDER_FORWARDER_CONTROL_HPP_
#define BRASSFRONT_FORWARDER_FORWARDER_CONTROL_HPP_

#include <cstddef>
#include <functional>

#include "forwarder/call_observer.hpp"
#include "protocol/discovery.hpp"

namespace brassfront {

struct ForwarderControl {
  // True: clients are sent to other forwarders. False: clients are served.
  std::function<void(bool)> set_standby;
  // Returns false once the process has been asked to shut down.
  std::function<bool()> keeps_running;
  // Number of messages that are accepted and have not ended.
  std::function<std::size_t()> messages_in_flight;
  // Passes an event about an endpoint to the dispatch policy.
  std::function<void(EndpointUpdate)> update_endpoint;
  // Passes changes of the endpoint list to the engine.
  std::function<void(MemberList)> set_endpoints;
  // Calls `done`, on another thread, once all lists that were set before have been applied. From
  // then on no call starts to an endpoint that they remove.
  std::function<void(std::function<void()> done)> post;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_FORWARDER_CONTROL_HPP_
