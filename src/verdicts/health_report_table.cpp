#include "verdicts/health_report_table.hpp"

#include <algorithm>
#include <set>

#include "peers/bytes.hpp"

namespace brassfront::verdicts {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kWitnessQuorum = 2;  // witnesses, as the decision module has it
constexpr Time kSameObservationWindow =
    milliseconds(500);  // two calls within it met the same endpoint
constexpr Time kRecoveryTestTurn =
    seconds(1);  // of one that tries, before it is another one's turn
constexpr Time kMaxRecoveryTestWait = seconds(5);  // others wait for its word, all in all

// FNV-1a (Fowler, Noll, Vo): the same on every member.
std::uint64_t Hash(std::string_view text, std::uint64_t hash) {
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001B3;
  return hash;
}

std::uint64_t ToMilliseconds(Time time) {
  return static_cast<std::uint64_t>(std::max<Time::rep>(0, time / milliseconds(1)));
}

}  // namespace

const char* ToString(ObservedState seen) {
  constexpr const char* kNames[] = {"fine", "down", "wait", "cold"};
  return kNames[static_cast<std::size_t>(seen) - 1];
}

// ======== our own calls ========

void HealthReportTable::RecordOwnReport(const std::string& endpoint, OwnEvidence& own,
                                        ObservedState seen, Time rest, Time now) {
  own.reported_at = now;
  own.current_report = HealthReport{endpoint,
                                    self_,
                                    ++number_,
                                    seen,
                                    now,
                                    std::min(rest, kMaxWaitDuration),
                                    std::max<std::uint32_t>(1, own.failures)};
  reports_[{endpoint, self_}] = *own.current_report;
  frames_to_send_ = 2 * present_members_.size();
  if (seen == ObservedState::kFine) own.current_report.reset();
}

void HealthReportTable::Answered(const std::string& endpoint, Time sent, Time now) {
  OwnEvidence& own = own_evidence_[endpoint];
  own.failures = 0;
  own.last_success = std::max(own.last_success, sent);
  // Whoever saw it fail just before this call was sent is wrong, at least as far as we are
  // concerned: once for each report.
  for (auto it = down_claims_.lower_bound({endpoint, ""});
       it != down_claims_.end() && it->first.first == endpoint; ++it) {
    DownClaim& claim = it->second;
    const bool close = claim.report.at < sent && sent - claim.report.at < kSameObservationWindow;
    if (!close || std::exchange(claim.counted_wrong, true)) continue;
    AddStrike(claim.report.witness, now);
  }
  // That it is cold stays reported until it has aged.
  if (!own.current_report || own.current_report->at > sent ||
      own.current_report->seen == ObservedState::kCold)
    return;
  // It was down, by what we reported: it is back, and cold. A wait is over.
  const bool back = own.current_report->seen == ObservedState::kDown;
  RecordOwnReport(endpoint, own, back ? ObservedState::kCold : ObservedState::kFine, Time{}, now);
}

void HealthReportTable::Failed(const std::string& endpoint, Time now) {
  OwnEvidence& own = own_evidence_[endpoint];
  for (auto it = reports_.lower_bound({endpoint, ""});
       it != reports_.end() && it->first.first == endpoint; ++it) {
    // It was right: what it was found wrong in before does not add up with what is to come.
    if (it->second.seen == ObservedState::kDown) witnesses_[it->second.witness].strikes = 0;
  }
  if (++own.failures < kFailuresBeforeReport) return;
  const bool already_reported =
      own.current_report && own.current_report->seen == ObservedState::kDown;
  if (!already_reported || now - own.reported_at >= settings_.repeat_interval)
    RecordOwnReport(endpoint, own, ObservedState::kDown, Time{}, now);
}

void HealthReportTable::ToldWait(const std::string& endpoint, Time rest, Time now) {
  OwnEvidence& own = own_evidence_[endpoint];
  const bool known =
      own.current_report && own.current_report->seen == ObservedState::kWait &&
      own.current_report->at + own.current_report->rest + milliseconds(100) >= now + rest;
  if (!known) RecordOwnReport(endpoint, own, ObservedState::kWait, rest, now);
}

// ======== others ========

// One that was shunned starts anew afterwards; each strike is one report.
void HealthReportTable::AddStrike(const std::string& witness, Time now) {
  Witness& suspect = witnesses_[witness];
  if (now < suspect.shunned_until) return;
  if (++suspect.strikes < kMaxStrikes) return;
  suspect.strikes = 0;
  suspect.shunned_until = now + kDistrustDuration;
}

bool HealthReportTable::Counts(const std::string& witness, Time now) const {
  const auto it = witnesses_.find(witness);
  return it == witnesses_.end() || now >= it->second.shunned_until;
}

std::size_t HealthReportTable::WitnessesOf(const std::string& endpoint, ObservedState seen,
                                           Time now) const {
  std::size_t count = 0;
  for (auto it = reports_.lower_bound({endpoint, ""});
       it != reports_.end() && it->first.first == endpoint; ++it) {
    count += it->second.seen == seen && it->first.second != self_ && Counts(it->first.second, now);
  }
  return count;
}

