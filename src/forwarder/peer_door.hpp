// The two doors between the engine and whoever shares with other forwarders: what it hears of this
// forwarder's calls, and what it asks of the engine. The engine knows no fleet; without one behind
// the doors nothing passes them.
#ifndef BRASSFRONT_FORWARDER_PEER_DOOR_HPP_
#define BRASSFRONT_FORWARDER_PEER_DOOR_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "rushfall/choice.hpp"

namespace brassfront {

// Where a call goes. `apart`: it is a route with a limit of its own, else the limit is its
// destination's.
struct CallPlace {
  std::string endpoint;  // its id in the list
  std::uint64_t destination = 0;
  bool apart = false;
};

// How a call ended, in the module's terms.
struct CallEnded {
  CallPlace place;
  rushfall::Outcome outcome = rushfall::Outcome::kNotSent;  // of the call as a whole
  bool probe = false;
  std::chrono::steady_clock::time_point started{};
  std::chrono::milliseconds wait{};  // told; 0: none
  rushfall::LoadReport report;
};

// What it hears. The engine's thread calls Ended, the threads that carry deliveries MayBegin; none
// may wait.
class PeerDoor {
 public:
  virtual ~PeerDoor() = default;
  // A message for the destination was taken on.
  virtual void Arrived(std::uint64_t destination) = 0;
  // The last question before a call's first byte. False: not now; it never ran, and the module
  // tries again.
  virtual bool MayBegin(const CallPlace& place) = 0;
  virtual void Ended(const CallEnded& end) = 0;
};

// What it asks: a typed event for the module, about the endpoint of that id. One that is not in the
// list is not told of.
struct PeerNews {
  std::string endpoint;
  std::variant<rushfall::ShareLeased, rushfall::PeerWord> what;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_PEER_DOOR_HPP_
