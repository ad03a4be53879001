#include "quota/lease_holder.hpp"

#include <algorithm>
#include <cmath>

namespace brassfront::quota {
namespace {

constexpr double kDemandDecaySeconds = 1.5;  // s; shorter than a term, longer than a turn
constexpr double kPublishedChange = 0.1;     // of a rate
// ShareFor what comes, asked for: paced at little more than that, messages would queue. Where all
// ask for more than there is, each gets a fair part.
constexpr double kDemandHeadroom = 2;
constexpr double kRetainedHeadroom = 1.25;  // of what comes, kept of a floor that is lent
constexpr double kMinRequestedRate = 0.5;
constexpr double kSaturation = 0.75;      // of the rate that may be used
constexpr double kSaturatedGrowth = 1.6;  // of what is used, asked for then
constexpr double kMaxLentShare = 0.9;     // of the floor: a first call may go at once

// A rate that was counted up to `at`, forgotten exponentially since.
double Decayed(double rate, Time at, Time now) {
  return rate * std::exp(-SecondsOf(now - at) / kDemandDecaySeconds);
}

}  // namespace

// What is listed is there from the start, so that the floor of one that calls nowhere is lent.
LeaseHolder::LeaseHolder(LeaseSettings settings) : settings_(std::move(settings)) {
  for (const auto& [key, limit] : settings_.listed) shares_[key].limit = limit;
}

LeaseHolder::Share& LeaseHolder::ShareFor(const std::string& key, Time now) {
  const auto [it, added] = shares_.try_emplace(key);
  if (added) {
    const auto listed = settings_.listed.find(key);
    if (listed != settings_.listed.end()) it->second.limit = listed->second;
    it->second.tokens = 1;
    it->second.tokens_at = it->second.demand_at = now;
  }
  return it->second;
}

// What our own calls were reported makes us more careful at once; less careful only by the grant.
double LeaseHolder::EffectiveLimit(const Share& share, Time now) const {
  const bool fresh =
      share.reported > 0 &&
      (now - share.reported_at < settings_.ReportedLimitLifetime() || now >= share.ends);
  if (!settings_.reported || !fresh) return share.limit;
  return share.limit > 0 ? std::min(share.limit, share.reported) : share.reported;
}

// A lease granted by a higher limit than our own calls are reported shrinks with it.
double LeaseHolder::EffectiveLease(const Share& share, Time now) const {
  if (now >= share.ends || share.limit <= 0) return 0;
  return share.lease * EffectiveLimit(share, now) / share.limit;
}

double LeaseHolder::CurrentDemand(const Share& share, Time now) const {
  return Decayed(share.demand, share.demand_at, now);
}

// What comes, with some headroom; or more than what is used, where all that may be used is: then
// something waits. Guards against a backlog that is never asked for.
double LeaseHolder::RequestedRate(const Share& share, Time now) const {
  const double comes = CurrentDemand(share, now) * kDemandHeadroom;
  const double used = Decayed(share.used, share.used_at, now);
  const double rate = UsableReserve(share, now) + EffectiveLease(share, now);
  return used < kSaturation * rate ? comes : std::max(comes, kSaturatedGrowth * used);
}

// What comes to one that has lent its floor, or has too small a lease, is asked for soon.
void LeaseHolder::OnDemand(const std::string& key, Time now) {
  Share& share = ShareFor(key, now);
  share.demand = CurrentDemand(share, now) + 1 / kDemandDecaySeconds;
  share.demand_at = now;
  if (UsableReserve(share, now) + EffectiveLease(share, now) < share.demand) {
    next_request_at_ = std::min(next_request_at_, last_request_at_ + settings_.Renew() / 4);
  }
}

double LeaseHolder::UsableReserve(const Share& share, Time now) const {
  double lent = 0;
  for (const auto& [amount, until] : share.lent) lent = std::max(lent, now < until ? amount : 0);
  return std::max(0.0, settings_.FloorOf(EffectiveLimit(share, now)) - lent);
}

std::optional<double> LeaseHolder::RateOf(const std::string& key, Time now) const {
  const auto it = shares_.find(key);
  if (it == shares_.end() || EffectiveLimit(it->second, now) <= 0) return std::nullopt;
  return UsableReserve(it->second, now) + EffectiveLease(it->second, now);
}

// The lease counts until its end and no longer, however late this is asked. Guards against one that
// was stopped past its lease and wakes up with calls ready.
void LeaseHolder::Refill(Share& share, Time now) const {
  const double floor =
      UsableReserve(share, share.tokens_at);  // what was lent then may be back since
  const Time leased = std::max(Time{}, std::min(now, share.ends) - share.tokens_at);
  const double lease = share.limit > 0 ? share.lease * EffectiveLimit(share, now) / share.limit : 0;
  share.tokens += floor * SecondsOf(now - share.tokens_at) + lease * SecondsOf(leased);
  share.tokens = std::min(share.tokens, settings_.MaxBurst(floor + EffectiveLease(share, now)));
  share.tokens_at = now;
}

bool LeaseHolder::TryAcquire(const std::string& key, Time now) {
  Share& share = ShareFor(key, now);
  if (EffectiveLimit(share, now) > 0) {
    Refill(share, now);
    if (share.tokens < 1) {
      ++share.held_back;
      return false;
    }
    share.tokens -= 1;
  }
  ++share.begun;
  share.used = Decayed(share.used, share.used_at, now) + 1 / kDemandDecaySeconds;
  share.used_at = now;
  return true;
}

void LeaseHolder::OnLimitReported(const std::string& key, double limit, Time now) {
  Share& share = ShareFor(key, now);
  Refill(share, now);
  share.reported = limit;
  share.reported_at = now;
}

std::optional<LeaseRequestBatch> LeaseHolder::Ask(Time now) {
  if (now < next_request_at_) return std::nullopt;
  next_request_at_ = now + settings_.Renew();
  if (shares_.empty()) return std::nullopt;
  LeaseRequestBatch request;
  request.number = ++last_request_number_;
  request.last_answered = last_answered_;
  last_request_at_ = now;
  for (auto& [key, share] : shares_) {
    if (request.requests.size() >= kMaxKeysPerMessage) break;
    LeaseRequest& wanted = request.requests[key];
    const double floor = settings_.FloorOf(EffectiveLimit(share, now));
    wanted.demand = RequestedRate(share, now) + std::min(kMinRequestedRate, floor);
    wanted.reported =
        settings_.reported && now - share.reported_at < settings_.ReportedLimitLifetime()
            ? share.reported
            : 0;
    // What is not needed is given back: from now on no more is used than is said here.
    Refill(share, now);
    if (now >= share.ends) share.lease = 0;
    share.lease = std::min(share.lease, wanted.demand);
    wanted.keep = share.lease;
    const double keeps =
        std::max(kRetainedHeadroom * CurrentDemand(share, now), (1 - kMaxLentShare) * floor);
    wanted.lend = std::max(0.0, floor - keeps);
    std::erase_if(share.lent, [&](const auto& lent) { return now >= lent.second; });
    // Whether it is ever granted or not, it is left alone.
    if (wanted.lend > 0) share.lent.emplace_back(wanted.lend, now + settings_.LeaseCoolDown());
  }
  return request;
}

// The answer to an older request says nothing of what we said to keep since.
void LeaseHolder::Take(const LeaseGrant& grant, Time now) {
  if (grant.number != last_request_number_) return;
  last_answered_ = grant.number;
  for (const auto& [key, part] : grant.parts) {
    Share& share = ShareFor(key, now);
    Refill(share, now);
    if (!grant.leases && now < share.ends) continue;  // what we have runs on by its own limit
    share.limit = part.limit;
    if (!grant.leases) continue;
    share.lease = part.lease;
    share.ends = last_request_at_ + settings_.Shortened(settings_.term);
  }
}

void LeaseHolder::Change(LeaseSettings settings, Time now) {
  for (auto& [key, share] : shares_) Refill(share, now);
  settings_ = std::move(settings);
  for (auto& [key, share] : shares_) {
    const auto listed = settings_.listed.find(key);
    if (listed != settings_.listed.end() && now >= share.ends) share.limit = listed->second;
  }
}

void LeaseHolder::ReportAgain(const std::string& key) {
  if (const auto it = shares_.find(key); it != shares_.end()) it->second.last_published.reset();
}

std::vector<std::pair<std::string, std::optional<double>>> LeaseHolder::Changes(Time now) {
  std::vector<std::pair<std::string, std::optional<double>>> changes;
  for (auto& [key, share] : shares_) {
    const std::optional<double> rate = RateOf(key, now);
    const bool same = rate.has_value() == share.last_published.has_value() &&
                      (!rate || std::abs(*rate - *share.last_published) <=
                                    kPublishedChange * *share.last_published);
    if (same) continue;
    share.last_published = rate;
    changes.emplace_back(key, rate);
  }
  return changes;
}

}  // namespace brassfront::quota
