#include "maintenance/member_duty.hpp"

namespace brassfront::maintenance {
namespace {

Command& Propose(Duty& duty, Verb verb, const Request& request) {
  Command& command = duty.commands.emplace_back();
  command.verb = verb;
  command.request = request.id;
  return command;
}

void AddEndpointDuty(Duty& duty, const Request& request, const std::string& self,
                     std::uint64_t process_incarnation, const LocalMember& own) {
  if (request.state != State::kDraining && request.state != State::kOut) return;
  duty.excluded_endpoints.insert(request.name);
  const auto confirmation = request.confirmed.find(self);
  const bool has_confirmed =
      confirmation != request.confirmed.end() && confirmation->second >= process_incarnation;
  if (has_confirmed || !own.excluded_endpoints.contains(request.name)) return;
  Command& command = Propose(duty, Verb::kConfirm, request);
  command.name = self;
  command.process_incarnation = process_incarnation;
}

void AddMachineDuty(Duty& duty, const Request& request, const LocalMember& own) {
  duty.stand_by = request.state == State::kDraining || request.state == State::kOut ||
                  request.state == State::kFailed;
  if (request.state == State::kDraining && own.standing_by && own.drained) {
    Propose(duty, Verb::kDrained, request);
  }
  if (request.state == State::kReturning && own.serving && !own.standing_by) {
    Propose(duty, Verb::kReturned, request);
  }
}

}  // namespace

Duty ComputeDuty(const MaintenanceState& machine, const std::string& self,
                 std::uint64_t process_incarnation, const LocalMember& own) {
  Duty duty;
  for (const auto& [id, request] : machine.requests()) {
    if (request.kind == Kind::kEndpoint) {
      AddEndpointDuty(duty, request, self, process_incarnation, own);
    } else if (request.name == self) {
      AddMachineDuty(duty, request, own);
    }
  }
  return duty;
}

}  // namespace brassfront::maintenance
