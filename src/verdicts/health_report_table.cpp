#include "verdicts/health_report_table.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace brassfront::verdicts {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Number of agreeing witnesses whose reports count as much as our own calls; equals the decision
// module's quorum.
constexpr std::size_t kWitnessQuorum = 2;
// Observations closer together than this are assumed to have met the same state of the endpoint, so
// that a report that contradicts another observation counts as wrong.
constexpr Time kSameObservationWindow = milliseconds(500);
// How long one member tests a recovering endpoint before the next member's turn.
constexpr Time kRecoveryTestTurn = seconds(1);
// The total time for which a member waits for other members' test results before it tests by
// itself.
constexpr Time kMaxRecoveryTestWait = seconds(5);
// A Retry-After that extends the reported one by at most this much is not reported again.
constexpr Time kWaitTolerance = milliseconds(100);
// Number of times that each report is sent to each other member, so that the loss of one frame is
// tolerated.
constexpr std::size_t kSendsPerMember = 2;

// FNV-1a (Fowler, Noll, Vo); gives the same result on every member.
std::uint64_t Hash(std::string_view text, std::uint64_t hash) {
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001B3;
  return hash;
}

}  // namespace

// ======== our own calls ========

void HealthReportTable::RecordOwnReport(const std::string& endpoint, OwnEvidence& own,
                                        ObservedState seen, Time wait_duration, Time now) {
  own.reported_at = now;
  own.current_report = HealthReport{endpoint,
                                    self_,
                                    ++number_,
                                    seen,
                                    now,
                                    std::min(wait_duration, kMaxWaitDuration),
                                    std::max<std::uint32_t>(1, own.failures)};
  reports_[{endpoint, self_}] = *own.current_report;
  frames_to_send_ = kSendsPerMember * present_members_.size();
  if (seen == ObservedState::kFine) own.current_report.reset();
}

void HealthReportTable::Answered(const std::string& endpoint, Time sent, Time now) {
  OwnEvidence& own = own_evidence_[endpoint];
  own.failures = 0;
  own.last_success = std::max(own.last_success, sent);
  // A witness that reported the endpoint as down just before this call was sent was wrong. Each
  // such report adds one strike.
  for (auto it = down_claims_.lower_bound({endpoint, ""});
       it != down_claims_.end() && it->first.endpoint == endpoint; ++it) {
    DownClaim& claim = it->second;
    const bool close = claim.report.at < sent && sent - claim.report.at < kSameObservationWindow;
    if (!close || std::exchange(claim.counted_wrong, true)) continue;
    AddStrike(claim.report.witness, now);
  }
  // A cold report is kept until its retention has passed.
  if (!own.current_report || own.current_report->at > sent ||
      own.current_report->seen == ObservedState::kCold) {
    return;
  }
  // After a down report the endpoint is back and cold; after a wait report the wait is over.
  const bool back = own.current_report->seen == ObservedState::kDown;
  RecordOwnReport(endpoint, own, back ? ObservedState::kCold : ObservedState::kFine, Time{}, now);
}

void HealthReportTable::Failed(const std::string& endpoint, Time now) {
  OwnEvidence& own = own_evidence_[endpoint];
  for (auto it = reports_.lower_bound({endpoint, ""});
       it != reports_.end() && it->first.endpoint == endpoint; ++it) {
    // The witness was right, which clears its strikes.
    if (it->second.seen == ObservedState::kDown) witnesses_[it->second.witness].strikes = 0;
  }
  if (++own.failures < kFailuresBeforeReport) return;
  const bool already_reported =
      own.current_report && own.current_report->seen == ObservedState::kDown;
  if (!already_reported || now - own.reported_at >= settings_.repeat_interval) {
    RecordOwnReport(endpoint, own, ObservedState::kDown, Time{}, now);
  }
}

void HealthReportTable::OnRetryAfter(const std::string& endpoint, Time wait_duration, Time now) {
  OwnEvidence& own = own_evidence_[endpoint];
  const bool known = own.current_report && own.current_report->seen == ObservedState::kWait &&
                     own.current_report->at + own.current_report->wait_duration + kWaitTolerance >=
                         now + wait_duration;
  if (!known) RecordOwnReport(endpoint, own, ObservedState::kWait, wait_duration, now);
}

