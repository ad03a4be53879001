#include "forwarder/message_totals.hpp"

#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <string>

#include "observe/metrics.hpp"

namespace brassfront {
namespace {

class SpoolInFolder {
 public:
  SpoolInFolder() : folder_(MakeFolder()), owner_(folder_), spool_(owner_, kDisk, [](auto&) {}) {}
  ~SpoolInFolder() { std::filesystem::remove_all(folder_); }

  Spool& spool() { return spool_; }
  std::string file() const { return folder_ + "/spool"; }
  bool Accept(SpoolId number) {
    SpooledMessage message;
    message.id = std::to_string(number);
    return spool_.Accept(number, message);
  }

 private:
  static constexpr std::size_t kDisk = 1'000'000;
  static std::string MakeFolder() {
    char name[] = "/tmp/brassfront-totals-XXXXXX";
    return mkdtemp(name);
  }

  std::string folder_;
  FolderOwner owner_;
  Spool spool_;
};

// Returns how often a disagreement was counted so far, at the start or the exit of a process.
std::string CountedErrors(const std::string& at) {
  const std::string metrics = observe::FormatMetrics();
  const std::string series = "message_accounting_errors_total{at=\"" + at + "\"} ";
  const std::size_t found = metrics.find(series);
  if (found == std::string::npos) return "0";
  const std::size_t begin = found + series.size();
  return metrics.substr(begin, metrics.find('\n', begin) - begin);
}

TEST_CASE("totals that agree with the file are not an error") {
  SpoolInFolder folder;
  REQUIRE(folder.Accept(1));
  REQUIRE(folder.Accept(2));
  folder.spool().Finish(1);
  MessageTotals totals{.accepted = 2};
  totals.CountEnd(TraceStep::kDelivered);
  CHECK(totals.Balances(1));
  const std::string before = CountedErrors("exit");
  LogFinalTotals(totals, folder.spool());
  CheckAgainstPredecessor({.process_id = 1, .open_messages = 1}, folder.spool());
  CheckAgainstPredecessor({.process_id = 1, .open_messages = std::nullopt}, folder.spool());
  CHECK(CountedErrors("exit") == before);
}

TEST_CASE("a message that is missing in the file is an error at exit") {
  SpoolInFolder folder;
  REQUIRE(folder.Accept(1));
  const std::size_t one_message = folder.spool().file_bytes();
  REQUIRE(folder.Accept(2));
  std::filesystem::resize_file(folder.file(), one_message);
  const std::string before = CountedErrors("exit");
  LogFinalTotals({.accepted = 2}, folder.spool());
  CHECK(CountedErrors("exit") != before);
}

TEST_CASE("a message that the table has lost is an error at exit") {
  SpoolInFolder folder;
  REQUIRE(folder.Accept(1));
  const std::string before = CountedErrors("exit");
  LogFinalTotals({.accepted = 1, .delivered = 1}, folder.spool());
  CHECK(CountedErrors("exit") != before);
}

TEST_CASE("a spool with fewer messages than its last owner recorded is an error at the start") {
  SpoolInFolder folder;
  REQUIRE(folder.Accept(1));
  const std::string before = CountedErrors("start");
  CheckAgainstPredecessor({.process_id = 1, .open_messages = 2}, folder.spool());
  CHECK(CountedErrors("start") != before);
}

}  // namespace
}  // namespace brassfront
