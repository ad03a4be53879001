// The command line of brassfront.
#include <malloc.h>

#include <array>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>
#include <optional>
#include <string_view>

#include "cli/command.hpp"
#include "system/standard_descriptors.hpp"

namespace brassfront {

std::string Environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

std::optional<cxxopts::ParseResult> ParseOptions(cxxopts::Options& options, int argc, char** argv) {
  options.add_options()("h,help", "print this help text");
  cxxopts::ParseResult result;
  try {
    result = options.parse(argc, argv);
    if (!result.unmatched().empty()) {
      throw UsageError("unexpected argument: " + result.unmatched().front());
    }
  } catch (const cxxopts::exceptions::exception& error) {
    throw UsageError(error.what());
  }
  if (result.count("help") == 0) return result;
  std::cout << options.help();
  return std::nullopt;
}

namespace {

constexpr auto kCommands = std::to_array<Command>({
    {"serve", "forward messages until SIGTERM", ServeCommand},
    {"check-config", "check the configuration and report its errors", CheckConfigCommand},
    {"spool", "list the unfinished messages in a state folder", SpoolCommand},
    {"check-records", "check an operator file and report its errors", CheckRecordsCommand},
#ifdef BRASSFRONT_KIT
    {"rehearse", "play partner outages on this machine and judge them", RehearseCommand},
#endif
#ifdef BRASSFRONT_FLEET
    {"fleet", "show the state of a forwarder's fleet, and schedule maintenance", FleetCommand},
#endif
#ifdef BRASSFRONT_ZONES
    {"zone", "read, change and serve DNS zones", ZoneCommand},
#endif
});

void PrintUsage(std::ostream& out) {
  out << "brassfront COMMAND [OPTIONS]\n\n";
  for (const Command& command : kCommands) {
    out << "  " << std::left << std::setw(14) << command.name << command.summary << "\n";
  }
  out << "  " << std::left << std::setw(14) << "version"
      << "print the version\n  " << std::setw(14) << "help"
      << "print this text; `brassfront COMMAND --help` lists a command's options\n";
}

int Main(int argc, char** argv) {
  const std::string_view name = argc > 1 ? argv[1] : "";
  if (name == "version") {
    std::cout << "brassfront " << BRASSFRONT_VERSION << "\n";
    return 0;
  }
  if (name == "help" || name == "--help" || name == "-h") {
    PrintUsage(std::cout);
    return 0;
  }
  for (const Command& command : kCommands) {
    if (name != command.name) continue;
    try {
      return command.run(argc - 1, argv + 1);
    } catch (const UsageError& error) {
      std::cerr << "brassfront " << name << ": " << error.what() << "\nTry `brassfront " << name
                << " --help`.\n";
      return 2;
    }
  }
  if (!name.empty()) std::cerr << "brassfront: unknown command " << name << "\n";
  PrintUsage(std::cerr);
  return 2;
}

}  // namespace
}  // namespace brassfront

int main(int argc, char** argv) {
  brassfront::OpenStandardDescriptors();
  brassfront::IgnoreWriteSignals();
  // With hundreds of threads, the default number of arenas would cost more memory than their
  // stacks.
  mallopt(M_ARENA_MAX, 2);
  try {
    return brassfront::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "brassfront: " << error.what() << "\n";
    return 1;
  }
}
