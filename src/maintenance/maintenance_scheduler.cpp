#include "maintenance/maintenance_scheduler.hpp"

#include <algorithm>
#include <tuple>

namespace brassfront::maintenance {
namespace {

bool IsGone(peers::State state) {
  return state == peers::State::kDead || state == peers::State::kLeft;
}

bool IsPresent(peers::State state) {
  return state == peers::State::kAlive || state == peers::State::kSuspect;
}

std::uint32_t EffectiveUrgency(const Request& request) {
  return static_cast<std::uint32_t>(request.urgency) +
         request.times_overtaken / kGrantsPerUrgencyStep;
}

// Compared field by field in this order; the request with the greatest priority is granted first.
struct GrantPriority {
  std::uint32_t urgency = 0;
  bool other_zone = false;  // in a different zone than the last grant
  std::uint64_t load = 0;   // messages in flight
  std::uint64_t seniority = 0;

  friend bool operator<(const GrantPriority& left, const GrantPriority& right) {
    return std::tie(left.urgency, left.other_zone, left.load, left.seniority) <
           std::tie(right.urgency, right.other_zone, right.load, right.seniority);
  }
};

}  // namespace

std::optional<Command> MaintenanceScheduler::Next(const MaintenanceState& state_machine,
                                                  const peers::Roster& roster,
                                                  const std::map<std::string, ObservedMember>& seen,
                                                  Time time_as_leader, Time now) {
  if (auto command = ProposeRosterChange(state_machine, roster)) return command;
  if (auto command = ProposeMemberState(state_machine, seen)) return command;
  if (auto command = ProposeFailure(state_machine, roster.timings, now)) return command;
  if (time_as_leader < SettlingTime(roster.timings)) return std::nullopt;
  return ProposeGrant(state_machine, seen);
}

// Proposes one change at a time, so that each command is small.
std::optional<Command> MaintenanceScheduler::ProposeRosterChange(
    const MaintenanceState& state_machine, const peers::Roster& roster) {
  Command command;
  for (const peers::Member& member : roster.members) {
    const auto it = state_machine.members().find(member.name);
    if (it != state_machine.members().end() && it->second.zone == member.zone) continue;
    command.verb = Verb::kMember;
    command.name = member.name;
    command.text = member.zone;
    return command;
  }
  for (const auto& [name, state] : state_machine.members()) {
    if (roster.Find(name) != nullptr) continue;
    command.verb = Verb::kNoMember;
    command.name = name;
    return command;
  }
  if (state_machine.max_out_total() != roster.max_out_total ||
      state_machine.max_out_per_zone() != roster.max_out_per_zone) {
    command.verb = Verb::kLimits;
    command.process_incarnation = roster.max_out_total;
    command.token = roster.max_out_per_zone;
    return command;
  }
  return std::nullopt;
}

std::optional<Command> MaintenanceScheduler::ProposeMemberState(
    const MaintenanceState& state_machine, const std::map<std::string, ObservedMember>& seen) {
  for (const auto& [name, member] : state_machine.members()) {
    const auto it = seen.find(name);
    if (it == seen.end()) continue;
    const ObservedMember& observed = it->second;
    Command command;
    command.name = name;
    command.process_incarnation = observed.process_incarnation;
    command.verb = Verb::kDead;
    if (IsGone(observed.state) && !member.dead) return command;
    command.verb = Verb::kAlive;
    if (IsPresent(observed.state) &&
        (member.dead || observed.process_incarnation > member.process_incarnation)) {
      return command;
    }
  }
  return std::nullopt;
}

std::optional<Command> MaintenanceScheduler::ProposeFailure(const MaintenanceState& state_machine,
                                                            const peers::Timings& timings,
                                                            Time now) {
  std::erase_if(observed_states_,
                [&](const auto& e) { return !state_machine.requests().contains(e.first); });
  for (const auto& [id, request] : state_machine.requests()) {
    auto& [state, since] =
        observed_states_.try_emplace(id, ObservedRequestState{request.state, now}).first->second;
    if (state != request.state) {
      state = request.state;
      since = now;
    }
    if (request.kind != Kind::kMachine) continue;  // an endpoint has no deadline
    const bool drains = state == State::kDraining && now - since > timings.drain;
    const bool returns = state == State::kReturning && now - since > timings.back;
    if (!drains && !returns) continue;
    Command command;
    command.verb = Verb::kFail;
    command.request = id;
    command.text = drains ? "did not drain in time" : "did not serve again in time";
    return command;
  }
  return std::nullopt;
}

// Chooses by, in this order: the urgency; a different zone than the last grant; the highest load,
// because a loaded machine gains most while other members still have capacity for its clients; the
// age, the oldest request first. The grant is a committed command, so that every member sees the
// same order.
std::optional<Command> MaintenanceScheduler::ProposeGrant(
    const MaintenanceState& state_machine, const std::map<std::string, ObservedMember>& seen) {
  const Request* best = nullptr;
  const auto priority = [&](const Request& candidate) {
    const auto member = state_machine.members().find(candidate.name);
    const bool machine_kind = candidate.kind == Kind::kMachine;
    const bool same_zone = machine_kind && member != state_machine.members().end() &&
                           member->second.zone == state_machine.last_zone();
    const auto it = seen.find(candidate.name);
    const std::uint64_t load = machine_kind && it != seen.end() ? it->second.load : 0;
    return GrantPriority{EffectiveUrgency(candidate), !same_zone, load, UINT64_MAX - candidate.id};
  };
  for (const auto& [id, request] : state_machine.requests()) {
    if (!state_machine.CanBeGranted(request)) continue;
    const auto it = seen.find(request.name);
    // A suspect machine may be dead, and then already occupies a slot.
    if (request.kind == Kind::kMachine &&
        (it == seen.end() || it->second.state != peers::State::kAlive)) {
      continue;
    }
    if (best == nullptr || priority(*best) < priority(request)) best = &request;
  }
  if (best == nullptr) return std::nullopt;
  Command command;
  command.verb = Verb::kGrant;
  command.request = best->id;
  return command;
}

}  // namespace brassfront::maintenance
