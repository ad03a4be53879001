#include "quota/lease_holder.hpp"

#include <algorithm>
#include <cmath>

namespace brassfront::quota {
namespace {

// Time constant of the demand estimate, in seconds: shorter than a lease's term, so that a request
// reflects current traffic; longer than the interval between requests.
constexpr double kDemandDecaySeconds = 1.5;
// A rate is published again after it has changed by this fraction.
constexpr double kPublishedChange = 0.1;
// The requested rate as a multiple of the demand: with barely more than the demand, queues would
// build up. If the requests exceed the limit, the grantor divides it fairly.
constexpr double kDemandHeadroom = 2;
// The part of a lent reserve that is retained, as a multiple of the demand.
constexpr double kRetainedHeadroom = 1.25;
// Requested in addition to the demand, even if that is 0, in calls a second; at most the reserve.
constexpr double kMinRequestedRate = 0.5;
// A holder that uses at least this fraction of its usable rate counts as saturated and may have a
// backlog; it then requests kSaturatedGrowth times the rate that it uses.
constexpr double kSaturation = 0.75;
constexpr double kSaturatedGrowth = 1.6;
// The largest fraction of the reserve that is lent; the remainder lets a first call start at once.
constexpr double kMaxLentShare = 0.9;
// If demand exceeds the usable rate, the next request is sent after the request interval divided by
// this number.
constexpr int kEarlyRequestDivisor = 4;

// A rate that was estimated at the time `at`, with exponential decay since then.
double Decayed(double rate, Time at, Time now) {
  return rate * std::exp(-SecondsOf(now - at) / kDemandDecaySeconds);
}

}  // namespace

// Creates a share for each listed limit at once, so that an idle member lends its reserve.
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

// A limit reported in responses to our own calls lowers the rate at once; only a grant raises it.
double LeaseHolder::EffectiveLimit(const Share& share, Time now) const {
  const bool fresh =
      share.reported > 0 &&
      (now - share.reported_at < settings_.ReportedLimitLifetime() || now >= share.ends);
  if (!settings_.reported || !fresh) return share.limit;
  return share.limit > 0 ? std::min(share.limit, share.reported) : share.reported;
}

// A lease that was granted under a higher limit than is reported now is scaled down in proportion.
double LeaseHolder::EffectiveLease(const Share& share, Time now) const {
  if (now >= share.ends || share.limit <= 0) return 0;
  return share.lease * EffectiveLimit(share, now) / share.limit;
}

double LeaseHolder::CurrentDemand(const Share& share, Time now) const {
  return Decayed(share.demand, share.demand_at, now);
}

// The demand with headroom; more if the usable rate is nearly used up, since a backlog does not
// count as demand.
double LeaseHolder::RequestedRate(const Share& share, Time now) const {
  const double with_headroom = CurrentDemand(share, now) * kDemandHeadroom;
  const double used = Decayed(share.used, share.used_at, now);
  const double rate = UsableReserve(share, now) + EffectiveLease(share, now);
  return used < kSaturation * rate ? with_headroom
                                   : std::max(with_headroom, kSaturatedGrowth * used);
}

// Demand beyond the usable rate (because the reserve is lent or the lease is small) brings the next
// request forward.
void LeaseHolder::OnDemand(const std::string& key, Time now) {
  Share& share = ShareFor(key, now);
  share.demand = CurrentDemand(share, now) + 1 / kDemandDecaySeconds;
  share.demand_at = now;
  if (UsableReserve(share, now) + EffectiveLease(share, now) < share.demand) {
    next_request_at_ =
        std::min(next_request_at_, last_request_at_ + settings_.Renew() / kEarlyRequestDivisor);
  }
}

double LeaseHolder::UsableReserve(const Share& share, Time now) const {
  double lent = 0;
  for (const LentQuota& part : share.lent) lent = std::max(lent, now < part.until ? part.rate : 0);
  return std::max(0.0, settings_.FloorOf(EffectiveLimit(share, now)) - lent);
}

std::optional<double> LeaseHolder::RateOf(const std::string& key, Time now) const {
  const auto it = shares_.find(key);
  if (it == shares_.end() || EffectiveLimit(it->second, now) <= 0) return std::nullopt;
  return UsableReserve(it->second, now) + EffectiveLease(it->second, now);
}

// Adds tokens for the time since the last refill. The lease yields tokens only until it expires,
// however late this is called, so a process that was suspended past the expiry gains none from it
// afterwards.
void LeaseHolder::Refill(Share& share, Time now) const {
  // Uses the reserve as of the last refill, because a cool-down may have ended since then.
  const double reserve = UsableReserve(share, share.tokens_at);
  const Time leased = std::max(Time{}, std::min(now, share.ends) - share.tokens_at);
  const double lease = share.limit > 0 ? share.lease * EffectiveLimit(share, now) / share.limit : 0;
  share.tokens += reserve * SecondsOf(now - share.tokens_at) + lease * SecondsOf(leased);
  share.tokens = std::min(share.tokens, settings_.MaxBurst(reserve + EffectiveLease(share, now)));
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

std::optional<LeaseRequestBatch> LeaseHolder::NextRequest(Time now) {
  if (now < next_request_at_) return std::nullopt;
  next_request_at_ = now + settings_.Renew();
  if (shares_.empty()) return std::nullopt;
  LeaseRequestBatch request;
  request.number = ++last_request_number_;
  request.last_answered = last_answered_;
  last_request_at_ = now;
  for (auto& [key, share] : shares_) {
    if (request.requests.size() >= kMaxKeysPerMessage) break;
    request.requests[key] = RenewShare(share, now);
  }
  return request;
}

// Gives back the part of the lease that is not needed: from now on, at most the amount that the
// request keeps is used.
LeaseRequest LeaseHolder::RenewShare(Share& share, Time now) const {
  LeaseRequest request;
  const double reserve = settings_.FloorOf(EffectiveLimit(share, now));
  request.demand = RequestedRate(share, now) + std::min(kMinRequestedRate, reserve);
  const bool fresh = now - share.reported_at < settings_.ReportedLimitLifetime();
  request.reported = settings_.reported && fresh ? share.reported : 0;
  Refill(share, now);
  if (now >= share.ends) share.lease = 0;
  share.lease = std::min(share.lease, request.demand);
  request.keep = share.lease;
  const double retained =
      std::max(kRetainedHeadroom * CurrentDemand(share, now), (1 - kMaxLentShare) * reserve);
  request.lend = std::max(0.0, reserve - retained);
  std::erase_if(share.lent, [&](const LentQuota& lent) { return now >= lent.until; });
  // The lent part stays unused for the complete cool-down, whether or not the grantor lends it.
  if (request.lend > 0) share.lent.push_back({request.lend, now + settings_.LeaseCoolDown()});
  return request;
}

// The answer to an older request does not take into account what a later request promised to keep.
void LeaseHolder::ApplyGrant(const LeaseGrant& grant, Time now) {
  if (grant.number != last_request_number_) return;
  last_answered_ = grant.number;
  for (const auto& [key, part] : grant.parts) {
    Share& share = ShareFor(key, now);
    Refill(share, now);
    // If the grant contains no leases, a current lease stays valid under its own limit.
    if (!grant.leases && now < share.ends) continue;
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
