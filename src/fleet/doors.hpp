// What the fleet asks of the forwarder, and nothing else. Each may be called by the fleet's thread
// at any time, and none waits for long.
#ifndef BRASSFRONT_FLEET_DOORS_HPP_
#define BRASSFRONT_FLEET_DOORS_HPP_

#include <cstddef>
#include <functional>

#include "forwarder/peer_door.hpp"
#include "protocol/discovery.hpp"

namespace brassfront::fleet {

struct Doors {
  // Clients are sent away, or taken again.
  std::function<void(bool)> stand_by;
  // The process means to stay: it has not been told to end.
  std::function<bool()> stays;
  // Messages that are taken on and not ended.
  std::function<std::size_t()> held;
  // A word about an endpoint, for the decision module.
  std::function<void(PeerNews)> tell;
  // Changes of the list, for the engine.
  std::function<void(MemberList)> listed;
  // `done` is called, by another thread, once all lists before it have been taken up: nothing more
  // is begun then at an endpoint that they take away.
  std::function<void(std::function<void()> done)> then;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_DOORS_HPP_
