// HTTP/1.1 as a client reads and writes it: a state machine that is fed bytes, and request heads.
#ifndef BRASSFRONT_PROTOCOL_HTTP_HPP_
#define BRASSFRONT_PROTOCOL_HTTP_HPP_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace brassfront {

class HttpReader {
 public:
  explicit HttpReader(std::size_t max_body = 1 << 20) : max_body_(max_body) {}

  // Takes any cut of the stream. What comes after the answer's end is passed over, and the
  // connection cannot be used again.
  void Feed(std::string_view bytes);
  // The peer ended the connection.
  void FeedEnd();

  [[nodiscard]] int status() const { return status_; }  // 0 until the first line has come whole
  // Some of the answer has come, not only of an interim one before it.
  [[nodiscard]] bool begun() const {
    return state_ == State::kStatus ? !line_.empty() : state_ != State::kHeaders || status_ >= 200;
  }
  [[nodiscard]] bool head_done() const {
    return state_ >= State::kBody && state_ != State::kBroken;
  }
  [[nodiscard]] bool done() const { return state_ == State::kDone; }
  [[nodiscard]] bool broken() const { return state_ == State::kBroken; }
  [[nodiscard]] bool keep_alive() const { return keep_alive_; }
  // Bytes have come behind the answer's end.
  [[nodiscard]] bool has_surplus() const { return has_surplus_; }
  [[nodiscard]] std::string_view Header(
      std::string_view name) const;  // name in lower case; empty if absent
  [[nodiscard]] const std::string& body() const { return body_; }
  // What has come of the body since the last call, for an answer that stays open.
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

  void TakeLine();
  void TakeStatus();
  void TakeHeader();
  void EndHead();
  void TakeBytes(std::string_view& bytes);

  const std::size_t max_body_;
  State state_ = State::kStatus;
  std::string line_;
  std::size_t head_bytes_ = 0;
  int status_ = 0;
  bool keep_alive_ = true;
  bool has_surplus_ = false;
  std::vector<std::pair<std::string, std::string>> headers_;
  std::size_t bytes_due_ = 0;
  std::string body_;
};

using HttpHeaders = std::vector<std::pair<std::string_view, std::string>>;

// A whole request; a POST always states its length.
std::string HttpPost(std::string_view path, std::string_view host, const HttpHeaders& headers,
                     std::string_view body);
std::string HttpGet(std::string_view path, std::string_view host);

}  // namespace brassfront

#endif  // BRASSFRONT_PROTOCOL_HTTP_HPP_
