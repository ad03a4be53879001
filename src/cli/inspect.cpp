// The sub-commands that inspect a forwarder's files without running it: check-config, spool.
#include <cxxopts.hpp>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "cli/command.hpp"
#include "config/config.hpp"
#include "spool/message_history.hpp"
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
            << config.known_endpoints.members.size() << " known endpoints\n";
  return 0;
}

namespace {

// Returns exit status 1 if the spool has no record of the message.
int PrintHistory(const std::string& folder, const std::string& client_id) {
  const File file = File::OpenToRead(folder + "/spool");
  if (!file.is_open()) throw ConfigError("no spool in " + folder);
  const std::vector<spool::HistoryStep> steps = spool::ReadHistory(file, client_id);
  for (const spool::HistoryStep& step : steps) std::cout << spool::Describe(step) << "\n";
  if (!steps.empty()) return 0;
  std::cout << "no record of " << client_id << "\n";
  return 1;
}

}  // namespace

int SpoolCommand(int argc, char** argv) {
  cxxopts::Options options("brassfront spool");
  options.add_options()("state", "state folder [$NODE_STATE]",
                        cxxopts::value<std::string>()->default_value(Environment("NODE_STATE")))(
      "history", "the records of the message with this client's id",
      cxxopts::value<std::string>()->default_value(""));
  const std::optional<cxxopts::ParseResult> parsed = ParseOptions(options, argc, argv);
  if (!parsed) return 0;
  const cxxopts::ParseResult& given = *parsed;
  const auto folder = given["state"].as<std::string>();
  if (folder.empty()) throw ConfigError("no state folder: give --state or NODE_STATE");
  const auto client_id = given["history"].as<std::string>();
  if (!client_id.empty()) return PrintHistory(folder, client_id);
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
