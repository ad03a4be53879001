#include "rehearsal/auditor.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <utility>

namespace brassfront::rehearsal {
namespace {

constexpr double kOverQuotaWeight = 0.05;  // weight of traffic beyond a merchant's share
// Allowed rate relative to the merchant's part of the usual traffic.
constexpr double kShareRoom = 1.25;
constexpr double kShareSeconds = 5;  // bucket size, in seconds of the allowed rate
constexpr std::size_t kWorstSeconds = 10;
constexpr double kWhole = 0.6, kWorst = 0.3, kMerchant = 0.1;

constexpr std::array<const char*, kRules> kRuleNames = {
    "lost", "overlap", "resend", "attempts", "after-end", "drain",      "fail-back",
    "wait", "own",     "crash",  "spared",   "ban",       "over-limit", "stale-verdict"};

constexpr std::array<const char*, 18> kStepNames = {
    "handed in", "taken",    "refused",   "rejected", "unanswered", "first byte",
    "call",      "answered", "cut",       "ran",      "notice",     "told",
    "down",      "back",     "collapsed", "stopped",  "ready",      "machine lost"};

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

std::string Text(Time time) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f s", SecondsOf(time));
  return text.data();
}

double Ratio(double part, double whole) { return whole > 0 ? part / whole : 1; }

double QuantileMs(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
  return values[at] * 1e3;
}

}  // namespace

const char* ToString(Rule rule) { return kRuleNames[static_cast<std::size_t>(rule)]; }

Auditor::Auditor(const Scenario& scenario)
    : scenario_(scenario),
      share_left_(scenario.merchants.size()),
      share_at_(scenario.merchants.size()),
      down_(scenario.partners.size()),
      saw_failing_(scenario.partners.size()),
      restarts_(scenario.forwarders.count),
      partners_(scenario.partners.size()),
      violation_counts_(kRules) {
  for (std::size_t i = 0; i < share_left_.size(); ++i) {
    share_left_[i] =
        scenario_.merchants[i].share * scenario_.clients.rate * kShareRoom * kShareSeconds;
  }
}

