#include "fleet/maintenance_commands.hpp"

#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

namespace brassfront::fleet {
namespace {

using maintenance::Command;
using maintenance::Kind;
using maintenance::Urgency;
using maintenance::Verb;

using ParsedCommand = std::variant<Command, CommandError>;

constexpr std::size_t kMaxNameBytes = 128;  // longer than any member name or endpoint id

// Returns nullptr if the parameter is missing or empty.
const std::string* FindParameter(const ControlRequest& request, const char* name) {
  const auto parameter = request.query.find(name);
  if (parameter == request.query.end() || parameter->second.empty()) return nullptr;
  return &parameter->second;
}

// Reads the parameters of all commands: kind, token and name.
std::optional<CommandError> ReadCommonParameters(const ControlRequest& request, Command& command) {
  if (const std::string* kind = FindParameter(request, "kind")) {
    if (*kind != "machine" && *kind != "endpoint") {
      return CommandError{"kind is machine or endpoint, not " + *kind};
    }
    command.kind = *kind == "endpoint" ? Kind::kEndpoint : Kind::kMachine;
  }
  if (const std::string* token = FindParameter(request, "token")) {
    const char* const end = token->data() + token->size();
    const auto [stop, error] = std::from_chars(token->data(), end, command.token);
    if (error != std::errc() || stop != end) {
      return CommandError{"a token is a number below 2^64"};
    }
  }
  if (const std::string* name = FindParameter(request, "name")) {
    if (name->size() > kMaxNameBytes) return CommandError{"a name has 128 bytes at most"};
    command.name = *name;
  }
  return std::nullopt;
}

ParsedCommand ParseNamedCommand(const ControlRequest& request, const std::string& verb,
                                Command command) {
  if (command.name.empty()) return CommandError{verb + " needs a name"};
  if (verb == "ask") {
    command.verb = Verb::kRequest;
  } else if (verb == "back") {
    command.verb = Verb::kBringBack;
  } else {
    command.verb = Verb::kEnded;
  }
  const std::string* urgency = FindParameter(request, "urgency");
  if (urgency == nullptr || *urgency == "normal") return command;
  if (*urgency == "low") {
    command.urgency = Urgency::kLow;
  } else if (*urgency == "high") {
    command.urgency = Urgency::kHigh;
  } else {
    return CommandError{"urgency is low, normal or high, not " + *urgency};
  }
  return command;
}

ParsedCommand ParseCancel(const ControlRequest& request, Command command) {
  const std::string* id = FindParameter(request, "request");
  const char* const end = id == nullptr ? nullptr : id->data() + id->size();
  if (id == nullptr || std::from_chars(id->data(), end, command.request).ptr != end) {
    return CommandError{"cancel needs the number of a request"};
  }
  command.verb = Verb::kCancel;
  return command;
}

ParsedCommand ParseHold(const ControlRequest& request, Command command) {
  const std::string* held = FindParameter(request, "on");
  if (held == nullptr || (*held != "yes" && *held != "no")) {
    return CommandError{"hold needs on=yes or on=no"};
  }
  command.verb = Verb::kPauseGrants;
  command.flag = *held == "yes";
  return command;
}

}  // namespace

std::variant<Command, CommandError> ParseCommand(const ControlRequest& request) {
  Command command;
  if (auto error = ReadCommonParameters(request, command)) return std::move(*error);
  const bool has_prefix = request.path.rfind(kMaintenancePath, 0) == 0;
  const std::string verb = has_prefix ? request.path.substr(kMaintenancePath.size()) : "";
  if (verb == "ask" || verb == "back" || verb == "ended") {
    return ParseNamedCommand(request, verb, std::move(command));
  }
  if (verb == "cancel") return ParseCancel(request, std::move(command));
  if (verb == "hold") return ParseHold(request, std::move(command));
  return CommandError{"nothing is at " + request.path};
}

}  // namespace brassfront::fleet
