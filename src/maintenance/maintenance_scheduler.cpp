#include "maintenance/maintenance_scheduler.hpp"

#include <algorithm>
#include <tuple>

namespace brassfront::maintenance {
namespace {

bool IsGone(peers::State state) {
  return state == peers::State::kDead || state == peers::State::kLeft;
}

bool IsThere(peers::State state) {
  return state == peers::State::kAlive || state == peers::State::kSuspect;
}

std::uint32_t EffectiveUrgency(const Request& request) {
  return static_cast<std::uint32_t>(request.urgency) +
         request.times_overtaken / kGrantsPerUrgencyStep;
}

}  // namespace

std::optional<Command> MaintenanceScheduler::Next(const MaintenanceState& state_machine,
                                                  const peers::Roster& roster,
                                                  const std::map<std::string, ObservedMember>& seen,
                                                  Time time_as_leader, Time now) {
  if (auto c = ProposeRosterChange(state_machine, roster)) return c;
  if (auto c = ProposeMemberState(state_machine, seen)) return c;
  if (auto c = ProposeFailure(state_machine, roster.timings, now)) return c;
  if (time_as_leader < SettlingTime(roster.timings)) return std::nullopt;
  return ProposeGrant(state_machine, seen);
}

// One change at a time, so that each is a small command.
std::optional<Command> MaintenanceScheduler::ProposeRosterChange(
    const MaintenanceState& state_machine, const peers::Roster& roster) {
  Command c;
  for (const peers::Member& member : roster.members) {
    const auto it = state_machine.members().find(member.name);
    if (it != state_machine.members().end() && it->second.zone == member.zone) continue;
    c.verb = Verb::kMember;
    c.name = member.name;
    c.text = member.zone;
    return c;
  }
  for (const auto& [name, state] : state_machine.members()) {
    if (roster.Find(name) != nullptr) continue;
    c.verb = Verb::kNoMember;
    c.name = name;
    return c;
  }
  if (state_machine.max_out_total() != roster.max_out_total ||
      state_machine.max_out_per_zone() != roster.max_out_per_zone) {
    c.verb = Verb::kLimits;
    c.process_incarnation = roster.max_out_total;
    c.token = roster.max_out_per_zone;
    return c;
  }
  return std::nullopt;
}

std::optional<Command> MaintenanceScheduler::ProposeMemberState(
    const MaintenanceState& state_machine, const std::map<std::string, ObservedMember>& seen) {
  for (const auto& [name, member] : state_machine.members()) {
    const auto it = seen.find(name);
    if (it == seen.end()) continue;
    const ObservedMember& s = it->second;
    Command c;
    c.name = name;
    c.process_incarnation = s.process_incarnation;
    c.verb = Verb::kDead;
    if (IsGone(s.state) && !member.dead) return c;
    c.verb = Verb::kAlive;
    if (IsThere(s.state) && (member.dead || s.process_incarnation > member.process_incarnation))
      return c;
  }
  return std::nullopt;
}

std::optional<Command> MaintenanceScheduler::ProposeFailure(const MaintenanceState& state_machine,
                                                            const peers::Timings& timings,
                                                            Time now) {
  std::erase_if(observed_states_,
                [&](const auto& e) { return !state_machine.requests().contains(e.first); });
  for (const auto& [id, request] : state_machine.requests()) {
    auto& [state, since] = observed_states_.try_emplace(id, request.state, now).first->second;
    if (state != request.state) {
      state = request.state;
      since = now;
    }
    if (request.kind != Kind::kMachine) continue;  // an endpoint waits for whom `status` names
    const bool drains = state == State::kDraining && now - since > timings.drain;
    const bool returns = state == State::kReturning && now - since > timings.back;
    if (!drains && !returns) continue;
    Command c;
    c.verb = Verb::kFail;
    c.request = id;
    c.text = drains ? "did not drain in time" : "did not serve again in time";
    return c;
  }
  return std::nullopt;
}

// By urgency; then a hall that the last turn was not in; then the busiest, which has gained most by
// its turn while others still have room for its clients; then the oldest. Settled as one command,
// so it is the same everywhere.
std::optional<Command> MaintenanceScheduler::ProposeGrant(
    const MaintenanceState& state_machine, const std::map<std::string, ObservedMember>& seen) {
  const Request* best = nullptr;
  const auto key = [&](const Request& r) {
    const auto member = state_machine.members().find(r.name);
    const bool machine_kind = r.kind == Kind::kMachine;
    const bool same_hall = machine_kind && member != state_machine.members().end() &&
                           member->second.zone == state_machine.last_zone();
    const auto it = seen.find(r.name);
    const std::uint64_t load = machine_kind && it != seen.end() ? it->second.load : 0;
    return std::tuple(EffectiveUrgency(r), !same_hall, load, UINT64_MAX - r.id);
  };
  for (const auto& [id, request] : state_machine.requests()) {
    if (!state_machine.CanBeGranted(request)) continue;
    const auto it = seen.find(request.name);
    // Guards against a turn for one that is being suspected: it may be dead, and uses a place then.
    if (request.kind == Kind::kMachine &&
        (it == seen.end() || it->second.state != peers::State::kAlive)) {
      continue;
    }
    if (best == nullptr || key(request) > key(*best)) best = &request;
  }
  if (best == nullptr) return std::nullopt;
  Command c;
  c.verb = Verb::kGrant;
  c.request = best->id;
  return c;
}

Duty ComputeDuty(const MaintenanceState& state_machine, const std::string& self,
                 std::uint64_t process_incarnation, const LocalMember& own) {
  Duty duty;
  const auto say = [&duty](Verb verb, const Request& request) -> Command& {
    Command& c = duty.say.emplace_back();
    c.verb = verb;
    c.request = request.id;
    return c;
  };
  for (const auto& [id, request] : state_machine.requests()) {
    if (request.kind == Kind::kEndpoint) {
      if (request.state != State::kDraining && request.state != State::kOut) continue;
      duty.ban.insert(request.name);
      const auto it = request.confirmed.find(self);
      const bool said = it != request.confirmed.end() && it->second >= process_incarnation;
      if (own.banned.contains(request.name) && !said) {
        Command& c = say(Verb::kConfirm, request);
        c.name = self;
        c.process_incarnation = process_incarnation;
      }
      continue;
    }
    if (request.name != self) continue;
    duty.stand_by = request.state == State::kDraining || request.state == State::kOut ||
                    request.state == State::kFailed;
    if (request.state == State::kDraining && own.standing_by && own.drained) {
      say(Verb::kOutNow, request);
    }
    if (request.state == State::kReturning && own.serving && !own.standing_by) {
      say(Verb::kReturned, request);
    }
  }
  return duty;
}

}  // namespace brassfront::maintenance