// ======== other members' reports ========

// Each wrong report adds one strike. The count is reset when a period of distrust starts.
void HealthReportTable::AddStrike(const std::string& witness, Time now) {
  Witness& suspect = witnesses_[witness];
  if (now < suspect.distrusted_until) return;
  if (++suspect.strikes < kMaxStrikes) return;
  suspect.strikes = 0;
  suspect.distrusted_until = now + kDistrustDuration;
}

bool HealthReportTable::Counts(const std::string& witness, Time now) const {
  const auto it = witnesses_.find(witness);
  return it == witnesses_.end() || now >= it->second.distrusted_until;
}

std::size_t HealthReportTable::WitnessesOf(const std::string& endpoint, ObservedState seen,
                                           Time now) const {
  std::size_t count = 0;
  for (auto it = reports_.lower_bound({endpoint, ""});
       it != reports_.end() && it->first.endpoint == endpoint; ++it) {
    count +=
        it->second.seen == seen && it->first.witness != self_ && Counts(it->first.witness, now);
  }
  return count;
}

HealthReportTable::OutgoingReports HealthReportTable::TakeOutgoingReports(Time now) {
  OutgoingReports outgoing;
  if (frames_to_send_ == 0 || now < next_round_at_ || present_members_.empty()) return outgoing;
  next_round_at_ = now + settings_.round_interval;
  std::vector<HealthReport> own_reports;
  for (const auto& [key, report] : reports_) {
    if (own_reports.size() >= kMaxReportsPerFrame) break;
    if (key.witness == self_) own_reports.push_back(report);
  }
  outgoing.bytes = EncodeReports(own_reports, now);
  const std::size_t frames =
      std::min({kMaxFramesPerRound, frames_to_send_, present_members_.size()});
  for (std::size_t i = 0; i < frames; ++i) {
    const std::string& to = present_members_[next_recipient_++ % present_members_.size()];
    if (to != self_) outgoing.to.push_back(to);
  }
  frames_to_send_ -= frames;
  return outgoing;
}

void HealthReportTable::Receive(const std::string& from, std::string_view bytes, Time now) {
  const auto received = DecodeReports(from, bytes, now);
  if (!received || from == self_) {
    ++rejected_frames_;
    return;
  }
  for (const HealthReport& report : *received) {
    if (now - report.at > settings_.kept) continue;
    const ReportKey key{report.endpoint, report.witness};
    const auto known = reports_.find(key);
    if (known != reports_.end() && known->second.number >= report.number) continue;
    if (known == reports_.end() && reports_.size() >= kMaxReports) continue;
    reports_[key] = report;
    if (report.seen == ObservedState::kDown) down_claims_[key] = {report, false, false};
    Advise(report, now);
  }
}

bool HealthReportTable::AnsweredRecently(const std::string& endpoint, Time seen) const {
  const auto it = own_evidence_.find(endpoint);
  return it != own_evidence_.end() && it->second.last_success != Time::min() &&
         seen - it->second.last_success < kSameObservationWindow;
}

// A single witness does not override the recent results of our own calls. If the endpoint answers
// no call from then on, Tick gives the advice later.
void HealthReportTable::Advise(const HealthReport& report, Time now) {
  if (!Counts(report.witness, now)) return;
  if (WitnessesOf(report.endpoint, report.seen, now) < kWitnessQuorum &&
      AnsweredRecently(report.endpoint, report.at)) {
    return;
  }
  if (const auto claim = down_claims_.find({report.endpoint, report.witness});
      claim != down_claims_.end()) {
    claim->second.advised |= claim->second.report.number == report.number;
  }
  HealthAdvice advice;
  advice.endpoint = report.endpoint;
  advice.age = now - report.at;
  advice.witnesses = WitnessesOf(report.endpoint, report.seen, now);
  switch (report.seen) {
    case ObservedState::kFine:
      return;  // only retracts an earlier report; everything else is left to our own calls
    case ObservedState::kDown:
      advice.what = HealthAdvice::What::kDown;
      break;
    case ObservedState::kWait:
      advice.what = HealthAdvice::What::kWait;
      advice.duration = std::max(Time{}, report.wait_duration - advice.age);
      if (advice.duration == Time{}) return;
      break;
    case ObservedState::kCold:
      advice.what = HealthAdvice::What::kCold;
      advice_.push_back(advice);
      advice.what = HealthAdvice::What::kServes;
      own_evidence_[report.endpoint].recovery_since = {};
      break;
  }
  advice_.push_back(std::move(advice));
}

