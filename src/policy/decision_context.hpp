// State that all components of the policy share during a decision: settings, time, random numbers,
// and the actions collected so far. Implemented in policy_state.cpp.
#ifndef BRASSFRONT_POLICY_DECISION_CONTEXT_HPP_
#define BRASSFRONT_POLICY_DECISION_CONTEXT_HPP_

#include <cstdint>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "dispatch_policy/actions.hpp"
#include "dispatch_policy/settings.hpp"

namespace dispatch_policy {

// Owned by the policy, whose components keep a reference to the context. Not thread-safe.
class DecisionContext {
 public:
  // `seed` initializes `random`. A group size of 0 counts as 1.
  DecisionContext(Settings settings, std::uint64_t seed);

  // Begins a decision at this time, or at the time of the last decision if the clock has run
  // backwards.
  void Begin(Time at);

  // Adds an action to this decision.
  template <typename ActionType>
  void AddAction(ActionType action) {
    actions.emplace_back(std::move(action));
  }

  // Returns a random duration between half of `duration` and one and a half times `duration`, so
  // that dispatchers that observed the same fault do not all retry at the same time.
  Duration AddJitter(Duration duration);

  Settings settings;
  // Minimum over all message classes; 1 second if there are no classes.
  Duration min_deadline;
  Duration min_objective;
  // Maximum over all message classes; 0 if there are no classes.
  Duration max_deadline{};
  // Time of the first decision.
  std::optional<Time> started;
  // Time of this decision; never decreases.
  Time now = Time::min();
  // Actions of this decision, in order.
  std::vector<Action> actions;
  // All random numbers of the policy come from here: the same seed and events give the same
  // actions.
  std::mt19937_64 random;
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_DECISION_CONTEXT_HPP_
