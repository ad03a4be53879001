#include "exclusions/endpoint_exclusions.hpp"

#include <algorithm>
#include <utility>

namespace brassfront {

MemberList EndpointExclusions::Apply(MemberList list) {
  const std::lock_guard lock(lists_mutex_);
  return Record(std::move(list));
}

void EndpointExclusions::Apply(MemberList list, const Deliver& deliver) {
  const std::lock_guard lock(lists_mutex_);
  deliver(Record(std::move(list)));
}

MemberList EndpointExclusions::Record(MemberList list) {
  if (list.revision < revision_) return list;
  revision_ = list.revision;
  if (list.complete) endpoints_.clear();
  for (Member& member : list.members) {
    if (member.phase == Phase::kGone) {
      endpoints_.erase(member.id);
      continue;
    }
    endpoints_[member.id] = member;
    if (!IsExcluded(member.id)) continue;
    member.excluded = true;
    member.phase = Phase::kTerminating;
  }
  return list;
}

void EndpointExclusions::SetExcluded(ExclusionSource source, std::set<std::string> excluded,
                                     const Deliver& deliver) {
  const std::lock_guard lock(lists_mutex_);
  std::set<std::string> before;
  for (const auto& [id, member] : endpoints_) {
    if (IsExcluded(id)) before.insert(id);
  }
  {
    const std::unique_lock excluded_lock(excluded_mutex_);
    excluded_[static_cast<std::size_t>(source)] = std::move(excluded);
  }
  MemberList changes;
  changes.revision = revision_;
  changes.source = ListSource::kOperator;
  for (const auto& [id, member] : endpoints_) {
    const bool is_excluded = IsExcluded(id);
    if (before.contains(id) == is_excluded) continue;
    Member& change = changes.members.emplace_back(member);
    change.excluded = is_excluded;
    if (is_excluded) change.phase = Phase::kTerminating;
  }
  if (!changes.members.empty()) deliver(std::move(changes));
}

bool EndpointExclusions::IsExcluded(const std::string& endpoint) const {
  const std::shared_lock lock(excluded_mutex_);
  return std::any_of(excluded_.begin(), excluded_.end(),
                     [&](const auto& endpoints) { return endpoints.contains(endpoint); });
}

bool EndpointExclusions::IsListed(const std::string& endpoint) const {
  const std::lock_guard lock(lists_mutex_);
  return endpoints_.contains(endpoint);
}

}  // namespace brassfront
