// The client of the control socket, for commands that ask a forwarder on the same machine.
#ifndef BRASSFRONT_FLEET_CONTROL_CLIENT_HPP_
#define BRASSFRONT_FLEET_CONTROL_CLIENT_HPP_

#include <string>

#include "fleet/control_protocol.hpp"

namespace brassfront::fleet {

// Sends one request to the control socket of a folder and waits for the reply. Throws
// std::runtime_error with what is wrong, such as that nobody listens there or that the folder
// belongs to another user.
[[nodiscard]] ControlReply CallControl(const std::string& folder, const std::string& method,
                                       const std::string& target);

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_CONTROL_CLIENT_HPP_
