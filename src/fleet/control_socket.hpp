// Where the control socket of a state folder is. Shared by its server and its client.
#ifndef BRASSFRONT_FLEET_CONTROL_SOCKET_HPP_
#define BRASSFRONT_FLEET_CONTROL_SOCKET_HPP_

#include <sys/un.h>

#include <string>

#include "net/socket.hpp"

namespace brassfront::fleet {

[[nodiscard]] std::string ControlSocketPath(const std::string& folder);
// For ControlSocketAddress; closed if the folder cannot be opened, and errno tells why.
[[nodiscard]] Socket OpenControlFolder(const std::string& folder);
// The socket's address by way of the open folder: its path may be longer than the 107 bytes that an
// address holds. Valid while the folder is open.
[[nodiscard]] sockaddr_un ControlSocketAddress(const Socket& folder);
// A stream socket that is neither bound nor connected; closed if the system has none left.
[[nodiscard]] Socket NewControlSocket();

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_CONTROL_SOCKET_HPP_
