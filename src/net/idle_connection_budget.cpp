#include "net/idle_connection_budget.hpp"

#include <algorithm>
#include <cmath>

namespace brassfront {
namespace {

// Maximum number of connections that one forwarder keeps. With two, one in nine calls of small
// groups had to open a new connection.
constexpr double kMaxBudget = 4;
// Maximum number of connections that the whole group keeps, out of those that an endpoint accepts.
constexpr double kGroupBudget = 8;
// Weight of the newest interval in the mean. Calls come in bursts, so the mean must adapt quickly.
constexpr double kCallIntervalGain = 0.3;
constexpr IdleConnectionBudget::Seconds kInitialCallInterval{1};
constexpr double kMaxHalvings = 6;
constexpr IdleConnectionBudget::Seconds kHalvingRecovery{4};  // time until one halving is undone

double FullBudget(std::size_t group_size) {
  const auto forwarders = static_cast<double>(std::max<std::size_t>(group_size, 1));
  return std::min(kMaxBudget, kGroupBudget / forwarders);
}

}  // namespace

IdleConnectionBudget::IdleConnectionBudget(std::size_t group_size)
    : full_budget_(FullBudget(group_size)), mean_call_interval_(kInitialCallInterval) {}

void IdleConnectionBudget::OnCall(Time now) {
  if (last_call_ != Time{}) {
    const Seconds interval(now - last_call_);
    mean_call_interval_ += kCallIntervalGain * (interval - mean_call_interval_);
  }
  last_call_ = now;
}

void IdleConnectionBudget::OnConnectionRejected(Time now) {
  halvings_ = std::min(kMaxHalvings, HalvingsAt(now) + 1);
  last_rejection_ = now;
}

std::size_t IdleConnectionBudget::MaxIdleConnections(Time now) const {
  return static_cast<std::size_t>(std::ceil(BudgetAt(now)));
}

IdleConnectionBudget::Seconds IdleConnectionBudget::IdleTimeout(Time now, Seconds max_idle) const {
  const double budget = BudgetAt(now);
  if (budget >= 1) return max_idle;
  return std::min(max_idle, budget * mean_call_interval_);
}

double IdleConnectionBudget::HalvingsAt(Time now) const {
  return std::max(0.0, halvings_ - Seconds(now - last_rejection_) / kHalvingRecovery);
}

double IdleConnectionBudget::BudgetAt(Time now) const {
  return full_budget_ * std::exp2(-HalvingsAt(now));
}

}  // namespace brassfront
