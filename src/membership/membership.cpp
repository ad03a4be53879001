#include "membership/membership.hpp"

#include <algorithm>
#include <cmath>

namespace brassfront::membership {
namespace {

constexpr double kNever = 1e18;
// A penalty that has decayed below this is dropped.
constexpr double kNegligiblePenalty = 0.05;

int PhaseSeverity(Phase phase) {
  return phase == Phase::kReady ? 0 : phase == Phase::kGone ? 2 : 1;
}

bool Same(const Member& a, const Member& b) {
  return a.id == b.id && a.address == b.address && a.zone == b.zone && a.kind == b.kind &&
         a.destination == b.destination && a.phase == b.phase && a.weight == b.weight;
}

}  // namespace

Membership::Membership(Damping damping, std::uint64_t revision)
    : damping_(damping), revision_(revision) {}

SourceId Membership::AddSource(SourceSettings settings) {
  sources_.emplace_back().settings = std::move(settings);
  return sources_.size() - 1;
}

void Membership::RecordReport(Source& source, double now) {
  source.reported_at = now;
  source.failing = 0;
  const bool back = !IsActive(source);
  source.has_reported = true;
  source.expired = false;
  if (back) MarkOutdated(source);
}

void Membership::Confirm(SourceId source, double now) { RecordReport(sources_[source], now); }

void Membership::Failed(SourceId source, double now) {
  if (sources_[source].failing == 0) sources_[source].failing = now;
}

void Membership::Take(SourceId id, const std::string& group, const std::vector<Member>& members,
                      double now) {
  Source& source = sources_[id];
  RecordReport(source, now);
  std::set<std::pair<std::uint64_t, std::string>> before;
  if (const auto known = source.groups.find(group); known != source.groups.end()) {
    before = std::move(known->second);
    source.groups.erase(known);
    for (const auto& [number, address] : before) {
      outdated_destinations_.insert(number);
      auto& reported = source.reported[number];
      std::erase_if(reported[address],
                    [&group](const ReportedMember& one) { return one.group == group; });
      if (reported[address].empty()) reported.erase(address);
      if (reported.empty()) source.reported.erase(number);
    }
  }
  auto& keys = source.groups[group];
  for (const Member& member : members) {
    if (member.phase == Phase::kGone) continue;
    const std::pair key(member.destination, member.address);
    outdated_destinations_.insert(member.destination);
    if (source.settings.owns) source.owned.insert(member.destination);
    keys.insert(key);
    source.reported[member.destination][member.address].push_back({member, group});
    // Listing the member again revokes the source's earlier removal of it.
    Destination& destination = destinations_[member.destination];
    if (const auto removal = destination.removed_by.find(member.address);
        removal != destination.removed_by.end() && removal->second.erase(id) > 0 &&
        removal->second.empty()) {
      destination.removed_by.erase(removal);
    }
  }
  if (keys.empty()) source.groups.erase(group);
  for (const auto& [number, address] : before) {
    const auto reported = source.reported.find(number);
    if (reported != source.reported.end() && reported->second.contains(address)) continue;
    destinations_[number].removed_by[address].insert(id);
  }
}

void Membership::TakeList(SourceId id, const MemberList& list, double now) {
  std::set<std::string> left_out;
  if (list.complete) {
    for (const auto& [group, keys] : sources_[id].groups) left_out.insert(group);
  }
  for (const Member& member : list.members) {
    left_out.erase(member.id);
    Take(id, member.id, {member}, now);
  }
  for (const std::string& member_id : left_out) Drop(id, member_id, now);
  RecordReport(sources_[id], now);
}

void Membership::Expired(SourceId id) {
  Source& source = sources_[id];
  if (!IsActive(source)) return;
  source.expired = true;
  MarkOutdated(source);
}

void Membership::ExpireDue(double now) {
  for (SourceId id = 0; id < sources_.size(); ++id) {
    const double expiry = sources_[id].settings.expiry;
    if (expiry > 0 && now >= sources_[id].reported_at + expiry) Expired(id);
  }
}

void Membership::MarkOutdated(const Source& source) {
  for (const auto& [number, reported] : source.reported) outdated_destinations_.insert(number);
  outdated_destinations_.insert(source.owned.begin(), source.owned.end());
}

const Membership::Source* Membership::OwnerOf(std::uint64_t number) const {
  const Source* owner = nullptr;
  for (const Source& source : sources_) {
    if (!IsActive(source) || !source.owned.contains(number)) continue;
    if (owner == nullptr || source.settings.rank < owner->settings.rank) owner = &source;
  }
  return owner;
}

void Membership::MergeSource(const Source& source, std::uint64_t number, RankedMembers& best) {
  const auto reported = source.reported.find(number);
  if (reported == source.reported.end()) return;
  const int rank = source.settings.rank;
  for (const auto& [address, all] : reported->second) {
    for (const ReportedMember& one : all) {
      const auto [entry, inserted] = best.try_emplace(address, RankedMember{rank, one.member});
      if (inserted) continue;
      RankedMember& merged = entry->second;
      const Phase worst = PhaseSeverity(merged.member.phase) > PhaseSeverity(one.member.phase)
                              ? merged.member.phase
                              : one.member.phase;
      if (rank < merged.rank) merged = {rank, one.member};
      merged.member.phase = worst;
    }
  }
}

bool Membership::IsRemovedByActiveSource(const Destination& destination,
                                         const std::string& address) const {
  const auto removal = destination.removed_by.find(address);
  return removal != destination.removed_by.end() &&
         std::any_of(removal->second.begin(), removal->second.end(),
                     [this](SourceId id) { return IsActive(sources_[id]); });
}

std::map<std::string, Member> Membership::DesiredMembers(std::uint64_t number,
                                                         const Destination& destination) const {
  const Source* owner = OwnerOf(number);
  RankedMembers best;
  for (const auto& source : sources_) {
    if (!IsActive(source) || (owner != nullptr && owner != &source)) continue;
    MergeSource(source, number, best);
  }
  std::map<std::string, Member> desired;
  for (auto& [address, found] : best) {
    const bool removed = owner == nullptr && IsRemovedByActiveSource(destination, address);
    if (!removed) desired.emplace(address, std::move(found.member));
  }
  return desired;
}

double Membership::PenaltyNow(const Flaps& flaps, double now) const {
  return flaps.penalty * std::exp2(-(now - flaps.at) / damping_.half_life);
}

void Membership::DelayFlapping(Destination& destination, std::map<std::string, Member>& desired,
                               double now) {
  std::map<std::string, Member> delayed;
  for (auto member = desired.begin(); member != desired.end();) {
    const auto flaps = destination.flaps.find(member->first);
    const bool delay = !destination.announced.contains(member->first) &&
                       flaps != destination.flaps.end() && flaps->second.delayed_until > now;
    if (delay) delayed.insert(*member);
    member = delay ? desired.erase(member) : std::next(member);
  }
  const bool some_ready = std::any_of(desired.begin(), desired.end(), [](const auto& entry) {
    return entry.second.phase == Phase::kReady;
  });
  if (some_ready || delayed.empty()) return;
  // An endpoint that flaps is better than none: list the one with the lowest penalty.
  const auto least =
      std::min_element(delayed.begin(), delayed.end(), [&](const auto& a, const auto& b) {
        return PenaltyNow(destination.flaps.at(a.first), now) <
               PenaltyNow(destination.flaps.at(b.first), now);
      });
  desired.insert(*least);
}

void Membership::UpdateDestination(std::uint64_t number, Destination& destination, double now,
                                   MemberList& out) {
  // A removal need not be remembered once no source lists the address.
  std::erase_if(destination.removed_by, [&](const auto& removal) {
    return std::none_of(sources_.begin(), sources_.end(), [&](const Source& source) {
      const auto reported = source.reported.find(number);
      return reported != source.reported.end() && reported->second.contains(removal.first);
    });
  });
  std::map<std::string, Member> desired = DesiredMembers(number, destination);

  // Removals come first: they are never delayed, and they add to the damping penalty.
  for (auto announced = destination.announced.begin(); announced != destination.announced.end();) {
    if (desired.contains(announced->first)) {
      ++announced;
      continue;
    }
    Member gone = std::move(announced->second);
    gone.phase = Phase::kGone;
    if (damping_.on) {
      Flaps& flaps = destination.flaps[announced->first];
      flaps.penalty = PenaltyNow(flaps, now) + damping_.penalty;
      flaps.at = now;
      if (flaps.penalty > damping_.suppress) {
        const double wait = damping_.half_life * std::log2(flaps.penalty / damping_.reuse);
        flaps.delayed_until = now + std::min(wait, damping_.longest);
        releases_.emplace(flaps.delayed_until, number);
      }
    }
    announced = destination.announced.erase(announced);
    --announced_count_;
    out.members.push_back(std::move(gone));
  }
  DelayFlapping(destination, desired, now);
  for (auto& [address, member] : desired) {
    const auto [announced, inserted] = destination.announced.try_emplace(address);
    announced_count_ += inserted ? 1 : 0;
    if (!inserted && Same(announced->second, member)) continue;
    // The engine identifies an endpoint by its id. If the id has changed, the endpoint with the old
    // id is gone.
    if (!inserted && announced->second.id != member.id) {
      announced->second.phase = Phase::kGone;
      out.members.push_back(announced->second);
    }
    announced->second = member;
    out.members.push_back(std::move(member));
  }
  std::erase_if(destination.flaps, [&](const auto& entry) {
    return entry.second.delayed_until <= now && PenaltyNow(entry.second, now) < kNegligiblePenalty;
  });
}

std::optional<MemberList> Membership::Changes(double now) {
  ExpireDue(now);
  while (!releases_.empty() && releases_.begin()->first <= now) {
    outdated_destinations_.insert(releases_.begin()->second);
    releases_.erase(releases_.begin());
  }
  MemberList list;
  for (const std::uint64_t number : std::exchange(outdated_destinations_, {})) {
    const auto destination = destinations_.try_emplace(number).first;
    UpdateDestination(number, destination->second, now, list);
    if (destination->second.announced.empty() && destination->second.removed_by.empty() &&
        destination->second.flaps.empty()) {
      destinations_.erase(destination);
    }
  }
  const auto has_reported = [](const Source& source) { return source.has_reported; };
  const bool empty_first = first_ && std::any_of(sources_.begin(), sources_.end(), has_reported);
  if (list.members.empty() && !empty_first) return std::nullopt;
  list.complete = std::exchange(first_, false);
  list.revision = ++revision_;
  return list;
}

double Membership::NextDue() const {
  double due = releases_.empty() ? kNever : releases_.begin()->first;
  if (!outdated_destinations_.empty()) due = 0;
  for (const Source& source : sources_) {
    if (IsActive(source) && source.settings.expiry > 0) {
      due = std::min(due, source.reported_at + source.settings.expiry);
    }
  }
  return due;
}

std::vector<Membership::SourceState> Membership::Sources() const {
  std::vector<SourceState> states;
  for (const Source& source : sources_) {
    SourceState& state = states.emplace_back();
    state.settings = source.settings;
    state.groups = source.groups.size();
    for (const auto& [number, reported] : source.reported) state.members += reported.size();
    state.reported_at = source.reported_at;
    state.failing = source.failing;
    state.expired = source.expired;
  }
  return states;
}

std::size_t Membership::suppressed() const {
  std::size_t count = 0;
  for (const auto& [number, destination] : destinations_) {
    for (const auto& [address, flaps] : destination.flaps) {
      const bool listed = destination.announced.contains(address);
      const bool reported = std::any_of(
          sources_.begin(), sources_.end(),
          [&, &number = number, &address = address](const Source& source) {
            const auto of = source.reported.find(number);
            return IsActive(source) && of != source.reported.end() && of->second.contains(address);
          });
      count += !listed && reported ? 1 : 0;
    }
  }
  return count;
}

}  // namespace brassfront::membership
