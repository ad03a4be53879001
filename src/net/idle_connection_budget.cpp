#include "net/idle_connection_budget.hpp"

#include <algorithm>
#include <cmath>

namespace brassfront {
namespace {

constexpr double kMaxIdle = 4;  // connections; two closed one in nine calls at small groups
constexpr double kConnectionsPerGroup =
    8;  // places of a next hop for the idle connections of the group
constexpr double kCallIntervalGain = 0.3;  // weight of the newest gap: clumps begin and end at once
constexpr double kMaxCautionDoublings = 6;  // doublings
constexpr IdleConnectionBudget::Seconds kInitialCallInterval{1};
constexpr IdleConnectionBudget::Seconds kCautionHalfLife{4};  // until one doubling is forgotten

}  // namespace

IdleConnectionBudget::IdleConnectionBudget(std::size_t group_size)
    : base_budget_(std::min(
          kMaxIdle,
          kConnectionsPerGroup / static_cast<double>(std::max<std::size_t>(group_size, 1)))),
      mean_call_interval_(kInitialCallInterval) {}

void IdleConnectionBudget::OnCall(Time now) {
  if (last_call_ != Time{})
    mean_call_interval_ += kCallIntervalGain * (Seconds(now - last_call_) - mean_call_interval_);
  last_call_ = now;
}

void IdleConnectionBudget::OnConnectionRejected(Time now) {
  caution_ = std::min(kMaxCautionDoublings, CautionAt(now) + 1);
  last_rejection_ = now;
}

// What is left of the caution.
double IdleConnectionBudget::CautionAt(Time now) const {
  return std::max(0.0, caution_ - Seconds(now - last_rejection_) / kCautionHalfLife);
}

double IdleConnectionBudget::BudgetAt(Time now) const {
  return base_budget_ * std::exp2(-CautionAt(now));
}

std::size_t IdleConnectionBudget::MaxIdleConnections(Time now) const {
  return static_cast<std::size_t>(std::ceil(BudgetAt(now)));
}

IdleConnectionBudget::Seconds IdleConnectionBudget::IdleTimeout(Time now, Seconds max_idle) const {
  const double budget = BudgetAt(now);
  return budget >= 1 ? max_idle : std::min(max_idle, budget * mean_call_interval_);
}

}  // namespace brassfront
