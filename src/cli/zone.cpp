// `brassfront zone`: reads its command line; serves zones as a name server itself.
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
    "brassfront zone check FILE          say all that is wrong with a zone file\n"
    "brassfront zone show FILE|FOLDER    print a zone, or with --endpoints what it lists\n"
    "brassfront zone diff OLD NEW        print what leads from one zone to the other\n"
    "brassfront zone query SERVER NAME [TYPE]   ask a name server; AXFR and IXFR=SERIAL too\n"
    "brassfront zone update SERVER STEP...      change a zone; steps are\n"
    "    'add NAME TTL TYPE RDATA'  'delete NAME [TYPE [RDATA]]'\n"
    "    'require NAME [TYPE [RDATA]]'  'forbid NAME [TYPE]'   - reads them from standard input\n"
    "brassfront zone serve FILE          run a name server by an operator file\n"
    "brassfront zone schema              print the fields that such a file may have\n";

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
  options.add_options()("words", "what to do", cxxopts::value<std::vector<std::string>>())(
      "origin", "the zone's name", cxxopts::value<std::string>())(
      "endpoints", "show what the zone lists for routing")("key", "file of the key to sign with",
                                                           cxxopts::value<std::string>())(
      "tcp", "ask by TCP at once")("wait", "ms for one try",
                                   cxxopts::value<unsigned>()->default_value("500"))(
      "log-level", "of serve", cxxopts::value<std::string>()->default_value("info"));
  options.parse_positional({"words"});
  options.positional_help("WHAT ...");
  const std::optional<cxxopts::ParseResult> parsed = ParseOptions(options, argc, argv);
  if (!parsed) return kExitDone;
  const cxxopts::ParseResult& given = *parsed;
  if (given.count("words") == 0) throw UsageError("nothing to do is named");
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
