// `brassfront fleet`: sends requests to a forwarder on this machine through the socket in its state
// folder.
#include <array>
#include <cmath>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "cli/command.hpp"
#include "fleet/control_client.hpp"
#include "fleet/sharing_reports.hpp"
#include "peers/roster.hpp"
#include "protocol/json.hpp"
#include "records/records.hpp"

namespace brassfront {
namespace {

// The documented exit statuses.
constexpr int kExitDone = 0;
constexpr int kExitRefused = 1;
constexpr int kExitBadInput = 2;
constexpr int kExitNoQuorum = 3;

constexpr const char* kHelp =
    "brassfront fleet status                          summary of this forwarder's view\n"
    "brassfront fleet members                         each member, its state and its link\n"
    "brassfront fleet check FILE                      check a roster and report its errors\n"
    "brassfront fleet bounds FILE                     the bounds that its `sharing` guarantees\n"
    "brassfront fleet limits                          this forwarder's shares of limits, and the "
    "leases\n"
    "brassfront fleet verdicts                        each member's reports on endpoints\n"
    "brassfront fleet maintenance list                what is in maintenance, and what waits\n"
    "brassfront fleet maintenance ask NAME            request it for a machine, hall:NAME or all\n"
    "brassfront fleet maintenance ask ID --endpoint   request it for an endpoint\n"
    "brassfront fleet maintenance back NAME           end it (--endpoint; all)\n"
    "brassfront fleet maintenance cancel REQUEST      cancel a request by its number\n"
    "brassfront fleet maintenance hold yes|no         pause or resume grants\n"
    "brassfront fleet maintenance ended NAME          state that a member's process has ended\n";

std::string PercentEncode(const std::string& text) {
  constexpr const char* kDigits = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                       c == '-' || c == '.' || c == ':' || c == '_';
    const auto byte = static_cast<unsigned char>(c);
    out += plain ? std::string(1, c) : std::string{'%', kDigits[byte >> 4], kDigits[byte & 15]};
  }
  return out;
}

std::string ToText(const json::Value& value) {
  if (const auto* fields = std::get_if<json::Value::Object>(&value.data())) {
    std::string line;
    for (const auto& [name, field] : *fields) {
      const std::string text = ToText(field);
      if (text.empty()) continue;
      if (!line.empty()) line += "  ";
      line.append(name).append("=").append(text);
    }
    return line;
  }
  if (const auto* text = std::get_if<std::string>(&value.data())) return *text;
  if (const auto* flag = std::get_if<bool>(&value.data())) return *flag ? "yes" : "no";
  if (const auto* number = std::get_if<double>(&value.data())) {
    std::array<char, 32> shown{};
    const char* const format = *number == std::floor(*number) ? "%.0f" : "%.3f";
    std::snprintf(shown.data(), shown.size(), format, *number);
    return shown.data();
  }
  return "";
}

// Prints each row of a list on its own line, and all other fields together on the last line.
void PrintReply(const std::string& body) {
  const json::Value value = json::Parse(body);
  std::string rest;
  for (const auto& [name, field] : std::get<json::Value::Object>(value.data())) {
    if (!field.IsArray()) {
      const std::string text = ToText(field);
      if (name == "token") continue;
      const bool alone = name == "done" || name == "error";
      if (!rest.empty()) rest += "  ";
      if (!alone) rest.append(name).append("=");
      rest += text;
      continue;
    }
    if (!field.Items().empty()) std::cout << name << ":\n";
    for (const json::Value& row : field.Items()) std::cout << "  " << ToText(row) << "\n";
  }
  if (!rest.empty()) std::cout << rest << "\n";
}

int CheckRoster(const std::string& path) {
  const peers::Roster roster = peers::LoadRoster(path);
  std::cout << path << ": good; fleet " << roster.fleet << ", " << roster.members.size()
            << " members, " << roster.Voters().size() << " voters, " << roster.max_out_total
            << " out at once, " << roster.max_out_per_zone << " per hall\n";
  return kExitDone;
}

int PrintBounds(const std::string& path, bool json) {
  const peers::Roster roster = peers::LoadRoster(path);
  if (!roster.sharing.limits && !roster.sharing.verdicts) {
    std::cerr << path << ": has no `sharing`, so there are no bounds\n";
    return kExitRefused;
  }
  const auto format = json ? fleet::BoundsFormat::kJson : fleet::BoundsFormat::kText;
  std::cout << fleet::SharingBoundsToText(roster, format) << (json ? "\n" : "");
  return kExitDone;
}

// Runs `check` and `bounds`, which read a roster and contact no forwarder.
int RunOnRoster(const std::string& subcommand, const std::vector<std::string>& words, bool json) {
  if (words.size() != 2) throw UsageError(subcommand + " needs a file");
  try {
    return subcommand == "check" ? CheckRoster(words[1]) : PrintBounds(words[1], json);
  } catch (const records::BadRecords& bad) {
    std::cerr << bad.what() << "\n";
    return kExitBadInput;
  }
}

int CallAndPrint(const std::string& state, const std::string& method, const std::string& target,
                 bool json) {
  if (state.empty()) throw UsageError("no state folder: give --state or NODE_STATE");
  const fleet::ControlReply reply = fleet::CallControl(state + "/fleet", method, target);
  if (json) {
    std::cout << reply.body << "\n";
  } else {
    PrintReply(reply.body);
  }
  return reply.status < 300                          ? kExitDone
         : reply.status == fleet::kStatusUnavailable ? kExitNoQuorum
                                                     : kExitRefused;
}

// Returns the target of the control request for a `maintenance` sub-command, which is the first
// word.
std::string MaintenanceTarget(const std::vector<std::string>& words,
                              const cxxopts::ParseResult& given) {
  const std::string& verb = words[0];
  const bool named = verb == "ask" || verb == "back" || verb == "ended";
  if (!named && verb != "cancel" && verb != "hold") {
    throw UsageError("no such thing to do: maintenance " + verb);
  }
  if (words.size() != 2) throw UsageError("maintenance " + verb + " needs one argument");
  const std::string parameter = named ? "name" : verb == "cancel" ? "request" : "on";
  std::string target =
      "/fleet/maintenance/" + verb + "?" + parameter + "=" + PercentEncode(words[1]);
  if (given.count("endpoint") > 0) target += "&kind=endpoint";
  const auto urgency = given["urgency"].as<std::string>();
  if (!urgency.empty()) target += "&urgency=" + PercentEncode(urgency);
  const auto token = given["token"].as<std::uint64_t>();
  if (token != 0) target += "&token=" + std::to_string(token);
  return target;
}

}  // namespace

