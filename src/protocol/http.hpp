// The client side of HTTP/1.1: an incremental response parser, and formatters of requests.
#ifndef BRASSFRONT_PROTOCOL_HTTP_HPP_
#define BRASSFRONT_PROTOCOL_HTTP_HPP_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace brassfront {

// Parses one response. It is fed the bytes of the connection, in chunks of any size.
class HttpReader {
 public:
  explicit HttpReader(std::size_t max_body = 1 << 20) : max_body_(max_body) {}

  // Accepts chunks of any size. Bytes after the end of the response are ignored, and keep_alive()
  // is false after them.
  void Feed(std::string_view bytes);
  // The peer closed the connection.
  void FeedEnd();

  [[nodiscard]] int status() const { return status_; }  // 0 until the status line is complete
  // True if any byte of the response was received; interim (1xx) responses do not count.
  [[nodiscard]] bool begun() const {
    return state_ == State::kStatus ? !line_.empty() : state_ != State::kHeaders || status_ >= 200;
  }
  [[nodiscard]] bool head_done() const {
    return state_ >= State::kBody && state_ != State::kBroken;
  }
  [[nodiscard]] bool done() const { return state_ == State::kDone; }
  [[nodiscard]] bool broken() const { return state_ == State::kBroken; }
  [[nodiscard]] bool keep_alive() const { return keep_alive_; }
  // True if bytes were received after the end of the response.
  [[nodiscard]] bool has_surplus() const { return has_surplus_; }
  [[nodiscard]] std::string_view Header(
      std::string_view name) const;  // `name` in lower case; returns an empty value if absent
  [[nodiscard]] const std::string& body() const { return body_; }
  // Returns and removes the part of the body received since the last call; for a response that
  // stays open.
  std::string TakeBody() { return std::exchange(body_, {}); }

 private:
  enum class State {
    kStatus,
    kHeaders,
    kBody,
    kUntilEnd,
    kChunkSize,
    kChunk,
    kChunkEnd,
    kTrailer,
    kDone,
    kBroken
  };

  void ProcessLine();
  void ParseStatus();
  void ParseHeader();
  void FinishHead();
  void ConsumeBytes(std::string_view& bytes);

  const std::size_t max_body_;
  State state_ = State::kStatus;
  std::string line_;
  std::size_t head_bytes_ = 0;
  int status_ = 0;
  bool keep_alive_ = true;
  bool has_surplus_ = false;
  std::vector<std::pair<std::string, std::string>> headers_;
  std::size_t bytes_left_ = 0;
  std::string body_;
};

// Header names with their values.
using HttpHeaders = std::vector<std::pair<std::string_view, std::string>>;

// Each formats a complete request; a POST always has a Content-Length header.
std::string HttpPost(std::string_view path, std::string_view host, const HttpHeaders& headers,
                     std::string_view body);
std::string HttpGet(std::string_view path, std::string_view host);

}  // namespace brassfront

#endif  // BRASSFRONT_PROTOCOL_HTTP_HPP_
