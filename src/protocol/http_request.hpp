// The server side of HTTP/1.1: an incremental parser of one request, with size limits, and the
// formatter of the reply.
#ifndef BRASSFRONT_PROTOCOL_HTTP_REQUEST_HPP_
#define BRASSFRONT_PROTOCOL_HTTP_REQUEST_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace brassfront {

// The request line of a request; headers and the body are not kept.
struct HttpRequest {
  std::string method;
  std::string path;   // without the query, not decoded
  std::string query;  // after the question mark, not decoded
};

// Parses one request, which is fed in chunks of any size.
class HttpRequestReader {
 public:
  static constexpr std::size_t kMaxHeadBytes = std::size_t{8} * 1024;
  static constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;

  // Accepts chunks of any size. Bytes after the end of the request are ignored.
  void Feed(std::string_view bytes);

  // True if the request is complete, or is known to be invalid.
  [[nodiscard]] bool done() const { return done_; }
  // Returns the HTTP status of the error if the request is invalid: 400, 413 (body too large) or
  // 431 (head too large).
  [[nodiscard]] std::optional<int> error() const { return error_; }
  [[nodiscard]] const HttpRequest& request() const { return request_; }

 private:
  void ReadHead(std::string_view head);
  [[nodiscard]] bool ReadRequestLine(std::string_view line);
  [[nodiscard]] bool ReadHeader(std::string_view line);
  void Fail(int status);

  std::string head_;
  bool head_done_ = false;
  std::size_t body_bytes_left_ = 0;
  bool done_ = false;
  std::optional<int> error_;
  HttpRequest request_;
};

// Returns the percent-decoded value of a query parameter, or nothing if it is absent or its
// encoding is invalid.
[[nodiscard]] std::optional<std::string> QueryParameter(std::string_view query,
                                                        std::string_view name);

// Formats a complete reply, after which the connection is closed.
[[nodiscard]] std::string FormatHttpReply(int status, std::string_view body);

}  // namespace brassfront

#endif  // BRASSFRONT_PROTOCOL_HTTP_REQUEST_HPP_
