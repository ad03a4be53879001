#include "quota/lease_holder.hpp"

#include <algorithm>
#include <cmath>

namespace brassfront::quota {
namespace {

constexpr double kDemandMemory = 1.5;  // s; shorter than a term, longer than a turn
constexpr double kTellChange = 0.1;    // of a rate
// Of what comes, asked for: paced at little more than that, messages would queue. Where all ask for
// more than there is, each gets a fair part.
constexpr double kHeadroom = 2;
constexpr double kLendHeadroom = 1.25;  // of what comes, kept of a floor that is lent
constexpr double kLeastHeadroom = 0.5;
constexpr double kSaturated = 0.75;  // of the rate that may be used
constexpr double kGrowth = 1.6;      // of what is used, asked for then
constexpr double kMostLent = 0.9;    // of the floor: a first call may go at once

// A rate that was counted up to `at`, forgotten exponentially since.
double Faded(double rate, Time at, Time now) {
  return rate * std::exp(-SecondsOf(now - at) / kDemandMemory);
}

}  // namespace

// What is listed is there from the start, so that the floor of one that calls nowhere is lent.
LeaseHolder::LeaseHolder(LeaseSettings terms) : settings_(std::move(terms)) {
  for (const auto& [key, limit] : settings_.listed) shares_[key].limit = limit;
}

LeaseHolder::Share& LeaseHolder::Of(const std::string& key, Time now) {
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
double LeaseHolder::LimitOf(const Share& share, Time now) const {
  const bool fresh =
      share.reported > 0 && (now - share.told_at < settings_.Fresh() || now >= share.ends);
  if (!settings_.reported || !fresh) return share.limit;
  return share.limit > 0 ? std::min(share.limit, share.reported) : share.reported;
}

// A lease granted by a higher limit than our own calls are reported shrinks with it.
double LeaseHolder::LeaseOf(const Share& share, Time now) const {
  if (now >= share.ends || share.limit <= 0) return 0;
  return share.lease * LimitOf(share, now) / share.limit;
}

double LeaseHolder::DemandOf(const Share& share, Time now) const {
  return Faded(share.demand, share.demand_at, now);
}

// What comes, with some headroom; or more than what is used, where all that may be used is: then
// something waits. Guards against a backlog that is never asked for.
double LeaseHolder::WantOf(const Share& share, Time now) const {
  const double comes = DemandOf(share, now) * kHeadroom;
  const double used = Faded(share.used, share.used_at, now);
  const double rate = FloorOf(share, now) + LeaseOf(share, now);
  return used < kSaturated * rate ? comes : std::max(comes, kGrowth * used);
}

// What comes to one that has lent its floor, or has too small a lease, is asked for soon.
void LeaseHolder::OnDemand(const std::string& key, Time now) {
  Share& share = Of(key, now);
  share.demand = DemandOf(share, now) + 1 / kDemandMemory;
  share.demand_at = now;
  if (FloorOf(share, now) + LeaseOf(share, now) < share.demand) {
    next_ = std::min(next_, asked_ + settings_.Renew() / 4);
  }
}

double LeaseHolder::FloorOf(const Share& share, Time now) const {
  double lent = 0;
  for (const auto& [amount, until] : share.lent) lent = std::max(lent, now < until ? amount : 0);
  return std::max(0.0, settings_.FloorOf(LimitOf(share, now)) - lent);
}

std::optional<double> LeaseHolder::RateOf(const std::string& key, Time now) const {
  const auto it = shares_.find(key);
  if (it == shares_.end() || LimitOf(it->second, now) <= 0) return std::nullopt;
  return FloorOf(it->second, now) + LeaseOf(it->second, now);
}

// The lease counts until its end and no longer, however late this is asked. Guards against one that
// was stopped past its lease and wakes up with calls ready.
void LeaseHolder::Refill(Share& share, Time now) const {
  const double floor = FloorOf(share, share.tokens_at);  // what was lent then may be back since
  const Time leased = std::max(Time{}, std::min(now, share.ends) - share.tokens_at);
  const double lease = share.limit > 0 ? share.lease * LimitOf(share, now) / share.limit : 0;
  share.tokens += floor * SecondsOf(now - share.tokens_at) + lease * SecondsOf(leased);
  share.tokens = std::min(share.tokens, settings_.BurstOf(floor + LeaseOf(share, now)));
  share.tokens_at = now;
}

bool LeaseHolder::TryAcquire(const std::string& key, Time now) {
  Share& share = Of(key, now);
  if (LimitOf(share, now) > 0) {
    Refill(share, now);
    if (share.tokens < 1) {
      ++share.held_back;
      return false;
    }
    share.tokens -= 1;
  }
  ++share.begun;
  share.used = Faded(share.used, share.used_at, now) + 1 / kDemandMemory;
  share.used_at = now;
  return true;
}

void LeaseHolder::OnLimitReported(const std::string& key, double limit, Time now) {
  Share& share = Of(key, now);
  Refill(share, now);
  share.reported = limit;
  share.told_at = now;
}

std::optional<LeaseRequestBatch> LeaseHolder::Ask(Time now) {
  if (now < next_) return std::nullopt;
  next_ = now + settings_.Renew();
  if (shares_.empty()) return std::nullopt;
  LeaseRequestBatch request;
  request.number = ++number_;
  request.had = had_;
  asked_ = now;
  for (auto& [key, share] : shares_) {
    if (request.requests.size() >= kMostKeys) break;
    LeaseRequest& wish = request.requests[key];
    const double floor = settings_.FloorOf(LimitOf(share, now));
    wish.demand = WantOf(share, now) + std::min(kLeastHeadroom, floor);
    wish.reported =
        settings_.reported && now - share.told_at < settings_.Fresh() ? share.reported : 0;
    // What is not needed is given back: from now on no more is used than is said here.
    Refill(share, now);
    if (now >= share.ends) share.lease = 0;
    share.lease = std::min(share.lease, wish.demand);
    wish.keep = share.lease;
    const double keeps = std::max(kLendHeadroom * DemandOf(share, now), (1 - kMostLent) * floor);
    wish.lend = std::max(0.0, floor - keeps);
    std::erase_if(share.lent, [&](const auto& lent) { return now >= lent.second; });
    // Whether it is ever granted or not, it is left alone.
    if (wish.lend > 0) share.lent.emplace_back(wish.lend, now + settings_.LeaseCoolDown());
  }
  return request;
}

// The answer to an older request says nothing of what we said to keep since.
void LeaseHolder::Take(const LeaseGrant& grant, Time now) {
  if (grant.number != number_) return;
  had_ = grant.number;
  for (const auto& [key, part] : grant.parts) {
    Share& share = Of(key, now);
    Refill(share, now);
    if (!grant.leases && now < share.ends) continue;  // what we have runs on by its own limit
    share.limit = part.limit;
    if (!grant.leases) continue;
    share.lease = part.lease;
    share.ends = asked_ + settings_.Shortened(settings_.term);
  }
}

void LeaseHolder::Change(LeaseSettings terms, Time now) {
  for (auto& [key, share] : shares_) Refill(share, now);
  settings_ = std::move(terms);
  for (auto& [key, share] : shares_) {
    const auto listed = settings_.listed.find(key);
    if (listed != settings_.listed.end() && now >= share.ends) share.limit = listed->second;
  }
}

void LeaseHolder::ReportAgain(const std::string& key) {
  if (const auto it = shares_.find(key); it != shares_.end()) it->second.last.reset();
}

std::vector<std::pair<std::string, std::optional<double>>> LeaseHolder::Changes(Time now) {
  std::vector<std::pair<std::string, std::optional<double>>> changes;
  for (auto& [key, share] : shares_) {
    const std::optional<double> rate = RateOf(key, now);
    const bool same = rate.has_value() == share.last.has_value() &&
                      (!rate || std::abs(*rate - *share.last) <= kTellChange * *share.last);
    if (same) continue;
    share.last = rate;
    changes.emplace_back(key, rate);
  }
  return changes;
}

}  // namespace brassfront::quota
