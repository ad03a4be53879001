#include "quota/lease_grantor.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace brassfront::quota {
namespace {

constexpr std::size_t kMaxRememberedAnswers =
    8;  // of one holder's; it shows to have last_answered one of the last

}  // namespace

void LeaseGrantor::Begin(Time now) {
  leading_since_ = now;
  limits_.clear();
  histories_.clear();
}

double LeaseGrantor::Outstanding(const std::string& key, Time now) const {
  const auto it = limits_.find(key);
  double sum = 0;
  if (it == limits_.end()) return sum;
  for (const auto& [holder, lease] : it->second.leases) sum += now < lease.ends ? lease.amount : 0;
  return sum;
}

// The second lowest of what members were reported; the lower of two, the only one. So neither one
// that claims nothing nor one that claims a million moves it where three call there. Nothing above
// what the operator file lists.
double LeaseGrantor::AgreedLimit(const std::string& key, Limit& limit, Time now) const {
  std::erase_if(limit.reported, [&](const auto& c) {
    return now - c.second.at > settings_.ReportedLimitLifetime();
  });
  std::vector<double> reported;
  for (const auto& [who, claim] : limit.reported) reported.push_back(claim.rate);
  std::sort(reported.begin(), reported.end());
  const auto listed = settings_.listed.find(key);
  double agreed = listed == settings_.listed.end() ? 0 : listed->second;
  if (reported.empty()) return agreed;
  const double heard = reported.size() < 3 ? reported[0] : reported[1];
  return agreed > 0 ? std::min(agreed, heard) : heard;
}

double LeaseGrantor::LentQuota(const Limit& limit, Time now) const {
  double sum = 0;
  for (const auto& [who, loan] : limit.lent) sum += now < loan.until ? loan.amount : 0;
  return sum;
}

// Max-min fair over what holders want above their floors: whoever wants little gets it whole, and
// the rest share evenly.
double LeaseGrantor::FairShare(const Limit& limit, const std::string& holder, double pool,
                               double floor, Time now) const {
  std::vector<double> wants;
  double ours = 0;
  for (const auto& [who, claim] : limit.demands) {
    if (now - claim.at > settings_.term) continue;
    const double want = std::max(0.0, claim.rate - floor);
    if (who == holder) ours = want;
    wants.push_back(want);
  }
  std::sort(wants.begin(), wants.end());
  for (std::size_t i = 0; i < wants.size(); ++i) {
    const double level = pool / static_cast<double>(wants.size() - i);
    if (wants[i] > level) return std::min(ours, level);
    pool -= wants[i];
  }
  return ours;
}

std::optional<LeaseGrant> LeaseGrantor::Answer(const std::string& holder,
                                               const LeaseRequestBatch& request, Time now) {
  if (!leading_since_) return std::nullopt;
  // A late copy says nothing of what the holder keeps now.
  RequestHistory& history = histories_[holder];
  if (request.number <= history.number) return std::nullopt;
  history.number = request.number;
  // It was written after that answer: what it lends is as young at least.
  std::optional<Time> lent_since;
  for (const auto& [number, at] : history.answers) {
    if (number == request.last_answered) lent_since = at;
  }
  history.answers.emplace_back(request.number, now);
  if (history.answers.size() > kMaxRememberedAnswers) history.answers.pop_front();
  LeaseGrant grant;
  grant.number = request.number;
  grant.leases = grants(now);
  for (const auto& [key, wanted] : request.requests) {
    if (!limits_.contains(key) && limits_.size() >= kMaxKeysPerMessage) continue;
    Limit& limit = limits_[key];
    limit.demands[holder] = {wanted.demand, now};
    if (settings_.reported && wanted.reported > 0) limit.reported[holder] = {wanted.reported, now};
    GrantedLease& part = grant.parts[key];
    part.limit = limit.limit = AgreedLimit(key, limit, now);
    // What it says to keep holds until the end of its lease at most, whatever becomes of this.
    limit.lent[holder] = {wanted.lend,
                          lent_since ? *lent_since + settings_.LentQuotaLifetime() : Time{}};
    Lease& lease = limit.leases[holder];
    lease.amount = now < lease.ends ? std::min(lease.amount, wanted.keep) : 0;
    if (!grant.leases || part.limit <= 0) continue;
    const double pool = part.limit * (1 - settings_.floor) + LentQuota(limit, now);
    const double others = Outstanding(key, now) - lease.amount;
    const double fair = FairShare(limit, holder, pool, settings_.FloorOf(part.limit), now);
    part.lease = std::clamp(pool - others, 0.0, fair);
    lease.amount = std::max(lease.amount, part.lease);
    lease.ends = now + settings_.Stretched(settings_.term);
  }
  // Limits that it does not use are reported too: their floors are lent.
  for (const auto& [key, limit] : limits_) {
    if (limit.limit > 0 && grant.parts.size() < kMaxKeysPerMessage) {
      grant.parts.try_emplace(key, GrantedLease{limit.limit, 0});
    }
  }
  return grant;
}

}  // namespace brassfront::quota
