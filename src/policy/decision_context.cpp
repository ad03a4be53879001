#include "policy/decision_context.hpp"

#include <algorithm>
#include <utility>

#include "policy/seconds.hpp"

namespace dispatch_policy {

DecisionContext::DecisionContext(Settings given, std::uint64_t seed)
    : settings(std::move(given)), random(seed) {
  settings.group_size = std::max<std::size_t>(settings.group_size, 1);
  shortest_deadline = shortest_aim = Duration::max();
  for (const ClassSettings& c : settings.classes) {
    longest_deadline = std::max(longest_deadline, c.deadline);
    shortest_deadline = std::min(shortest_deadline, c.deadline);
    shortest_aim = std::min(shortest_aim, c.latency_objective);
  }
  if (settings.classes.empty()) shortest_deadline = shortest_aim = std::chrono::seconds(1);
}

void DecisionContext::Begin(Time at) {
  if (!started) started = at;
  now = std::max(now, at);
  actions.clear();
}

Duration DecisionContext::Spread(Duration duration) {
  return duration / 2 + FromSeconds(ToSeconds(duration) * static_cast<double>(random()) /
                                    static_cast<double>(random.max()));
}

}  // namespace dispatch_policy
