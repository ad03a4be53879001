// The structured log: one line an event, with a name, a level, a concern and typed fields.
//
// Lines go to standard error by way of spdlog. No line ever waits: when whoever reads them stands
// still, lines are dropped and counted, and the next line that fits says how many. The same holds
// where the descriptor fails in any way. All of it may be called by any thread, small-stack ones as
// well.
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

// Text is `time +uptime name field=value ...` as people read it; logfmt and JSON have level and
// concern too.
enum class Format { kText, kLogfmt, kJson };

// One logger each, with a level of its own.
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
inline constexpr std::size_t kConcerns = 9;

struct Field {
  using Value = std::variant<std::string_view, std::int64_t, std::uint64_t>;

  Field(std::string_view its_name, std::string_view text) : name(its_name), value(text) {}
  Field(std::string_view its_name, const char* text) : name(its_name), value(text) {}
  Field(std::string_view its_name, const std::string& text)
      : name(its_name), value(std::string_view(text)) {}
  template <std::signed_integral T>
  Field(std::string_view its_name, T number)
      : name(its_name), value(static_cast<std::int64_t>(number)) {}
  template <std::unsigned_integral T>
  Field(std::string_view its_name, T number)
      : name(its_name), value(static_cast<std::uint64_t>(number)) {}

  std::string_view name;
  Value value;
};
using Fields = std::initializer_list<Field>;

struct LogOptions {
  Format format = Format::kText;
  Level level = Level::kInfo;
  int descriptor = 2;  // it stays the caller's
  // Of repeats: so many lines of one event name a second and concern; the rest are counted, and the
  // count goes with the next one as `repeats`. Ends of connections and messages are never left out.
  std::size_t max_repeats = 20;
};

// Before the first line; again only in tests. Without it lines have the options above.
void SetUpLog(const LogOptions& options);

// Whether a line would be written: for fields that cost something to make.
bool ShouldLog(Concern concern, Level level);

void Log(Concern concern, Level level, std::string_view event, Fields fields = {});
// The same, and left out where the event repeats too often.
void LogRateLimited(Concern concern, Level level, std::string_view event, Fields fields = {});

// For the command line; false if the name is none of them.
bool ParseFormat(std::string_view name, Format& format);
bool ParseLevel(std::string_view name, Level& level);

// When a line was written, in milliseconds. The uptime counts from the process's first line on the
// steady clock: where the wall clock is stepped, it still tells what came after what.
struct LineTime {
  std::int64_t unix_ms = 0;
  std::int64_t uptime_ms = 0;
};

// The line without its end, as it would be written.
std::string FormatLine(Format format, const LineTime& time, Concern concern, Level level,
                       std::string_view event, Fields fields);

}  // namespace brassfront::observe

#endif  // BRASSFRONT_OBSERVE_LOG_HPP_