HealthReportTable::Saying HealthReportTable::Say(Time now) {
  Saying saying;
  if (frames_to_send_ == 0 || now < next_round_at_ || present_members_.empty()) return saying;
  next_round_at_ = now + settings_.round_interval;
  peers::Writer words;
  std::size_t count = 0;
  for (const auto& [key, report] : reports_) {
    if (key.second != self_ || count >= kMaxReportsPerFrame) continue;
    words.Name(report.endpoint).U64(report.number).U8(static_cast<std::uint64_t>(report.seen));
    words.U32(ToMilliseconds(now - report.at)).U32(ToMilliseconds(report.rest)).U32(report.times);
    ++count;
  }
  peers::Writer out;
  out.U16(count).Raw(words.bytes());
  saying.bytes = out.Take();
  const std::size_t most = std::min({kMaxFramesPerRound, frames_to_send_, present_members_.size()});
  for (std::size_t i = 0; i < most; ++i) {
    const std::string& to = present_members_[next_recipient_++ % present_members_.size()];
    if (to != self_) saying.to.push_back(to);
  }
  frames_to_send_ -= most;
  return saying;
}

void HealthReportTable::Take(const std::string& from, std::string_view bytes, Time now) {
  peers::Reader in(bytes);
  std::vector<HealthReport> heard;
  const std::size_t count = in.U16();
  for (std::size_t i = 0; i < count && !in.broken(); ++i) {
    HealthReport report;
    report.endpoint = in.Name();
    report.witness = from;
    report.number = in.U64();
    const std::uint8_t seen = in.U8();
    report.at = now - milliseconds(in.U32());
    report.rest = std::min<Time>(milliseconds(in.U32()), kMaxWaitDuration);
    report.times = in.U32();
    if (seen < 1 || seen > static_cast<std::uint8_t>(ObservedState::kCold)) break;
    report.seen = static_cast<ObservedState>(seen);
    heard.push_back(std::move(report));
  }
  if (!in.done() || count > kMaxReportsPerFrame || heard.size() != count || from == self_) {
    ++rejected_frames_;
    return;
  }
  for (const HealthReport& report : heard) {
    if (now - report.at > settings_.kept) continue;
    const auto key = std::pair{report.endpoint, report.witness};
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

// One witness against what we have just seen ourselves is not even checked; if nothing is answered
// there from now on, Tick comes back to it.
void HealthReportTable::Advise(const HealthReport& report, Time now) {
  if (!Counts(report.witness, now)) return;
  if (WitnessesOf(report.endpoint, report.seen, now) < kWitnessQuorum &&
      AnsweredRecently(report.endpoint, report.at))
    return;
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
      return;  // what was reported before is taken back; our own calls say the rest
    case ObservedState::kDown:
      advice.what = HealthAdvice::What::kDown;
      break;
    case ObservedState::kWait:
      advice.what = HealthAdvice::What::kWait;
      advice.rest = std::max(Time{}, report.rest - advice.age);
      if (advice.rest == Time{}) return;
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

// By rendezvous (Thaler, Ravishankar 1998) over those that are heard, a turn each. Members whose
// clocks or views differ may pick two: that is one trial more.
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
  std::erase_if(reports_, [&](const auto& e) {
    // One that tells a wait lasts as long as that.
    return now - e.second.at > std::max(settings_.kept, e.second.rest);
  });
  std::set<std::string> down;
  for (const auto& [key, report] : reports_) {
    if (report.seen == ObservedState::kDown && Counts(key.second, now)) down.insert(key.first);
  }
  for (auto& [endpoint, own] : own_evidence_) {
    if (!down.contains(endpoint)) own.recovery_since = {};
    const bool old = own.current_report && now - own.current_report->at > settings_.kept;
    if (old && own.current_report->seen == ObservedState::kCold) own.current_report.reset();
  }
  std::erase_if(down_claims_,
                [&](const auto& e) { return now - e.second.report.at > settings_.kept; });
  for (auto& [key, claim] : down_claims_) {
    const auto own = own_evidence_.find(key.first);
    const bool answered = own != own_evidence_.end() && own->second.last_success > claim.report.at;
    const bool stands = reports_.contains(key) && reports_.at(key).number == claim.report.number;
    if (claim.advised || answered || !stands || now - claim.report.at < kSameObservationWindow)
      continue;
    claim.advised = true;
    if (Counts(key.second, now)) {
      advice_.push_back({key.first, HealthAdvice::What::kDown, now - claim.report.at, Time{},
                         WitnessesOf(key.first, ObservedState::kDown, now)});
    }
  }
  for (const std::string& endpoint : down) {
    if (WitnessesOf(endpoint, ObservedState::kDown, now) < kWitnessQuorum) continue;
    OwnEvidence& own = own_evidence_[endpoint];
    if (own.recovery_since == Time{}) own.recovery_since = now;
    if (now - own.recovery_since > kMaxRecoveryTestWait || RecoveryTester(endpoint, now) == self_)
      continue;
    advice_.push_back({endpoint, HealthAdvice::What::kTried, Time{}, kRecoveryTestTurn / 2, 1});
  }
}

}  // namespace brassfront::verdicts
