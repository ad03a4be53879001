// The structured log: one line per event, with a name, a level, a concern and typed fields.
//
// Lines are written to standard error through spdlog. Logging never blocks: if the reader does not
// keep up or the descriptor fails, lines are dropped and counted, and the next line that can be
// written is preceded by one with their number. All functions are thread-safe and may be called
// from threads with small stacks.
#ifndef BRASSFRONT_OBSERVE_LOG_HPP_
#define BRASSFRONT_OBSERVE_LOG_HPP_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace brassfront::observe {

enum class Level { kDebug, kInfo, kWarning, kError, kOff };

// The text format is human-readable: `time +uptime name field=value ...`. The logfmt and JSON
// formats also have the level and the concern.
enum class Format { kText, kLogfmt, kJson };

// The part of the program that an event is about. Each concern has its own logger.
enum class Concern {
  kService,
  kEngine,
  kClient,
  kEndpoint,
  kPlatform,
  kSpool,
  kPolicy,
  kZones,
  kFleet
};
inline constexpr std::size_t kConcernCount = 9;

struct Field {
  using Value = std::variant<std::string_view, std::int64_t, std::uint64_t>;

  Field(std::string_view field_name, std::string_view text) : name(field_name), value(text) {}
  Field(std::string_view field_name, const char* text) : name(field_name), value(text) {}
  Field(std::string_view field_name, const std::string& text)
      : name(field_name), value(std::string_view(text)) {}
  template <std::signed_integral T>
  Field(std::string_view field_name, T number)
      : name(field_name), value(static_cast<std::int64_t>(number)) {}
  template <std::unsigned_integral T>
  Field(std::string_view field_name, T number)
      : name(field_name), value(static_cast<std::uint64_t>(number)) {}

  std::string_view name;
  Value value;
};
using Fields = std::initializer_list<Field>;

struct LogOptions {
  Format format = Format::kText;
  Level level = Level::kInfo;
  int descriptor = 2;  // not owned
  // Maximum lines per second that LogRateLimited writes for one event name. Further events are
  // counted, and the next line has their number in the field `repeats`. Ends of connections and
  // messages are logged without this limit.
  std::size_t max_repeats = 20;
};

// Must be called before the first line; only tests call it again. If it is not called, the default
// options apply.
void SetUpLog(const LogOptions& options);

// Returns whether a line would be written. Lets callers skip the computation of expensive fields.
bool ShouldLog(Concern concern, Level level);

void Log(Concern concern, Level level, std::string_view event, Fields fields = {});
// Like Log, but at most LogOptions::max_repeats lines per second and event name.
void LogRateLimited(Concern concern, Level level, std::string_view event, Fields fields = {});

// Parse command line values. Return false if the name is unknown.
bool ParseFormat(std::string_view name, Format& format);
bool ParseLevel(std::string_view name, Level& level);

// The time of a line in milliseconds. The uptime is measured on the steady clock from the process's
// first line, so it shows the order of lines even if the wall clock is stepped.
struct LineTime {
  std::int64_t unix_ms = 0;
  std::int64_t uptime_ms = 0;
};

// Returns the line as it would be written, without a line end.
std::string FormatLine(Format format, const LineTime& time, Concern concern, Level level,
                       std::string_view event, Fields fields);

}  // namespace brassfront::observe

#endif  // BRASSFRONT_OBSERVE_LOG_HPP_
