#include "maintenance/maintenance_state.hpp"

#include <algorithm>

#include "peers/bytes.hpp"

namespace brassfront::maintenance {
namespace {

using peers::Reader;
using peers::Writer;

constexpr const char* kZonePrefix = "hall:";
constexpr std::size_t kMaxNameBytes = 128;  // of an endpoint's id
constexpr std::uint8_t kStateFormat = 1;    // the form of a saved state

void Put(Writer& out, const Request& r) {
  out.U64(r.id).U8(static_cast<std::uint64_t>(r.kind)).Name(r.name);
  out.U8(static_cast<std::uint64_t>(r.urgency)).U8(static_cast<std::uint64_t>(r.state));
  out.U32(r.times_overtaken).Name(r.why).U16(r.confirmed.size());
  for (const auto& [name, process_incarnation] : r.confirmed)
    out.Name(name).U64(process_incarnation);
}

Request ReadRequest(Reader& in) {
  Request r;
  r.id = in.U64();
  const std::uint8_t kind = in.U8();
  r.kind = static_cast<Kind>(kind);
  r.name = in.Name();
  const std::uint8_t urgency = in.U8(), state = in.U8();
  r.urgency = static_cast<Urgency>(urgency);
  r.state = static_cast<State>(state);
  const bool known = (kind == 1 || kind == 2) && urgency <= 2 &&
                     state <= static_cast<std::uint8_t>(State::kCancelled);
  if (!known) in.Raw(SIZE_MAX);  // no such request: the whole is broken
  r.times_overtaken = in.U32();
  r.why = in.Name();
  for (std::size_t n = in.U16(); n > 0 && !in.broken(); --n) {
    const std::string name = in.Name();
    r.confirmed[name] = in.U64();
  }
  return r;
}

}  // namespace

const char* ToString(Urgency urgency) {
  constexpr const char* kNames[] = {"low", "normal", "high"};
  return kNames[static_cast<std::size_t>(urgency)];
}

const char* ToString(State state) {
  constexpr const char* kNames[] = {"asked",  "draining", "out",      "returning",
                                    "failed", "back",     "cancelled"};
  return kNames[static_cast<std::size_t>(state)];
}

std::string Command::Encode() const {
  Writer out;
  out.U8(static_cast<std::uint64_t>(verb)).U8(static_cast<std::uint64_t>(kind));
  out.Name(name.substr(0, kMaxNameBytes)).Name(text.substr(0, 200));
  out.U8(static_cast<std::uint64_t>(urgency))
      .U64(request)
      .U64(process_incarnation)
      .U64(token)
      .U8(flag);
  return out.Take();
}

std::optional<Command> Command::Decode(std::string_view bytes) {
  Reader in(bytes);
  Command c;
  const std::uint8_t verb = in.U8(), kind = in.U8();
  c.verb = static_cast<Verb>(verb);
  c.kind = static_cast<Kind>(kind);
  c.name = in.Name();
  c.text = in.Name();
  const std::uint8_t urgency = in.U8();
  c.urgency = static_cast<Urgency>(urgency);
  c.request = in.U64();
  c.process_incarnation = in.U64();
  c.token = in.U64();
  c.flag = in.U8() != 0;
  const bool good = in.done() && verb >= 1 && verb <= static_cast<std::uint8_t>(Verb::kEnded) &&
                    (kind == 1 || kind == 2) && urgency <= 2 && c.name.size() <= kMaxNameBytes;
  if (!good) return std::nullopt;
  return c;
}

// ======== what is asked of it ========

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

// Counted once a command, not where it is asked for: with hundreds of requests the leader asks for
// each of them on every wake.
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
  return it != members_.end() && !it->second.dead && UsedInAll() < max_out_total_ &&
         UsedInZone(it->second.zone) < max_out_per_zone_;
}

std::string MaintenanceState::WaitsFor(const Request& request) const {
  if (request.state == State::kDraining && request.kind == Kind::kEndpoint) {
    std::string text;
    for (const std::string& name : Unconfirmed(request)) text += (text.empty() ? "" : " ") + name;
    return text.empty() ? "" : "the word of " + text;
  }
  if (request.state != State::kRequested) return "";
  if (grants_paused_) return "the queue, which is held";
  if (request.kind == Kind::kEndpoint) return "";
  const auto it = members_.find(request.name);
  if (it == members_.end()) return "the roster, which has no " + request.name;
  if (it->second.dead) return request.name + ", which is dead and uses a place already";
  const std::string& zone = it->second.zone;
  if (CanBeGranted(request)) return "";
  const bool all_full = UsedInAll() >= max_out_total_;
  std::string names;
  const auto add = [&](const std::string& name, const char* why) {
    names += (names.empty() ? "" : ", ") + name + " (" + why + ")";
  };
  for (const auto& [name, member] : members_) {
    if (member.dead && (all_full || member.zone == zone)) add(name, "dead");
  }
  for (const auto& [id, other] : requests_) {
    const auto holder = members_.find(other.name);
    if (!other.HoldsSlot() || holder == members_.end() || holder->second.dead) continue;
    if (all_full || holder->second.zone == zone) add(other.name, ToString(other.state));
  }
  return names;
}

