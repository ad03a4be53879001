// Checks whether a running fleet can adopt a changed roster: one member at a time, as a Raft
// configuration changes one server at a time.
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "peers/roster.hpp"

namespace brassfront::peers {
namespace {

using MembersByName = std::map<std::string, Member>;

MembersByName IndexByName(const std::vector<Member>& members) {
  MembersByName by_name;
  for (const Member& member : members) by_name[member.name] = member;
  return by_name;
}

// Names of the members that are in only one of the rosters or that differ.
std::set<std::string> FindChangedMembers(const Roster& now, const Roster& next) {
  const MembersByName old_members = IndexByName(now.members);
  const MembersByName new_members = IndexByName(next.members);
  std::set<std::string> changed;
  for (const auto& [name, member] : old_members) {
    const auto it = new_members.find(name);
    if (it == new_members.end() || it->second != member) changed.insert(name);
  }
  for (const auto& [name, member] : new_members) {
    if (!old_members.contains(name)) changed.insert(name);
  }
  return changed;
}

bool SettingsDiffer(const Roster& now, const Roster& next) {
  return now.max_out_total != next.max_out_total || now.max_out_per_zone != next.max_out_per_zone ||
         now.timings != next.timings || now.sharing != next.sharing;
}

}  // namespace

std::string ChangeFault(const Roster& now, const Roster& next) {
  if (now.fleet != next.fleet) return "the fleet's name differs";
  if (now.secret != next.secret) {
    return "the key differs; a new key takes effect only after a restart";
  }
  const std::set<std::string> changed = FindChangedMembers(now, next);
  if (changed.empty()) return "";
  const std::string& first = *changed.begin();
  if (changed.size() > 1) {
    const std::string& second = *std::next(changed.begin());
    return "more than one member changes (" + first + " and " + second + ")";
  }
  if (SettingsDiffer(now, next)) return first + " changes together with limits or timings";
  return "";
}

}  // namespace brassfront::peers
