#include "fleet/control_socket.hpp"

#include <fcntl.h>
#include <sys/socket.h>

#include <cstring>

namespace brassfront::fleet {
namespace {

constexpr const char* kSocketName = "control";

}  // namespace

std::string ControlSocketPath(const std::string& folder) { return folder + "/" + kSocketName; }

Socket OpenControlFolder(const std::string& folder) {
  return Socket(open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
}

sockaddr_un ControlSocketAddress(const Socket& folder) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  const std::string path = "/proc/self/fd/" + std::to_string(folder.fd()) + "/" + kSocketName;
  std::memcpy(&address.sun_path[0], path.c_str(), path.size() + 1);
  return address;
}

Socket NewControlSocket() { return Socket(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)); }

}  // namespace brassfront::fleet
