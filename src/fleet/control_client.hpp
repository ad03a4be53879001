// Client of the control socket, for commands that query or control a forwarder on the same machine.
#ifndef BRASSFRONT_FLEET_CONTROL_CLIENT_HPP_
#define BRASSFRONT_FLEET_CONTROL_CLIENT_HPP_

#include <string>

#include "fleet/control_protocol.hpp"

namespace brassfront::fleet {

// Sends one request to the control socket of a folder and waits for the reply. Throws
// std::runtime_error with the reason, such as that no process listens on the socket or that it
// belongs to another user.
[[nodiscard]] ControlReply CallControl(const std::string& folder, const std::string& method,
                                       const std::string& target);

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_CONTROL_CLIENT_HPP_
