// An outgoing frame to which the sender's identity has not been added yet.
#ifndef BRASSFRONT_FLEET_OUTGOING_FRAME_HPP_
#define BRASSFRONT_FLEET_OUTGOING_FRAME_HPP_

#include <string>

#include "peers/frame.hpp"

namespace brassfront::fleet {

struct OutgoingFrame {
  peers::Kind kind{};
  std::string to;  // a member's name
  std::string body;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_OUTGOING_FRAME_HPP_
