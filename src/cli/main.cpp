// The command line of brassfront.
#include <malloc.h>

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <string>

#include "cli/serve.hpp"
#include "config/config.hpp"
#include "spool/spool.hpp"

namespace {

constexpr const char* kUsage =
    "brassfront COMMAND [OPTIONS]\n"
    "\n"
    "  serve         forward messages until SIGTERM\n"
    "  check-config  read the configuration and say what is wrong with it\n"
    "  spool         list the messages that a state folder still owes an end\n"
    "  version       print the version\n";

std::string Environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

void ListSpool(const std::string& folder) {
  brassfront::Spool spool = brassfront::Spool::OpenToRead(
      folder, [](const std::string& text) { std::cerr << text << "\n"; });
  for (const brassfront::Replayed& owed : spool.Replay()) {
    const brassfront::SpooledMessage& m = owed.message;
    std::cout << "id=" << m.id << " class=" << m.class_name << " dest=" << m.destination
              << " deadline_unix_ms=" << m.deadline.count() << " bytes=" << m.body.size()
              << " attempts=" << owed.attempts.size() << "\n";
  }
  std::cout << spool.owed() << " owed, " << spool.file_bytes() << " bytes\n";
}

int Main(int argc, char** argv) {
  cxxopts::Options options("brassfront", "Forwards messages from RESP2 clients to HTTP endpoints");
  options.add_options()("command", "", cxxopts::value<std::string>()->default_value(""))(
      "config", "configuration file [$NODE_CONFIG]",
      cxxopts::value<std::string>()->default_value(Environment("NODE_CONFIG")))(
      "state", "folder that lasts [$NODE_STATE]",
      cxxopts::value<std::string>()->default_value(Environment("NODE_STATE")))("h,help", "help");
  options.parse_positional({"command"});
  const auto given = options.parse(argc, argv);
  const auto command = given["command"].as<std::string>();
  const auto config = given["config"].as<std::string>();
  const auto state = given["state"].as<std::string>();
  if (given.count("help") > 0) {
    std::cout << kUsage << options.help();
    return 0;
  }
  if (command == "version") {
    std::cout << "brassfront " << BRASSFRONT_VERSION << "\n";
    return 0;
  }
  if (command == "check-config") {
    const brassfront::Config read = brassfront::LoadConfig(config);
    std::cout << config << ": good; forwarder " << read.name << " at " << read.listen << ", "
              << read.known.members.size() << " next hops known\n";
    return 0;
  }
  if (command == "spool" || command == "serve") {
    if (state.empty()) throw brassfront::ConfigError("no state folder: give --state or NODE_STATE");
    if (command == "serve") return brassfront::Serve(config, state);
    ListSpool(state);
    return 0;
  }
  std::cerr << kUsage;
  return 2;
}

}  // namespace

int main(int argc, char** argv) {
  // Hundreds of threads: an arena for each few of them would cost more memory than their stacks.
  mallopt(M_ARENA_MAX, 2);
  try {
    return Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "brassfront: " << error.what() << "\n";
    return 1;
  }
}
