// Location of the control socket of a state folder. Shared by its server and its client.
#ifndef BRASSFRONT_FLEET_CONTROL_SOCKET_HPP_
#define BRASSFRONT_FLEET_CONTROL_SOCKET_HPP_

#include <sys/un.h>

#include <string>

#include "net/socket.hpp"

namespace brassfront::fleet {

[[nodiscard]] std::string ControlSocketPath(const std::string& folder);
// Opens the folder for ControlSocketAddress. The result is closed if that fails; errno has the
// reason.
[[nodiscard]] Socket OpenControlFolder(const std::string& folder);
// Returns the socket's address relative to the open folder, since the socket's path may be longer
// than the 107 bytes that a socket address can hold. Valid while the folder is open.
[[nodiscard]] sockaddr_un ControlSocketAddress(const Socket& folder);
// Creates a stream socket that is neither bound nor connected. It is closed if the system has no
// file descriptor left.
[[nodiscard]] Socket NewControlSocket();

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_CONTROL_SOCKET_HPP_
