#include "observe/log.hpp"

#include <poll.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <ctime>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

#include "observe/repeats.hpp"

namespace brassfront::observe {
namespace {

constexpr std::array<const char*, kConcernCount> kConcernNames = {
    "service", "engine", "client", "endpoint", "platform", "spool", "policy", "zones", "fleet"};
constexpr std::array<const char*, 5> kLevelNames = {"debug", "info", "warning", "error", "off"};

spdlog::level::level_enum SpdlogLevel(Level level) {
  switch (level) {
    case Level::kDebug:
      return spdlog::level::debug;
    case Level::kInfo:
      return spdlog::level::info;
    case Level::kWarning:
      return spdlog::level::warn;
    case Level::kError:
      return spdlog::level::err;
    case Level::kOff:
      break;
  }
  return spdlog::level::off;
}

// How much of a line was written.
enum class WriteResult { kComplete, kPartial, kNone };

WriteResult WriteLine(int fd, std::string_view line) {
  pollfd room{fd, POLLOUT, 0};
  if (poll(&room, 1, 0) <= 0) return WriteResult::kNone;
  const std::size_t length = line.size();
  while (!line.empty()) {
    const ssize_t n = write(fd, line.data(), line.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return line.size() == length ? WriteResult::kNone : WriteResult::kPartial;
    line.remove_prefix(static_cast<std::size_t>(n));
  }
  return WriteResult::kComplete;
}

LineTime LineTimeNow() {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  static const auto kStart = std::chrono::steady_clock::now();
  const auto unix_time = std::chrono::system_clock::now().time_since_epoch();
  const auto uptime = std::chrono::steady_clock::now() - kStart;
  return {duration_cast<milliseconds>(unix_time).count(),
          duration_cast<milliseconds>(uptime).count()};
}

// A pipe that is ready for writing has room for PIPE_BUF bytes, so writing a line that is truncated
// to that length does not block.
class DescriptorSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  DescriptorSink(int fd, Format format) : fd_(fd), format_(format) {}

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    if (dropped_ > 0) {
      const std::string dropped_notice =
          FormatLine(format_, LineTimeNow(), Concern::kService, Level::kWarning,
                     "log lines dropped", {{"count", dropped_}});
      if (Put(dropped_notice)) dropped_ = 0;
    }
    const std::string_view line(message.payload.data(), message.payload.size());
    if (dropped_ > 0 || !Put(line)) ++dropped_;
  }
  void flush_() override {}

 private:
  static constexpr std::size_t kMaxLine = 4096;  // PIPE_BUF

  // Returns false if the line could not be written completely.
  bool Put(std::string_view text) {
    std::string line = has_partial_line_ ? "\n" : "";
    line += text;
    if (line.size() >= kMaxLine) line.resize(kMaxLine - 1);
    line += '\n';
    const WriteResult written = WriteLine(fd_, line);
    if (written != WriteResult::kNone) has_partial_line_ = written == WriteResult::kPartial;
    return written == WriteResult::kComplete;
  }

  const int fd_;
  const Format format_;
  std::uint64_t dropped_ = 0;
  bool has_partial_line_ = false;  // the last line was only partly written
};

struct Loggers {
  explicit Loggers(const LogOptions& options)
      : format(options.format), repeats(options.max_repeats) {
    const auto sink = std::make_shared<DescriptorSink>(options.descriptor, options.format);
    for (std::size_t i = 0; i < kConcernCount; ++i) {
      by_concern[i] = std::make_unique<spdlog::logger>(kConcernNames[i], sink);
      by_concern[i]->set_level(SpdlogLevel(options.level));
    }
  }

  const Format format;
  std::array<std::unique_ptr<spdlog::logger>, kConcernCount> by_concern;
  std::mutex mutex;  // guards `repeats`
  RepeatLimiter repeats;
};

// Never destroyed: threads may log while the process exits.
Loggers*& CurrentLoggers() {
  static auto* current = new Loggers(LogOptions{});
  return current;
}

spdlog::logger& LoggerOf(Concern concern) {
  return *CurrentLoggers()->by_concern[static_cast<std::size_t>(concern)];
}

void AppendHex(std::string& out, unsigned char c) {
  constexpr const char* kDigits = "0123456789abcdef";
  out += kDigits[c >> 4];
  out += kDigits[c & 15];
}

// Appends the text in quotes, with escapes that are valid in both logfmt and JSON. Non-ASCII bytes
// are escaped as one character each, because ids and error texts may contain any bytes that a
// client sent.
void AppendQuoted(std::string& out, std::string_view text) {
  out += '"';
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (c == '\n') {
      out += "\\n";
    } else if (byte < 32 || byte > 126) {
      out += "\\u00";
      AppendHex(out, byte);
    } else {
      out += c;
    }
  }
  out += '"';
}

