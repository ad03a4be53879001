// Requests and replies of the control socket, and the parser of a request's head. No I/O.
#ifndef BRASSFRONT_FLEET_CONTROL_PROTOCOL_HPP_
#define BRASSFRONT_FLEET_CONTROL_PROTOCOL_HPP_

#include <map>
#include <optional>
#include <string>
#include <string_view>

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

// HTTP statuses of the replies.
inline constexpr int kStatusOk = 200;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusForbidden = 403;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusConflict = 409;
inline constexpr int kStatusUnavailable = 503;

// Returns a reply with the body `{"error": MESSAGE}`.
[[nodiscard]] ControlReply ErrorReply(int status, const std::string& message);

// Parses the request line with its query; header fields are ignored. Returns nothing if the text is
// not the head of a GET or POST request of HTTP/1.0 or 1.1.
[[nodiscard]] std::optional<ControlRequest> ParseControlRequest(std::string_view head);

}  // namespace brassfront::fleet

#endif  // BRASSFRONT_FLEET_CONTROL_PROTOCOL_HPP_
