// What all components of the policy share while it decides: settings, time, random numbers, and the
// actions that are being collected. Implemented in policy_state.cpp.
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

// Owned by the policy; its components keep a reference to it. Not safe for use by several threads.
class DecisionContext {
 public:
  // `seed`: of `random`. A group size of 0 counts as 1.
  DecisionContext(Settings settings, std::uint64_t seed);

  // Begins a decision at this time, or at that of the last one if the clock has run backwards.
  void Begin(Time at);

  // Adds an action to those of this decision.
  template <typename OneAction>
  void Do(OneAction action) {
    actions.emplace_back(std::move(action));
  }

  // A random duration between half of `duration` and one and a half times `duration`, so that
  // dispatchers that saw one fault together do not call again at one moment.
  Duration AddJitter(Duration duration);

  Settings settings;
  // Over all message classes; a second where there are no classes.
  Duration min_deadline;
  Duration min_objective;
  // Over all message classes; 0 where there are none.
  Duration max_deadline{};
  // Time of the first decision.
  std::optional<Time> started;
  // Time of this decision; never falls.
  Time now = Time::min();
  // What this decision asks the caller to do, in order.
  std::vector<Action> actions;
  // All random numbers of the policy come from here: the same seed and events give the same
  // actions.
  std::mt19937_64 random;
};

}  // namespace dispatch_policy

#endif  // BRASSFRONT_POLICY_DECISION_CONTEXT_HPP_
