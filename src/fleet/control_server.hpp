// Server of the control socket: HTTP/1.1 on a Unix socket in the state folder, accessible only to
// the folder's owner and root. It handles one request per connection and one connection at a time.
#ifndef BRASSFRONT_FLEET_CONTROL_SERVER_HPP_
#define BRASSFRONT_FLEET_CONTROL_SERVER_HPP_

#include <functional>
#include <string>

#include "concurrency/thread.hpp"
#include "fleet/control_protocol.hpp"
#include "net/socket.hpp"

namespace brassfront::fleet {

// Owns the socket and a thread, both from construction to destruction.
class ControlServer {
 public:
  // Called on the server's thread; may take several seconds.
  using Handler = std::function<ControlReply(const ControlRequest&)>;

  // Throws std::runtime_error if the socket cannot be created. The folder must be locked by this
  // process: a socket left there by an earlier process is replaced.
  ControlServer(const std::string& folder, Handler handler);
  // Waits for the request that is being handled, if any.
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

 private:
  void Bind(const std::string& folder);
  void Serve();
  void ServeConnection(Socket connection);
  [[nodiscard]] ControlReply ReplyTo(Socket& connection);

  const std::string path_;
  const Handler handler_;
  Socket listener_;
  Socket stop_event_;  // eventfd
  Thread thread_;
};

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_CONTROL_SERVER_HPP_