// Rendezvous hashing (Thaler, Ravishankar 1998) over the members that are alive, which take turns.
// Two members whose clocks or views differ may pick different testers, which only costs one more
// test.
std::string HealthReportTable::RecoveryTester(const std::string& endpoint, Time now) const {
  const auto it = own_evidence_.find(endpoint);
  const Time since = it == own_evidence_.end() ? now : it->second.recovery_since;
  const auto turn = static_cast<std::uint64_t>((now - since) / kRecoveryTestTurn);
  std::vector<std::pair<std::uint64_t, std::string>> order;
  for (const std::string& name : present_members_) {
    order.emplace_back(Hash(name, Hash(endpoint, 0xCBF29CE484222325)), name);
  }
  if (order.empty()) return self_;
  std::sort(order.rbegin(), order.rend());
  return order[turn % order.size()].second;
}

void HealthReportTable::Tick(Time now) {
  DropExpired(now);
  const std::set<std::string> down = DownEndpoints(now);
  for (auto& [endpoint, own] : own_evidence_) {
    if (!down.contains(endpoint)) own.recovery_since = {};
    const bool expired = own.current_report && now - own.current_report->at > settings_.kept;
    if (expired && own.current_report->seen == ObservedState::kCold) own.current_report.reset();
  }
  AdviseOpenClaims(now);
  AdviseRecoveryTests(down, now);
}

void HealthReportTable::DropExpired(Time now) {
  std::erase_if(reports_, [&](const auto& entry) {
    // A wait report is kept for the duration of its Retry-After, even beyond the retention.
    return now - entry.second.at > std::max(settings_.kept, entry.second.wait_duration);
  });
  std::erase_if(down_claims_,
                [&](const auto& entry) { return now - entry.second.report.at > settings_.kept; });
}

std::set<std::string> HealthReportTable::DownEndpoints(Time now) const {
  std::set<std::string> down;
  for (const auto& [key, report] : reports_) {
    if (report.seen == ObservedState::kDown && Counts(key.witness, now)) down.insert(key.endpoint);
  }
  return down;
}

void HealthReportTable::AdviseOpenClaims(Time now) {
  for (auto& [key, claim] : down_claims_) {
    const auto own = own_evidence_.find(key.endpoint);
    const bool answered = own != own_evidence_.end() && own->second.last_success > claim.report.at;
    const auto current = reports_.find(key);
    const bool stands = current != reports_.end() && current->second.number == claim.report.number;
    const Time age = now - claim.report.at;
    if (claim.advised || answered || !stands || age < kSameObservationWindow) continue;
    claim.advised = true;
    if (!Counts(key.witness, now)) continue;
    advice_.push_back({key.endpoint, HealthAdvice::What::kDown, age, Time{},
                       WitnessesOf(key.endpoint, ObservedState::kDown, now)});
  }
}

void HealthReportTable::AdviseRecoveryTests(const std::set<std::string>& down, Time now) {
  for (const std::string& endpoint : down) {
    if (WitnessesOf(endpoint, ObservedState::kDown, now) < kWitnessQuorum) continue;
    OwnEvidence& own = own_evidence_[endpoint];
    if (own.recovery_since == Time{}) own.recovery_since = now;
    const bool waited_enough = now - own.recovery_since > kMaxRecoveryTestWait;
    if (waited_enough || RecoveryTester(endpoint, now) == self_) continue;
    advice_.push_back(
        {endpoint, HealthAdvice::What::kTestedByOther, Time{}, kRecoveryTestTurn / 2, 1});
  }
}

}  // namespace brassfront::verdicts
