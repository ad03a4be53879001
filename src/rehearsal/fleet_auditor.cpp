#include "rehearsal/fleet_auditor.hpp"

#include <algorithm>
#include <utility>

namespace brassfront::rehearsal {
namespace {

constexpr std::size_t kMaxHistory = 200;

}  // namespace

std::string FieldOf(const std::string& line, const std::string& name) {
  const std::size_t at = line.find(" " + name + "=");
  if (at == std::string::npos) return "";
  const std::size_t from = at + name.size() + 2;
  return line.substr(from, line.find(' ', from) - from);
}

FleetAuditor::FleetAuditor(const Scenario& scenario)
    : count_(scenario.forwarders.count),
      runs_(count_),
      paused_(count_),
      cut_(count_, std::vector<bool>(count_)),
      reach_(count_, std::vector<bool>(count_)),
      reach_since_(count_, std::vector<Time>(count_)),
      absent_(count_, true),
      limits_(scenario.fleet),
      left_(count_),
      standby_(count_),
      absent_since_(count_),
      violation_counts_(kRules) {}

void FleetAuditor::Runs(std::size_t f, bool runs, Time at) {
  runs_[f] = runs;
  if (!runs) paused_[f] = false;
  Recount(at);
}

void FleetAuditor::Paused(std::size_t f, bool paused, Time at) {
  paused_[f] = paused;
  Recount(at);
}

void FleetAuditor::Roster(std::size_t places, std::optional<std::size_t> left, Time at) {
  if (left) left_[*left] = true;
  if (places > limits_.out_in_all) limits_.out_in_all = limits_.out_in_hall = places;
  if (places > 0 && places < limits_.out_in_all) {
    fewer_places_ = places;
    fewer_since_ = at;
  }
}

void FleetAuditor::Cut(std::size_t from, std::size_t to, bool cut, Time at) {
  cut_[from][to] = cut;
  last_cut_ = at;
  Recount(at);
}

// Returns whether both run and reach each other directly or through one third member, as an
// indirect probe requires.
bool FleetAuditor::Reach(std::size_t a, std::size_t b) const {
  const auto joined = [this](std::size_t x, std::size_t y) {
    return Works(x) && Works(y) && !cut_[x][y] && !cut_[y][x];
  };
  if (joined(a, b)) return true;
  for (std::size_t h = 0; h < count_; ++h) {
    if (h != a && h != b && joined(a, h) && joined(h, b)) return true;
  }
  return false;
}

bool FleetAuditor::Joined(std::size_t from, std::size_t to, Time now) const {
  return Works(from) && Works(to) && !cut_[from][to] && reach_[from][to] &&
         now - reach_since_[from][to] > kSettleTime && now - last_cut_ > kSettleTime;
}

// Returns whether any running member reaches it, and records since when each does.
bool FleetAuditor::UpdateReach(std::size_t member, Time at) {
  bool reached = false;
  for (std::size_t other = 0; other < count_; ++other) {
    if (member == other) continue;
    const bool now = Reach(member, other);
    reached |= now;
    if (now && !reach_[member][other]) reach_since_[member][other] = at;
    reach_[member][other] = now;
  }
  return reached;
}

void FleetAuditor::NoteAbsence(std::size_t member, bool absent, Time at) {
  absent_[member] = absent;
  absent_since_[member] = at;
  if (absent) {
    absences_.push_back({member, at, std::nullopt, {}, std::vector<bool>(count_)});
    return;
  }
  for (Absence& absence : absences_) {
    if (absence.who == member && !absence.until) absence.until = at;
  }
}

void FleetAuditor::Recount(Time at) {
  for (std::size_t member = 0; member < count_; ++member) {
    const bool absent = !UpdateReach(member, at);
    if (absent != absent_[member]) NoteAbsence(member, absent, at);
  }
  for (Absence& absence : absences_) {
    if (absence.until) continue;
    // A member that was absent itself at any time need not have noticed the absence.
    for (std::size_t member = 0; member < count_; ++member) {
      if (absent_[member]) absence.excused[member] = true;
    }
  }
}

void FleetAuditor::Line(std::size_t by, const std::string& line, Time at) {
  if (line.rfind("peer name=n", 0) == 0) {
    const std::size_t about = std::stoul("0" + FieldOf(line, "name").substr(1));
    if (about < count_) RecordPeerState(by, about, FieldOf(line, "state"), at);
  }
  if (line.rfind("work request=", 0) == 0) HandleWorkLine(line, at);
}

void FleetAuditor::HandleWorkLine(const std::string& line, Time at) {
  const std::string request = FieldOf(line, "request"), state = FieldOf(line, "state");
  std::string& last = work_states_[request];
  // A lagging member may log states of a request that has already ended.
  if (last == "back" || last == "cancelled") return;
  if (state == "back") last_back_ = at;
  if (state == "out" && out_requests_.insert(request).second) {
    SetEndpointOut(FieldOf(line, "name"), true, at);
  }
  last = state;
}

void FleetAuditor::SetEndpointOut(const std::string& id, bool out, Time at) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  if (out) {
    out_since_[it->second] = at;
  } else if (out_since_.erase(it->second) > 0) {
    back_since_[it->second] = {at, 0};
  }
}

// Rule `ban`: an endpoint that is out must not be called, even by a member that has not learned of
// it.
void FleetAuditor::Handle(const Event& event) {
  if (event.what != Event::What::kFirstByte) return;
  if (const auto back = back_since_.find(event.endpoint); back != back_since_.end()) {
    auto& [since, calls] = back->second;
    calls += event.at - since <= kReturnWindow;
  }
  const auto it = out_since_.find(event.endpoint);
  if (it == out_since_.end() || event.at <= it->second + Auditor::kSlack) return;
  ReportViolation(Rule::kBan, event.at,
                  "forwarder " + std::to_string(event.forwarder) + " calls endpoint " +
                      std::to_string(event.endpoint) + ", which is out");
}

