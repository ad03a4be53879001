#include "protocol/http.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace brassfront {
namespace {

constexpr std::size_t kMaxHeadBytes = std::size_t{16} * 1024;

std::string ToLower(std::string_view text) {
  std::string out(text);
  for (char& c : out) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return out;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool ParseSize(std::string_view text, int base, std::size_t& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return !text.empty() && error == std::errc() && end == text.data() + text.size();
}

std::string RequestHead(std::string_view method, std::string_view path, std::string_view host) {
  std::string out;
  out.append(method).append(" ").append(path).append(" HTTP/1.1\r\nHost: ").append(host);
  return out += "\r\n";
}

}  // namespace

void HttpReader::Feed(std::string_view bytes) {
  while (!bytes.empty() && state_ != State::kBroken) {
    if (state_ == State::kDone) {
      keep_alive_ = false;
      has_surplus_ = true;
      return;
    }
    if (state_ == State::kBody || state_ == State::kUntilEnd || state_ == State::kChunk) {
      ConsumeBytes(bytes);
    } else {
      line_ += bytes.front();
      bytes.remove_prefix(1);
      if (line_.size() > kMaxHeadBytes || ++head_bytes_ > kMaxHeadBytes) {
        state_ = State::kBroken;
      } else if (line_.ends_with("\r\n")) {
        line_.resize(line_.size() - 2);
        ProcessLine();
        line_.clear();
      }
    }
  }
}

void HttpReader::FeedEnd() {
  keep_alive_ = false;
  if (state_ != State::kDone) {
    state_ = state_ == State::kUntilEnd ? State::kDone : State::kBroken;
  }
}

void HttpReader::ConsumeBytes(std::string_view& bytes) {
  const std::string_view part = state_ == State::kUntilEnd ? bytes : bytes.substr(0, bytes_left_);
  bytes.remove_prefix(part.size());
  if (body_.size() + part.size() > max_body_) {
    state_ = State::kBroken;
    return;
  }
  body_.append(part);
  if (state_ == State::kUntilEnd) return;
  bytes_left_ -= part.size();
  if (bytes_left_ == 0) state_ = state_ == State::kBody ? State::kDone : State::kChunkEnd;
}

void HttpReader::ProcessLine() {
  switch (state_) {
    case State::kStatus:
      return ParseStatus();
    case State::kHeaders:
      return line_.empty() ? FinishHead() : ParseHeader();
    case State::kChunkSize: {
      head_bytes_ = 0;  // so that the limit counts per line of a stream that stays open
      const std::string_view size = Trim(std::string_view(line_).substr(0, line_.find(';')));
      if (!ParseSize(size, 16, bytes_left_) || bytes_left_ > max_body_) {
        state_ = State::kBroken;
      } else {
        state_ = bytes_left_ > 0 ? State::kChunk : State::kTrailer;
      }
      return;
    }
    case State::kChunkEnd:
      state_ = line_.empty() ? State::kChunkSize : State::kBroken;
      return;
    default:  // a trailer
      if (line_.empty()) state_ = State::kDone;
  }
}

void HttpReader::ParseStatus() {
  const std::string_view line = line_;
  std::size_t status = 0;
  const bool valid = line.size() >= 12 && line.starts_with("HTTP/1.") && line[8] == ' ' &&
                     (line.size() == 12 || line[12] == ' ') &&
                     ParseSize(line.substr(9, 3), 10, status) && status >= 100;
  if (!valid) {
    state_ = State::kBroken;
    return;
  }
  status_ = static_cast<int>(status);
  keep_alive_ = line[7] != '0';
  state_ = State::kHeaders;
}

void HttpReader::ParseHeader() {
  const std::size_t colon = line_.find(':');
  if (colon == std::string::npos || colon == 0) {
    state_ = State::kBroken;
    return;
  }
  const std::string_view line = line_;
  headers_.emplace_back(ToLower(line.substr(0, colon)), Trim(line.substr(colon + 1)));
}

void HttpReader::FinishHead() {
  if (status_ < 200) {  // an interim response; the final one follows
    status_ = 0;
    headers_.clear();
    state_ = State::kStatus;
    return;
  }
  if (ToLower(Header("connection")).find("close") != std::string::npos) keep_alive_ = false;
  const std::string_view length = Header("content-length");
  if (status_ == 204 || status_ == 304) {
    state_ = State::kDone;
  } else if (ToLower(Header("transfer-encoding")) == "chunked") {
    state_ = State::kChunkSize;
  } else if (length.empty()) {
    keep_alive_ = false;
    state_ = State::kUntilEnd;
  } else if (!ParseSize(length, 10, bytes_left_) || bytes_left_ > max_body_) {
    state_ = State::kBroken;
  } else {
    state_ = bytes_left_ > 0 ? State::kBody : State::kDone;
  }
}

std::string_view HttpReader::Header(std::string_view name) const {
  const auto it = std::find_if(headers_.begin(), headers_.end(),
                               [&](const auto& header) { return header.first == name; });
  return it == headers_.end() ? std::string_view() : std::string_view(it->second);
}

std::string HttpPost(std::string_view path, std::string_view host, const HttpHeaders& headers,
                     std::string_view body) {
  std::string out = RequestHead("POST", path, host);
  for (const auto& [name, value] : headers) {
    out.append(name).append(": ").append(value).append("\r\n");
  }
  out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
  return out.append(body);
}

std::string HttpGet(std::string_view path, std::string_view host) {
  return RequestHead("GET", path, host) + "\r\n";
}

}  // namespace brassfront
