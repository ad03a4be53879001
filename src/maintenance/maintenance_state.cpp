#include "maintenance/maintenance_state.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace brassfront::maintenance {
namespace {

constexpr std::string_view kAllMachines = "all";
constexpr std::string_view kZonePrefix = "hall:";  // operators call a zone a hall
constexpr std::size_t kMaxListedNames = 160;       // bytes of member names in an error text

void AppendName(std::string& list, const char* separator, const std::string& name) {
  if (!list.empty()) list += separator;
  list += name;
}

bool IsOperatorCommand(Verb verb) {
  return verb == Verb::kRequest || verb == Verb::kCancel || verb == Verb::kPauseGrants ||
         verb == Verb::kBringBack || verb == Verb::kEnded;
}

}  // namespace

const char* ToString(State state) {
  constexpr std::array<const char*, 7> kNames = {"asked",  "draining", "out",      "returning",
                                                 "failed", "back",     "cancelled"};
  return kNames[static_cast<std::size_t>(state)];
}

// ======== queries ========

const RequestResult* MaintenanceState::ResultFor(std::uint64_t token) const {
  for (const auto& [known, answer] : results_) {
    if (known == token) return &answer;
  }
  return nullptr;
}

const Request* MaintenanceState::RequestFor(Kind kind, const std::string& name) const {
  for (const auto& [id, request] : requests_) {
    if (request.kind == kind && request.name == name) return &request;
  }
  return nullptr;
}

// Slots are counted once for each command instead of on each query, because with hundreds of
// requests the leader checks every one of them each time it wakes up.
void MaintenanceState::CountSlots() {
  slots_in_use_.clear();
  const auto use = [this](const std::string& zone) {
    ++slots_in_use_[""];
    ++slots_in_use_[zone];
  };
  for (const auto& [name, member] : members_) {
    if (member.dead) use(member.zone);
  }
  for (const auto& [id, request] : requests_) {
    const auto it = members_.find(request.name);
    if (request.HoldsSlot() && it != members_.end() && !it->second.dead) use(it->second.zone);
  }
}

bool MaintenanceState::CanBeGranted(const Request& request) const {
  if (request.state != State::kRequested || grants_paused_) return false;
  if (request.kind == Kind::kEndpoint) return true;
  const auto it = members_.find(request.name);
  return it != members_.end() && !it->second.dead && SlotsInUse() < max_out_total_ &&
         SlotsInUseInZone(it->second.zone) < max_out_per_zone_;
}

std::string MaintenanceState::WaitsFor(const Request& request) const {
  if (request.state == State::kDraining && request.kind == Kind::kEndpoint) {
    std::string names;
    for (const std::string& name : Unconfirmed(request)) AppendName(names, " ", name);
    return names.empty() ? "" : "the word of " + names;
  }
  if (request.state != State::kRequested) return "";
  if (grants_paused_) return "the queue, which is held";
  if (request.kind == Kind::kEndpoint) return "";
  const auto member = members_.find(request.name);
  if (member == members_.end()) return "the roster, which has no " + request.name;
  if (member->second.dead) return request.name + ", which is dead and uses a place already";
  return CanBeGranted(request) ? "" : SlotHolders(member->second.zone);
}

// Lists the machines whose slots a request in this zone waits for. If the fleet has no slot left,
// these are the machines of all zones.
std::string MaintenanceState::SlotHolders(const std::string& zone) const {
  const bool fleet_is_full = SlotsInUse() >= max_out_total_;
  std::string holders;
  const auto add = [&](const std::string& name, const std::string& holder_zone, const char* state) {
    if (!fleet_is_full && holder_zone != zone) return;
    AppendName(holders, ", ", name + " (" + state + ")");
  };
  for (const auto& [name, member] : members_) {
    if (member.dead) add(name, member.zone, "dead");
  }
  for (const auto& [id, request] : requests_) {
    const auto holder = members_.find(request.name);
    if (!request.HoldsSlot() || holder == members_.end() || holder->second.dead) continue;
    add(request.name, holder->second.zone, ToString(request.state));
  }
  return holders;
}

std::vector<std::string> MaintenanceState::Unconfirmed(const Request& request) const {
  std::vector<std::string> names;
  for (const auto& [name, member] : members_) {
    const auto it = request.confirmed.find(name);
    const bool has_confirmed =
        it != request.confirmed.end() && it->second >= member.process_incarnation;
    // A process that has ended starts no calls, and the next process starts with the exclusion in
    // place.
    const bool ended =
        member.dead && member.ended >= member.process_incarnation && member.ended > 0;
    if (!has_confirmed && !ended) names.push_back(name);
  }
  return names;
}

