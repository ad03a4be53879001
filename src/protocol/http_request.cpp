#include "protocol/http_request.hpp"

#include <algorithm>
#include <charconv>

namespace brassfront {
namespace {

constexpr int kBadRequest = 400;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLineEnd = "\r\n";

char ToLower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool EqualsIgnoringCase(std::string_view text, std::string_view lower) {
  return std::equal(text.begin(), text.end(), lower.begin(), lower.end(),
                    [](char a, char b) { return ToLower(a) == b; });
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool IsUpperCaseWord(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(),
                                      [](char letter) { return letter >= 'A' && letter <= 'Z'; });
}

bool IsVisible(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char letter) { return letter > ' ' && letter < '\x7f'; });
}

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] != '%') {
      decoded += text[at];
      continue;
    }
    unsigned code = 0;
    const std::string_view digits = text.substr(at + 1, 2);
    const char* const end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, code, 16);
    if (digits.size() < 2 || error != std::errc() || stop != end) return std::nullopt;
    decoded += static_cast<char>(code);
    at += 2;
  }
  return decoded;
}

const char* ReasonPhrase(int status) {
  if (status < 300) return "OK";
  return status < 500 ? "Rejected" : "Failed";
}

}  // namespace

void HttpRequestReader::Feed(std::string_view bytes) {
  if (done_) return;
  if (!head_done_) {
    head_.append(bytes);
    const std::size_t end = head_.find(kHeadEnd);
    if (std::min(end, head_.size()) > kMaxHeadBytes) return Fail(kHeadTooLarge);
    if (end == std::string::npos) return;
    bytes = std::string_view(head_).substr(end + kHeadEnd.size());
    ReadHead(std::string_view(head_).substr(0, end));
    if (done_) return;
    head_done_ = true;
  }
  body_bytes_left_ -= std::min(body_bytes_left_, bytes.size());
  done_ = body_bytes_left_ == 0;
}

void HttpRequestReader::ReadHead(std::string_view head) {
  const std::size_t first_end = std::min(head.find(kLineEnd), head.size());
  if (!ReadRequestLine(head.substr(0, first_end))) return Fail(kBadRequest);
  head.remove_prefix(first_end);
  while (!head.empty()) {
    head.remove_prefix(kLineEnd.size());
    const std::size_t end = std::min(head.find(kLineEnd), head.size());
    if (!ReadHeader(head.substr(0, end))) return Fail(kBadRequest);
    if (body_bytes_left_ > kMaxBodyBytes) return Fail(kBodyTooLarge);
    head.remove_prefix(end);
  }
}

// METHOD SP target SP HTTP/1.x
bool HttpRequestReader::ReadRequestLine(std::string_view line) {
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first == std::string_view::npos || first == last) return false;
  const std::string_view method = line.substr(0, first);
  const std::string_view target = line.substr(first + 1, last - first - 1);
  const std::string_view version = line.substr(last + 1);
  const bool valid = IsUpperCaseWord(method) && target.starts_with('/') && IsVisible(target) &&
                     version.size() == 8 && version.starts_with("HTTP/1.");
  if (!valid) return false;
  const std::size_t mark = std::min(target.find('?'), target.size());
  request_.method = method;
  request_.path = target.substr(0, mark);
  request_.query = target.substr(std::min(mark + 1, target.size()));
  return true;
}

bool HttpRequestReader::ReadHeader(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  const std::string_view value = Trim(line.substr(colon + 1));
  if (EqualsIgnoringCase(line.substr(0, colon), "transfer-encoding")) return false;
  if (!EqualsIgnoringCase(line.substr(0, colon), "content-length")) return true;
  const char* const end = value.data() + value.size();
  const auto [stop, error] = std::from_chars(value.data(), end, body_bytes_left_);
  return !value.empty() && error == std::errc() && stop == end;
}

void HttpRequestReader::Fail(int status) {
  error_ = status;
  done_ = true;
}

std::optional<std::string> QueryParameter(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return PercentDecode(pair.substr(equals + 1));
    }
  }
  return std::nullopt;
}

std::string FormatHttpReply(int status, std::string_view body) {
  std::string reply = "HTTP/1.1 " + std::to_string(status) + " " + ReasonPhrase(status) + "\r\n";
  reply += "Content-Type: text/plain\r\nConnection: close\r\nContent-Length: ";
  reply += std::to_string(body.size());
  return reply.append("\r\n\r\n").append(body);
}

}  // namespace brassfront
