#include "fleet/reports.hpp"

#include "protocol/json.hpp"

namespace brassfront::fleet {
namespace {

using json::Quote;
using maintenance::Kind;
using maintenance::MaintenanceState;
using maintenance::Request;

std::string RequestJson(const MaintenanceState& state, const Request& request) {
  const std::string waits_for = state.WaitsFor(request);
  return "{\"request\": " + std::to_string(request.id) +
         ", \"kind\": " + (request.kind == Kind::kMachine ? "\"machine\"" : "\"endpoint\"") +
         ", \"name\": " + Quote(request.name) +
         ", \"urgency\": " + Quote(ToString(request.urgency)) + ", \"state\": " +
         Quote(waits_for.empty() || request.state != maintenance::State::kRequested
                   ? ToString(request.state)
                   : "waiting") +
         ", \"waits_for\": " + Quote(waits_for) + ", \"why\": " + Quote(request.why) + "}";
}

}  // namespace

std::string StatusJson(const MemberView& view) {
  std::size_t alive = 1;  // this member
  for (const auto& [name, peer] : view.failure_detector.peers()) {
    if (peer.state == peers::State::kAlive) ++alive;
  }
  return "{\"name\": " + Quote(view.self) + ", \"fleet\": " + Quote(view.roster.fleet) +
         ", \"life\": " + std::to_string(view.process_incarnation) +
         ", \"members\": " + std::to_string(view.roster.members.size()) +
         ", \"alive\": " + std::to_string(alive) + ", \"leader\": " + Quote(view.leader) +
         ", \"term\": " + std::to_string(view.term) +
         ", \"votes\": " + (view.votes ? "true" : "false") +
         ", \"revision\": " + std::to_string(view.known_state.revision()) +
         ", \"places\": " + std::to_string(view.known_state.max_out_total()) +
         ", \"used\": " + std::to_string(view.known_state.SlotsInUse()) +
         ", \"held\": " + (view.known_state.grants_paused() ? "true" : "false") +
         ", \"standing_by\": " + (view.local_member.standing_by ? "true" : "false") +
         ", \"open_requests\": " + std::to_string(view.known_state.requests().size()) + "}";
}

std::string MembersJson(const MemberView& view) {
  std::string rows;
  for (const peers::Member& member : view.roster.members) {
    const auto peer = view.failure_detector.peers().find(member.name);
    const bool self = peer == view.failure_detector.peers().end();
    const auto committed = view.known_state.members().find(member.name);
    const bool dead = committed != view.known_state.members().end() && committed->second.dead;
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
  const peers::FailureDetector::Counts& counts = view.failure_detector.counts();
  return "{\"members\": [" + rows +
         "], \"doubt\": " + std::to_string(view.failure_detector.local_health_score()) +
         ", \"probes\": " + std::to_string(counts.probes) +
         ", \"missed\": " + std::to_string(counts.missed) +
         ", \"denials\": " + std::to_string(counts.refutations) +
         ", \"stale\": " + std::to_string(counts.stale) +
         ", \"pauses\": " + std::to_string(counts.pauses) +
         ", \"named_twice\": " + std::to_string(counts.duplicate_sender_frames) + "}";
}

std::string RequestsJson(const MaintenanceState& state) {
  std::string open, over;
  for (const auto& [id, request] : state.requests()) {
    open += (open.empty() ? "" : ", ") + RequestJson(state, request);
  }
  for (const Request& request : state.finished_requests()) {
    over += (over.empty() ? "" : ", ") + RequestJson(state, request);
  }
  return "{\"open\": [" + open + "], \"over\": [" + over + "]}";
}

std::string RequestResultJson(const maintenance::RequestResult& result, std::uint64_t token) {
  return "{" + Quote(result.good ? "done" : "error") + ": " + Quote(result.text) +
         ", \"token\": " + Quote(std::to_string(token)) + "}";
}

std::string NoQuorumMessage(const MemberView& view) {
  std::string missing;
  for (const std::string& voter : view.roster.Voters()) {
    const auto peer = view.failure_detector.peers().find(voter);
    if (peer == view.failure_detector.peers().end()) continue;
    if (peer->second.state == peers::State::kAlive) continue;
    missing += (missing.empty() ? "" : ", ") + voter + " (" + ToString(peer->second.state) + ")";
  }
  return "nothing was settled in time: " +
         (view.leader.empty() ? "no leader is known" : "the leader was " + view.leader) +
         (missing.empty() ? "" : "; voters that are not heard: " + missing) +
         ". It may be settled yet: ask again with the same words, which does "
         "no harm. Forwarding, "
         "status, members and the list go on; what is out stays out";
}

}  // namespace brassfront::fleet
