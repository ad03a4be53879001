#include "fleet/roster_watcher.hpp"

#include <stdexcept>
#include <utility>

namespace brassfront::fleet {
namespace {

peers::Roster LoadRosterWithMember(const std::string& path, const std::string& self) {
  peers::Roster roster = peers::LoadRoster(path);
  if (roster.Find(self) == nullptr) {
    throw std::runtime_error(path + " has no member " + self + ", which is this forwarder");
  }
  return roster;
}

}  // namespace

bool HasSharing(const peers::Roster& roster) {
  return roster.sharing.limits || roster.sharing.verdicts;
}

RosterWatcher::RosterWatcher(std::string path, std::string self)
    : path_(std::move(path)),
      self_name_(std::move(self)),
      roster_(LoadRosterWithMember(path_, self_name_)),
      started_with_sharing_(HasSharing(roster_)) {}

std::vector<std::string> RosterWatcher::MemberNames() const {
  std::vector<std::string> names;
  for (const peers::Member& member : roster_.members) names.push_back(member.name);
  return names;
}

void RosterWatcher::Reload() {
  peers::Roster next = LoadRosterWithMember(path_, self_name_);
  CheckChange(next);
  roster_ = std::move(next);
}

void RosterWatcher::CheckChange(const peers::Roster& next) const {
  const std::string fault = peers::ChangeFault(roster_, next);
  if (!fault.empty()) throw std::runtime_error(fault);
  if (next.Find(self_name_)->address != self().address) {
    throw std::runtime_error("this forwarder's own address has changed, which requires a restart");
  }
  if (next.timings != roster_.timings) {
    throw std::runtime_error("the timings have changed, which requires a restart");
  }
  if (!started_with_sharing_ && HasSharing(next)) {
    throw std::runtime_error("sharing has been turned on, which requires a restart");
  }
}

}  // namespace brassfront::fleet
