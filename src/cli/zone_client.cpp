// `brassfront zone query` and `update`: clients of name servers.
#include <cxxopts.hpp>
#include <iostream>
#include <optional>
#include <sstream>

#include "cli/command.hpp"
#include "cli/zone_commands.hpp"
#include "dns/zone_file.hpp"
#include "nameserver/client.hpp"
#include "nameserver/settings.hpp"
#include "zones/store.hpp"
#include "zones/zone_source.hpp"

namespace brassfront::zone_commands {
namespace {

using dns::Name;
using dns::Record;

nameserver::RequestOptions ParseServer(const std::string& server,
                                       const cxxopts::ParseResult& given) {
  if (!IsAddress(server)) throw UsageError("'" + server + "' is not a server address IPv4:PORT");
  nameserver::RequestOptions ask;
  ask.server = server;
  ask.stream = given.count("tcp") > 0;
  ask.timeout = std::chrono::milliseconds(given["wait"].as<unsigned>());
  if (given.count("key") > 0) ask.key = nameserver::LoadKey(given["key"].as<std::string>());
  return ask;
}

int ReportNoAnswer(const std::string& server, const std::string& why) {
  std::cerr << server << ": " << why << "\n";
  return kExitNoAnswer;
}

int PrintTransfer(const std::string& server, const dns::TransferResult& result) {
  if (const auto* whole = std::get_if<dns::FullZone>(&result)) {
    WriteZone(whole->zone, [](std::string_view line) { std::cout << line; });
  } else if (const auto* changes = std::get_if<dns::Changes>(&result)) {
    for (const auto& change : changes->changes) {
      for (const auto& record : change.removed) std::cout << "-" << record.ToText() << "\n";
      for (const auto& record : change.added) std::cout << "+" << record.ToText() << "\n";
    }
  } else if (const auto* invalid = std::get_if<dns::ValidationError>(&result)) {
    return ReportNoAnswer(server, invalid->why);
  } else {
    std::cout << "up to date\n";
  }
  return kExitDone;
}

void PrintSection(const char* section, const std::vector<Record>& records) {
  for (const auto& record : records) std::cout << section << " " << record.ToText() << "\n";
}

// Parses one step of an update and adds it to its section of the message. The step is read like a
// line of a zone file, with the same quotes and escapes.
void AddStep(const std::string& step, const Name& zone, dns::Message& update) {
  std::istringstream in(step);
  std::string verb, name_text, rest;
  in >> verb >> name_text;
  std::getline(in >> std::ws, rest);
  const auto fail = [&step](const std::string& why) { throw UsageError("'" + step + "': " + why); };
  std::string why;
  const auto name = Name::FromText(name_text, zone, why);
  if (!name) fail(why);
  const bool is_add = verb == "add";
  const bool is_require = verb == "require";
  if (!is_add && !is_require && verb != "delete" && verb != "forbid") {
    fail("expected add, delete, require or forbid");
  }
  Record record{*name, dns::type::kAny, dns::klass::kAny, 0, ""};
  const std::string first = rest.substr(0, rest.find(' '));
  const bool has_record = is_add || rest.find(' ') != std::string::npos;
  if (has_record) {
    if (verb == "forbid") fail("forbid takes a name and at most a type");
    try {
      const std::string line = "@ " + std::string(is_add ? "" : "0 ") + "IN " + rest + "\n";
      std::vector<Record> read;
      dns::ReadRecords(
          {"step", line, "step"}, *name,
          [](const dns::ZoneText&, const std::string&, std::string&) {
            return std::optional<dns::ZoneText>();
          },
          [&read](Record record_read) { read.push_back(std::move(record_read)); });
      if (read.size() != 1) fail("expected one record");
      record = read[0];
    } catch (const dns::InvalidZone& fault) {
      fail(fault.faults()[0].why);
    }
    if (verb == "delete") record.klass = dns::klass::kNone;
  } else {
    if (!first.empty()) {
      const auto type = dns::TypeFromText(first);
      if (!type) fail("'" + first + "' is no type");
      record.type = *type;
    }
    if (verb == "forbid") record.klass = dns::klass::kNone;
  }
  (is_require || verb == "forbid" ? update.answer : update.authority).push_back(record);
}

}  // namespace

Name ParseName(const std::string& text) {
  std::string why;
  const auto name = Name::FromText(text, Name(), why);
  if (!name) throw UsageError("'" + text + "' is no name: " + why);
  return *name;
}

int QueryServer(const std::vector<std::string>& words, const cxxopts::ParseResult& given) {
  const nameserver::RequestOptions ask = ParseServer(words[0], given);
  const Name name = ParseName(words[1]);
  const std::string asked = words.size() > 2 ? words[2] : "A";
  const auto equals = asked.find('=');
  const auto type = dns::TypeFromText(asked.substr(0, equals));
  if (!type) throw UsageError("'" + asked + "' is no type");
  if (*type == dns::type::kAxfr) {
    return PrintTransfer(words[0], nameserver::Transfer(ask, name, std::nullopt));
  }
  if (*type == dns::type::kIxfr) {
    if (equals == std::string::npos) throw UsageError("IXFR needs a start serial: IXFR=SERIAL");
    Record have{name, dns::type::kSoa, dns::klass::kIn, 0, Name().wire() + Name().wire()};
    have.rdata.append(20, '\0');
    const auto serial = std::stoul(asked.substr(equals + 1));
    have.rdata = dns::WithSerial(have.rdata, static_cast<std::uint32_t>(serial));
    return PrintTransfer(words[0], nameserver::Transfer(ask, name, have));
  }
  dns::Message message;
  message.question = {{name, *type, dns::klass::kIn}};
  message.edns.emplace();
  const auto answer = nameserver::SendRequest(ask, std::move(message));
  if (!answer.answer) return ReportNoAnswer(words[0], answer.why);
  const dns::Message& reply = *answer.answer;
  std::cout << RcodeText(reply.rcode) << (reply.authoritative ? " authoritative" : "")
            << (reply.truncated ? " truncated" : "") << "\n";
  PrintSection("answer", reply.answer);
  PrintSection("authority", reply.authority);
  PrintSection("additional", reply.additional);
  return reply.rcode == dns::Rcode::kNoError ? kExitDone : kExitOther;
}

int UpdateZone(const std::vector<std::string>& words, const cxxopts::ParseResult& given) {
  const nameserver::RequestOptions ask = ParseServer(words[0], given);
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
  const auto answer = nameserver::SendRequest(ask, std::move(update));
  if (!answer.answer) return ReportNoAnswer(words[0], answer.why);
  std::cout << RcodeText(answer.answer->rcode) << "\n";
  return answer.answer->rcode == dns::Rcode::kNoError ? kExitDone : kExitOther;
}

}  // namespace brassfront::zone_commands