int FleetCommand(int argc, char** argv) {
  cxxopts::Options options("brassfront fleet",
                           "Shows a forwarder's view of its fleet, and schedules maintenance");
  options.add_options()("words", "the command and its arguments",
                        cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "state", "the forwarder's state folder [$NODE_STATE]",
      cxxopts::value<std::string>()->default_value(Environment("NODE_STATE")))(
      "endpoint", "the name is that of an endpoint")(
      "urgency", "low, normal or high", cxxopts::value<std::string>()->default_value(""))(
      "token", "a number that you choose: requests with the same token run once",
      cxxopts::value<std::uint64_t>()->default_value("0"))("json", "print the reply as JSON");
  options.parse_positional({"words"});
  options.positional_help("status|members|limits|verdicts|check FILE|bounds FILE|maintenance ...");
  const std::optional<cxxopts::ParseResult> parsed = ParseOptions(options, argc, argv);
  if (!parsed) return 0;
  const cxxopts::ParseResult& given = *parsed;
  const auto words = given["words"].as<std::vector<std::string>>();
  const auto state = given["state"].as<std::string>();
  const bool json = given.count("json") > 0;
  const std::string subcommand = words.empty() ? "" : words[0];
  if (subcommand.empty()) {
    std::cout << kHelp;
    return kExitDone;
  }
  if (subcommand == "check" || subcommand == "bounds") return RunOnRoster(subcommand, words, json);
  if (subcommand == "status" || subcommand == "members" || subcommand == "limits" ||
      subcommand == "verdicts") {
    return CallAndPrint(state, "GET", "/fleet/" + subcommand, json);
  }
  if (subcommand != "maintenance" || words.size() < 2) {
    throw UsageError("no such thing to do: " + subcommand);
  }
  if (words[1] == "list") return CallAndPrint(state, "GET", "/fleet/maintenance", json);
  const std::string target = MaintenanceTarget({words.begin() + 1, words.end()}, given);
  return CallAndPrint(state, "POST", target, json);
}

}  // namespace brassfront
