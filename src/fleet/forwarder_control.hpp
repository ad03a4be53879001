// What the fleet asks of the forwarder, and nothing else. Each may be called by the fleet's thread
// at any time, and none waits for long.
#ifndef BRASSFRONT_FLEET_FORWARDER_CONTROL_HPP_
#define BRASSFRONT_FLEET_FORWARDER_CONTROL_HPP_

#include <cstddef>
#include <functional>

#include "forwarder/call_observer.hpp"
#include "protocol/discovery.hpp"

namespace brassfront::fleet {

struct ForwarderControl {
  // Clients are sent away, or taken again.
  std::function<void(bool)> set_standby;
  // The process means to stay: it has not been told to end.
  std::function<bool()> keeps_running;
  // Messages that are taken on and not ended.
  std::function<std::size_t()> messages_in_flight;
  // A word about an endpoint, for the decision module.
  std::function<void(EndpointUpdate)> update_endpoint;
  // Changes of the list, for the engine.
  std::function<void(MemberList)> set_endpoints;
  // `done` is called, by another thread, once all lists before it have been taken up: nothing more
  // is begun then at an endpoint that they take away.
  std::function<void(std::function<void()> done)> post;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_FORWARDER_CONTROL_HPP_
