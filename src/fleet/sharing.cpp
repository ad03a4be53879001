#include "fleet/sharing.hpp"

#include <algorithm>
#include <cstdio>

#include "protocol/json.hpp"

namespace brassfront::fleet {
namespace {

using dispatch_policy::Outcome;
using peers::Time;
using std::chrono::milliseconds;

constexpr Time kHealthTickInterval = milliseconds(250);
constexpr Time kMinSharedRetryAfter =
    std::chrono::seconds(1);                       // told; shorter ones are each member's own
constexpr std::size_t kMaxEndpointsPerLimit = 64;  // endpoints of one limit
// Of a share, what the module paces itself by: what is held back at the first
// byte costs an attempt.
constexpr double kPolicyRateShare = 0.98;

Time Now() { return std::chrono::steady_clock::now().time_since_epoch(); }

std::string KeyOf(const CallTarget& target) {
  return target.has_own_rate_limit ? quota::KeyOf(target.endpoint)
                                   : quota::KeyOf(target.destination);
}

verdicts::Settings HealthSettingsFrom(const peers::Sharing& sharing) {
  verdicts::Settings settings;
  settings.kept = sharing.kept;
  return settings;
}

std::string NumberToText(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", value);
  return text;
}

std::string SecondsToText(Time time) { return NumberToText(quota::SecondsOf(time)); }

dispatch_policy::PeerHealth ToPeerHealth(verdicts::HealthAdvice::What what) {
  switch (what) {
    case verdicts::HealthAdvice::What::kDown:
      return dispatch_policy::PeerHealth::kFailing;
    case verdicts::HealthAdvice::What::kWait:
      return dispatch_policy::PeerHealth::kRetryAfter;
    case verdicts::HealthAdvice::What::kCold:
      return dispatch_policy::PeerHealth::kWarmingUp;
    case verdicts::HealthAdvice::What::kServes:
      return dispatch_policy::PeerHealth::kServing;
    case verdicts::HealthAdvice::What::kTried:
      break;
  }
  return dispatch_policy::PeerHealth::kBeingTested;
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

Sharing::Sharing(const peers::Roster& roster, std::string self, std::uint64_t process_incarnation)
    : self_(std::move(self)),
      settings_(roster.sharing),
      lease_holder_(LeaseSettingsFrom(roster)),
      lease_grantor_(LeaseSettingsFrom(roster)),
      health_reports_(HealthSettingsFrom(roster.sharing), self_, process_incarnation),
      election_(roster.timings.election) {}

// ======== the engine's door ========

void Sharing::RecordEndpoint(const std::string& key, const CallTarget& target) {
  // A route apart has no part in its destination's limit.
  if (target.has_own_rate_limit)
    endpoints_by_key_[quota::KeyOf(target.destination)].erase(target.endpoint);
  std::set<std::string>& endpoints = endpoints_by_key_[key];
  if (endpoints.size() < kMaxEndpointsPerLimit && endpoints.insert(target.endpoint).second)
    lease_holder_.ReportAgain(key);
}

// Guards against calls that begin unpaced, and are held back at their first
// byte, at a start.
void Sharing::OnEndpointList(const MemberList& list) {
  const std::lock_guard lock(mutex_);
  for (const Member& member : list.members) {
    const std::string key = quota::KeyOf(member.destination);
    if (member.phase == Phase::kGone) {
      endpoints_by_key_[key].erase(member.id);
    } else if (!endpoints_by_key_.contains(quota::KeyOf(member.id))) {
      RecordEndpoint(key, {member.id, member.destination, false});
    }
  }
}

void Sharing::OnMessageArrived(std::uint64_t destination) {
  if (!settings_.limits) return;
  const std::lock_guard lock(mutex_);
  lease_holder_.OnDemand(quota::KeyOf(destination), Now());
}

bool Sharing::AllowsCall(const CallTarget& target) {
  if (!settings_.limits) return true;
  const std::string key = KeyOf(target);
  const std::lock_guard lock(mutex_);
  RecordEndpoint(key, target);
  const Time now = Now();
  if (target.has_own_rate_limit) {
    lease_holder_.OnDemand(key, now);  // what comes for a destination says nothing of a route
  }
  return lease_holder_.TryAcquire(key, now);
}

void Sharing::OnCallCompleted(const CallCompleted& call) {
  const std::string key = KeyOf(call.target);
  const std::lock_guard lock(mutex_);
  const Time now = Now();
  RecordEndpoint(key, call.target);
  if (settings_.limits && call.report.limit.value_or(0) > 0) {
    lease_holder_.OnLimitReported(key, *call.report.limit, now);
  }
  if (!settings_.verdicts) return;
  const std::string& endpoint = call.target.endpoint;
  switch (call.outcome) {
    case Outcome::kDelivered:
      return health_reports_.Answered(endpoint, call.started.time_since_epoch(), now);
    case Outcome::kConnectFailed:
    case Outcome::kReset:
    case Outcome::kTimeout:
    case Outcome::kCancelled:
    case Outcome::kError:
      return health_reports_.Failed(endpoint, now);
    case Outcome::kRejected:
      if (call.retry_after >= kMinSharedRetryAfter)
        health_reports_.ToldWait(endpoint, call.retry_after, now);
      return;
    case Outcome::kNotSent:
    case Outcome::kConnectionLimitReached:
      return;
  }
}

// ======== the fleet's thread ========

void Sharing::GrantLeases(const std::string& holder, const quota::LeaseRequestBatch& request,
                          Time now) {
  const auto grant = lease_grantor_.Answer(holder, request, now);
  if (!grant) return;
  if (holder == self_) return lease_holder_.Take(*grant, now);
  outgoing_frames_.push_back({peers::Kind::kGrant, holder, grant->Encode()});
}

void Sharing::Receive(const peers::Frame& frame, Time now) {
  const std::lock_guard lock(mutex_);
  if (frame.kind == peers::Kind::kWords) {
    if (settings_.verdicts) health_reports_.Take(frame.from, frame.body, now);
  } else if (!settings_.limits) {
    return;
  } else if (frame.kind == peers::Kind::kGrant) {
    const auto grant = quota::LeaseGrant::Decode(frame.body);
    if (grant && frame.from == lease_request_sent_to_) lease_holder_.Take(*grant, now);
  } else if (const auto request = quota::LeaseRequestBatch::Decode(frame.body); request && leads_) {
    GrantLeases(frame.from, *request, now);
  }
}

// One that was stopped for as long as an election takes may lead no longer
// without knowing it.
void Sharing::Tick(bool leads, Time now) {
  const std::lock_guard lock(mutex_);
  const bool was_suspended = now - std::exchange(last_tick_, now) > election_;
  if (leads && (!leads_ || was_suspended)) lease_grantor_.Begin(now);
  if (!leads && leads_) lease_grantor_.End();
  leads_ = leads;
}

void Sharing::Update(const std::string& leader, std::vector<std::string> present, Time now) {
  const std::lock_guard lock(mutex_);
  health_reports_.SetPresent(std::move(present));
  if (settings_.limits && (leads_ || !leader.empty())) {
    if (const auto request = lease_holder_.Ask(now)) {
      lease_request_sent_to_ = leads_ ? self_ : leader;
      if (leads_) {
        GrantLeases(self_, *request, now);
      } else {
        outgoing_frames_.push_back({peers::Kind::kWant, leader, request->Encode()});
      }
    }
  }
  if (!settings_.verdicts) return;
  if (now >= next_health_tick_) {
    next_health_tick_ = now + kHealthTickInterval;
    health_reports_.Tick(now);
  }
  verdicts::HealthReportTable::Saying round = health_reports_.Say(now);
  for (std::string& to : round.to)
    outgoing_frames_.push_back({peers::Kind::kWords, to, round.bytes});
}

Time Sharing::Next() const {
  const std::lock_guard lock(mutex_);
  Time next = Time::max();
  if (settings_.limits) next = std::max(lease_holder_.Next(), last_tick_ + milliseconds(50));
  if (settings_.verdicts) next = std::min({next, next_health_tick_, health_reports_.Next()});
  return next;
}

void Sharing::SetRoster(const peers::Roster& roster, Time now) {
  const std::lock_guard lock(mutex_);
  settings_ = roster.sharing;
  lease_holder_.Change(LeaseSettingsFrom(roster), now);
  lease_grantor_.Change(LeaseSettingsFrom(roster));
}

std::vector<EndpointUpdate> Sharing::TakeEndpointUpdates() {
  const std::lock_guard lock(mutex_);
  std::vector<EndpointUpdate> updates;
  for (const auto& [key, rate] : lease_holder_.Changes(Now())) {
    const auto endpoints = endpoints_by_key_.find(key);
    if (endpoints == endpoints_by_key_.end()) continue;
    dispatch_policy::QuotaLeased lease;
    if (rate) lease.rate = *rate * kPolicyRateShare;
    for (const std::string& endpoint : endpoints->second) updates.push_back({endpoint, lease});
  }
  for (const verdicts::HealthAdvice& advice : health_reports_.TakeAdvice()) {
    dispatch_policy::PeerHealthReport report;
    report.health = ToPeerHealth(advice.what);
    report.age = advice.age;
    report.duration = advice.rest;
    report.witnesses = advice.witnesses;
    updates.push_back({advice.endpoint, report});
  }
  return updates;
}

// ======== what is told ========

std::string Sharing::LimitsJson(Time now) const {
  const std::lock_guard lock(mutex_);
  std::string text =
      "{\"grants\":" + std::string(leads_ && lease_grantor_.grants(now) ? "true" : "false");
  text += ",\"limits\":[";
  bool first = true;
  for (const auto& [key, share] : lease_holder_.shares()) {
    const auto rate = lease_holder_.RateOf(key, now);
    text += (first ? "" : ",") + std::string("{\"limit\":") + json::Quote(key);
    text += ",\"calls\":" + NumberToText(share.limit) + ",\"told\":" + NumberToText(share.reported);
    text += ",\"ours\":" + (rate ? NumberToText(*rate) : "null") +
            ",\"lease\":" + NumberToText(share.lease);
    text += ",\"ends_in_s\":" + SecondsToText(std::max(Time{}, share.ends - now));
    text +=
        ",\"demand\":" + NumberToText(share.demand) + ",\"begun\":" + std::to_string(share.begun);
    text += ",\"held_back\":" + std::to_string(share.held_back) + "}";
    first = false;
  }
  text += "],\"granted\":[";
  first = true;
  for (const auto& [key, limit] : lease_grantor_.limits()) {
    for (const auto& [holder, lease] : limit.leases) {
      if (!leads_ || now >= lease.ends) continue;
      text += (first ? "" : ",") + std::string("{\"limit\":") + json::Quote(key);
      text += ",\"holder\":" + json::Quote(holder) + ",\"lease\":" + NumberToText(lease.amount);
      text += ",\"ends_in_s\":" + SecondsToText(lease.ends - now) + "}";
      first = false;
    }
  }
  return text + "]}";
}

std::string Sharing::VerdictsJson(Time now) const {
  const std::lock_guard lock(mutex_);
  std::string text = "{\"words\":[";
  bool first = true;
  for (const auto& [key, report] : health_reports_.words()) {
    text += (first ? "" : ",") + std::string("{\"endpoint\":") + json::Quote(report.endpoint);
    text += ",\"witness\":" + json::Quote(report.witness) + ",\"seen\":\"" + ToString(report.seen);
    text += "\",\"age_s\":" + SecondsToText(now - report.at) +
            ",\"rest_s\":" + SecondsToText(report.rest);
    text += ",\"times\":" + std::to_string(report.times) + ",\"counts\":";
    text += health_reports_.Counts(report.witness, now) ? "true}" : "false}";
    first = false;
  }
  text += "],\"witnesses\":[";
  first = true;
  for (const auto& [name, witness] : health_reports_.witnesses()) {
    text += (first ? "" : ",") + std::string("{\"name\":") + json::Quote(name);
    text += ",\"strikes\":" + std::to_string(witness.strikes) + ",\"shunned_for_s\":";
    text += SecondsToText(std::max(Time{}, witness.shunned_until - now)) + "}";
    first = false;
  }
  return text + "]}";
}

std::string SharingBoundsToText(const peers::Roster& roster, bool as_json) {
  const quota::LeaseSettings settings = LeaseSettingsFrom(roster);
  const Time undetected = settings.Renew() + settings.Stretched(settings.term);
  std::string text;
  const auto line = [&](const char* name, const std::string& value,
                        const std::string& explanation) {
    if (as_json) {
      text += (text.empty() ? "{" : ",") + json::Quote(name) + ":" + value;
    } else {
      text += std::string(name) + " " + value + "  " + explanation + "\n";
    }
  };
  line("quiet_s", SecondsToText(settings.QuietTime()),
       "a new leader grants nothing for so long; floors hold");
  line("lease_ends_s", SecondsToText(settings.Stretched(settings.term)),
       "after a cut, a pause or a death its lease is free again, at most");
  line("lowered_s", SecondsToText(settings.LoweredFor(undetected)),
       "after a limit falls calls of the old rate may go on, at most");
  line("word_kept_s", SecondsToText(roster.sharing.kept), "a word on an endpoint is dropped");
  for (const auto& [key, limit] : settings.listed) {
    line(("over_" + key).c_str(), NumberToText(settings.MostAtOnce(limit)),
         "calls above " + NumberToText(limit) + "/s times the window, in any window");
    line(("floor_" + key).c_str(), NumberToText(settings.FloorOf(limit)),
         "calls a second that a cut-off member may begin");
  }
  return as_json ? text + "}" : text;
}

}  // namespace brassfront::fleet
