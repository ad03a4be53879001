#include "protocol/discovery.hpp"

#include <utility>

namespace brassfront {
namespace {

Phase ReadPhase(const std::string& text) {
  if (text == "Ready") return Phase::kReady;
  if (text == "Terminating") return Phase::kTerminating;
  if (text == "Gone") return Phase::kGone;
  throw json::Error("unknown phase");
}

}  // namespace

std::string_view ToString(ListSource source) {
  switch (source) {
    case ListSource::kConfiguration:
      return "configuration";
    case ListSource::kDiscovery:
      return "discovery";
    case ListSource::kOperator:
      return "operator";
    case ListSource::kOtherSources:
      return "other-sources";
  }
  return "unknown";
}

MemberList ReadMemberList(const json::Value& value) {
  MemberList list;
  list.revision = value.At("revision").UnsignedInteger();
  list.complete = value.At("complete").Boolean();
  for (const json::Value& item : value.At("members").Items()) {
    Member& member = list.members.emplace_back();
    member.id = item.At("id").Text();
    member.address = item.At("host_port").Text();
    member.zone = item.At("locality").Text();
    member.kind = item.At("flavor").Text();
    member.destination = item.At("cell").UnsignedInteger();
    member.phase = ReadPhase(item.At("phase").Text());
    if (const json::Value* weight = item.Find("size")) member.weight = weight->Number();
  }
  return list;
}

std::vector<std::string> JsonObjectSplitter::Feed(std::string_view bytes) {
  std::vector<std::string> pieces;
  for (const char byte : bytes) {
    if (broken_) break;
    if (ProcessByte(byte)) pieces.push_back(std::exchange(piece_, {}));
    broken_ = piece_.size() > max_bytes_;
  }
  return pieces;
}

bool JsonObjectSplitter::ProcessByte(char byte) {
  const bool is_space = byte == ' ' || byte == '\t' || byte == '\r';
  if (depth_ == 0 && byte == '\n') {
    // The line break that follows an object does not count as an empty line.
    return !std::exchange(after_object_, false) || !piece_.empty();
  }
  if (depth_ == 0 && piece_.empty() && is_space) return false;
  piece_ += byte;
  if (in_string_) {
    if (!escaped_ && byte == '"') in_string_ = false;
    escaped_ = !escaped_ && byte == '\\';
    return false;
  }
  // Between objects, only an opening brace begins a new object; any other text is collected as a
  // separate line.
  const bool begins = depth_ == 0 && piece_.size() == 1 && byte == '{';
  if (depth_ == 0 && !begins) return false;
  if (byte == '"') in_string_ = true;
  if (byte == '{' || byte == '[') ++depth_;
  if (byte == '}' || byte == ']') --depth_;
  after_object_ = depth_ == 0;
  return after_object_;
}

}  // namespace brassfront
