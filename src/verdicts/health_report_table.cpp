#include "verdicts/health_report_table.hpp"

#include <algorithm>
#include <set>

#include "peers/bytes.hpp"

namespace brassfront::verdicts {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kSure = 2;               // witnesses, as the decision module has it
constexpr Time kSameTime = milliseconds(500);  // two calls within it met the same endpoint
constexpr Time kTurn = seconds(1);             // of one that tries, before it is another one's turn
constexpr Time kTriedMost = seconds(5);        // others wait for its word, all in all

// FNV-1a (Fowler, Noll, Vo): the same on every member.
std::uint64_t Hash(std::string_view text, std::uint64_t hash) {
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001B3;
  return hash;
}

std::uint64_t Ms(Time time) {
  return static_cast<std::uint64_t>(std::max<Time::rep>(0, time / milliseconds(1)));
}

}  // namespace

const char* ToString(ObservedState seen) {
  constexpr const char* kNames[] = {"fine", "down", "wait", "cold"};
  return kNames[static_cast<std::size_t>(seen) - 1];
}

// ======== our own calls ========

void HealthReportTable::Note(const std::string& endpoint, Own& own, ObservedState seen, Time rest,
                             Time now) {
  own.said_at = now;
  own.said = HealthReport{endpoint,
                          self_,
                          ++number_,
                          seen,
                          now,
                          std::min(rest, kMostRest),
                          std::max<std::uint32_t>(1, own.failures)};
  words_[{endpoint, self_}] = *own.said;
  to_say_ = 2 * present_.size();
  if (seen == ObservedState::kFine) own.said.reset();
}

void HealthReportTable::Answered(const std::string& endpoint, Time sent, Time now) {
  Own& own = own_[endpoint];
  own.failures = 0;
  own.last_ok = std::max(own.last_ok, sent);
  // Whoever saw it fail just before this call was sent is wrong, at least as far as we are
  // concerned: once for each word.
  for (auto it = claims_.lower_bound({endpoint, ""});
       it != claims_.end() && it->first.first == endpoint; ++it) {
    Claim& claim = it->second;
    const bool close = claim.word.at < sent && sent - claim.word.at < kSameTime;
    if (!close || std::exchange(claim.struck, true)) continue;
    Strike(claim.word.witness, now);
  }
  // That it is cold stays said until it has aged.
  if (!own.said || own.said->at > sent || own.said->seen == ObservedState::kCold) return;
  // It was down, by what we said: it is back, and cold. A wait is over.
  const bool back = own.said->seen == ObservedState::kDown;
  Note(endpoint, own, back ? ObservedState::kCold : ObservedState::kFine, Time{}, now);
}

void HealthReportTable::Failed(const std::string& endpoint, Time now) {
  Own& own = own_[endpoint];
  for (auto it = words_.lower_bound({endpoint, ""});
       it != words_.end() && it->first.first == endpoint; ++it) {
    // It was right: what it was found wrong in before does not add up with what is to come.
    if (it->second.seen == ObservedState::kDown) witnesses_[it->second.witness].strikes = 0;
  }
  if (++own.failures < kFailuresToSay) return;
  const bool said = own.said && own.said->seen == ObservedState::kDown;
  if (!said || now - own.said_at >= settings_.again)
    Note(endpoint, own, ObservedState::kDown, Time{}, now);
}

void HealthReportTable::ToldWait(const std::string& endpoint, Time rest, Time now) {
  Own& own = own_[endpoint];
  const bool known = own.said && own.said->seen == ObservedState::kWait &&
                     own.said->at + own.said->rest + milliseconds(100) >= now + rest;
  if (!known) Note(endpoint, own, ObservedState::kWait, rest, now);
}

// ======== others ========

// One that was shunned starts anew afterwards; each strike is one word.
void HealthReportTable::Strike(const std::string& witness, Time now) {
  Witness& w = witnesses_[witness];
  if (now < w.shunned_until) return;
  if (++w.strikes < kStrikes) return;
  w.strikes = 0;
  w.shunned_until = now + kDistrustDuration;
}

bool HealthReportTable::Counts(const std::string& witness, Time now) const {
  const auto it = witnesses_.find(witness);
  return it == witnesses_.end() || now >= it->second.shunned_until;
}

std::size_t HealthReportTable::WitnessesOf(const std::string& endpoint, ObservedState seen,
                                           Time now) const {
  std::size_t count = 0;
  for (auto it = words_.lower_bound({endpoint, ""});
       it != words_.end() && it->first.first == endpoint; ++it) {
    count += it->second.seen == seen && it->first.second != self_ && Counts(it->first.second, now);
  }
  return count;
}

HealthReportTable::Saying HealthReportTable::Say(Time now) {
  Saying saying;
  if (to_say_ == 0 || now < next_ || present_.empty()) return saying;
  next_ = now + settings_.spread;
  peers::Writer words;
  std::size_t count = 0;
  for (const auto& [key, w] : words_) {
    if (key.second != self_ || count >= kMaxReportsPerFrame) continue;
    words.Name(w.endpoint).U64(w.number).U8(static_cast<std::uint64_t>(w.seen));
    words.U32(Ms(now - w.at)).U32(Ms(w.rest)).U32(w.times);
    ++count;
  }
  peers::Writer out;
  out.U16(count).Raw(words.bytes());
  saying.bytes = out.Take();
  const std::size_t most = std::min({kMaxFramesPerRound, to_say_, present_.size()});
  for (std::size_t i = 0; i < most; ++i) {
    const std::string& to = present_[place_++ % present_.size()];
    if (to != self_) saying.to.push_back(to);
  }
  to_say_ -= most;
  return saying;
}

