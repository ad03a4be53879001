#include "protocol/resp.hpp"

#include <charconv>
#include <optional>

#include "protocol/delivery_request.hpp"

namespace brassfront {
namespace {

constexpr std::size_t kMaxWords = 64;
constexpr std::size_t kMaxOtherWordBytes = 4096;  // bytes of a command's other words, together
constexpr std::size_t kMaxLineBytes = 32;         // bytes of a line with a count
constexpr std::size_t kMaxSkippedWordBytes = 16 << 20;  // bytes of a skipped word; more is an error

std::optional<std::size_t> ParseCount(std::string_view line, char mark, std::size_t max) {
  if (line.empty() || line[0] != mark) return std::nullopt;
  std::size_t count = 0;
  const char* end = line.data() + line.size();
  const auto [stop, error] = std::from_chars(line.data() + 1, end, count);
  if (error != std::errc() || stop != end || count > max) return std::nullopt;
  return count;
}

std::string FormatLine(char mark, std::string_view text) {
  std::string out(1, mark);
  for (const char c : text) out += c == '\r' || c == '\n' ? ' ' : c;
  return out += "\r\n";
}

}  // namespace

void RespReader::Feed(std::string_view bytes) {
  while (!bytes.empty() && state_ != State::kBroken) {
    if (state_ == State::kBody) {
      const std::string_view part = bytes.substr(0, bytes_left_);
      if (!skipping_word_) command_.words.back().append(part);
      bytes_left_ -= part.size();
      bytes.remove_prefix(part.size());
      if (bytes_left_ == 0) state_ = State::kBodyEnd;
      continue;
    }
    line_ += bytes.front();
    bytes.remove_prefix(1);
    if (line_.ends_with("\r\n")) {
      line_.resize(line_.size() - 2);
      ProcessLine();
      line_.clear();
    } else if (line_.size() > kMaxLineBytes) {
      state_ = State::kBroken;
    }
  }
}

void RespReader::ProcessLine() {
  if (state_ == State::kBodyEnd) {
    if (!line_.empty()) {
      state_ = State::kBroken;
    } else {
      FinishWord();
    }
  } else if (state_ == State::kArray) {
    if (line_.empty()) return;  // an empty line between commands is allowed
    const auto count = ParseCount(line_, '*', kMaxWords);
    if (!count) {
      state_ = State::kBroken;
    } else if (*count > 0) {
      words_left_ = *count;
      command_ = {};
      command_bytes_ = 0;
      state_ = State::kBulk;
    }
  } else {
    const auto size = ParseCount(line_, '$', kMaxSkippedWordBytes);
    if (!size) {
      state_ = State::kBroken;
      return;
    }
    bytes_left_ = *size;
    // Limits the memory of many clients that each send a command of many long words at once.
    skipping_word_ =
        *size > kMaxBodyBytes || command_bytes_ + *size > kMaxBodyBytes + kMaxOtherWordBytes;
    if (!skipping_word_) command_bytes_ += *size;
    command_.oversize |= skipping_word_;
    command_.words.emplace_back();
    state_ = bytes_left_ > 0 ? State::kBody : State::kBodyEnd;
  }
}

void RespReader::FinishWord() {
  if (--words_left_ > 0) {
    state_ = State::kBulk;
    return;
  }
  commands_.push_back(std::move(command_));
  command_ = {};
  state_ = State::kArray;
}

std::string RespSimple(std::string_view text) { return FormatLine('+', text); }
std::string RespError(std::string_view code, std::string_view text) {
  std::string line(code);
  if (!text.empty()) line.append(" ").append(text);
  return FormatLine('-', line);
}
std::string RespBulk(std::string_view text) {
  std::string out = FormatLine('$', std::to_string(text.size()));
  return out.append(text).append("\r\n");
}

}  // namespace brassfront
