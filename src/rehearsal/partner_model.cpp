#include "rehearsal/partner_model.hpp"

#include <algorithm>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>

namespace brassfront::rehearsal {
namespace {

constexpr double kItemCost = 0.1;  // share of the call time for each message after the first
// Burst that a rate limit allows, in seconds of the rate.
constexpr double kBurstSeconds = 0.25;

// Returns the work of a call in units of calls with one message.
double WorkOf(std::size_t messages) { return 1 + kItemCost * static_cast<double>(messages - 1); }
}  // namespace

PartnerModel::PartnerModel(const Partner& partner, const WarmUp& warm_up, std::uint64_t seed)
    : partner_(partner), warm_up_(warm_up), random_(seed) {
  const auto workers =
      std::max<std::int64_t>(1, std::llround(partner.capacity * SecondsOf(partner.pace)));
  for (std::int64_t i = 0; i < workers; ++i) free_at_.push(Time{});
}

double PartnerModel::CapacityShare(Time now) const {
  if (!back_since_) return 1;
  const double passed = SecondsOf(now - *back_since_) / SecondsOf(warm_up_.warm);
  return std::min(1.0, warm_up_.share + (1 - warm_up_.share) * passed);
}

Time PartnerModel::ServiceTime(std::size_t messages) {
  // Lognormal distribution with this median and coefficient of variation.
  const double sigma = std::sqrt(std::log1p(partner_.spread * partner_.spread));
  boost::random::lognormal_distribution<double> time(std::log(SecondsOf(partner_.pace)), sigma);
  return FromSeconds(time(random_) * WorkOf(messages) * slow_);
}

// Every received call counts as load on a partner in warm-up, even a refused one.
bool PartnerModel::RecordWork(Time now, std::size_t messages, std::size_t forwarder) {
  received_work_.push_back({now, WorkOf(messages), forwarder});
  while (now - received_work_.front().at > warm_up_.fall) received_work_.pop_front();
  if (!back_since_ || collapsed_) return false;
  const double capacity_share = CapacityShare(now);
  if (capacity_share >= 1) return false;
  // Only calls after the end of the outage count.
  double work = 0;
  for (const ReceivedWork& p : received_work_) work += p.at >= *back_since_ ? p.work : 0;
  if (work <=
      warm_up_.multiple * partner_.capacity * capacity_share * SecondsOf(warm_up_.fall) + 1) {
    return false;
  }
  collapsed_ = true;
  return true;
}

std::map<std::size_t, double> PartnerModel::RecentWork() const {
  std::map<std::size_t, double> by_forwarder;
  for (const ReceivedWork& p : received_work_) {
    if (!back_since_ || p.at >= *back_since_) by_forwarder[p.forwarder] += p.work;
  }
  return by_forwarder;
}

// Returns the time until the limit allows a call; `above` tells whether this call exceeds the
// limit.
std::optional<Time> PartnerModel::OverLimit(Time now, bool& above) {
  above = false;
  const Limit& limit = *partner_.limit;
  if (limit.window) {
    const std::int64_t span = now / limit.span;
    if (span != std::exchange(span_, span)) in_span_ = 0;
    const auto most = std::max(1L, std::lround(this->limit() * SecondsOf(limit.span)));
    above = in_span_ >= static_cast<std::size_t>(most);
    if (!above || limit.counts_refused) ++in_span_;
    return Time(limit.span.count() * (span + 1)) - now;
  }
  // The generic cell rate algorithm (ITU-T I.371): evenly spaced calls, with a limited burst.
  const Time gap = FromSeconds(1 / this->limit());
  const Time burst = std::max(gap, FromSeconds(kBurstSeconds));
  above = tokens_at_ - now > burst;
  if (!above || limit.counts_refused) tokens_at_ = std::max(tokens_at_, now) + gap;
  // Refused calls that use up the limit must not delay the next conforming call without bound.
  tokens_at_ = std::min(tokens_at_, now + burst + gap);
  return std::max(partner_.wait, tokens_at_ - burst - now);
}

PartnerModel::Status PartnerModel::Call(Time now, std::size_t messages, std::size_t forwarder) {
  Status status;
  status.collapsed = RecordWork(now, messages, forwarder);
  const Outage outage = this->outage(now);
  if (collapsed_) {
    status.what = What::kRefuse;
    return status;
  }
  if (outage == Outage::kShut) {
    status.what = What::kRefuse;
    status.wait = outage_wait_ ? *outage_wait_ : outage_until_ - now;
    return status;
  }
  if (outage == Outage::kSilent || outage == Outage::kRefuse) {
    status.what = What::kSilent;
    return status;
  }
  if (outage == Outage::kReset) {
    status.what = What::kReset;
    return status;
  }
  boost::random::uniform_01<double> chance;
  if (now < full_until_) {
    status.what = What::kRefuse;
    status.wait = full_wait_;
    return status;
  }
  if (partner_.limit) {
    const std::optional<Time> wait = OverLimit(now, status.above_limit);
    if (status.above_limit) {
      status.what = What::kRefuse;
      if (chance(random_) < partner_.limit->told) status.wait = wait;
      return status;
    }
  }
  const Time start = std::max(now, free_at_.top());
  if (start - now > partner_.queue) {
    status.what = What::kRefuse;
    const double told = partner_.limit ? partner_.limit->told : 0.5;
    if (chance(random_) < told) status.wait = std::max(partner_.wait, start - now);
    return status;
  }
  free_at_.pop();
  status.at = start + Time(static_cast<Time::rep>(
                          static_cast<double>(ServiceTime(messages).count()) / CapacityShare(now)));
  free_at_.push(status.at);
  return status;
}

void PartnerModel::Begin(Outage outage, Time until, std::optional<Time> wait) {
  outage_ = outage;
  outage_until_ = until;
  outage_wait_ = wait;
  back_since_.reset();
  collapsed_ = false;
}

void PartnerModel::End(Time now) {
  if (outage_ == Outage::kNone) return;
  outage_ = Outage::kNone;
  outage_until_ = now;
  back_since_ = now;
  received_work_.clear();
}

bool PartnerModel::IsRepeat(Time now, const std::string& key) {
  Key& known = keys_[key];
  if (known.running > 0 || (known.applied && now - *known.applied <= partner_.dedup)) return true;
  ++known.running;
  return false;
}

bool PartnerModel::Apply(Time now, const std::string& key) {
  Key& known = keys_[key];
  --known.running;
  return std::exchange(known.applied, now).has_value();
}

}  // namespace brassfront::rehearsal
