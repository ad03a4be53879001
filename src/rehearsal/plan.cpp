#include "rehearsal/plan.hpp"

#include <algorithm>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>

namespace brassfront::rehearsal {
namespace {

// Boost's distributions give the same values on all platforms.
using Random = boost::random::mt19937_64;

constexpr double kClumpSpread = 0.1;  // seconds within which the messages of a clump arrive

std::vector<double> Weights(const Scenario& s) {
  std::vector<double> weights;
  for (const Partner& p : s.partners) weights.push_back(p.weight);
  return weights;
}

// Returns how many messages the partner can process in that time, by its limit if that is lower
// than its capacity.
std::size_t ClumpSize(const Partner& p, Time time) {
  double rate = p.capacity;
  if (p.limit) rate = std::min(rate, p.limit->calls * static_cast<double>(p.batch));
  return std::max<std::size_t>(2, static_cast<std::size_t>(std::lround(rate * SecondsOf(time))));
}

std::string Hex(std::uint64_t value) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string out(16, '0');
  for (int i = 15; i >= 0; --i, value >>= 4) out[static_cast<std::size_t>(i)] = kDigits[value & 15];
  return out;
}

// SplitMix64's finisher (Steele, Lea and Flood, 2014).
std::uint64_t Mix(std::uint64_t x) {
  x += 0x9E3779B97F4A7C15;
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EB;
  return x ^ (x >> 31);
}

class Maker {
 public:
  Maker(const Scenario& scenario, std::uint64_t seed)
      : s_(scenario), random_(seed), partner_(Weights(scenario)) {
    std::vector<double> shares;
    for (const Merchant& m : s_.merchants) shares.push_back(m.share);
    merchant_ = boost::random::discrete_distribution<std::size_t>(shares);
    end_ = SecondsOf(s_.duration);
  }

  std::vector<Arrival> Make() {
    Stream(s_.clients.rate * (1 - s_.clients.clumps), 0, end_, {});
    Clumps();
    for (const FaultAction& action : s_.actions) {
      const double from = SecondsOf(action.at);
      if (action.kind == FaultKind::kBurst) {
        const double share = s_.merchants[*action.merchant].share;
        Stream(s_.clients.rate * share * (action.factor - 1), from,
               std::min(end_, from + SecondsOf(action.lasts)), action.merchant);
      } else if (action.kind == FaultKind::kClump) {
        const std::size_t p = action.partners.front();
        Clump(from, p,
              static_cast<std::size_t>(
                  static_cast<double>(ClumpSize(s_.partners[p], s_.clients.clump)) * action.factor),
              action.merchant);
      }
    }
    std::stable_sort(all_.begin(), all_.end(),
                     [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
    for (std::size_t i = 0; i < all_.size(); ++i) all_[i].number = i;
    return std::move(all_);
  }

 private:
  void Stream(double rate, double from, double to, std::optional<std::size_t> merchant) {
    if (rate <= 0) return;
    boost::random::exponential_distribution<double> gap(rate);
    for (double t = from + gap(random_); t < to; t += gap(random_)) {
      Add(t, partner_(random_), merchant, false);
    }
  }

  void Clumps() {
    double mean = 0, weights = 0;
    for (const Partner& p : s_.partners) {
      mean += p.weight * static_cast<double>(ClumpSize(p, s_.clients.clump));
      weights += p.weight;
    }
    const double rate = s_.clients.rate * s_.clients.clumps / (mean / weights);
    if (rate <= 0) return;
    boost::random::exponential_distribution<double> gap(rate);
    for (double t = gap(random_); t < end_; t += gap(random_)) {
      const std::size_t p = partner_(random_);
      Clump(t, p, ClumpSize(s_.partners[p], s_.clients.clump), {});
    }
  }

  void Clump(double from, std::size_t partner, std::size_t size,
             std::optional<std::size_t> merchant) {
    boost::random::uniform_real_distribution<double> when(0, kClumpSpread);
    for (std::size_t i = 0; i < size; ++i) Add(from + when(random_), partner, merchant, true);
  }

  void Add(double t, std::size_t partner, std::optional<std::size_t> merchant, bool in_clump) {
    const std::size_t whose = merchant ? *merchant : merchant_(random_);
    if (t < end_) all_.push_back({FromSeconds(t), 0, whose, partner, in_clump});
  }

  const Scenario& s_;
  Random random_;
  boost::random::discrete_distribution<std::size_t> partner_, merchant_;
  double end_ = 0;
  std::vector<Arrival> all_;
};

}  // namespace

Plan MakePlan(const Scenario& scenario, std::uint64_t seed) {
  return {seed, Maker(scenario, seed).Make()};
}

std::string PlanText(const Scenario& scenario, const Plan& plan) {
  std::string out;
  auto action = scenario.actions.begin();
  const auto add_acts = [&](Time until) {
    for (; action != scenario.actions.end() && action->at <= until; ++action) {
      out += std::to_string(action->at.count()) + " act " + ToString(action->kind) +
             " for=" + std::to_string(action->lasts.count());
      for (const std::size_t p : action->partners) out += " partner=" + scenario.partners[p].name;
      if (action->endpoint) out += " endpoint=" + std::to_string(*action->endpoint);
      for (const std::size_t f : action->forwarders) out += " forwarder=" + std::to_string(f);
      out += '\n';
    }
  };
  for (const Arrival& a : plan.arrivals) {
    add_acts(a.at);
    out += std::to_string(a.at.count()) + " put " + WireId(plan.seed, a.number, 0) +
           " merchant=" + scenario.merchants[a.merchant].name +
           " partner=" + scenario.partners[a.partner].name + (a.in_clump ? " clump\n" : "\n");
  }
  add_acts(Time::max());
  return out;
}

std::string WireId(std::uint64_t seed, std::uint64_t number, std::uint64_t sequence) {
  return Hex(Mix(Mix(seed) ^ (number << 8 | sequence)));
}

std::string WireKey(std::uint64_t seed, std::uint64_t number) {
  return Hex(Mix(~Mix(seed) ^ number));
}

}  // namespace brassfront::rehearsal
