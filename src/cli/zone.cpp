// `brassfront zone`: parses its command line. Also implements `zone serve`, a name server.
#include <pthread.h>

#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "cli/command.hpp"
#include "cli/zone_commands.hpp"
#include "dns/zone_file.hpp"
#include "forwarder/endpoint_sources.hpp"
#include "nameserver/host.hpp"
#include "nameserver/settings.hpp"
#include "observe/log.hpp"
#include "zones/store.hpp"

namespace brassfront {
namespace {

using zone_commands::CheckZone;
using zone_commands::DiffZones;
using zone_commands::kExitDone;
using zone_commands::kExitOther;
using zone_commands::QueryServer;
using zone_commands::ShowZone;
using zone_commands::UpdateZone;

constexpr const char* kHelp =
    "brassfront zone check FILE          check a zone file and report its errors\n"
    "brassfront zone show FILE|FOLDER    print a zone, or with --endpoints its endpoints\n"
    "brassfront zone diff OLD NEW        print the records removed and added between two zones\n"
    "brassfront zone query SERVER NAME [TYPE]   query a name server; TYPE may be AXFR or "
    "IXFR=SERIAL\n"
    "brassfront zone update SERVER STEP...      change a zone; steps are\n"
    "    'add NAME TTL TYPE RDATA'  'delete NAME [TYPE [RDATA]]'\n"
    "    'require NAME [TYPE [RDATA]]'  'forbid NAME [TYPE]'   - reads steps from standard input\n"
    "brassfront zone serve FILE          run a name server configured by an operator file\n"
    "brassfront zone schema              print the schema of operator files for zones\n";

int ServeZones(const std::string& path, const cxxopts::ParseResult& given) {
  observe::LogOptions log;
  if (!observe::ParseLevel(given["log-level"].as<std::string>(), log.level)) {
    throw UsageError("--log-level takes debug, info, warning, error or off");
  }
  observe::SetUpLog(log);
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT}) sigaddset(&signals, signal);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const std::string text = records::ReadRecordFile(path);
  const auto record = records::Load(
      {text, path}, {nameserver::NameserverSchema(), "nameserver schema"}, "#Nameserver");
  nameserver::Host host(
      nameserver::ReadHostSettings(record, std::filesystem::path(path).parent_path().string()), {});
  std::cout << "serving on " << host.address() << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  std::cout << "answered " << host.answered() << " messages\n";
  return kExitDone;
}

}  // namespace

int ZoneCommand(int argc, char** argv) {
  cxxopts::Options options("brassfront zone", kHelp);
  options.add_options()("words", "the command and its arguments",
                        cxxopts::value<std::vector<std::string>>())("origin", "the zone's name",
                                                                    cxxopts::value<std::string>())(
      "endpoints", "show the endpoints that the zone lists")(
      "key", "file of the signing key", cxxopts::value<std::string>())("tcp", "ask by TCP at once")(
      "wait", "timeout of one attempt, in ms", cxxopts::value<unsigned>()->default_value("500"))(
      "log-level", "log level of serve", cxxopts::value<std::string>()->default_value("info"));
  options.parse_positional({"words"});
  options.positional_help("WHAT ...");
  const std::optional<cxxopts::ParseResult> parsed = ParseOptions(options, argc, argv);
  if (!parsed) return kExitDone;
  const cxxopts::ParseResult& given = *parsed;
  if (given.count("words") == 0) throw UsageError("no command is given");
  auto words = given["words"].as<std::vector<std::string>>();
  const std::string subcommand = words[0];
  words.erase(words.begin());
  try {
    if (subcommand == "check" && words.size() == 1) return CheckZone(words[0], given);
    if (subcommand == "show" && words.size() == 1) return ShowZone(words[0], given);
    if (subcommand == "diff" && words.size() == 2) return DiffZones(words[0], words[1], given);
    if (subcommand == "query" && (words.size() == 2 || words.size() == 3)) {
      return QueryServer(words, given);
    }
    if (subcommand == "update" && words.size() >= 2) return UpdateZone(words, given);
    if (subcommand == "serve" && words.size() == 1) return ServeZones(words[0], given);
    if (subcommand == "schema" && words.empty()) {
      std::cout << SourcesSchema();
      return kExitDone;
    }
  } catch (const dns::InvalidZone& bad) {
    std::cerr << bad.what() << "\n";
    return kExitOther;
  } catch (const zones::StoreError& fault) {
    std::cerr << fault.what() << "\n";
    return kExitOther;
  } catch (const records::BadRecords& bad) {
    std::cerr << bad.what() << "\n";
    return kExitOther;
  }
  throw UsageError("'" + subcommand + "' with " + std::to_string(words.size()) + " arguments");
}

}  // namespace brassfront