bool IsPlain(std::string_view text) {
  if (text.empty()) return false;
  for (const char c : text) {
    if (c <= 32 || c > 126 || c == '"' || c == '=' || c == '\\') return false;
  }
  return true;
}

// The text format writes values unchanged, except that line ends become spaces.
void AppendValue(std::string& out, Format format, const Field::Value& value) {
  if (const auto* text = std::get_if<std::string_view>(&value)) {
    if (format == Format::kJson || (format == Format::kLogfmt && !IsPlain(*text))) {
      AppendQuoted(out, *text);
    } else {
      for (const char c : *text) out += c == '\n' || c == '\r' ? ' ' : c;
    }
  } else if (const auto* signed_number = std::get_if<std::int64_t>(&value)) {
    out += std::to_string(*signed_number);
  } else {
    out += std::to_string(std::get<std::uint64_t>(value));
  }
}

// Formats a Unix time in milliseconds as RFC 3339 in UTC, with milliseconds.
std::string FormatTime(std::int64_t ms) {
  const auto seconds = static_cast<std::time_t>(ms / 1000);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 64> text{};
  const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::string out(text.data(), length);
  const std::string fraction = std::to_string(ms % 1000);
  return out.append(".").append(3 - fraction.size(), '0').append(fraction).append("Z");
}

void Write(Concern concern, Level level, std::string_view event, Fields fields,
           std::uint64_t repeats) {
  const Format format = CurrentLoggers()->format;
  std::string line = FormatLine(format, LineTimeNow(), concern, level, event, fields);
  if (repeats > 0) {
    if (format == Format::kJson) {
      line.pop_back();
      line += ",\"repeats\":" + std::to_string(repeats) + "}";
    } else {
      line += " repeats=" + std::to_string(repeats);
    }
  }
  LoggerOf(concern).log(SpdlogLevel(level), spdlog::string_view_t(line.data(), line.size()));
}

}  // namespace

void SetUpLog(const LogOptions& options) {
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  delete std::exchange(CurrentLoggers(), new Loggers(options));
}

bool ShouldLog(Concern concern, Level level) {
  return LoggerOf(concern).should_log(SpdlogLevel(level));
}

void Log(Concern concern, Level level, std::string_view event, Fields fields) {
  if (ShouldLog(concern, level)) Write(concern, level, event, fields, 0);
}

void LogRateLimited(Concern concern, Level level, std::string_view event, Fields fields) {
  if (!ShouldLog(concern, level)) return;
  std::optional<std::uint64_t> suppressed;
  {
    Loggers& loggers = *CurrentLoggers();
    const std::lock_guard lock(loggers.mutex);
    suppressed = loggers.repeats.Admit(event, std::chrono::steady_clock::now().time_since_epoch());
  }
  if (suppressed) Write(concern, level, event, fields, *suppressed);
}

bool ParseFormat(std::string_view name, Format& format) {
  constexpr std::array<std::string_view, 3> kNames = {"text", "logfmt", "json"};
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (name != kNames[i]) continue;
    format = static_cast<Format>(i);
    return true;
  }
  return false;
}

bool ParseLevel(std::string_view name, Level& level) {
  for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
    if (name != kLevelNames[i]) continue;
    level = static_cast<Level>(i);
    return true;
  }
  return false;
}

std::string FormatLine(Format format, const LineTime& time, Concern concern, Level level,
                       std::string_view event, Fields fields) {
  const char* concern_name = kConcernNames[static_cast<std::size_t>(concern)];
  const char* level_name = kLevelNames[static_cast<std::size_t>(level)];
  std::string line;
  if (format == Format::kText) {
    line.append(FormatTime(time.unix_ms)).append(" +").append(std::to_string(time.uptime_ms));
    line.append("ms ").append(event);
  } else if (format == Format::kLogfmt) {
    line.append("ts=").append(FormatTime(time.unix_ms)).append(" level=").append(level_name);
    line.append(" concern=").append(concern_name).append(" event=");
    AppendValue(line, format, event);
  } else {
    line.append(R"({"ts":")").append(FormatTime(time.unix_ms)).append(R"(","level":")");
    line.append(level_name).append(R"(","concern":")").append(concern_name);
    line.append(R"(","event":)");
    AppendValue(line, format, event);
  }
  for (const Field& field : fields) {
    if (format == Format::kJson) {
      line.append(",\"").append(field.name).append("\":");
    } else {
      line.append(" ").append(field.name).append("=");
    }
    AppendValue(line, format, field.value);
  }
  if (format == Format::kJson) line += '}';
  return line;
}

}  // namespace brassfront::observe
