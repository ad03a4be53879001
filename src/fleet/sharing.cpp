#include "fleet/sharing.hpp"

#include <algorithm>
#include <cstdio>

#include "protocol/json.hpp"

namespace brassfront::fleet {
namespace {

using dispatch_policy::Outcome;
using peers::Time;
using std::chrono::milliseconds;

constexpr Time kTickEvery = milliseconds(250);
constexpr Time kLeastWait = std::chrono::seconds(1);  // told; shorter ones are each member's own
constexpr std::size_t kMostPlaces = 64;               // endpoints of one limit
// Of a share, what the module paces itself by: what is held back at the first byte costs an
// attempt.
constexpr double kPaceShare = 0.98;

Time Now() { return std::chrono::steady_clock::now().time_since_epoch(); }

std::string KeyOf(const CallTarget& target) {
  return target.has_own_rate_limit ? quota::KeyOf(target.endpoint)
                                   : quota::KeyOf(target.destination);
}

verdicts::Settings SettingsOf(const peers::Sharing& s) {
  verdicts::Settings settings;
  settings.kept = s.kept;
  return settings;
}

std::string Number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", value);
  return text;
}

std::string Seconds(Time time) { return Number(quota::SecondsOf(time)); }

dispatch_policy::PeerHealth WordOf(verdicts::HealthAdvice::What what) {
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

quota::LeaseSettings LeaseSettingsFor(const peers::Roster& roster) {
  const peers::Sharing& s = roster.sharing;
  quota::LeaseSettings settings;
  settings.term = s.term;
  settings.drift = s.drift;
  settings.floor = s.floor;
  settings.burst = s.burst;
  settings.election = roster.timings.election;
  settings.members = roster.members.size();
  settings.reported = s.told;
  for (const auto& [destination, calls] : s.listed) {
    settings.listed[quota::KeyOf(destination)] = calls;
  }
  return settings;
}

Sharing::Sharing(const peers::Roster& roster, std::string self, std::uint64_t process_incarnation)
    : self_(std::move(self)),
      settings_(roster.sharing),
      holder_(LeaseSettingsFor(roster)),
      grantor_(LeaseSettingsFor(roster)),
      table_(SettingsOf(roster.sharing), self_, process_incarnation),
      election_(roster.timings.election) {}

// ======== the engine's door ========

void Sharing::Known(const std::string& key, const CallTarget& target) {
  // A route apart has no part in its destination's limit.
  if (target.has_own_rate_limit) places_[quota::KeyOf(target.destination)].erase(target.endpoint);
  std::set<std::string>& its = places_[key];
  if (its.size() < kMostPlaces && its.insert(target.endpoint).second) holder_.ReportAgain(key);
}

// Guards against calls that begin unpaced, and are held back at their first byte, at a start.
void Sharing::Listed(const MemberList& list) {
  const std::lock_guard lock(mutex_);
  for (const Member& member : list.members) {
    const std::string key = quota::KeyOf(member.destination);
    if (member.phase == Phase::kGone) {
      places_[key].erase(member.id);
    } else if (!places_.contains(quota::KeyOf(member.id))) {
      Known(key, {member.id, member.destination, false});
    }
  }
}

void Sharing::OnMessageArrived(std::uint64_t destination) {
  if (!settings_.limits) return;
  const std::lock_guard lock(mutex_);
  holder_.OnDemand(quota::KeyOf(destination), Now());
}

bool Sharing::AllowsCall(const CallTarget& target) {
  if (!settings_.limits) return true;
  const std::string key = KeyOf(target);
  const std::lock_guard lock(mutex_);
  Known(key, target);
  const Time now = Now();
  if (target.has_own_rate_limit) {
    holder_.OnDemand(key, now);  // what comes for a destination says nothing of a route
  }
  return holder_.TryAcquire(key, now);
}

void Sharing::OnCallCompleted(const CallCompleted& end) {
  const std::string key = KeyOf(end.target);
  const std::lock_guard lock(mutex_);
  const Time now = Now();
  Known(key, end.target);
  if (settings_.limits && end.report.limit.value_or(0) > 0) {
    holder_.OnLimitReported(key, *end.report.limit, now);
  }
  if (!settings_.verdicts) return;
  const std::string& endpoint = end.target.endpoint;
  switch (end.outcome) {
    case Outcome::kDelivered:
      return table_.Answered(endpoint, end.started.time_since_epoch(), now);
    case Outcome::kConnectFailed:
    case Outcome::kReset:
    case Outcome::kTimeout:
    case Outcome::kCancelled:
    case Outcome::kError:
      return table_.Failed(endpoint, now);
    case Outcome::kRejected:
      if (end.retry_after >= kLeastWait) table_.ToldWait(endpoint, end.retry_after, now);
      return;
    case Outcome::kNotSent:
    case Outcome::kConnectionLimitReached:
      return;
  }
}

// ======== the fleet's thread ========

void Sharing::GrantLeases(const std::string& holder, const quota::LeaseRequestBatch& request,
                          Time now) {
  const auto grant = grantor_.Answer(holder, request, now);
  if (!grant) return;
  if (holder == self_) return holder_.Take(*grant, now);
  out_.push_back({peers::Kind::kGrant, holder, grant->Encode()});
}

void Sharing::Take(const peers::Frame& frame, Time now) {
  const std::lock_guard lock(mutex_);
  if (frame.kind == peers::Kind::kWords) {
    if (settings_.verdicts) table_.Take(frame.from, frame.body, now);
  } else if (!settings_.limits) {
    return;
  } else if (frame.kind == peers::Kind::kGrant) {
    const auto grant = quota::LeaseGrant::Decode(frame.body);
    if (grant && frame.from == asked_) holder_.Take(*grant, now);
  } else if (const auto request = quota::LeaseRequestBatch::Decode(frame.body); request && leads_) {
    GrantLeases(frame.from, *request, now);
  }
}

// One that was stopped for as long as an election takes may lead no longer without knowing it.
void Sharing::Tick(bool leads, Time now) {
  const std::lock_guard lock(mutex_);
  const bool stopped = now - std::exchange(last_turn_, now) > election_;
  if (leads && (!leads_ || stopped)) grantor_.Begin(now);
  if (!leads && leads_) grantor_.End();
  leads_ = leads;
}

void Sharing::Turn(const std::string& leader, std::vector<std::string> present, Time now) {
  const std::lock_guard lock(mutex_);
  table_.SetPresent(std::move(present));
  if (settings_.limits && (leads_ || !leader.empty())) {
    if (const auto request = holder_.Ask(now)) {
      asked_ = leads_ ? self_ : leader;
      if (leads_) {
        GrantLeases(self_, *request, now);
      } else {
        out_.push_back({peers::Kind::kWant, leader, request->Encode()});
      }
    }
  }
  if (!settings_.verdicts) return;
  if (now >= next_tick_) {
    next_tick_ = now + kTickEvery;
    table_.Tick(now);
  }
  verdicts::HealthReportTable::Saying saying = table_.Say(now);
  for (std::string& to : saying.to) out_.push_back({peers::Kind::kWords, to, saying.bytes});
}

Time Sharing::Next() const {
  const std::lock_guard lock(mutex_);
  Time next = Time::max();
  if (settings_.limits) next = std::max(holder_.Next(), last_turn_ + milliseconds(50));
  if (settings_.verdicts) next = std::min({next, next_tick_, table_.Next()});
  return next;
}

void Sharing::SetRoster(const peers::Roster& roster, Time now) {
  const std::lock_guard lock(mutex_);
  settings_ = roster.sharing;
  holder_.Change(LeaseSettingsFor(roster), now);
  grantor_.Change(LeaseSettingsFor(roster));
}

std::vector<EndpointUpdate> Sharing::TakeNews() {
  const std::lock_guard lock(mutex_);
  std::vector<EndpointUpdate> news;
  for (const auto& [key, rate] : holder_.Changes(Now())) {
    const auto its = places_.find(key);
    if (its == places_.end()) continue;
    dispatch_policy::QuotaLeased share;
    if (rate) share.rate = *rate * kPaceShare;
    for (const std::string& endpoint : its->second) news.push_back({endpoint, share});
  }
  for (const verdicts::HealthAdvice& advice : table_.TakeAdvice()) {
    dispatch_policy::PeerHealthReport word;
    word.health = WordOf(advice.what);
    word.age = advice.age;
    word.duration = advice.rest;
    word.witnesses = advice.witnesses;
    news.push_back({advice.endpoint, word});
  }
  return news;
}

// ======== what is told ========

std::string Sharing::LimitsJson(Time now) const {
  const std::lock_guard lock(mutex_);
  std::string text =
      "{\"grants\":" + std::string(leads_ && grantor_.grants(now) ? "true" : "false");
  text += ",\"limits\":[";
  bool first = true;
  for (const auto& [key, s] : holder_.shares()) {
    const auto rate = holder_.RateOf(key, now);
    text += (first ? "" : ",") + std::string("{\"limit\":") + json::Quote(key);
    text += ",\"calls\":" + Number(s.limit) + ",\"told\":" + Number(s.reported);
    text += ",\"ours\":" + (rate ? Number(*rate) : "null") + ",\"lease\":" + Number(s.lease);
    text += ",\"ends_in_s\":" + Seconds(std::max(Time{}, s.ends - now));
    text += ",\"demand\":" + Number(s.demand) + ",\"begun\":" + std::to_string(s.begun);
    text += ",\"held_back\":" + std::to_string(s.held_back) + "}";
    first = false;
  }
  text += "],\"granted\":[";
  first = true;
  for (const auto& [key, limit] : grantor_.limits()) {
    for (const auto& [holder, lease] : limit.leases) {
      if (!leads_ || now >= lease.ends) continue;
      text += (first ? "" : ",") + std::string("{\"limit\":") + json::Quote(key);
      text += ",\"holder\":" + json::Quote(holder) + ",\"lease\":" + Number(lease.amount);
      text += ",\"ends_in_s\":" + Seconds(lease.ends - now) + "}";
      first = false;
    }
  }
  return text + "]}";
}

std::string Sharing::VerdictsJson(Time now) const {
  const std::lock_guard lock(mutex_);
  std::string text = "{\"words\":[";
  bool first = true;
  for (const auto& [key, word] : table_.words()) {
    text += (first ? "" : ",") + std::string("{\"endpoint\":") + json::Quote(word.endpoint);
    text += ",\"witness\":" + json::Quote(word.witness) + ",\"seen\":\"" + ToString(word.seen);
    text += "\",\"age_s\":" + Seconds(now - word.at) + ",\"rest_s\":" + Seconds(word.rest);
    text += ",\"times\":" + std::to_string(word.times) + ",\"counts\":";
    text += table_.Counts(word.witness, now) ? "true}" : "false}";
    first = false;
  }
  text += "],\"witnesses\":[";
  first = true;
  for (const auto& [name, w] : table_.witnesses()) {
    text += (first ? "" : ",") + std::string("{\"name\":") + json::Quote(name);
    text += ",\"strikes\":" + std::to_string(w.strikes) + ",\"shunned_for_s\":";
    text += Seconds(std::max(Time{}, w.shunned_until - now)) + "}";
    first = false;
  }
  return text + "]}";
}

std::string BoundsText(const peers::Roster& roster, bool as_json) {
  const quota::LeaseSettings settings = LeaseSettingsFor(roster);
  const Time unheard = settings.Renew() + settings.Stretched(settings.term);
  std::string text;
  const auto line = [&](const char* name, const std::string& value, const std::string& words) {
    if (as_json) {
      text += (text.empty() ? "{" : ",") + json::Quote(name) + ":" + value;
    } else {
      text += std::string(name) + " " + value + "  " + words + "\n";
    }
  };
  line("quiet_s", Seconds(settings.QuietTime()),
       "a new leader grants nothing for so long; floors hold");
  line("lease_ends_s", Seconds(settings.Stretched(settings.term)),
       "after a cut, a pause or a death its lease is free again, at most");
  line("lowered_s", Seconds(settings.LoweredFor(unheard)),
       "after a limit falls calls of the old rate may go on, at most");
  line("word_kept_s", Seconds(roster.sharing.kept), "a word on an endpoint is dropped");
  for (const auto& [key, limit] : settings.listed) {
    line(("over_" + key).c_str(), Number(settings.MostAtOnce(limit)),
         "calls above " + Number(limit) + "/s times the window, in any window");
    line(("floor_" + key).c_str(), Number(settings.FloorOf(limit)),
         "calls a second that a cut-off member may begin");
  }
  return as_json ? text + "}" : text;
}

}  // namespace brassfront::fleet
