#include "maintenance/maintenance_command.hpp"

#include <array>

#include "peers/bytes.hpp"

namespace brassfront::maintenance {
namespace {

bool IsKnownVerb(std::uint8_t verb) {
  return verb >= static_cast<std::uint8_t>(Verb::kMember) &&
         verb <= static_cast<std::uint8_t>(Verb::kEnded);
}

bool IsKnownKind(std::uint8_t kind) {
  return kind == static_cast<std::uint8_t>(Kind::kMachine) ||
         kind == static_cast<std::uint8_t>(Kind::kEndpoint);
}

bool IsKnownUrgency(std::uint8_t urgency) {
  return urgency <= static_cast<std::uint8_t>(Urgency::kHigh);
}

}  // namespace

const char* ToString(Urgency urgency) {
  constexpr std::array<const char*, 3> kNames = {"low", "normal", "high"};
  return kNames[static_cast<std::size_t>(urgency)];
}

std::string Command::Encode() const {
  peers::Writer out;
  out.U8(static_cast<std::uint64_t>(verb)).U8(static_cast<std::uint64_t>(kind));
  out.Name(name.substr(0, kMaxNameBytes)).Name(text.substr(0, kMaxTextBytes));
  out.U8(static_cast<std::uint64_t>(urgency)).U64(request);
  out.U64(process_incarnation).U64(token).U8(flag);
  return out.Take();
}

std::optional<Command> Command::Decode(std::string_view bytes) {
  peers::Reader in(bytes);
  Command command;
  const std::uint8_t verb = in.U8();
  const std::uint8_t kind = in.U8();
  command.verb = static_cast<Verb>(verb);
  command.kind = static_cast<Kind>(kind);
  command.name = in.Name();
  command.text = in.Name();
  const std::uint8_t urgency = in.U8();
  command.urgency = static_cast<Urgency>(urgency);
  command.request = in.U64();
  command.process_incarnation = in.U64();
  command.token = in.U64();
  command.flag = in.U8() != 0;
  const bool valid = in.done() && IsKnownVerb(verb) && IsKnownKind(kind) &&
                     IsKnownUrgency(urgency) && command.name.size() <= kMaxNameBytes;
  if (!valid) return std::nullopt;
  return command;
}

}  // namespace brassfront::maintenance
