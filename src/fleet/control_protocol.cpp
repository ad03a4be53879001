#include "fleet/control_protocol.hpp"

#include <algorithm>
#include <charconv>

#include "protocol/json.hpp"

namespace brassfront::fleet {
namespace {

// Decodes %XX and + as in the query of a URL.
std::string PercentDecode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    const bool hex = text[i] == '%' && i + 2 < text.size() &&
                     std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr ==
                         text.data() + i + 3;
    if (hex) i += 2;
    out += hex ? static_cast<char>(value) : text[i] == '+' ? ' ' : text[i];
  }
  return out;
}

// Returns nothing if a part of the query is not NAME=VALUE.
std::optional<std::map<std::string, std::string>> ParseQuery(std::string_view text) {
  std::map<std::string, std::string> query;
  while (!text.empty()) {
    const std::string_view part = text.substr(0, text.find('&'));
    text.remove_prefix(std::min(text.size(), part.size() + 1));
    const std::size_t equals = part.find('=');
    if (equals == std::string_view::npos) return std::nullopt;
    query[PercentDecode(part.substr(0, equals))] = PercentDecode(part.substr(equals + 1));
  }
  return query;
}

}  // namespace

ControlReply ErrorReply(int status, const std::string& message) {
  return {status, "{\"error\": " + json::Quote(message) + "}"};
}

std::optional<ControlRequest> ParseControlRequest(std::string_view head) {
  const std::string_view line = head.substr(0, head.find("\r\n"));
  const std::size_t first_space = line.find(' ');
  const std::size_t last_space = line.rfind(' ');
  if (first_space == std::string_view::npos || last_space <= first_space + 1) return std::nullopt;
  const std::string_view version = line.substr(last_space + 1);
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return std::nullopt;
  ControlRequest request;
  request.method = line.substr(0, first_space);
  const std::string_view target = line.substr(first_space + 1, last_space - first_space - 1);
  if (target.front() != '/') return std::nullopt;
  if (request.method != "GET" && request.method != "POST") return std::nullopt;
  const std::size_t question_mark = target.find('?');
  request.path = target.substr(0, question_mark);
  if (question_mark == std::string_view::npos) return request;
  auto query = ParseQuery(target.substr(question_mark + 1));
  if (!query) return std::nullopt;
  request.query = std::move(*query);
  return request;
}

}  // namespace brassfront::fleet