void HealthReportTable::Take(const std::string& from, std::string_view bytes, Time now) {
  peers::Reader in(bytes);
  std::vector<HealthReport> heard;
  const std::size_t count = in.U16();
  for (std::size_t i = 0; i < count && !in.broken(); ++i) {
    HealthReport w;
    w.endpoint = in.Name();
    w.witness = from;
    w.number = in.U64();
    const std::uint8_t seen = in.U8();
    w.at = now - milliseconds(in.U32());
    w.rest = std::min<Time>(milliseconds(in.U32()), kMostRest);
    w.times = in.U32();
    if (seen < 1 || seen > static_cast<std::uint8_t>(ObservedState::kCold)) break;
    w.seen = static_cast<ObservedState>(seen);
    heard.push_back(std::move(w));
  }
  if (!in.done() || count > kMaxReportsPerFrame || heard.size() != count || from == self_) {
    ++refused_;
    return;
  }
  for (const HealthReport& w : heard) {
    if (now - w.at > settings_.kept) continue;
    const auto key = std::pair{w.endpoint, w.witness};
    const auto known = words_.find(key);
    if (known != words_.end() && known->second.number >= w.number) continue;
    if (known == words_.end() && words_.size() >= kMaxReports) continue;
    words_[key] = w;
    if (w.seen == ObservedState::kDown) claims_[key] = {w, false, false};
    Advise(w, now);
  }
}

bool HealthReportTable::Known(const std::string& endpoint, Time seen) const {
  const auto it = own_.find(endpoint);
  return it != own_.end() && it->second.last_ok != Time::min() &&
         seen - it->second.last_ok < kSameTime;
}

// One witness against what we have just seen ourselves is not even checked; if nothing is answered
// there from now on, Tick comes back to it.
void HealthReportTable::Advise(const HealthReport& w, Time now) {
  if (!Counts(w.witness, now)) return;
  if (WitnessesOf(w.endpoint, w.seen, now) < kSure && Known(w.endpoint, w.at)) return;
  if (const auto claim = claims_.find({w.endpoint, w.witness}); claim != claims_.end()) {
    claim->second.advised |= claim->second.word.number == w.number;
  }
  HealthAdvice advice;
  advice.endpoint = w.endpoint;
  advice.age = now - w.at;
  advice.witnesses = WitnessesOf(w.endpoint, w.seen, now);
  switch (w.seen) {
    case ObservedState::kFine:
      return;  // what was said before is taken back; our own calls say the rest
    case ObservedState::kDown:
      advice.what = HealthAdvice::What::kDown;
      break;
    case ObservedState::kWait:
      advice.what = HealthAdvice::What::kWait;
      advice.rest = std::max(Time{}, w.rest - advice.age);
      if (advice.rest == Time{}) return;
      break;
    case ObservedState::kCold:
      advice.what = HealthAdvice::What::kCold;
      advice_.push_back(advice);
      advice.what = HealthAdvice::What::kServes;
      own_[w.endpoint].tried_since = {};
      break;
  }
  advice_.push_back(std::move(advice));
}

// By rendezvous (Thaler, Ravishankar 1998) over those that are heard, a turn each. Members whose
// clocks or views differ may pick two: that is one trial more.
std::string HealthReportTable::TrierOf(const std::string& endpoint, Time now) const {
  const auto it = own_.find(endpoint);
  const Time since = it == own_.end() ? now : it->second.tried_since;
  const auto turn = static_cast<std::uint64_t>((now - since) / kTurn);
  std::vector<std::pair<std::uint64_t, std::string>> order;
  for (const std::string& name : present_) {
    order.emplace_back(Hash(name, Hash(endpoint, 0xCBF29CE484222325)), name);
  }
  if (order.empty()) return self_;
  std::sort(order.rbegin(), order.rend());
  return order[turn % order.size()].second;
}

void HealthReportTable::Tick(Time now) {
  std::erase_if(words_, [&](const auto& e) {
    // One that tells a wait lasts as long as that.
    return now - e.second.at > std::max(settings_.kept, e.second.rest);
  });
  std::set<std::string> down;
  for (const auto& [key, word] : words_) {
    if (word.seen == ObservedState::kDown && Counts(key.second, now)) down.insert(key.first);
  }
  for (auto& [endpoint, own] : own_) {
    if (!down.contains(endpoint)) own.tried_since = {};
    const bool old = own.said && now - own.said->at > settings_.kept;
    if (old && own.said->seen == ObservedState::kCold) own.said.reset();
  }
  std::erase_if(claims_, [&](const auto& e) { return now - e.second.word.at > settings_.kept; });
  for (auto& [key, claim] : claims_) {
    const auto own = own_.find(key.first);
    const bool answered = own != own_.end() && own->second.last_ok > claim.word.at;
    const bool stands = words_.contains(key) && words_.at(key).number == claim.word.number;
    if (claim.advised || answered || !stands || now - claim.word.at < kSameTime) continue;
    claim.advised = true;
    if (Counts(key.second, now)) {
      advice_.push_back({key.first, HealthAdvice::What::kDown, now - claim.word.at, Time{},
                         WitnessesOf(key.first, ObservedState::kDown, now)});
    }
  }
  for (const std::string& endpoint : down) {
    if (WitnessesOf(endpoint, ObservedState::kDown, now) < kSure) continue;
    Own& own = own_[endpoint];
    if (own.tried_since == Time{}) own.tried_since = now;
    if (now - own.tried_since > kTriedMost || TrierOf(endpoint, now) == self_) continue;
    advice_.push_back({endpoint, HealthAdvice::What::kTried, Time{}, kTurn / 2, 1});
  }
}

}  // namespace brassfront::verdicts