void FleetAuditor::WorkRequested(Time at) {
  if (!first_requested_) first_requested_ = at;
}

void FleetAuditor::WorkGranted(Time took) { max_grant_time_ = std::max(max_grant_time_, took); }

void FleetAuditor::SetStandby(std::size_t f, bool standby, Time at) {
  if (standby_[f] != standby) {
    standby_[f] = standby;
    if (standby) last_standby_start_ = at;
    if (history_.size() < kMaxHistory) {
      history_.push_back(std::to_string(SecondsOf(at)) + " s n" + std::to_string(f) +
                         (standby ? " stands by" : " takes clients"));
    }
  }
  CheckUnavailable(at);
}

// Rule `spared`: a member may go to standby only if the roster allows one more member out. Members
// on standby count, and so do members that had been absent for more than kNoticeTime when the last
// member went to standby, since all must have known of them. Each member is polled every tenth of a
// second, so only a state that lasts longer than kPollTolerance is certain.
void FleetAuditor::CheckUnavailable(Time at) {
  const std::size_t zones = limits_.zones.size();
  std::vector<std::size_t> in_hall(zones);
  std::size_t in_all = 0;
  std::string who;
  if (fewer_places_ && at - std::max(fewer_since_, last_cut_) > kRosterSettleTime) {
    limits_.out_in_all = limits_.out_in_hall = *std::exchange(fewer_places_, std::nullopt);
  }
  for (std::size_t f = 0; f < count_; ++f) {
    if (left_[f]) continue;
    const bool away = absent_[f] && last_standby_start_ - absent_since_[f] > kNoticeTime;
    if (!standby_[f] && !away) continue;
    ++in_all;
    ++in_hall[f % zones];
    who += " n" + std::to_string(f) + (standby_[f] ? "" : " (away)");
  }
  level_since_.resize(count_ + 1);
  for (std::size_t level = 1; level <= count_; ++level) {
    if (in_all < level) {
      level_since_[level].reset();
    } else if (!level_since_[level]) {
      level_since_[level] = at;
    } else if (at - *level_since_[level] > kPollTolerance) {
      max_out_ = std::max(max_out_, level);
    }
  }
  const bool over = in_all > limits_.out_in_all ||
                    *std::max_element(in_hall.begin(), in_hall.end()) > limits_.out_in_hall;
  if (!over) {
    over_since_.reset();
  } else if (!over_since_) {
    over_since_ = at;
  } else if (at - *over_since_ > kPollTolerance) {
    ReportViolation(Rule::kSpared, at, "out or dead at once:" + who);
    over_since_ = Time::max() / 2;  // reported once until the excess ends
  }
}

void FleetAuditor::ReportViolation(Rule rule, Time at, std::string what) {
  if (++violation_counts_[static_cast<std::size_t>(rule)] > Auditor::kMaxViolations) return;
  violations_.push_back({rule, at, std::move(what), history_});
}

void FleetAuditor::RecordPeerState(std::size_t by, std::size_t about, const std::string& state,
                                   Time at) {
  if (state != "dead" && state != "left") return;
  for (Absence& absence : absences_) {
    if (absence.who == about && !absence.until) absence.noticed.try_emplace(by, at);
  }
  if (state == "dead" && reach_[by][about] && at - reach_since_[by][about] > kSettleTime) {
    ++wrong_deaths_;
  }
}

void FleetAuditor::Finish(Time now, AuditResult& into) {
  double noticed_ms = 0;
  std::size_t unnoticed = 0;
  for (const Absence& absence : absences_) {
    const Time lasted = absence.until.value_or(now) - absence.from;
    for (std::size_t f = 0; f < count_; ++f) {
      if (f == absence.who || absence.excused[f]) continue;
      const auto it = absence.noticed.find(f);
      if (it != absence.noticed.end()) {
        noticed_ms = std::max(noticed_ms, SecondsOf(it->second - absence.from) * 1e3);
      } else if (lasted > kNoticeTime) {
        ++unnoticed;
      }
    }
  }
  std::size_t back = 0, open = 0;
  for (const auto& [request, state] : work_states_) {
    back += state == "back";
    open += state != "back" && state != "cancelled";
  }
  for (std::size_t rule = 0; rule < kRules; ++rule) {
    into.violation_counts[rule] += violation_counts_[rule];
    into.metrics["rule_breaks"] += static_cast<double>(violation_counts_[rule]);
  }
  into.violations.insert(into.violations.end(), violations_.begin(), violations_.end());
  into.metrics["works_back"] = static_cast<double>(back);
  into.metrics["works_open"] = static_cast<double>(open);
  into.metrics["works_s"] =
      first_requested_ && last_back_ ? SecondsOf(*last_back_ - *first_requested_) : 0;
  into.metrics["settled_ms"] = SecondsOf(max_grant_time_) * 1e3;
  into.metrics["most_out"] = static_cast<double>(max_out_);
  into.metrics["wrong_deaths"] = static_cast<double>(wrong_deaths_);
  into.metrics["noticed_ms"] = noticed_ms;
  std::size_t returned = 0;
  for (const auto& [endpoint, calls] : back_since_) returned = std::max(returned, calls.second);
  into.metrics["returned_calls"] = static_cast<double>(returned);
  into.metrics["unnoticed"] = static_cast<double>(unnoticed);
}

}  // namespace brassfront::rehearsal