std::vector<std::string> MaintenanceState::Unconfirmed(const Request& request) const {
  std::vector<std::string> names;
  for (const auto& [name, member] : members_) {
    const auto it = request.confirmed.find(name);
    const bool said = it != request.confirmed.end() && it->second >= member.process_incarnation;
    // A process_incarnation that has ended starts nothing more, and the next one begins with the
    // ban.
    const bool ended =
        member.dead && member.ended >= member.process_incarnation && member.ended > 0;
    if (!said && !ended) names.push_back(name);
  }
  return names;
}

// ======== commands ========

void MaintenanceState::Apply(std::string_view bytes) {
  ++revision_;
  if (const auto command = Command::Decode(bytes)) Execute(*command);
}

void MaintenanceState::StoreResult(std::uint64_t token, RequestResult answer) {
  if (token == 0) return;
  results_.emplace_back(token, std::move(answer));
  if (results_.size() > kMaxStoredResults) results_.pop_front();
}

void MaintenanceState::Execute(const Command& c) {
  const auto request = requests_.find(c.request);
  const auto member = members_.find(c.name);
  const bool has = request != requests_.end();
  // What operators ask may come twice, after an answer that was lost.
  const bool asked = c.verb == Verb::kAsk || c.verb == Verb::kCancel || c.verb == Verb::kHold ||
                     c.verb == Verb::kBringBack || c.verb == Verb::kEnded;
  if (asked && c.token != 0 && ResultFor(c.token) != nullptr) return;
  switch (c.verb) {
    case Verb::kMember:
      members_[c.name].zone = c.text;
      break;
    case Verb::kNoMember:
      members_.erase(c.name);
      if (const Request* existing = RequestFor(Kind::kMachine, c.name)) {
        Finish(existing->id, State::kCancelled, "no longer in the roster");
      }
      break;
    case Verb::kLimits:
      max_out_total_ = c.process_incarnation;
      max_out_per_zone_ = c.token;
      break;
    case Verb::kAsk:
      StoreResult(c.token, RequestAll(c));
      break;
    case Verb::kCancel:
      StoreResult(c.token, Cancel(c));
      break;
    case Verb::kHold:
      grants_paused_ = c.flag;
      StoreResult(c.token, {true, grants_paused_ ? "held: no further turn comes" : "goes on"});
      break;
    case Verb::kBringBack:
      StoreResult(c.token, BringBack(c));
      break;
    case Verb::kGrant:
      if (has) Grant(request->second);
      break;
    case Verb::kOutNow:
      if (has && request->second.state == State::kDraining &&
          request->second.kind == Kind::kMachine) {
        request->second.state = State::kOut;
      }
      break;
    case Verb::kConfirm:
      if (has && member != members_.end() && request->second.kind == Kind::kEndpoint) {
        request->second.confirmed[c.name] = c.process_incarnation;
        member->second.process_incarnation =
            std::max(member->second.process_incarnation, c.process_incarnation);
      }
      break;
    case Verb::kReturned:
      if (has && request->second.state == State::kReturning) Finish(c.request, State::kBack, "");
      break;
    case Verb::kFail:
      if (has && (request->second.state == State::kDraining ||
                  request->second.state == State::kReturning)) {
        request->second.state = State::kFailed;
        request->second.why = c.text;
      }
      break;
    case Verb::kDead:
    case Verb::kAlive:
      if (member == members_.end()) break;
      member->second.dead = c.verb == Verb::kDead;
      member->second.process_incarnation =
          std::max(member->second.process_incarnation, c.process_incarnation);
      break;
    case Verb::kEnded:
      if (member == members_.end()) {
        StoreResult(c.token, {false, "no machine " + c.name});
      } else if (!member->second.dead) {
        StoreResult(c.token, {false, c.name + " is heard: it has not ended"});
      } else {
        member->second.ended = std::max<std::uint64_t>(1, member->second.process_incarnation);
        StoreResult(c.token, {true, c.name + " is taken to have ended, on your word"});
      }
      break;
  }
  FinishEndpointDrains();
  CountSlots();
}

