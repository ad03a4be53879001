#include "protocol/resp.hpp"

#include <charconv>
#include <optional>

#include "protocol/delivery_request.hpp"

namespace brassfront {
namespace {

constexpr std::size_t kMaxWords = 64;
constexpr std::size_t kMaxBesideBody = 4096;      // bytes of a command's other words, together
constexpr std::size_t kMaxLine = 32;              // bytes of a line with a count
constexpr std::size_t kMaxPassedOver = 16 << 20;  // bytes of a skipped word; more is an error

std::optional<std::size_t> ParseCount(std::string_view line, char mark, std::size_t most) {
  if (line.empty() || line[0] != mark) return std::nullopt;
  std::size_t count = 0;
  const char* end = line.data() + line.size();
  const auto [stop, error] = std::from_chars(line.data() + 1, end, count);
  if (error != std::errc() || stop != end || count > most) return std::nullopt;
  return count;
}

std::string OneLine(char mark, std::string_view text) {
  std::string out(1, mark);
  for (const char c : text) out += c == '\r' || c == '\n' ? ' ' : c;
  return out += "\r\n";
}

}  // namespace

void RespReader::Feed(std::string_view bytes) {
  while (!bytes.empty() && state_ != State::kBroken) {
    if (state_ == State::kBody) {
      const std::string_view part = bytes.substr(0, bytes_due_);
      if (!passing_over_) command_.words.back().append(part);
      bytes_due_ -= part.size();
      bytes.remove_prefix(part.size());
      if (bytes_due_ == 0) state_ = State::kBodyEnd;
      continue;
    }
    line_ += bytes.front();
    bytes.remove_prefix(1);
    if (line_.ends_with("\r\n")) {
      line_.resize(line_.size() - 2);
      TakeLine();
      line_.clear();
    } else if (line_.size() > kMaxLine) {
      state_ = State::kBroken;
    }
  }
}

void RespReader::TakeLine() {
  if (state_ == State::kBodyEnd) {
    if (!line_.empty()) {
      state_ = State::kBroken;
    } else {
      EndWord();
    }
  } else if (state_ == State::kArray) {
    if (line_.empty()) return;  // an empty line between commands is allowed
    const auto count = ParseCount(line_, '*', kMaxWords);
    if (!count) {
      state_ = State::kBroken;
    } else if (*count > 0) {
      words_due_ = *count;
      command_ = {};
      command_bytes_ = 0;
      state_ = State::kBulk;
    }
  } else {
    const auto size = ParseCount(line_, '$', kMaxPassedOver);
    if (!size) {
      state_ = State::kBroken;
      return;
    }
    bytes_due_ = *size;
    // Limits the memory of many clients that each send a command of many long words at once.
    passing_over_ =
        *size > kMaxBodyBytes || command_bytes_ + *size > kMaxBodyBytes + kMaxBesideBody;
    if (!passing_over_) command_bytes_ += *size;
    command_.oversize |= passing_over_;
    command_.words.emplace_back();
    state_ = bytes_due_ > 0 ? State::kBody : State::kBodyEnd;
  }
}

void RespReader::EndWord() {
  if (--words_due_ > 0) {
    state_ = State::kBulk;
    return;
  }
  commands_.push_back(std::move(command_));
  command_ = {};
  state_ = State::kArray;
}

std::string RespSimple(std::string_view text) { return OneLine('+', text); }
std::string RespError(std::string_view code, std::string_view text) {
  std::string line(code);
  if (!text.empty()) line.append(" ").append(text);
  return OneLine('-', line);
}
std::string RespBulk(std::string_view text) {
  std::string out = OneLine('$', std::to_string(text.size()));
  return out.append(text).append("\r\n");
}

}  // namespace brassfront
