#include "fleet/endpoint_exclusions.hpp"

#include <utility>

namespace brassfront::fleet {

MemberList EndpointExclusions::Take(MemberList list) {
  const std::lock_guard lock(mutex_);
  if (list.complete) known_.clear();
  revision_ = std::max(revision_, list.revision);
  for (Member& member : list.members) {
    if (member.phase == Phase::kGone) {
      known_.erase(member.id);
      continue;
    }
    known_[member.id] = member;
    if (banned_.contains(member.id)) member.phase = Phase::kTerminating;
  }
  return list;
}

MemberList EndpointExclusions::Set(std::set<std::string> banned) {
  const std::lock_guard lock(mutex_);
  MemberList changes;
  changes.revision = revision_;
  for (const auto& [id, member] : known_) {
    const bool was = banned_.contains(id), is = banned.contains(id);
    if (was == is) continue;
    Member& change = changes.members.emplace_back(member);
    if (is) change.phase = Phase::kTerminating;
  }
  banned_ = std::move(banned);
  return changes;
}

}  // namespace brassfront::fleet
