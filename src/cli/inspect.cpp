// The sub-commands that inspect a forwarder's files without running it: check-config, spool.
#include <cxxopts.hpp>
#include <iostream>
#include <optional>

#include "cli/command.hpp"
#include "config/config.hpp"
#include "spool/spool.hpp"

namespace brassfront {

int CheckConfigCommand(int argc, char** argv) {
  cxxopts::Options options("brassfront check-config");
  options.add_options()("config", "configuration file [$NODE_CONFIG]",
                        cxxopts::value<std::string>()->default_value(Environment("NODE_CONFIG")));
  const std::optional<cxxopts::ParseResult> parsed = ParseOptions(options, argc, argv);
  if (!parsed) return 0;
  const cxxopts::ParseResult& given = *parsed;
  const auto path = given["config"].as<std::string>();
  const Config config = LoadConfig(path);
  for (const std::string& warning : config.warnings) std::cout << path << ": " << warning << "\n";
  std::cout << path << ": good; forwarder " << config.name << " at " << config.listen << ", "
            << config.known.members.size() << " next hops known\n";
  return 0;
}

int SpoolCommand(int argc, char** argv) {
  cxxopts::Options options("brassfront spool");
  options.add_options()("state", "folder that lasts [$NODE_STATE]",
                        cxxopts::value<std::string>()->default_value(Environment("NODE_STATE")));
  const std::optional<cxxopts::ParseResult> parsed = ParseOptions(options, argc, argv);
  if (!parsed) return 0;
  const cxxopts::ParseResult& given = *parsed;
  const auto folder = given["state"].as<std::string>();
  if (folder.empty()) throw ConfigError("no state folder: give --state or NODE_STATE");
  Spool spool =
      Spool::OpenToRead(folder, [](const std::string& text) { std::cerr << text << "\n"; });
  for (const RecoveredMessage& recovered : spool.Recover()) {
    const SpooledMessage& message = recovered.message;
    std::cout << "id=" << message.id << " class=" << message.class_name
              << " dest=" << message.destination << " deadline_unix_ms=" << message.deadline.count()
              << " bytes=" << message.body.size() << " attempts=" << recovered.attempts.size()
              << "\n";
  }
  std::cout << spool.open_messages() << " owed, " << spool.file_bytes() << " bytes\n";
  return 0;
}

}  // namespace brassfront
