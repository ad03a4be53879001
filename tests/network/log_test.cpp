// Tests the structured log: its three formats, omitted lines, and a reader that has stopped
// reading.
#include "observe/log.hpp"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <regex>
#include <sstream>
#include <string>

#include "observe/histogram.hpp"
#include "observe/repeats.hpp"

namespace brassfront::observe {
namespace {

// Redirects the log into a pipe, and restores the default log in the destructor.
class PipedLog {
 public:
  explicit PipedLog(LogOptions options) {
    REQUIRE(pipe(ends_) == 0);
    REQUIRE(fcntl(ends_[0], F_SETFL, O_NONBLOCK) == 0);
    options.descriptor = ends_[1];
    SetUpLog(options);
  }
  ~PipedLog() {
    SetUpLog({});
    close(ends_[0]);
    close(ends_[1]);
  }
  std::string Read() {
    std::string all;
    char part[4096];
    for (ssize_t n = 0; (n = read(ends_[0], part, sizeof part)) > 0;) {
      all.append(part, static_cast<std::size_t>(n));
    }
    return all;
  }
  // Returns the lines without their times; each line must have one.
  std::string ReadWithoutTimes() {
    static const std::regex kTime(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z \+\d+ms (.*))");
    std::istringstream lines(Read());
    std::string result;
    for (std::string line; std::getline(lines, line);) {
      std::smatch parts;
      REQUIRE_MESSAGE(std::regex_match(line, parts, kTime), line);
      result += parts[1].str() + "\n";
    }
    return result;
  }

 private:
  int ends_[2] = {-1, -1};
};

TEST_CASE("an event has the same fields in each format") {
  const auto line = [](Format format) {
    return FormatLine(format, {1'700'000'000'007, 42}, Concern::kClient, Level::kInfo,
                      "connection ended",
                      {{"side", "client"}, {"fault", "a \"b\"\n\x01"}, {"empty", ""}, {"n", -3}});
  };
  CHECK(
      line(Format::kText) ==
      "2023-11-14T22:13:20.007Z +42ms connection ended side=client fault=a \"b\" \x01 empty= n=-3");
  CHECK(line(Format::kLogfmt) ==
        "ts=2023-11-14T22:13:20.007Z level=info concern=client event=\"connection ended\" "
        "side=client fault=\"a \\\"b\\\"\\n\\u0001\" empty=\"\" n=-3");
  CHECK(line(Format::kJson) ==
        "{\"ts\":\"2023-11-14T22:13:20.007Z\",\"level\":\"info\",\"concern\":\"client\","
        "\"event\":\"connection ended\",\"side\":\"client\",\"fault\":\"a \\\"b\\\"\\n\\u0001\","
        "\"empty\":\"\",\"n\":-3}");
}

TEST_CASE("a line below the level is not written, and an empty log writes nothing") {
  PipedLog log({.level = Level::kWarning});
  Log(Concern::kEngine, Level::kInfo, "unseen");
  CHECK_FALSE(ShouldLog(Concern::kEngine, Level::kInfo));
  Log(Concern::kEngine, Level::kError, "seen", {{"n", 1U}});
  CHECK(log.ReadWithoutTimes() == "seen n=1\n");
}

TEST_CASE("a reader that stops reading blocks no writer, and gets the number of dropped lines") {
  PipedLog log({});
  const std::string long_text(500, 'x');
  constexpr int kLines = 1000;  // about 500 KiB; the capacity of a pipe is 64 KiB
  for (int i = 0; i < kLines; ++i) Log(Concern::kEngine, Level::kInfo, "line", {{"t", long_text}});
  const std::string first = log.Read();
  const auto lines = std::count(first.begin(), first.end(), '\n');
  CHECK(lines > 10);
  CHECK(lines < kLines);
  Log(Concern::kEngine, Level::kInfo, "after");
  CHECK(log.ReadWithoutTimes() ==
        "log lines dropped count=" + std::to_string(kLines - lines) + "\nafter\n");
}

TEST_CASE("repeats are omitted and counted, separately for each name") {
  RepeatLimiter repeats(2);
  const auto second = std::chrono::seconds(1);
  CHECK(repeats.Admit("a", {}) == 0);
  CHECK(repeats.Admit("a", {}) == 0);
  CHECK(repeats.Admit("a", {}) == std::nullopt);
  CHECK(repeats.Admit("a", second / 2) == std::nullopt);
  CHECK(repeats.Admit("b", {}) == 0);
  CHECK(repeats.Admit("a", second) == 2);
  CHECK(repeats.Admit("a", second) == 0);
}

TEST_CASE("repeats of an event are omitted only when logged with LogRateLimited") {
  PipedLog log({.max_repeats = 1});
  LogRateLimited(Concern::kSpool, Level::kWarning, "spool full");
  LogRateLimited(Concern::kSpool, Level::kWarning, "spool full");
  Log(Concern::kSpool, Level::kWarning, "spool full");
  CHECK(log.ReadWithoutTimes() == "spool full\nspool full\n");
}

TEST_CASE("the names of formats and levels are parsed") {
  Format format{};
  Level level{};
  CHECK(ParseFormat("json", format));
  CHECK(format == Format::kJson);
  CHECK(ParseLevel("error", level));
  CHECK(level == Level::kError);
  CHECK_FALSE(ParseLevel("loud", level));
  CHECK_FALSE(ParseFormat("", format));
}

TEST_CASE("a histogram's quantiles are within a ninth of the values") {
  Histogram times;
  CHECK(times.Quantile(0.5).count() == 0);
  for (int us = 1; us <= 100'000; ++us) times.Add(std::chrono::microseconds(us));
  for (const double share : {0.01, 0.5, 0.9, 0.99, 0.999}) {
    const double seen = static_cast<double>(times.Quantile(share).count());
    const double value = share * 100'000;
    CHECK(seen >= value);
    CHECK(seen <= value * 1.125 + 1);
  }
  CHECK(times.max().count() == 100'000);
  times.Add(std::chrono::hours(10));
  CHECK(times.Quantile(1.0) == times.max());
  Histogram other;
  other.Add(std::chrono::microseconds(-5));
  other.Merge(times);
  CHECK(other.count() == 100'002);
}

}  // namespace
}  // namespace brassfront::observe
