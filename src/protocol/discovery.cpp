#include "protocol/discovery.hpp"

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
  list.revision = value.At("revision").Whole();
  list.complete = value.At("complete").Flag();
  for (const json::Value& item : value.At("members").Items()) {
    Member& member = list.members.emplace_back();
    member.id = item.At("id").Text();
    member.address = item.At("host_port").Text();
    member.zone = item.At("locality").Text();
    member.kind = item.At("flavor").Text();
    member.destination = item.At("cell").Whole();
    member.phase = ReadPhase(item.At("phase").Text());
    if (const json::Value* weight = item.Find("size")) member.weight = weight->Number();
  }
  return list;
}

std::vector<std::string> LineCutter::Feed(std::string_view bytes) {
  std::vector<std::string> lines;
  while (!bytes.empty() && !broken_) {
    const std::size_t end = bytes.find('\n');
    line_.append(bytes.substr(0, end));
    bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + 1);
    broken_ = line_.size() > most_;
    if (end == std::string_view::npos || broken_) break;
    if (line_.ends_with('\r')) line_.pop_back();
    lines.push_back(std::move(line_));
    line_.clear();
  }
  return lines;
}

}  // namespace brassfront
