#include "fleet/reports.hpp"

#include <charconv>

#include "protocol/json.hpp"

namespace brassfront::fleet {
namespace {

using json::Quote;
using maintenance::Command;
using maintenance::Kind;
using maintenance::MaintenanceState;
using maintenance::Request;
using maintenance::Urgency;
using maintenance::Verb;

std::string RequestJson(const MaintenanceState& state, const Request& request) {
  const std::string waits = state.WaitsFor(request);
  return "{\"request\": " + std::to_string(request.id) +
         ", \"kind\": " + (request.kind == Kind::kMachine ? "\"machine\"" : "\"endpoint\"") +
         ", \"name\": " + Quote(request.name) +
         ", \"urgency\": " + Quote(ToString(request.urgency)) + ", \"state\": " +
         Quote(waits.empty() || request.state != maintenance::State::kRequested
                   ? ToString(request.state)
                   : "waiting") +
         ", \"waits_for\": " + Quote(waits) + ", \"why\": " + Quote(request.why) + "}";
}

const std::string* FindParameter(const std::map<std::string, std::string>& query,
                                 const char* name) {
  const auto it = query.find(name);
  return it == query.end() || it->second.empty() ? nullptr : &it->second;
}

}  // namespace

bool ParseCommand(const std::string& path, const std::map<std::string, std::string>& query,
                  Command& command, std::string& error) {
  constexpr std::string_view kPrefix = "/fleet/maintenance/";
  const std::string what = path.rfind(kPrefix, 0) == 0 ? path.substr(kPrefix.size()) : "";
  const std::string* name = FindParameter(query, "name");
  const std::string* kind = FindParameter(query, "kind");
  if (kind != nullptr && *kind != "machine" && *kind != "endpoint") {
    error = "kind is machine or endpoint, not " + *kind;
    return false;
  }
  command.kind = kind != nullptr && *kind == "endpoint" ? Kind::kEndpoint : Kind::kMachine;
  if (name != nullptr) command.name = *name;
  if (const std::string* token = FindParameter(query, "token")) {
    const char* const end = token->data() + token->size();
    const auto [stop, status] = std::from_chars(token->data(), end, command.token);
    if (status != std::errc() || stop != end) {
      error = "a token is a number below 2^64";
      return false;
    }
  }
  if (name != nullptr && name->size() > 128) {
    error = "a name has 128 bytes at most";
    return false;
  }
  if (what == "ask" || what == "back" || what == "ended") {
    if (name == nullptr) {
      error = what + " needs a name";
      return false;
    }
    command.verb = what == "ask" ? Verb::kAsk : what == "back" ? Verb::kBringBack : Verb::kEnded;
    if (const std::string* urgency = FindParameter(query, "urgency")) {
      if (*urgency == "low") {
        command.urgency = Urgency::kLow;
      } else if (*urgency == "high") {
        command.urgency = Urgency::kHigh;
      } else if (*urgency != "normal") {
        error = "urgency is low, normal or high, not " + *urgency;
        return false;
      }
    }
    return true;
  }
  if (what == "cancel") {
    const std::string* id = FindParameter(query, "request");
    const auto end = id == nullptr ? nullptr : id->data() + id->size();
    if (id == nullptr || std::from_chars(id->data(), end, command.request).ptr != end) {
      error = "cancel needs the number of a request";
      return false;
    }
    command.verb = Verb::kCancel;
    return true;
  }
  if (what == "hold") {
    const std::string* on = FindParameter(query, "on");
    if (on == nullptr || (*on != "yes" && *on != "no")) {
      error = "hold needs on=yes or on=no";
      return false;
    }
    command.verb = Verb::kHold;
    command.flag = *on == "yes";
    return true;
  }
  error = "nothing is at " + path;
  return false;
}

std::string StatusJson(const MemberView& view) {
  std::size_t alive = 1;
  for (const auto& [name, peer] : view.detector.peers())
    alive += peer.state == peers::State::kAlive;
  return "{\"name\": " + Quote(view.self) + ", \"fleet\": " + Quote(view.roster.fleet) +
         ", \"life\": " + std::to_string(view.process_incarnation) +
         ", \"members\": " + std::to_string(view.roster.members.size()) +
         ", \"alive\": " + std::to_string(alive) + ", \"leader\": " + Quote(view.leader) +
         ", \"term\": " + std::to_string(view.term) +
         ", \"votes\": " + (view.votes ? "true" : "false") +
         ", \"revision\": " + std::to_string(view.known_state.revision()) +
         ", \"places\": " + std::to_string(view.known_state.max_out_total()) +
         ", \"used\": " + std::to_string(view.known_state.UsedInAll()) +
         ", \"held\": " + (view.known_state.held() ? "true" : "false") +
         ", \"standing_by\": " + (view.local.standing_by ? "true" : "false") +
         ", \"open_requests\": " + std::to_string(view.known_state.requests().size()) + "}";
}

std::string MembersJson(const MemberView& view) {
  std::string rows;
  for (const peers::Member& member : view.roster.members) {
    const auto peer = view.detector.peers().find(member.name);
    const bool self = peer == view.detector.peers().end();
    const auto settled = view.known_state.members().find(member.name);
    const bool dead = settled != view.known_state.members().end() && settled->second.dead;
    const Request* request = view.known_state.RequestFor(Kind::kMachine, member.name);
    rows += std::string(rows.empty() ? "" : ", ") + "{\"name\": " + Quote(member.name) +
            ", \"hall\": " + Quote(member.zone) +
            ", \"voter\": " + (member.voter ? "true" : "false") +
            ", \"state\": " + Quote(self ? "self" : ToString(peer->second.state)) +
            ", \"link\": " + Quote(self ? "" : ToString(peer->second.link)) + ", \"life\": " +
            std::to_string(self ? view.process_incarnation
                                : peers::ProcessIncarnationOf(peer->second.incarnation)) +
            ", \"settled\": " + Quote(dead ? "dead" : "alive") +
            ", \"work\": " + Quote(request == nullptr ? "" : ToString(request->state)) + "}";
  }
  const peers::FailureDetector::Counts& counts = view.detector.counts();
  return "{\"members\": [" + rows + "], \"doubt\": " + std::to_string(view.detector.doubt()) +
         ", \"probes\": " + std::to_string(counts.probes) +
         ", \"missed\": " + std::to_string(counts.missed) +
         ", \"denials\": " + std::to_string(counts.denials) +
         ", \"stale\": " + std::to_string(counts.stale) +
         ", \"pauses\": " + std::to_string(counts.pauses) +
         ", \"named_twice\": " + std::to_string(counts.twice) + "}";
}

std::string RequestsJson(const MaintenanceState& state) {
  std::string open, over;
  for (const auto& [id, request] : state.requests()) {
    open += (open.empty() ? "" : ", ") + RequestJson(state, request);
  }
  for (const Request& request : state.over()) {
    over += (over.empty() ? "" : ", ") + RequestJson(state, request);
  }
  return "{\"open\": [" + open + "], \"over\": [" + over + "]}";
}

std::string RequestResultJson(const maintenance::RequestResult& result, std::uint64_t token) {
  return std::string("{\"") + (result.good ? "done" : "error") + "\": " + Quote(result.text) +
         ", \"token\": \"" + std::to_string(token) + "\"}";
}

std::string NoQuorumMessage(const std::string& leader, const peers::Roster& roster,
                            const peers::FailureDetector& detector) {
  std::string missing;
  for (const std::string& voter : roster.Voters()) {
    const auto it = detector.peers().find(voter);
    if (it == detector.peers().end() || it->second.state == peers::State::kAlive) continue;
    missing += (missing.empty() ? "" : ", ") + voter + " (" + ToString(it->second.state) + ")";
  }
  return "nothing was settled in time: " +
         (leader.empty() ? "no leader is known" : "the leader was " + leader) +
         (missing.empty() ? "" : "; voters that are not heard: " + missing) +
         ". It may be settled yet: ask again with the same words, which does no harm. Forwarding, "
         "status, members and the list go on; what is out stays out";
}

}  // namespace brassfront::fleet
