#include "fleet/sharing.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "fleet/sharing_reports.hpp"

namespace brassfront::fleet {
namespace {

peers::Time Now() { return std::chrono::steady_clock::now().time_since_epoch(); }

}  // namespace

Sharing::Sharing(const peers::Roster& roster, std::string self, std::uint64_t process_incarnation)
    : settings_(roster.sharing),
      leases_(roster, self),
      health_(roster, std::move(self), process_incarnation) {}

// ======== the engine's threads ========

void Sharing::OnMessageArrived(std::uint64_t destination) {
  const std::lock_guard lock(mutex_);
  if (settings_.limits) leases_.OnDemand(destination, Now());
}

bool Sharing::AllowsCall(const CallTarget& target) {
  const std::lock_guard lock(mutex_);
  return !settings_.limits || leases_.AllowsCall(target, Now());
}

void Sharing::OnCallCompleted(const CallCompleted& call) {
  const std::lock_guard lock(mutex_);
  const Time now = Now();
  leases_.RecordEndpoint(call.target);
  if (settings_.limits && call.report.limit.value_or(0) > 0) {
    leases_.OnLimitReported(call.target, *call.report.limit, now);
  }
  if (settings_.verdicts) health_.OnCallCompleted(call, now);
}

void Sharing::OnEndpointList(const MemberList& list) {
  const std::lock_guard lock(mutex_);
  leases_.OnEndpointList(list);
}

// ======== the fleet's thread ========

void Sharing::Tick(bool leads, Time now) {
  const std::lock_guard lock(mutex_);
  leases_.SetLeadership(leads, now);
}

void Sharing::Receive(const peers::Frame& frame, Time now) {
  const std::lock_guard lock(mutex_);
  if (frame.kind == peers::Kind::kHealthReports) {
    if (settings_.verdicts) health_.Receive(frame, now);
  } else if (settings_.limits) {
    leases_.Receive(frame, now, outgoing_frames_);
  }
}

void Sharing::Update(const std::string& leader, std::vector<std::string> present, Time now) {
  const std::lock_guard lock(mutex_);
  health_.SetPresent(std::move(present));
  if (settings_.limits) leases_.RequestLeases(leader, now, outgoing_frames_);
  if (settings_.verdicts) health_.Tick(now, outgoing_frames_);
}

peers::Time Sharing::Next() const {
  const std::lock_guard lock(mutex_);
  Time next = Time::max();
  if (settings_.limits) next = std::min(next, leases_.Next());
  if (settings_.verdicts) next = std::min(next, health_.Next());
  return next;
}

void Sharing::SetRoster(const peers::Roster& roster, Time now) {
  const std::lock_guard lock(mutex_);
  settings_ = roster.sharing;
  leases_.SetRoster(roster, now);
}

std::vector<EndpointUpdate> Sharing::TakeEndpointUpdates() {
  const std::lock_guard lock(mutex_);
  std::vector<EndpointUpdate> updates = leases_.TakeEndpointUpdates(Now());
  std::ranges::move(health_.TakeEndpointUpdates(), std::back_inserter(updates));
  return updates;
}

std::string Sharing::LimitsJson(Time now) const {
  const std::lock_guard lock(mutex_);
  return fleet::LimitsJson(leases_, now);
}

std::string Sharing::VerdictsJson(Time now) const {
  const std::lock_guard lock(mutex_);
  return fleet::VerdictsJson(health_.table(), now);
}

}  // namespace brassfront::fleet
