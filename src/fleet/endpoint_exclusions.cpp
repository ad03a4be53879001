#include "fleet/endpoint_exclusions.hpp"

#include <utility>

namespace brassfront::fleet {

MemberList EndpointExclusions::Apply(MemberList list) {
  const std::lock_guard lock(mutex_);
  if (list.complete) endpoints_.clear();
  revision_ = std::max(revision_, list.revision);
  for (Member& member : list.members) {
    if (member.phase == Phase::kGone) {
      endpoints_.erase(member.id);
      continue;
    }
    endpoints_[member.id] = member;
    if (excluded_.contains(member.id)) member.phase = Phase::kTerminating;
  }
  return list;
}

MemberList EndpointExclusions::SetExcluded(std::set<std::string> excluded) {
  const std::lock_guard lock(mutex_);
  MemberList changes;
  changes.revision = revision_;
  for (const auto& [id, member] : endpoints_) {
    const bool was_excluded = excluded_.contains(id), is_excluded = excluded.contains(id);
    if (was_excluded == is_excluded) continue;
    Member& change = changes.members.emplace_back(member);
    if (is_excluded) change.phase = Phase::kTerminating;
  }
  excluded_ = std::move(excluded);
  return changes;
}

}  // namespace brassfront::fleet
