#include "net/idle_connection_budget.hpp"

#include <algorithm>
#include <cmath>

namespace brassfront {
namespace {

constexpr double kMostIdle = 4;   // connections; two closed one in nine calls at small groups
constexpr double kSpared = 8;     // places of a next hop for the idle connections of the group
constexpr double kGapGain = 0.3;  // weight of the newest gap: clumps begin and end at once
constexpr double kMostCrowd = 6;  // doublings
constexpr IdleConnectionBudget::Seconds kFirstGap{1};
constexpr IdleConnectionBudget::Seconds kCrowdMemory{4};  // until one doubling is forgotten

}  // namespace

IdleConnectionBudget::IdleConnectionBudget(std::size_t group)
    : share_(std::min(kMostIdle, kSpared / static_cast<double>(std::max<std::size_t>(group, 1)))),
      gap_(kFirstGap) {}

void IdleConnectionBudget::Called(Time now) {
  if (called_ != Time{}) gap_ += kGapGain * (Seconds(now - called_) - gap_);
  called_ = now;
}

void IdleConnectionBudget::Crowded(Time now) {
  crowd_ = std::min(kMostCrowd, CrowdAt(now) + 1);
  crowded_ = now;
}

// What is left of the caution.
double IdleConnectionBudget::CrowdAt(Time now) const {
  return std::max(0.0, crowd_ - Seconds(now - crowded_) / kCrowdMemory);
}

double IdleConnectionBudget::ShareAt(Time now) const { return share_ * std::exp2(-CrowdAt(now)); }

std::size_t IdleConnectionBudget::Most(Time now) const {
  return static_cast<std::size_t>(std::ceil(ShareAt(now)));
}

IdleConnectionBudget::Seconds IdleConnectionBudget::KeptFor(Time now, Seconds idle) const {
  const double share = ShareAt(now);
  return share >= 1 ? idle : std::min(idle, share * gap_);
}

}  // namespace brassfront