RequestResult MaintenanceState::RequestAll(const Command& c) {
  const std::string& name = c.name;
  if (c.kind == Kind::kEndpoint || (name != "all" && name.rfind(kZonePrefix, 0) != 0)) {
    return RequestOne(c, name);
  }
  const std::string zone = name == "all" ? "" : name.substr(std::string(kZonePrefix).size());
  std::string fresh;
  bool any = false;
  for (const auto& [machine, member] : members_) {
    if (!zone.empty() && member.zone != zone) continue;
    any = true;
    if (RequestFor(Kind::kMachine, machine) != nullptr) continue;
    const RequestResult answer = RequestOne(c, machine);
    if (!answer.good) return answer;
    fresh += (fresh.empty() ? "" : " ") + machine;
  }
  if (!any) return {false, "no machine is in hall " + zone};
  return {true, fresh.empty() ? "already asked" : "asked for " + fresh};
}

RequestResult MaintenanceState::RequestOne(const Command& c, const std::string& name) {
  if (c.kind == Kind::kMachine && !members_.contains(name)) {
    std::string near;
    for (const auto& [known, member] : members_) near += (near.empty() ? "" : " ") + known;
    return {false, "no machine " + name + "; there are " + near.substr(0, 160)};
  }
  if (const Request* existing = RequestFor(c.kind, name)) {
    return {true, "already asked: request " + std::to_string(existing->id) + " is " +
                      ToString(existing->state)};
  }
  if (c.kind == Kind::kMachine && (max_out_total_ == 0 || max_out_per_zone_ == 0)) {
    return {false, "the roster spares no machine"};
  }
  if (requests_.size() >= kMaxOpenRequests) return {false, "too many requests are open"};
  Request request;
  request.id = next_id_++;
  request.kind = c.kind;
  request.name = name;
  request.urgency = c.urgency;
  requests_[request.id] = request;
  return {true, "asked: request " + std::to_string(request.id)};
}

RequestResult MaintenanceState::Cancel(const Command& c) {
  const auto it = requests_.find(c.request);
  if (it == requests_.end()) return {false, "no request " + std::to_string(c.request) + " is open"};
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

RequestResult MaintenanceState::BringBack(const Command& c) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, request] : requests_) {
    if (request.kind == c.kind && (c.name == "all" || request.name == c.name)) ids.push_back(id);
  }
  if (ids.empty()) return {c.name == "all", c.name + " is not out, nor asked for"};
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

// The rule itself: whoever proposed this may have known less than what was settled since.
void MaintenanceState::Grant(Request& request) {
  if (!CanBeGranted(request)) return;
  request.state = State::kDraining;
  for (auto& [id, other] : requests_) {
    if (other.state == State::kRequested && id < request.id) ++other.times_overtaken;
  }
  if (request.kind == Kind::kMachine) last_zone_ = members_.at(request.name).zone;
}

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

// ======== saved ========

std::string MaintenanceState::Save() const {
  Writer out;
  out.U8(kStateFormat).U64(revision_).U64(next_id_).U32(max_out_total_).U32(max_out_per_zone_);
  out.U8(grants_paused_).Name(last_zone_).U16(members_.size());
  for (const auto& [name, m] : members_) {
    out.Name(name).Name(m.zone).U64(m.process_incarnation).U8(m.dead).U64(m.ended);
  }
  out.U16(requests_.size());
  for (const auto& [id, request] : requests_) Put(out, request);
  out.U16(finished_.size());
  for (const Request& request : finished_) Put(out, request);
  out.U16(results_.size());
  for (const auto& [token, answer] : results_) {
    out.U64(token).U8(answer.good).Name(answer.text.substr(0, 200));
  }
  return out.Take();
}

bool MaintenanceState::Load(std::string_view state) {
  Reader in(state);
  MaintenanceState m;
  if (in.U8() != kStateFormat) return false;
  m.revision_ = in.U64();
  m.next_id_ = in.U64();
  m.max_out_total_ = in.U32();
  m.max_out_per_zone_ = in.U32();
  m.grants_paused_ = in.U8() != 0;
  m.last_zone_ = in.Name();
  for (std::size_t n = in.U16(); n > 0 && !in.broken(); --n) {
    const std::string name = in.Name();
    MemberState& existing = m.members_[name];
    existing.zone = in.Name();
    existing.process_incarnation = in.U64();
    existing.dead = in.U8() != 0;
    existing.ended = in.U64();
  }
  for (std::size_t n = in.U16(); n > 0 && !in.broken(); --n) {
    Request request = ReadRequest(in);
    const std::uint64_t id = request.id;
    m.requests_[id] = std::move(request);
  }
  for (std::size_t n = in.U16(); n > 0 && !in.broken(); --n) m.finished_.push_back(ReadRequest(in));
  for (std::size_t n = in.U16(); n > 0 && !in.broken(); --n) {
    const std::uint64_t token = in.U64();
    RequestResult answer;
    answer.good = in.U8() != 0;
    answer.text = in.Name();
    m.results_.emplace_back(token, std::move(answer));
  }
  if (!in.done()) return false;
  m.CountSlots();
  *this = std::move(m);
  return true;
}

}  // namespace brassfront::maintenance
