#include "quota/lease_grantor.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace brassfront::quota {
namespace {

// Answers remembered for each holder, to look up when the answer that a request names was given.
constexpr std::size_t kMaxRememberedAnswers = 8;
// With at least this many reports the second lowest is used, so that one wrong report has no
// effect.
constexpr std::size_t kReportQuorum = 3;

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

// Returns the second lowest of the limits that members report, or with fewer than three reports the
// lowest. With three reporters, neither a report of almost zero nor one of a million has an effect.
// The result never exceeds a listed limit.
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
  const double agreed_report = reported.size() < kReportQuorum ? reported[0] : reported[1];
  return agreed > 0 ? std::min(agreed, agreed_report) : agreed_report;
}

double LeaseGrantor::LentQuota(const Limit& limit, Time now) const {
  double sum = 0;
  for (const auto& [who, loan] : limit.lent) sum += now < loan.until ? loan.amount : 0;
  return sum;
}

// Max-min fair share over the demands above the reserved minimum: small demands are met in full,
// the others share the remainder evenly.
double LeaseGrantor::FairShare(const Limit& limit, const std::string& holder, double pool,
                               double floor, Time now) const {
  std::vector<double> excess_demands;
  double ours = 0;
  for (const auto& [who, claim] : limit.demands) {
    if (now - claim.at > settings_.term) continue;
    const double excess = std::max(0.0, claim.rate - floor);
    if (who == holder) ours = excess;
    excess_demands.push_back(excess);
  }
  std::sort(excess_demands.begin(), excess_demands.end());
  for (std::size_t i = 0; i < excess_demands.size(); ++i) {
    const double level = pool / static_cast<double>(excess_demands.size() - i);
    if (excess_demands[i] > level) return std::min(ours, level);
    pool -= excess_demands[i];
  }
  return ours;
}

std::optional<LeaseGrant> LeaseGrantor::Answer(const std::string& holder,
                                               const LeaseRequestBatch& request, Time now) {
  if (!leading_since_) return std::nullopt;
  // A delayed or duplicate request does not show what the holder keeps now.
  RequestHistory& history = histories_[holder];
  if (request.number <= history.number) return std::nullopt;
  const std::optional<Time> lent_since = history.AnsweredAt(request.last_answered);
  history.Add(request.number, now);
  LeaseGrant grant;
  grant.number = request.number;
  grant.leases = grants(now);
  for (const auto& [key, wanted] : request.requests) {
    if (!limits_.contains(key) && limits_.size() >= kMaxKeysPerMessage) continue;
    grant.parts[key] = GrantShare(key, holder, wanted, lent_since, grant.leases, now);
  }
  // Limits that the holder does not use are included too, so that it lends its reserves of them.
  for (const auto& [key, limit] : limits_) {
    if (limit.limit > 0 && grant.parts.size() < kMaxKeysPerMessage) {
      grant.parts.try_emplace(key, GrantedLease{limit.limit, 0});
    }
  }
  return grant;
}

GrantedLease LeaseGrantor::GrantShare(const std::string& key, const std::string& holder,
                                      const LeaseRequest& wanted, std::optional<Time> lent_since,
                                      bool may_lease, Time now) {
  Limit& limit = limits_[key];
  limit.demands[holder] = {wanted.demand, now};
  if (settings_.reported && wanted.reported > 0) limit.reported[holder] = {wanted.reported, now};
  GrantedLease granted;
  granted.limit = limit.limit = AgreedLimit(key, limit, now);
  limit.lent[holder] = {wanted.lend,
                        lent_since ? *lent_since + settings_.LentQuotaLifetime() : Time{}};
  // The amount that the holder keeps stays reserved until its lease has expired, whatever is
  // granted now.
  Lease& lease = limit.leases[holder];
  lease.amount = now < lease.ends ? std::min(lease.amount, wanted.keep) : 0;
  if (!may_lease || granted.limit <= 0) return granted;
  const double pool = granted.limit * (1 - settings_.floor) + LentQuota(limit, now);
  const double others = Outstanding(key, now) - lease.amount;
  const double fair = FairShare(limit, holder, pool, settings_.FloorOf(granted.limit), now);
  granted.lease = std::clamp(pool - others, 0.0, fair);
  lease.amount = std::max(lease.amount, granted.lease);
  lease.ends = now + settings_.Stretched(settings_.term);
  return granted;
}

std::optional<Time> LeaseGrantor::RequestHistory::AnsweredAt(std::uint64_t answered) const {
  const auto it = std::find_if(answers.begin(), answers.end(),
                               [&](const Answered& answer) { return answer.number == answered; });
  if (it == answers.end()) return std::nullopt;
  return it->at;
}

void LeaseGrantor::RequestHistory::Add(std::uint64_t request, Time now) {
  number = request;
  answers.push_back({request, now});
  if (answers.size() > kMaxRememberedAnswers) answers.pop_front();
}

}  // namespace brassfront::quota