// ======== commands ========

void MaintenanceState::Apply(std::string_view bytes) {
  ++revision_;
  if (const auto command = Command::Decode(bytes)) Execute(*command);
}

void MaintenanceState::StoreResult(std::uint64_t token, RequestResult result) {
  if (token == 0) return;
  results_.emplace_back(token, std::move(result));
  if (results_.size() > kMaxStoredResults) results_.pop_front();
}

void MaintenanceState::Execute(const Command& command) {
  if (IsOperatorCommand(command.verb)) {
    // Operators retry a command if its result was lost.
    const bool is_retry = command.token != 0 && ResultFor(command.token) != nullptr;
    if (is_retry) return;
    ExecuteOperatorCommand(command);
  } else {
    ExecuteMemberCommand(command);
    ExecuteRequestCommand(command);
  }
  FinishEndpointDrains();
  CountSlots();
}

void MaintenanceState::ExecuteOperatorCommand(const Command& command) {
  switch (command.verb) {
    case Verb::kRequest:
      return StoreResult(command.token, RequestMaintenance(command));
    case Verb::kCancel:
      return StoreResult(command.token, Cancel(command));
    case Verb::kPauseGrants:
      return StoreResult(command.token, PauseGrants(command));
    case Verb::kBringBack:
      return StoreResult(command.token, BringBack(command));
    case Verb::kEnded:
      return StoreResult(command.token, DeclareEnded(command));
    default:
      return;
  }
}

void MaintenanceState::ExecuteMemberCommand(const Command& command) {
  switch (command.verb) {
    case Verb::kMember:
      members_[command.name].zone = command.text;
      return;
    case Verb::kNoMember:
      return RemoveMember(command.name);
    case Verb::kLimits:
      max_out_total_ = command.process_incarnation;
      max_out_per_zone_ = command.token;
      return;
    case Verb::kDead:
    case Verb::kAlive:
      return SetLiveness(command);
    default:
      return;
  }
}

void MaintenanceState::ExecuteRequestCommand(const Command& command) {
  const auto found = requests_.find(command.request);
  if (found == requests_.end()) return;
  Request& request = found->second;
  switch (command.verb) {
    case Verb::kGrant:
      return Grant(request);
    case Verb::kDrained:
      return MarkOut(request);
    case Verb::kConfirm:
      return Confirm(request, command);
    case Verb::kReturned:
      return Return(request);
    case Verb::kFail:
      return Fail(request, command.text);
    default:
      return;
  }
}

// ======== operator commands ========

RequestResult MaintenanceState::RequestMaintenance(const Command& command) {
  const std::string& name = command.name;
  const bool is_zone = name.rfind(kZonePrefix, 0) == 0;
  if (command.kind == Kind::kEndpoint || (name != kAllMachines && !is_zone)) {
    return RequestOne(command, name);
  }
  const std::string zone = is_zone ? name.substr(kZonePrefix.size()) : "";
  std::string requested;
  bool has_machines = false;
  for (const auto& [machine, member] : members_) {
    if (!zone.empty() && member.zone != zone) continue;
    has_machines = true;
    if (RequestFor(Kind::kMachine, machine) != nullptr) continue;
    RequestResult result = RequestOne(command, machine);
    if (!result.good) return result;
    AppendName(requested, " ", machine);
  }
  if (!has_machines) return {false, "no machine is in hall " + zone};
  return {true, requested.empty() ? "already asked" : "asked for " + requested};
}

RequestResult MaintenanceState::RequestOne(const Command& command, const std::string& name) {
  if (command.kind == Kind::kMachine && !members_.contains(name)) {
    std::string machines;
    for (const auto& [machine, member] : members_) AppendName(machines, " ", machine);
    return {false, "no machine " + name + "; there are " + machines.substr(0, kMaxListedNames)};
  }
  if (const Request* existing = RequestFor(command.kind, name)) {
    return {true, "already asked: request " + std::to_string(existing->id) + " is " +
                      ToString(existing->state)};
  }
  if (command.kind == Kind::kMachine && (max_out_total_ == 0 || max_out_per_zone_ == 0)) {
    return {false, "the roster spares no machine"};
  }
  if (requests_.size() >= kMaxOpenRequests) return {false, "too many requests are open"};
  Request request;
  request.id = next_id_++;
  request.kind = command.kind;
  request.name = name;
  request.urgency = command.urgency;
  requests_[request.id] = request;
  return {true, "asked: request " + std::to_string(request.id)};
}

