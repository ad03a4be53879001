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

std::string RequestJson(const MaintenanceState& machine, const Request& r) {
  std::string waits = machine.WaitsFor(r);
  return "{\"request\": " + std::to_string(r.id) +
         ", \"kind\": " + (r.kind == Kind::kMachine ? "\"machine\"" : "\"endpoint\"") +
         ", \"name\": " + Quote(r.name) + ", \"urgency\": " + Quote(ToString(r.urgency)) +
         ", \"state\": " +
         Quote(waits.empty() || r.state != maintenance::State::kRequested ? ToString(r.state)
                                                                          : "waiting") +
         ", \"waits_for\": " + Quote(waits) + ", \"why\": " + Quote(r.why) + "}";
}

const std::string* Word(const std::map<std::string, std::string>& query, const char* name) {
  const auto it = query.find(name);
  return it == query.end() || it->second.empty() ? nullptr : &it->second;
}

}  // namespace

bool CommandFrom(const std::string& path, const std::map<std::string, std::string>& query,
                 Command& command, std::string& fault) {
  constexpr std::string_view kPrefix = "/fleet/maintenance/";
  const std::string what = path.rfind(kPrefix, 0) == 0 ? path.substr(kPrefix.size()) : "";
  const std::string* name = Word(query, "name");
  const std::string* kind = Word(query, "kind");
  if (kind != nullptr && *kind != "machine" && *kind != "endpoint") {
    fault = "kind is machine or endpoint, not " + *kind;
    return false;
  }
  command.kind = kind != nullptr && *kind == "endpoint" ? Kind::kEndpoint : Kind::kMachine;
  if (name != nullptr) command.name = *name;
  if (const std::string* token = Word(query, "token")) {
    const char* const end = token->data() + token->size();
    const auto [stop, error] = std::from_chars(token->data(), end, command.token);
    if (error != std::errc() || stop != end) {
      fault = "a token is a number below 2^64";
      return false;
    }
  }
  if (name != nullptr && name->size() > 128) {
    fault = "a name has 128 bytes at most";
    return false;
  }
  if (what == "ask" || what == "back" || what == "ended") {
    if (name == nullptr) {
      fault = what + " needs a name";
      return false;
    }
    command.verb = what == "ask" ? Verb::kAsk : what == "back" ? Verb::kBringBack : Verb::kEnded;
    if (const std::string* urgency = Word(query, "urgency")) {
      if (*urgency == "low") {
        command.urgency = Urgency::kLow;
      } else if (*urgency == "high") {
        command.urgency = Urgency::kHigh;
      } else if (*urgency != "normal") {
        fault = "urgency is low, normal or high, not " + *urgency;
        return false;
      }
    }
    return true;
  }
  if (what == "cancel") {
    const std::string* id = Word(query, "request");
    const auto end = id == nullptr ? nullptr : id->data() + id->size();
    if (id == nullptr || std::from_chars(id->data(), end, command.request).ptr != end) {
      fault = "cancel needs the number of a request";
      return false;
    }
    command.verb = Verb::kCancel;
    return true;
  }
  if (what == "hold") {
    const std::string* on = Word(query, "on");
    if (on == nullptr || (*on != "yes" && *on != "no")) {
      fault = "hold needs on=yes or on=no";
      return false;
    }
    command.verb = Verb::kHold;
    command.flag = *on == "yes";
    return true;
  }
  fault = "nothing is at " + path;
  return false;
}

std::string StatusJson(const StatusFacts& f) {
  std::size_t alive = 1;
  for (const auto& [name, peer] : f.detector.peers()) alive += peer.state == peers::State::kAlive;
  return "{\"name\": " + Quote(f.self) + ", \"fleet\": " + Quote(f.roster.fleet) +
         ", \"life\": " + std::to_string(f.process_incarnation) +
         ", \"members\": " + std::to_string(f.roster.members.size()) +
         ", \"alive\": " + std::to_string(alive) + ", \"leader\": " + Quote(f.leader) +
         ", \"term\": " + std::to_string(f.term) + ", \"votes\": " + (f.votes ? "true" : "false") +
         ", \"revision\": " + std::to_string(f.known.revision()) +
         ", \"places\": " + std::to_string(f.known.max_out_total()) +
         ", \"used\": " + std::to_string(f.known.UsedInAll()) +
         ", \"held\": " + (f.known.held() ? "true" : "false") +
         ", \"standing_by\": " + (f.own.standing_by ? "true" : "false") +
         ", \"open_requests\": " + std::to_string(f.known.requests().size()) + "}";
}

std::string MembersJson(const StatusFacts& f) {
  std::string rows;
  for (const peers::Member& m : f.roster.members) {
    const auto peer = f.detector.peers().find(m.name);
    const bool self = peer == f.detector.peers().end();
    const auto settled = f.known.members().find(m.name);
    const bool dead = settled != f.known.members().end() && settled->second.dead;
    const Request* request = f.known.RequestFor(Kind::kMachine, m.name);
    rows += std::string(rows.empty() ? "" : ", ") + "{\"name\": " + Quote(m.name) +
            ", \"hall\": " + Quote(m.zone) + ", \"voter\": " + (m.voter ? "true" : "false") +
            ", \"state\": " + Quote(self ? "self" : ToString(peer->second.state)) +
            ", \"link\": " + Quote(self ? "" : ToString(peer->second.link)) + ", \"life\": " +
            std::to_string(self ? f.process_incarnation
                                : peers::ProcessIncarnationOf(peer->second.incarnation)) +
            ", \"settled\": " + Quote(dead ? "dead" : "alive") +
            ", \"work\": " + Quote(request == nullptr ? "" : ToString(request->state)) + "}";
  }
  const peers::FailureDetector::Counts& c = f.detector.counts();
  return "{\"members\": [" + rows + "], \"doubt\": " + std::to_string(f.detector.doubt()) +
         ", \"probes\": " + std::to_string(c.probes) + ", \"missed\": " + std::to_string(c.missed) +
         ", \"denials\": " + std::to_string(c.denials) + ", \"stale\": " + std::to_string(c.stale) +
         ", \"pauses\": " + std::to_string(c.pauses) +
         ", \"named_twice\": " + std::to_string(c.twice) + "}";
}

std::string RequestsJson(const MaintenanceState& machine) {
  std::string open, over;
  for (const auto& [id, r] : machine.requests()) {
    open += (open.empty() ? "" : ", ") + RequestJson(machine, r);
  }
  for (const Request& r : machine.over()) {
    over += (over.empty() ? "" : ", ") + RequestJson(machine, r);
  }
  return "{\"open\": [" + open + "], \"over\": [" + over + "]}";
}

std::string AnswerJson(const maintenance::RequestResult& answer, std::uint64_t token) {
  return std::string("{\"") + (answer.good ? "done" : "error") + "\": " + Quote(answer.text) +
         ", \"token\": \"" + std::to_string(token) + "\"}";
}

std::string NoQuorumText(const std::string& leader, const peers::Roster& roster,
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
