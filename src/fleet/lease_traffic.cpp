#include "fleet/lease_traffic.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

namespace brassfront::fleet {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxEndpointsPerLimit = 64;
// Share of the leased rate at which the policy paces its calls. A call that is refused just before
// its first byte costs an attempt, so the policy stays slightly below the lease.
constexpr double kPolicyRateShare = 0.98;
// Minimum interval of wake-ups for the lease holder, so that a request that is due but cannot be
// sent does not keep the fleet's thread busy.
constexpr peers::Time kMinTurnInterval = milliseconds(50);

std::string KeyOf(const CallTarget& target) {
  return target.has_own_rate_limit ? quota::KeyOf(target.endpoint)
                                   : quota::KeyOf(target.destination);
}

}  // namespace

quota::LeaseSettings LeaseSettingsFrom(const peers::Roster& roster) {
  const peers::Sharing& sharing = roster.sharing;
  quota::LeaseSettings settings;
  settings.term = sharing.term;
  settings.drift = sharing.drift;
  settings.floor = sharing.floor;
  settings.burst = sharing.burst;
  settings.election = roster.timings.election;
  settings.members = roster.members.size();
  settings.reported = sharing.told;
  for (const auto& [destination, calls] : sharing.listed) {
    settings.listed[quota::KeyOf(destination)] = calls;
  }
  return settings;
}

LeaseTraffic::LeaseTraffic(const peers::Roster& roster, std::string self)
    : self_(std::move(self)),
      election_timeout_(roster.timings.election),
      holder_(LeaseSettingsFrom(roster)),
      grantor_(LeaseSettingsFrom(roster)) {}

// ======== this member's calls ========

// Registers endpoints before their first call, so that their calls are paced from the start instead
// of being refused just before the first byte.
void LeaseTraffic::OnEndpointList(const MemberList& list) {
  for (const Member& member : list.members) {
    const std::string key = quota::KeyOf(member.destination);
    if (member.phase == Phase::kGone) {
      endpoints_by_key_[key].erase(member.id);
    } else if (!endpoints_by_key_.contains(quota::KeyOf(member.id))) {
      RecordEndpoint(key, {member.id, member.destination, false});
    }
  }
}

void LeaseTraffic::OnDemand(std::uint64_t destination, Time now) {
  holder_.OnDemand(quota::KeyOf(destination), now);
}

bool LeaseTraffic::AllowsCall(const CallTarget& target, Time now) {
  const std::string key = KeyOf(target);
  RecordEndpoint(key, target);
  // Messages for a destination do not indicate the demand of an endpoint with its own limit, so the
  // call itself is counted as demand.
  if (target.has_own_rate_limit) holder_.OnDemand(key, now);
  return holder_.TryAcquire(key, now);
}

void LeaseTraffic::RecordEndpoint(const CallTarget& target) {
  RecordEndpoint(KeyOf(target), target);
}

void LeaseTraffic::RecordEndpoint(const std::string& key, const CallTarget& target) {
  // An endpoint with its own limit does not count towards its destination's limit.
  if (target.has_own_rate_limit) {
    endpoints_by_key_[quota::KeyOf(target.destination)].erase(target.endpoint);
  }
  std::set<std::string>& endpoints = endpoints_by_key_[key];
  if (endpoints.size() >= kMaxEndpointsPerLimit) return;
  if (endpoints.insert(target.endpoint).second) holder_.ReportAgain(key);
}

void LeaseTraffic::OnLimitReported(const CallTarget& target, double limit, Time now) {
  holder_.OnLimitReported(KeyOf(target), limit, now);
}

// ======== peers ========

void LeaseTraffic::SetLeadership(bool leads, Time now) {
  const Time since_last = now - std::exchange(leadership_checked_at_, now);
  const bool was_suspended = since_last > election_timeout_;
  if (leads && (!leads_ || was_suspended)) grantor_.Begin(now);
  if (!leads && leads_) grantor_.End();
  leads_ = leads;
}

void LeaseTraffic::Receive(const peers::Frame& frame, Time now, std::vector<OutgoingFrame>& out) {
  if (frame.kind == peers::Kind::kLeaseGrant) {
    const auto grant = quota::LeaseGrant::Decode(frame.body);
    if (grant && frame.from == requested_from_) holder_.ApplyGrant(*grant, now);
    return;
  }
  const auto request = quota::LeaseRequestBatch::Decode(frame.body);
  if (request && leads_) GrantLeases(frame.from, *request, now, out);
}

void LeaseTraffic::GrantLeases(const std::string& holder, const quota::LeaseRequestBatch& request,
                               Time now, std::vector<OutgoingFrame>& out) {
  const auto grant = grantor_.Answer(holder, request, now);
  if (!grant) return;
  if (holder == self_) return holder_.ApplyGrant(*grant, now);
  out.push_back({peers::Kind::kLeaseGrant, holder, grant->Encode()});
}

void LeaseTraffic::RequestLeases(const std::string& leader, Time now,
                                 std::vector<OutgoingFrame>& out) {
  if (!leads_ && leader.empty()) return;
  const auto request = holder_.NextRequest(now);
  if (!request) return;
  requested_from_ = leads_ ? self_ : leader;
  if (leads_) {
    GrantLeases(self_, *request, now, out);
  } else {
    out.push_back({peers::Kind::kLeaseRequest, leader, request->Encode()});
  }
}

peers::Time LeaseTraffic::Next() const {
  return std::max(holder_.Next(), leadership_checked_at_ + kMinTurnInterval);
}

void LeaseTraffic::SetRoster(const peers::Roster& roster, Time now) {
  holder_.Change(LeaseSettingsFrom(roster), now);
  grantor_.Change(LeaseSettingsFrom(roster));
}

std::vector<EndpointUpdate> LeaseTraffic::TakeEndpointUpdates(Time now) {
  std::vector<EndpointUpdate> updates;
  for (const auto& [key, rate] : holder_.Changes(now)) {
    const auto endpoints = endpoints_by_key_.find(key);
    if (endpoints == endpoints_by_key_.end()) continue;
    dispatch_policy::QuotaLeased lease;
    if (rate) lease.rate = *rate * kPolicyRateShare;
    for (const std::string& endpoint : endpoints->second) updates.push_back({endpoint, lease});
  }
  return updates;
}

}  // namespace brassfront::fleet
