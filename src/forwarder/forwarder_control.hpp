// What the fleet asks of the forwarder, and nothing else. The fleet's thread may call each function
// at any time; none of them blocks for long.
#ifndef BRASSFRONT_FORWARDER_FORWARDER_CONTROL_HPP_
#define BRASSFRONT_FORWARDER_FORWARDER_CONTROL_HPP_

#include <cstddef>
#include <functional>

#include "forwarder/call_observer.hpp"
#include "protocol/discovery.hpp"

namespace brassfront {

struct ForwarderControl {
  // True: clients are sent to other forwarders. False: they are served.
  std::function<void(bool)> set_standby;
  // False once the process has been told to end.
  std::function<bool()> keeps_running;
  // Messages that are accepted and neither delivered nor given up.
  std::function<std::size_t()> messages_in_flight;
  // An event about an endpoint, for the dispatch policy.
  std::function<void(EndpointUpdate)> update_endpoint;
  // Changes of the endpoint list, for the engine.
  std::function<void(MemberList)> set_endpoints;
  // Calls `done`, on another thread, once all lists before it have been taken up: nothing more is
  // begun then at an endpoint that they take away.
  std::function<void(std::function<void()> done)> post;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_FORWARDER_CONTROL_HPP_
