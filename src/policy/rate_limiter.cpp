#include "policy/rate_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace dispatch_policy {

const Duration kFullPause = std::chrono::milliseconds(300);  // after a refusal
const Duration kLimitSpan = std::chrono::seconds(2);         // refusals for longer are an outage
const int kMostDoublings = 3;  // of that time, one for each failure in a row
const double kGather = 0.4;    // of the aim: how long a message waits for others in its call
namespace {

constexpr double kBackOff = 0.85;  // of the accepted rate, after a refusal
constexpr double kRegain = 0.15;   // growth of a rate in a second; more each span without refusals
constexpr double kLittleLeft = 0.3;  // reported share of a limit below which no rate grows
constexpr double kLeastLimit = 3;    // calls a second, of all dispatchers: where nothing is told
constexpr double kLeastPart = 0.2;   // of our demand: a paced rate is never lower
constexpr std::size_t kManySharers = 10;  // dispatchers: our own calls are a small part of all
constexpr double kFewCalls = 6;     // in the pace's memory: with fewer our own rate tells nothing
constexpr double kShareUsed = 0.8;  // of our even share of a limit then, after a refusal
constexpr double kSeldomBackOff = 0.5;  // of the rate, for each further one
constexpr double kLeastShare = 0.4;     // of the even share: the least rate then
constexpr double kPauseCalls = 0.6;     // of our calls' mean distance, doubled with each in a row
constexpr double kLeastLeased = 0.05;   // calls a second: a share below it is one call in 20 s

}  // namespace

void Meter::Add(Time now) {
  value_ = value_ * Left(now - last_) + 1 / memory_;
  last_ = now;
}

double Meter::Rate(Time now) const {
  if (value_ <= 0) return 0;
  const Duration seen = std::max<Duration>(now - first_, std::chrono::seconds(1));
  return value_ * Left(now - last_) / (1 - Left(seen));
}

double Meter::Left(Duration age) const { return std::exp(-ToSeconds(age) / memory_); }

void RateLimiter::ApplyQuota(const QuotaLeased& e) {
  Endpoint* endpoint = registry_.FindEndpoint(e.endpoint);
  if (endpoint != nullptr) registry_.LaneOf(*endpoint).share = e.rate;
}

void RateLimiter::Heard(Lane& lane, const LoadReport& report) {
  if (report.limit.value_or(0) <= 0) return;
  lane.limit = *report.limit;
  lane.reported = true;
  lane.left = report.allowance_left;
}

void RateLimiter::PaceNext(Endpoint& e) {
  Lane& lane = registry_.LaneOf(e);
  double gap = lane.rate > 0 ? 1 / lane.rate : 0;
  const double own = lane.reported ? lane.limit : 0;
  const double most = lane.share ? std::max(*lane.share, kLeastLeased) : own;
  if (most > 0) gap = std::max(gap, 1 / most);
  lane.next_call = std::max(lane.next_call, now_) + FromSeconds(gap);
}

void RateLimiter::OnAccepted(Lane& lane) {
  lane.accepted.Add(now_);
  lane.full_row = 0;
  if (lane.rate <= 0 || (lane.left && *lane.left < kLittleLeft)) return;
  const double dt = std::min(1.0, ToSeconds(now_ - lane.rate_changed));
  const double spans = ToSeconds(now_ - lane.last_full) / ToSeconds(kLimitSpan);
  lane.rate *= 1 + std::min(1.0, kRegain * (1 + spans)) * dt;
  lane.rate_changed = now_;
  if (!lane.seldom) return;
  lane.rate = std::max(lane.rate, ShareUsed(lane));
  lane.next_call = std::min(lane.next_call, now_ + FromSeconds(1 / lane.rate));
}

void RateLimiter::OnFull(Endpoint& e, const Call& call, Duration told, Duration trial_gap) {
  Lane& lane = registry_.LaneOf(e);
  if (lane.full_row > 0 && call.sent < lane.last_full) return;  // sent before it was known
  if (lane.full_row++ == 0) lane.first_full = now_;
  lane.last_full = now_;
  const double part = PartOf(e);
  const int doubled = 1 << std::min(lane.full_row - 1, kMostDoublings);
  const double calls = doubled == 1 && told > Duration{} ? 0 : kPauseCalls * doubled;
  const Duration asked = std::max(kFullPause * doubled, FromSeconds(calls / part));
  const Duration pause = std::min(asked, std::max(kFullPause, trial_gap));
  lane.next_call = std::max(lane.next_call, now_ + told + context_.Spread(pause));
  // While warming up it rejects below its limit: a rate learned now would stay too low.
  if (e.health != Health::kClosed) return;
  if (lane.rate > 0 && now_ - lane.rate_changed < kFullPause) return;  // the same overshoot
  if (Seldom(part)) {
    PaceSeldom(lane, part);
    const Duration gap = FromSeconds(1 / lane.rate);
    lane.next_call = std::max(lane.next_call, now_ + told + context_.Spread(gap));
    return;
  }
  lane.seldom = false;
  const double seen = lane.accepted.Rate(now_);
  const double last = lane.rate > 0 ? lane.rate : 2 * std::max(seen, part);
  lane.rate = std::max(kLeastPart * part, kBackOff * std::min(last, std::max(seen, last / 2)));
  lane.rate_changed = now_;
}

void RateLimiter::PaceSeldom(Lane& lane, double part) {
  const double share = lane.limit > 0 ? ShareUsed(lane) : part;
  const double last = lane.seldom ? kSeldomBackOff * lane.rate : share;
  lane.rate = std::max(kLeastShare * share, std::min(last, share));
  lane.seldom = true;
  lane.rate_changed = now_;
}

double RateLimiter::PartOf(Endpoint& e) {
  double demand = registry_.DestinationAt(e.entry.destination).arrivals.Rate(now_);
  if (registry_.BatchOf(e) > 1)
    demand = std::min(demand, 1 / (kGather * ToSeconds(context_.shortest_aim)));
  const double even = std::max(registry_.LaneOf(e).limit, kLeastLimit);
  return std::max(demand, even / static_cast<double>(settings_.group_size));
}

double RateLimiter::ShareUsed(const Lane& lane) const {
  return kShareUsed * lane.limit / static_cast<double>(settings_.group_size);
}

bool RateLimiter::ManyShare() const { return settings_.group_size >= kManySharers; }

bool RateLimiter::Seldom(double part) const {
  return ManyShare() && part * kPaceMemory.count() < kFewCalls;
}

}  // namespace dispatch_policy
