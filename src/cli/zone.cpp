// `brassfront zone`: zone files, name servers, and the stand-in name server.
#include <pthread.h>

#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "cli/command.hpp"
#include "dns/zone_file.hpp"
#include "forwarder/endpoint_sources.hpp"
#include "membership/zone_map.hpp"
#include "nameserver/client.hpp"
#include "nameserver/host.hpp"
#include "nameserver/settings.hpp"
#include "observe/log.hpp"
#include "zones/store.hpp"
#include "zones/zone_source.hpp"

namespace brassfront {
namespace {

namespace fs = std::filesystem;
using dns::Name;
using dns::Record;

// The exit statuses that the page names.
constexpr int kExitDone = 0, kExitOther = 1, kExitNoAnswer = 3;

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

Name ParseName(const std::string& text) {
  std::string why;
  const auto name = Name::FromText(text, Name(), why);
  if (!name) throw UsageError("'" + text + "' is no name: " + why);
  return *name;
}

// The zone's name as asked for, or that of its file: example.zone is example.
Name ZoneOrigin(const cxxopts::ParseResult& given, const std::string& path) {
  if (given.count("origin") > 0) return ParseName(given["origin"].as<std::string>());
  const fs::path file = fs::path(path).filename();
  if (file.extension() == ".zone") return ParseName(file.stem().string());
  throw UsageError("--origin must name the zone, unless the file is called NAME.zone");
}

// From a file, or from the folder that a name server keeps it in.
dns::Zone LoadZoneFrom(const std::string& path, const Name& origin) {
  if (!fs::is_directory(path)) return zones::LoadZone(path, origin);
  if (!fs::exists(fs::path(path) / "snapshot")) {
    throw zones::StoreFault(path + " holds no zone");
  }
  return zones::ZoneStore(path, origin, {}).zone();
}

int Check(const std::string& path, const cxxopts::ParseResult& given) {
  const dns::Zone zone = LoadZoneFrom(path, ZoneOrigin(given, path));
  membership::ZoneMap map({});
  std::size_t endpoints = 0;
  std::size_t faults = 0;
  for (const auto& service : map.Replace(zone)) {
    endpoints += service.members.size();
    faults += service.faults.size();
    for (const auto& fault : service.faults) std::cout << path << ": " << fault << "\n";
  }
  std::cout << path << ": good: serial " << zone.serial() << ", " << zone.records() << " records, "
            << map.services() << " services, " << endpoints << " endpoints";
  if (faults > 0) std::cout << ", " << faults << " records that list nothing";
  std::cout << "\n";
  return kExitDone;
}

int Show(const std::string& path, const cxxopts::ParseResult& given) {
  const dns::Zone zone = LoadZoneFrom(path, ZoneOrigin(given, path));
  if (given.count("endpoints") == 0) {
    WriteZone(zone, [](std::string_view line) { std::cout << line; });
    return kExitDone;
  }
  membership::ZoneMap map({});
  for (const auto& service : map.Replace(zone)) {
    std::cout << service.name << "\n";
    for (const auto& member : service.members) {
      std::cout << "  " << member.id << " destination=" << member.destination
                << " kind=" << (member.kind.empty() ? "-" : member.kind)
                << " zone=" << (member.zone.empty() ? "-" : member.zone)
                << " weight=" << member.weight
                << (member.phase == Phase::kReady ? " ready" : " drain") << "\n";
    }
    for (const auto& fault : service.faults) std::cout << "  ! " << fault << "\n";
  }
  return kExitDone;
}

int Diff(const std::string& from, const std::string& to, const cxxopts::ParseResult& given) {
  const dns::Zone old_zone = LoadZoneFrom(from, ZoneOrigin(given, from));
  const dns::Zone new_zone = LoadZoneFrom(to, ZoneOrigin(given, from));
  const dns::Change change = dns::Difference(old_zone, new_zone);
  const bool same_soa = SameData(change.removed[0], change.added[0]);
  for (std::size_t n = same_soa ? 1 : 0; n < change.removed.size(); ++n) {
    std::cout << "-" << change.removed[n].ToText() << "\n";
  }
  for (std::size_t n = same_soa ? 1 : 0; n < change.added.size(); ++n) {
    std::cout << "+" << change.added[n].ToText() << "\n";
  }
  return same_soa && change.is_soa_alone() ? kExitDone : kExitOther;
}

nameserver::Ask ParseServer(const std::string& server, const cxxopts::ParseResult& given) {
  if (!IsAddress(server)) throw UsageError("'" + server + "' is no server: IPv4:PORT");
  nameserver::Ask ask;
  ask.server = server;
  ask.stream = given.count("tcp") > 0;
  ask.wait = std::chrono::milliseconds(given["wait"].as<unsigned>());
  if (given.count("key") > 0) ask.key = nameserver::LoadKey(given["key"].as<std::string>());
  return ask;
}

int ReportNoAnswer(const std::string& server, const std::string& why) {
  std::cerr << server << ": " << why << "\n";
  return kExitNoAnswer;
}

int PrintTransfer(const std::string& server, const dns::Transferred& result) {
  if (const auto* whole = std::get_if<dns::WholeZone>(&result)) {
    WriteZone(whole->zone, [](std::string_view line) { std::cout << line; });
  } else if (const auto* changes = std::get_if<dns::Changes>(&result)) {
    for (const auto& change : changes->changes) {
      for (const auto& record : change.removed) std::cout << "-" << record.ToText() << "\n";
      for (const auto& record : change.added) std::cout << "+" << record.ToText() << "\n";
    }
  } else if (const auto* unfit = std::get_if<dns::Unfit>(&result)) {
    return ReportNoAnswer(server, unfit->why);
  } else {
    std::cout << "up to date\n";
  }
  return kExitDone;
}

void PrintSection(const char* section, const std::vector<Record>& records) {
  for (const auto& record : records) std::cout << section << " " << record.ToText() << "\n";
}

int Query(const std::vector<std::string>& words, const cxxopts::ParseResult& given) {
  const nameserver::Ask ask = ParseServer(words[0], given);
  const Name name = ParseName(words[1]);
  const std::string asked = words.size() > 2 ? words[2] : "A";
  const auto equals = asked.find('=');
  const auto type = dns::TypeFromText(asked.substr(0, equals));
  if (!type) throw UsageError("'" + asked + "' is no type");
  if (*type == dns::type::kAxfr) {
    return PrintTransfer(words[0], nameserver::Transfer(ask, name, std::nullopt));
  }
  if (*type == dns::type::kIxfr) {
    if (equals == std::string::npos) throw UsageError("IXFR=SERIAL names the serial to start from");
    Record have{name, dns::type::kSoa, dns::klass::kIn, 0, Name().wire() + Name().wire()};
    have.rdata.append(20, '\0');
    const auto serial = std::stoul(asked.substr(equals + 1));
    have.rdata = dns::WithSerial(have.rdata, static_cast<std::uint32_t>(serial));
    return PrintTransfer(words[0], nameserver::Transfer(ask, name, have));
  }
  dns::Message message;
  message.question = {{name, *type, dns::klass::kIn}};
  message.edns.emplace();
  const auto answer = nameserver::AskServer(ask, std::move(message));
  if (!answer.answer) return ReportNoAnswer(words[0], answer.why);
  const dns::Message& reply = *answer.answer;
  std::cout << RcodeText(reply.rcode) << (reply.authoritative ? " authoritative" : "")
            << (reply.truncated ? " truncated" : "") << "\n";
  PrintSection("answer", reply.answer);
  PrintSection("authority", reply.authority);
  PrintSection("additional", reply.additional);
  return reply.rcode == dns::Rcode::kNoError ? kExitDone : kExitOther;
}

// One step of an update, put into the section that it belongs to. It is read as a line of a zone
// file, so that quotes and escapes are as they are there.
void AddStep(const std::string& step, const Name& zone, dns::Message& update) {
  std::istringstream in(step);
  std::string verb, name_text, rest;
  in >> verb >> name_text;
  std::getline(in >> std::ws, rest);
  const auto bad = [&step](const std::string& why) { throw UsageError("'" + step + "': " + why); };
  std::string why;
  const auto name = Name::FromText(name_text, zone, why);
  if (!name) bad(why);
  const bool adds = verb == "add";
  const bool requires_it = verb == "require";
  if (!adds && !requires_it && verb != "delete" && verb != "forbid") {
    bad("expected add, delete, require or forbid");
  }
  Record record{*name, dns::type::kAny, dns::klass::kAny, 0, ""};
  const std::string first = rest.substr(0, rest.find(' '));
  const bool whole = adds || rest.find(' ') != std::string::npos;
  if (whole) {
    if (verb == "forbid") bad("forbid takes a name and at most a type");
    try {
      const std::string line = "@ " + std::string(adds ? "" : "0 ") + "IN " + rest + "\n";
      std::vector<Record> read;
      dns::ReadRecords(
          {"step", line, "step"}, *name,
          [](const dns::ZoneText&, const std::string&, std::string&) {
            return std::optional<dns::ZoneText>();
          },
          [&read](Record record_read) { read.push_back(std::move(record_read)); });
      if (read.size() != 1) bad("expected one record");
      record = read[0];
    } catch (const dns::BadZone& fault) {
      bad(fault.faults()[0].why);
    }
    if (verb == "delete") record.klass = dns::klass::kNone;
  } else {
    if (!first.empty()) {
      const auto type = dns::TypeFromText(first);
      if (!type) bad("'" + first + "' is no type");
      record.type = *type;
    }
    if (verb == "forbid") record.klass = dns::klass::kNone;
  }
  (requires_it || verb == "forbid" ? update.answer : update.authority).push_back(record);
}

int Update(const std::vector<std::string>& words, const cxxopts::ParseResult& given) {
  const nameserver::Ask ask = ParseServer(words[0], given);
  if (given.count("origin") == 0) throw UsageError("--origin must name the zone");
  const Name zone = ParseName(given["origin"].as<std::string>());
  dns::Message update;
  update.opcode = dns::Opcode::kUpdate;
  update.question = {{zone, dns::type::kSoa, dns::klass::kIn}};
  for (std::size_t n = 1; n < words.size(); ++n) {
    if (words[n] != "-") {
      AddStep(words[n], zone, update);
      continue;
    }
    for (std::string line; std::getline(std::cin, line);) {
      if (line.find_first_not_of(" \t") != std::string::npos) AddStep(line, zone, update);
    }
  }
  const auto answer = nameserver::AskServer(ask, std::move(update));
  if (!answer.answer) return ReportNoAnswer(words[0], answer.why);
  std::cout << RcodeText(answer.answer->rcode) << "\n";
  return answer.answer->rcode == dns::Rcode::kNoError ? kExitDone : kExitOther;
}

int Serve(const std::string& path, const cxxopts::ParseResult& given) {
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
  nameserver::Host host(nameserver::ReadHostSettings(record, fs::path(path).parent_path().string()),
                        {});
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
  cxxopts::ParseResult given;
  if (!ParseOptions(options, argc, argv, given)) return kExitDone;
  if (given.count("words") == 0) throw UsageError("nothing to do is named");
  auto words = given["words"].as<std::vector<std::string>>();
  const std::string subcommand = words[0];
  words.erase(words.begin());
  try {
    if (subcommand == "check" && words.size() == 1) return Check(words[0], given);
    if (subcommand == "show" && words.size() == 1) return Show(words[0], given);
    if (subcommand == "diff" && words.size() == 2) return Diff(words[0], words[1], given);
    if (subcommand == "query" && (words.size() == 2 || words.size() == 3))
      return Query(words, given);
    if (subcommand == "update" && words.size() >= 2) return Update(words, given);
    if (subcommand == "serve" && words.size() == 1) return Serve(words[0], given);
    if (subcommand == "schema" && words.empty()) {
      std::cout << SourcesSchema();
      return kExitDone;
    }
  } catch (const dns::BadZone& bad) {
    std::cerr << bad.what() << "\n";
    return kExitOther;
  } catch (const zones::StoreFault& fault) {
    std::cerr << fault.what() << "\n";
    return kExitOther;
  } catch (const records::BadRecords& bad) {
    std::cerr << bad.what() << "\n";
    return kExitOther;
  }
  throw UsageError("'" + subcommand + "' with " + std::to_string(words.size()) + " arguments");
}

}  // namespace brassfront