SecondFigures& Auditor::SecondOf(Time at) {
  const auto second = static_cast<std::size_t>(std::max<Time::rep>(0, at.count()) / 1'000'000'000);
  if (seconds_.size() <= second) seconds_.resize(second + 1);
  return seconds_[second];
}

void Auditor::ReportViolation(Rule rule, Time at, std::string what, SubmissionId submission) {
  if (++violation_counts_[static_cast<std::size_t>(rule)] > kMaxViolations) return;
  violations_.push_back({rule, at, std::move(what), Timeline(submission)});
}

std::vector<std::string> Auditor::Timeline(SubmissionId id) const {
  std::vector<std::string> lines;
  if (id >= submissions_.size()) return lines;
  const SubmissionState& submission = submissions_[id];
  lines.push_back("message " + std::to_string(submission.origin) + " for " +
                  scenario_.partners[submission.partner].name + ", its time is up at " +
                  Text(submission.deadline));
  for (const Step& step : submission.steps) {
    std::string line = Text(step.at) + " " + kStepNames[static_cast<std::size_t>(step.what)];
    if (step.detail != UINT32_MAX) line += " " + std::to_string(step.detail);
    lines.push_back(std::move(line));
  }
  return lines;
}

void Auditor::Handle(const Event& e) {
  using What = Event::What;
  if (e.submission < submissions_.size()) {
    std::uint32_t detail = UINT32_MAX;
    if (e.what == What::kRan) detail = e.call;
    if (e.wait) detail = static_cast<std::uint32_t>(e.wait->count() / 1'000'000);
    submissions_[e.submission].steps.push_back({e.at, e.what, detail});
    UpdateSubmission(e, submissions_[e.submission]);
  }
  switch (e.what) {
    case What::kSubmitted:
      return HandleSubmission(e);
    case What::kFirstByte:
      return HandleFirstByte(e);
    case What::kCall:
      return HandleCall(e);
    case What::kAnswered:
      return HandleAnswer(e);
    case What::kCut:
      return HandleCut(e);
    case What::kNotice:
      if (e.submission == kUnknownSubmission) {
        ReportViolation(Rule::kOwn, e.at, "a notice for a message nobody handed in");
      }
      return;
    case What::kEndpointChange:
      return HandleEndpointChange(e);
    case What::kDown:
      down_[e.partner] = true;
      saw_failing_[e.partner].clear();
      return;
    case What::kBack:
      down_[e.partner] = false;
      return;
    case What::kCollapsed:
      return HandleCollapse(e);
    case What::kStopped:
      return HandleStopped(e);
    case What::kReady:
      return HandleReady(e);
    case What::kMachineLost:
      return HandleMachineLost(e);
    default:
      return;
  }
}

// Rule `drain`: an endpoint that is draining receives no new call after a grace period.
void Auditor::HandleFirstByte(const Event& e) {
  const auto told = draining_.find({e.forwarder, e.endpoint});
  last_call_[{e.forwarder, e.endpoint}] = e.at;
  if (told == draining_.end() || e.at <= told->second.reported_at + kDrainGrace + kSlack) return;
  ReportViolation(Rule::kDrain, e.at,
                  "forwarder " + std::to_string(e.forwarder) + " calls endpoint " +
                      std::to_string(e.endpoint) + ", which is leaving, " +
                      Text(e.at - told->second.reported_at) + " after it was told");
}

void Auditor::HandleEndpointChange(const Event& e) {
  if (!e.draining) {
    draining_.erase({e.forwarder, e.endpoint});
    return;
  }
  draining_.try_emplace({e.forwarder, e.endpoint},
                        DrainingEndpoint{e.since.value_or(e.at), e.since.has_value()});
}

// Rule `fail-back`: forwarders that saw a partner fail do not overload it when it returns.
void Auditor::HandleCollapse(const Event& e) {
  double all = 0;
  double seen = 0;
  for (const auto& [forwarder, work] : e.recent_work) {
    all += work;
    if (saw_failing_[e.partner].count(forwarder) != 0) seen += work;
  }
  if (seen < all * 2 / 3) return;
  ReportViolation(Rule::kFailBack, e.at,
                  scenario_.partners[e.partner].name +
                      " collapsed during its warm-up under the work of " +
                      std::to_string(static_cast<std::int64_t>(all)) + " calls, of which " +
                      std::to_string(static_cast<std::int64_t>(seen)) +
                      " came from forwarders that saw it fail");
}

void Auditor::HandleStopped(const Event& e) {
  restarts_[e.forwarder].emplace_back(e.at, Time::max());
  std::erase_if(waits_, [&](const auto& wait) { return wait.first.first == e.forwarder; });
  std::erase_if(draining_, [&](const auto& draining) {
    return draining.first.first == e.forwarder && !draining.second.survives_restart;
  });
  if (e.planned) return;
  ++crashes_;
  ReportViolation(Rule::kCrash, e.at,
                  "forwarder " + std::to_string(e.forwarder) + " ended unexpectedly");
}

void Auditor::HandleReady(const Event& e) {
  for (auto& [key, draining] : draining_) {
    if (key.first == e.forwarder) draining.reported_at = std::max(draining.reported_at, e.at);
  }
  if (!restarts_[e.forwarder].empty()) restarts_[e.forwarder].back().second = e.at;
}

void Auditor::HandleMachineLost(const Event& e) {
  for (SubmissionId id = 0; id < submissions_.size(); ++id) {
    if (submissions_[id].forwarder == e.forwarder && submissions_[id].accepted) {
      EndSubmission(id, End::kExcused, e.at);
    }
  }
}

void Auditor::Paused(std::size_t forwarder, bool paused, Time at) {
  auto& pauses = restarts_[forwarder];
  if (paused) {
    pauses.emplace_back(at, Time::max());
  } else if (!pauses.empty() && pauses.back().second == Time::max()) {
    pauses.back().second = at;
  }
}

void Auditor::HandleSubmission(const Event& e) {
  ++submitted_;
  if (submissions_.size() <= e.submission) submissions_.resize(e.submission + 1);
  SubmissionState& submission = submissions_[e.submission];
  submission.forwarder = e.forwarder;
  submission.partner = e.partner;
  submission.merchant = e.merchant;
  submission.origin = e.origin;
  submission.at = e.at;
  submission.deadline = e.deadline;
  submission.steps.push_back({e.at, e.what, static_cast<std::uint32_t>(e.forwarder)});
  const auto [it, first] = origins_.try_emplace(e.origin);
  it->second.refused = false;
  if (!first) return;
  Origin& origin = it->second;
  origin.at = e.at;
  origin.merchant = e.merchant;
  origin.partner = e.partner;
  // Token bucket of the merchant's share.
  const double rate = scenario_.merchants[e.merchant].share * scenario_.clients.rate * kShareRoom;
  double& left = share_left_[e.merchant];
  left = std::min(rate * kShareSeconds,
                  left + rate * SecondsOf(e.at - std::exchange(share_at_[e.merchant], e.at)));
  origin.over_quota = left < 1;
  if (!origin.over_quota) left -= 1;
  PartnerFigures& partner = partners_[e.partner];
  ++partner.submitted;
}

void Auditor::UpdateSubmission(const Event& e, SubmissionState& submission) {
  using What = Event::What;
  switch (e.what) {
    case What::kAccepted:
      submission.accepted = true;
      if (submission.end == End::kNone) ++pending_;
      if (submission.ok_seen) Delivered(e.submission, e.at);
      return;
    case What::kRefused:
    case What::kRejected:
      submission.end = End::kNeverAccepted;
      origins_[submission.origin].refused = e.what == What::kRefused;
      return;
    case What::kUnanswered:
      ++unacknowledged_;
      submission.end = End::kNeverAccepted;
      return;
    case What::kRan:
      submission.may_have_run = true;
      if (!e.applied_before) {
        ++submission.applied;
        return;
      }
      ++applied_twice_;
      // Not a fault of the forwarder if another submission by the client was applied before.
      if (submission.applied > 0) {
        ReportViolation(Rule::kResend, e.at, "a message was applied twice at its partner",
                        e.submission);
      }
      ++submission.applied;
      return;
    case What::kNotice:
      if (submission.end == End::kNone) {
        submission.deferred = e.deferred;
        origins_[submission.origin].refused = e.deferred;
        EndSubmission(e.submission, End::kNotice, e.at);
      }
      return;
    default:
      return;
  }
}

void Auditor::EndSubmission(SubmissionId id, End end, Time at) {
  SubmissionState& submission = submissions_[id];
  if (submission.end != End::kNone) return;
  submission.end = end;
  submission.ended = at;
  if (submission.accepted) --pending_;
}

void Auditor::Delivered(SubmissionId id, Time at) {
  EndSubmission(id, End::kDelivered, at);
  Origin& origin = origins_[submissions_[id].origin];
  if (!origin.delivered) origin.delivered = at;
}

void Auditor::HandleCall(const Event& e) {
  Call& call = calls_[e.call];
  call = {e.forwarder, e.endpoint, e.partner, true, e.at, {}};
  SecondFigures& second = SecondOf(e.at);
  ++second.calls;
  ++partners_[e.partner].calls;
  const auto wait = waits_.find({e.forwarder, e.partner});
  if (wait != waits_.end() && e.at > wait->second.at + kWaitGrace && e.at < wait->second.until) {
    ReportViolation(Rule::kWait, e.at,
                    "forwarder " + std::to_string(e.forwarder) + " calls " +
                        scenario_.partners[e.partner].name + " " + Text(e.at - wait->second.at) +
                        " after it was told to wait for " +
                        Text(wait->second.until - wait->second.at),
                    e.parts.empty() ? kUnknownSubmission : e.parts.front().submission);
  }
  for (const Event::Part& part : e.parts) {
    if (part.submission >= submissions_.size()) {
      ReportViolation(Rule::kOwn, e.at, "a call with a message that nobody handed in");
      continue;
    }
    SubmissionState& submission = submissions_[part.submission];
    submission.steps.push_back({e.at, e.what, e.call});
    call.submissions.push_back(part.submission);
    ++second.attempts;
    ++submission.attempts;
    ++origins_[submission.origin].attempts;
    if (submission.partner != e.partner) {
      ReportViolation(
          Rule::kOwn, e.at,
          "a message of another destination was sent to " + scenario_.partners[e.partner].name,
          part.submission);
    }
    if (submission.calls_in_flight++ > 0) {
      ReportViolation(Rule::kOverlap, e.at, "two attempts at once", part.submission);
    }
    CheckAttempt(e, part.submission);
    const Effect effect = scenario_.message_class.effect;
    if (submission.may_have_run && effect == Effect::kOnce) {
      ReportViolation(Rule::kResend, e.at, "sent again though it may have run", part.submission);
    }
    // The partner drops duplicates only within its window, which starts at the first call that may
    // have run.
    const Time window = scenario_.partners[submission.partner].dedup;
    if (effect == Effect::kKeyed && submission.ran_since &&
        e.at > *submission.ran_since + window + kSlack) {
      ReportViolation(Rule::kResend, e.at,
                      "sent again after the deduplication window of its partner", part.submission);
    }
  }
}

void Auditor::CheckAttempt(const Event& e, SubmissionId id) {
  const SubmissionState& submission = submissions_[id];
  if (submission.attempts == kMaxAttempts + 1) {
    ReportViolation(Rule::kAttempts, e.at, "more than 12 attempts", id);
  }
  // A call sent before the notification may be read after it, since they use two sockets.
  if (submission.end == End::kNotice && e.at - submission.ended > kSlack) {
    ReportViolation(Rule::kAfterEnd, e.at, "sent after its notification", id);
  }
  if (ActedOn(submission.over_at, e)) {
    ReportViolation(Rule::kAfterEnd, e.at, "sent after the answer that it is over", id);
  }
  if (ActedOn(submission.exhausted_at, e)) {
    ReportViolation(Rule::kAttempts, e.at, "sent after the answer that no attempt is left", id);
  }
}

// Whether the forwarder must have acted on an answer before it sent this call: the process that it
// was written to has not ended before it could.
bool Auditor::ActedOn(std::optional<Time> answered_at, const Event& call) const {
  if (!answered_at || call.at - *answered_at <= kSlack) return false;
  const auto& restarts = restarts_[call.forwarder];
  return std::none_of(restarts.begin(), restarts.end(), [&](const auto& restart) {
    return restart.first >= *answered_at && restart.first <= *answered_at + kSlack;
  });
}

void Auditor::HandleAnswer(const Event& e) {
  const auto it = calls_.find(e.call);
  if (it == calls_.end() || !it->second.open) return;
  Call& call = it->second;
  call.open = false;
  const bool failed = e.status != 200;
  if (failed) {
    ++SecondOf(e.at).failed_calls;
    ++partners_[call.partner].failed_calls;
    if (down_[call.partner]) saw_failing_[call.partner].insert(call.forwarder);
  }
  if (e.above_limit) {
    ++refusals_above_;
    ++SecondOf(e.at).above_limit;
    ++partners_[call.partner].above_limit;
  }
  if (e.wait) {
    ReportedWait& told = waits_[{call.forwarder, call.partner}];
    if (e.at + *e.wait > told.until) told = {e.at, e.at + *e.wait};
  }
  for (const SubmissionId id : call.submissions) {
    SubmissionState& submission = submissions_[id];
    if (submission.calls_in_flight > 0) --submission.calls_in_flight;
    submission.steps.push_back({e.at, e.what, static_cast<std::uint32_t>(e.status)});
  }
  for (const Event::Part& part : e.parts) {
    if (part.submission >= submissions_.size()) continue;
    SubmissionState& submission = submissions_[part.submission];
    switch (part.outcome) {
      case CallOutcome::kOk:
        MayRun(submission, call.at);
        submission.ok_seen = true;
        if (submission.accepted) Delivered(part.submission, e.at);
        break;
      case CallOutcome::kError:
        MayRun(submission, call.at);
        break;
      case CallOutcome::kGone:
        submission.over_at = submission.over_at.value_or(e.at);
        EndSubmission(part.submission, End::kGone, e.at);
        break;
      case CallOutcome::kExhausted:
        submission.exhausted_at = submission.exhausted_at.value_or(e.at);
        break;
      case CallOutcome::kNotRun:
        break;
    }
  }
}

// The forwarder cancelled the call, or its connection broke. Its messages may have run or may still
// run.
void Auditor::HandleCut(const Event& e) {
  const auto it = calls_.find(e.call);
  if (it == calls_.end() || !it->second.open) return;
  Call& call = it->second;
  call.open = false;
  if (down_[call.partner]) saw_failing_[call.partner].insert(call.forwarder);
  for (const SubmissionId id : call.submissions) {
    SubmissionState& submission = submissions_[id];
    if (submission.calls_in_flight > 0) --submission.calls_in_flight;
    MayRun(submission, call.at);
    submission.steps.push_back({e.at, e.what, e.call});
  }
}

void Auditor::MayRun(SubmissionState& submission, Time sent) {
  submission.may_have_run = true;
  submission.ran_since = std::min(submission.ran_since.value_or(sent), sent);
}

bool Auditor::MayHaveRun(SubmissionId submission) const {
  return submission < submissions_.size() &&
         (submissions_[submission].may_have_run || submissions_[submission].calls_in_flight > 0);
}

bool Auditor::IsPending(SubmissionId submission) const {
  return submission < submissions_.size() && submissions_[submission].accepted &&
         submissions_[submission].end == End::kNone;
}

// Returns the time by which the message must have ended; Time::max() while its forwarder is
// stopped.
Time Auditor::DueOf(const SubmissionState& submission) const {
  // No notification is overdue from the signal of a restart until kRestartGrace after the forwarder
  // is ready.
  Time due = submission.deadline + kEndGrace + kSlack;
  for (const auto& [stopped, ready] : restarts_[submission.forwarder]) {
    if (stopped > due) continue;
    if (ready == Time::max()) {
      due = Time::max();
      continue;
    }
    // A message submitted to a paused process: the process reads it and its remaining time when it
    // resumes.
    if (stopped <= submission.at && submission.at < ready) due += ready - submission.at;
    due = std::max(due, ready + kRestartGrace + kSlack);
  }
  return due;
}

void Auditor::CheckLost(Time now) {
  for (SubmissionId id = 0; id < submissions_.size(); ++id) {
    const SubmissionState& submission = submissions_[id];
    if (!submission.accepted || submission.end == End::kExcused ||
        submission.end == End::kNeverAccepted) {
      continue;
    }
    const Time due = DueOf(submission);
    if (due > now && submission.end == End::kNone) continue;
    if (submission.end == End::kNone || submission.ended > due) {
      ReportViolation(Rule::kLost, due,
                      submission.end == End::kNone
                          ? "taken on, and never ended"
                          : "taken on, and ended too late, at " + Text(submission.ended),
                      id);
    }
  }
}

double Auditor::WeightOf(const Origin& origin) const {
  if (!origin.delivered) return 0;
  const MessageClass& c = scenario_.message_class;
  const Time took = *origin.delivered - origin.at;
  if (took <= c.goal) return 1;
  if (took > c.deadline + kEndGrace) return 0;
  const double past = SecondsOf(took - c.goal) / std::max(1e-9, SecondsOf(c.deadline - c.goal));
  return 1 - (1 - c.late_weight_share) * std::min(1.0, past);
}

void Auditor::CountOrigin(const Origin& origin, ServiceTotals& totals, AuditResult& out) const {
  const double weight = origin.over_quota ? kOverQuotaWeight : 1;
  const double gained = weight * WeightOf(origin);
  totals.submitted_weight += weight;
  totals.delivered_weight += gained;
  totals.attempts += static_cast<double>(origin.attempts);
  const auto second = static_cast<std::size_t>(origin.at.count() / kNanosecondsPerSecond);
  if (out.seconds.size() <= second) out.seconds.resize(second + 1);
  SecondFigures& of_second = out.seconds[second];
  ++of_second.submitted;
  of_second.weight_submitted += weight;
  of_second.weight_delivered += gained;
  PartnerFigures& partner = out.partners[origin.partner];
  for (auto* line : {&partner.submitted_by_second, &partner.in_time_by_second}) {
    if (line->size() <= second) line->resize(second + 1);
  }
  ++partner.submitted_by_second[second];
  if (!origin.over_quota) {
    totals.merchant_submitted[origin.merchant] += weight;
    totals.merchant_delivered[origin.merchant] += gained;
  }
  if (!origin.delivered) {
    ++(origin.refused ? of_second.refused : of_second.failed);
    totals.refused += origin.refused ? 1 : 0;
    return;
  }
  const Time took = *origin.delivered - origin.at;
  const bool in_time = took <= scenario_.message_class.goal;
  ++(in_time ? of_second.in_time : of_second.late);
  if (in_time) ++partner.in_time_by_second[second];
  ++partner.delivered;
  totals.times.push_back(SecondsOf(took));
  ++totals.delivered;
  totals.late += in_time ? 0 : 1;
}

// Returns the lowest share of delivered weight over kWorstSeconds consecutive seconds, or `whole`
// if there are fewer seconds.
double Auditor::WorstService(const std::vector<SecondFigures>& seconds, double whole) {
  double worst = 1;
  // Only the time in which messages were submitted counts; later windows would hold too few.
  std::size_t last = seconds.size();
  while (last > 0 && seconds[last - 1].submitted == 0) --last;
  for (std::size_t from = 0; from + kWorstSeconds <= last; ++from) {
    double submitted = 0;
    double delivered_weight = 0;
    for (std::size_t i = from; i < from + kWorstSeconds; ++i) {
      submitted += seconds[i].weight_submitted;
      delivered_weight += seconds[i].weight_delivered;
    }
    if (submitted >= 1) worst = std::min(worst, delivered_weight / submitted);
  }
  return last < kWorstSeconds ? whole : worst;
}

void Auditor::CountService(AuditResult& out) const {
  ServiceTotals totals;
  totals.merchant_submitted.resize(scenario_.merchants.size());
  totals.merchant_delivered.resize(scenario_.merchants.size());
  for (const auto& [number, origin] : origins_) CountOrigin(origin, totals, out);
  const double whole = Ratio(totals.delivered_weight, totals.submitted_weight);
  const double worst = WorstService(out.seconds, whole);
  double merchant = 1;
  for (std::size_t i = 0; i < totals.merchant_submitted.size(); ++i) {
    out.merchant_service.push_back(
        Ratio(totals.merchant_delivered[i], totals.merchant_submitted[i]));
    merchant = std::min(merchant, out.merchant_service.back());
  }
  const auto all = static_cast<double>(origins_.size());
  out.metrics = {
      {"service", kWhole * whole + kWorst * worst + kMerchant * merchant},
      {"whole", whole},
      {"worst_10s", worst},
      {"worst_merchant", merchant},
      {"delivered", totals.delivered},
      {"refused", totals.refused},
      {"failed", all - totals.delivered - totals.refused},
      {"late_share", Ratio(totals.late, totals.delivered)},
      {"attempts_each", all > 0 ? totals.attempts / all : 0},
      {"p50_ms", QuantileMs(totals.times, 0.5)},
      {"p99_ms", QuantileMs(totals.times, 0.99)},
      {"refusals_above_limit", static_cast<double>(refusals_above_)},
      {"unheard_share",
       submitted_ > 0 ? static_cast<double>(unacknowledged_) / static_cast<double>(submitted_) : 0},
      {"crashes", static_cast<double>(crashes_)},
      {"applied_twice", static_cast<double>(applied_twice_)}};
}

AuditResult Auditor::Finish(Time now) {
  CheckLost(now);
  AuditResult out;
  out.seconds = seconds_;
  out.partners = partners_;
  CountService(out);
  // Pending messages at the end of each second.
  std::vector<std::int64_t> change(out.seconds.size() + 2);
  const auto place = [&](Time at) {
    return std::min(static_cast<std::size_t>(at.count() / kNanosecondsPerSecond),
                    out.seconds.size());
  };
  for (const SubmissionState& submission : submissions_) {
    if (!submission.accepted) continue;
    ++change[place(submission.at)];
    if (submission.end != End::kNone) --change[place(submission.ended)];
  }
  std::int64_t pending = 0;
  for (std::size_t i = 0; i < out.seconds.size(); ++i) {
    pending += change[i];
    out.seconds[i].pending = static_cast<std::size_t>(std::max<std::int64_t>(0, pending));
  }
  std::stable_sort(violations_.begin(), violations_.end(),
                   [](const RuleViolation& a, const RuleViolation& b) { return a.at < b.at; });
  out.violations = violations_;
  out.violation_counts = violation_counts_;
  std::size_t all = 0;
  for (const std::size_t count : violation_counts_) all += count;
  CountRemovals(out);
  out.metrics["rule_breaks"] = static_cast<double>(all);
  out.metrics["lost"] =
      static_cast<double>(violation_counts_[static_cast<std::size_t>(Rule::kLost)]);
  return out;
}

// Measures for how long each forwarder still calls each endpoint that leaves.
void Auditor::CountRemovals(AuditResult& out) const {
  std::vector<double> after;
  for (const auto& [key, draining] : draining_) {
    const auto called = last_call_.find(key);
    const Time late = called == last_call_.end() ? Time{} : called->second - draining.reported_at;
    after.push_back(std::max(0.0, SecondsOf(late)));
  }
  out.metrics["removals"] = static_cast<double>(after.size());
  out.metrics["removed_p50_ms"] = QuantileMs(after, 0.5);
  out.metrics["removed_p99_ms"] = QuantileMs(after, 0.99);
  out.metrics["removed_max_ms"] = QuantileMs(after, 1);
}

}  // namespace brassfront::rehearsal