RequestResult MaintenanceState::Cancel(const Command& command) {
  const auto it = requests_.find(command.request);
  if (it == requests_.end()) {
    return {false, "no request " + std::to_string(command.request) + " is open"};
  }
  Request& request = it->second;
  if (request.state == State::kRequested) {
    Finish(request.id, State::kCancelled, "by request");
    return {true, "cancelled"};
  }
  if (request.state == State::kOut) return {false, request.name + " is out; bring it back"};
  if (request.kind == Kind::kEndpoint) {
    Finish(request.id, State::kCancelled, "by request");
    return {true, "cancelled; " + request.name + " may serve"};
  }
  request.state = State::kReturning;
  return {true, request.name + " returns"};
}

RequestResult MaintenanceState::PauseGrants(const Command& command) {
  grants_paused_ = command.flag;
  return {true, grants_paused_ ? "held: no further turn comes" : "goes on"};
}

RequestResult MaintenanceState::BringBack(const Command& command) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, request] : requests_) {
    if (request.kind == command.kind &&
        (command.name == kAllMachines || request.name == command.name)) {
      ids.push_back(id);
    }
  }
  if (ids.empty()) {
    return {command.name == kAllMachines, command.name + " is not out, nor asked for"};
  }
  for (const std::uint64_t id : ids) {
    Request& request = requests_.at(id);
    if (request.state == State::kRequested) {
      Finish(id, State::kCancelled, "brought back before its turn");
    } else if (request.kind == Kind::kEndpoint) {
      Finish(id, State::kBack, "");
    } else {
      request.state = State::kReturning;
    }
  }
  return {true, std::to_string(ids.size()) + " brought back"};
}

RequestResult MaintenanceState::DeclareEnded(const Command& command) {
  const auto found = members_.find(command.name);
  if (found == members_.end()) return {false, "no machine " + command.name};
  MemberState& member = found->second;
  if (!member.dead) return {false, command.name + " is heard: it has not ended"};
  member.ended = std::max<std::uint64_t>(1, member.process_incarnation);
  return {true, command.name + " is taken to have ended, on your word"};
}

// ======== commands on one request ========

// Checks the limits again, because commands may have been committed since the leader proposed the
// grant.
void MaintenanceState::Grant(Request& request) {
  if (!CanBeGranted(request)) return;
  request.state = State::kDraining;
  for (auto& [id, other] : requests_) {
    if (other.state == State::kRequested && id < request.id) ++other.times_overtaken;
  }
  if (request.kind == Kind::kMachine) last_zone_ = members_.at(request.name).zone;
}

void MaintenanceState::MarkOut(Request& request) {
  if (request.kind == Kind::kMachine && request.state == State::kDraining) {
    request.state = State::kOut;
  }
}

void MaintenanceState::Confirm(Request& request, const Command& command) {
  const auto member = members_.find(command.name);
  if (member == members_.end() || request.kind != Kind::kEndpoint) return;
  request.confirmed[command.name] = command.process_incarnation;
  member->second.process_incarnation =
      std::max(member->second.process_incarnation, command.process_incarnation);
}

void MaintenanceState::Return(const Request& request) {
  if (request.state == State::kReturning) Finish(request.id, State::kBack, "");
}

void MaintenanceState::Fail(Request& request, const std::string& reason) {
  if (request.state != State::kDraining && request.state != State::kReturning) return;
  request.state = State::kFailed;
  request.why = reason;
}

// ======== commands on members ========

void MaintenanceState::RemoveMember(const std::string& name) {
  members_.erase(name);
  if (const Request* request = RequestFor(Kind::kMachine, name)) {
    Finish(request->id, State::kCancelled, "no longer in the roster");
  }
}

void MaintenanceState::SetLiveness(const Command& command) {
  const auto found = members_.find(command.name);
  if (found == members_.end()) return;
  MemberState& member = found->second;
  member.dead = command.verb == Verb::kDead;
  member.process_incarnation = std::max(member.process_incarnation, command.process_incarnation);
}

// ======== steps after each command ========

void MaintenanceState::FinishEndpointDrains() {
  for (auto& [id, request] : requests_) {
    const bool drains = request.kind == Kind::kEndpoint && request.state == State::kDraining;
    if (drains && Unconfirmed(request).empty()) request.state = State::kOut;
  }
}

void MaintenanceState::Finish(std::uint64_t id, State state, std::string why) {
  auto node = requests_.extract(id);
  Request& request = node.mapped();
  request.state = state;
  request.why = std::move(why);
  request.confirmed.clear();
  finished_.push_back(std::move(request));
  if (finished_.size() > kMaxFinishedRequests) finished_.pop_front();
}

}  // namespace brassfront::maintenance
