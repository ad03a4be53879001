// The control socket: HTTP/1.1 on a Unix socket in the state folder, for its owner and root alone.
// One call a connection; it asks the fleet's thread and answers JSON.
#ifndef BRASSFRONT_FLEET_CONTROL_SERVER_HPP_
#define BRASSFRONT_FLEET_CONTROL_SERVER_HPP_

#include <functional>
#include <map>
#include <string>

#include "concurrency/thread.hpp"
#include "net/socket.hpp"

namespace brassfront::fleet {

struct ControlRequest {
  std::string method;  // GET or POST
  std::string path;    // without its query
  std::map<std::string, std::string> query;
};
struct ControlReply {
  int status = 200;
  std::string body;  // JSON
};

// `{"error": ...}`.
ControlReply ErrorReply(int status, const std::string& message);

// False if the text is no request's head.
bool ParseControlRequest(std::string_view head, ControlRequest& request);

class ControlServer {
 public:
  // Answers, and may take some seconds for it.
  using Handler = std::function<ControlReply(const ControlRequest&)>;

  // Throws std::runtime_error where the socket cannot be made.
  ControlServer(const std::string& folder, Handler handler);
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

 private:
  void Serve();
  void ServeConnection(Socket connection);

  const std::string path_;
  const Handler handler_;
  Socket listener_, wake_;
  Thread thread_;
};

// Calls the control socket of a folder; throws std::runtime_error with what is wrong, such as that
// nobody listens there or that the folder is somebody else's.
ControlReply CallControl(const std::string& folder, const std::string& method,
                         const std::string& target);

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_CONTROL_SERVER_HPP_
