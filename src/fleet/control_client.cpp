#include "fleet/control_client.hpp"

#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <stdexcept>
#include <vector>

#include "fleet/control_socket.hpp"
#include "protocol/http.hpp"

namespace brassfront::fleet {
namespace {

// Timeout of a complete request and reply. It is longer than a command waits to be committed, so
// that a reply about a missing quorum still arrives.
constexpr std::chrono::seconds kCallTimeout{20};
constexpr std::size_t kReadBytes = 4096;
constexpr mode_t kOtherUsersMask = 077;

// Throws unless the socket exists, belongs to this user (or this user is root) and is not
// accessible to others.
void CheckOwnership(const std::string& folder, const std::string& path) {
  struct stat status {};
  if (stat(path.c_str(), &status) != 0) {
    throw std::runtime_error("no forwarder of a fleet is at work in " + folder + " (" +
                             std::strerror(errno) + ")");
  }
  if (status.st_uid != geteuid() && geteuid() != 0) {
    throw std::runtime_error(path + " belongs to another user");
  }
  if ((status.st_mode & kOtherUsersMask) != 0) {
    throw std::runtime_error(path + " is open to other users");
  }
}

Socket ConnectTo(const std::string& folder_path, const std::string& path) {
  const Socket folder = OpenControlFolder(folder_path);
  Socket connection = NewControlSocket();
  const sockaddr_un address = ControlSocketAddress(folder);
  if (connect(connection.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    throw std::runtime_error("cannot connect to " + path + ": " + std::strerror(errno));
  }
  return connection;
}

}  // namespace

ControlReply CallControl(const std::string& folder, const std::string& method,
                         const std::string& target) {
  const std::string path = ControlSocketPath(folder);
  CheckOwnership(folder, path);
  Socket connection = ConnectTo(folder, path);
  const std::string request =
      method == "GET" ? HttpGet(target, "fleet") : HttpPost(target, "fleet", {}, "");
  const SteadyTime deadline = std::chrono::steady_clock::now() + kCallTimeout;
  HttpReader reader;
  if (connection.SendAll(request, deadline)) {
    std::vector<char> bytes(kReadBytes);
    while (!reader.done() && !reader.broken() && connection.AwaitInput(deadline)) {
      const ssize_t count = connection.ReceiveNow(bytes);
      if (count <= 0) {
        reader.FeedEnd();
        break;
      }
      reader.Feed({bytes.data(), static_cast<std::size_t>(count)});
    }
  }
  if (!reader.done()) throw std::runtime_error("no answer came from " + path);
  return {reader.status(), reader.body()};
}

}  // namespace brassfront::fleet
