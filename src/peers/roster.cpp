#include "peers/roster.hpp"

namespace brassfront::peers {

const Member* Roster::Find(std::string_view name) const {
  for (const Member& member : members) {
    if (member.name == name) return &member;
  }
  return nullptr;
}

std::vector<std::string> Roster::Voters() const {
  std::vector<std::string> names;
  for (const Member& member : members) {
    if (member.voter) names.push_back(member.name);
  }
  return names;
}

}  // namespace brassfront::peers
