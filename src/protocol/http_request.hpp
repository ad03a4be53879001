// HTTP/1.1 as a server reads it: one request, byte-fed, with bounds, and the reply to it.
#ifndef BRASSFRONT_PROTOCOL_HTTP_REQUEST_HPP_
#define BRASSFRONT_PROTOCOL_HTTP_REQUEST_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace brassfront {

struct HttpRequest {
  std::string method;
  std::string path;   // without the query, as it came
  std::string query;  // behind the question mark, as it came
};

class HttpRequestReader {
 public:
  static constexpr std::size_t kMaxHeadBytes = std::size_t{8} * 1024;
  static constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;

  // Takes any part of the stream. What comes behind the request's end is passed over.
  void Feed(std::string_view bytes);

  // The request has come whole, or is known to be bad.
  [[nodiscard]] bool done() const { return done_; }
  // The status of the error if the request is bad: 400, 413 (body), 431 (head).
  [[nodiscard]] std::optional<int> error() const { return error_; }
  [[nodiscard]] const HttpRequest& request() const { return request_; }

 private:
  void ReadHead(std::string_view head);
  [[nodiscard]] bool ReadRequestLine(std::string_view line);
  [[nodiscard]] bool ReadHeader(std::string_view line);
  void Fail(int status);

  std::string head_;
  bool head_done_ = false;
  std::size_t body_bytes_due_ = 0;
  bool done_ = false;
  std::optional<int> error_;
  HttpRequest request_;
};

// The value of a parameter of the query, percent-decoded. None if it is absent or badly encoded.
[[nodiscard]] std::optional<std::string> QueryParameter(std::string_view query,
                                                        std::string_view name);

// A whole reply, after which the connection is closed.
[[nodiscard]] std::string FormatHttpReply(int status, std::string_view body);

}  // namespace brassfront

#endif  // BRASSFRONT_PROTOCOL_HTTP_REQUEST_HPP_
