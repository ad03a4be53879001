// The sub-commands: each has a file of its own, which reads its options and calls what does the
// work.
#ifndef BRASSFRONT_CLI_COMMAND_HPP_
#define BRASSFRONT_CLI_COMMAND_HPP_

#include <optional>
#include <stdexcept>
#include <string>

namespace cxxopts {
class Options;
class ParseResult;
}  // namespace cxxopts

namespace brassfront {

// The command line was not understood: exit status 2, with the command's usage.
class UsageError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Command {
  const char* name;
  const char* summary;
  // Given its own name and what follows it. Returns the exit status; throws what main reports.
  int (*run)(int argc, char** argv);
};

int ServeCommand(int argc, char** argv);
int CheckConfigCommand(int argc, char** argv);
int SpoolCommand(int argc, char** argv);
int CheckRecordsCommand(int argc, char** argv);
int RehearseCommand(int argc, char** argv);  // with the kit
int ZoneCommand(int argc, char** argv);      // with zones
int FleetCommand(int argc, char** argv);     // with the fleet

// The variable's value; empty if it is not set.
[[nodiscard]] std::string Environment(const char* name);

// Adds --help and parses. Nothing if help was asked for, and printed. Throws UsageError.
[[nodiscard]] std::optional<cxxopts::ParseResult> ParseOptions(cxxopts::Options& options, int argc,
                                                               char** argv);

}  // namespace brassfront

#endif  // BRASSFRONT_CLI_COMMAND_HPP_
