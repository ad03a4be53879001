// The sub-commands. Each is implemented in its own file, which parses the options and calls the
// library code.
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

// The command line is invalid. main prints the error and exits with status 2.
class UsageError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Command {
  const char* name;
  const char* summary;
  // argv has the command's name and its arguments. Returns the exit status. main reports
  // exceptions.
  int (*run)(int argc, char** argv);
};

int ServeCommand(int argc, char** argv);
int CheckConfigCommand(int argc, char** argv);
int SpoolCommand(int argc, char** argv);
int CheckRecordsCommand(int argc, char** argv);
int RehearseCommand(int argc, char** argv);  // built with BRASSFRONT_KIT
int ZoneCommand(int argc, char** argv);      // built with BRASSFRONT_ZONES
int FleetCommand(int argc, char** argv);     // built with BRASSFRONT_FLEET

// Returns the value of an environment variable; empty if it is not set.
[[nodiscard]] std::string Environment(const char* name);

// Adds --help and parses the command line. Returns nullopt if it printed the help text. Throws
// UsageError.
[[nodiscard]] std::optional<cxxopts::ParseResult> ParseOptions(cxxopts::Options& options, int argc,
                                                               char** argv);

}  // namespace brassfront

#endif  // BRASSFRONT_CLI_COMMAND_HPP_
