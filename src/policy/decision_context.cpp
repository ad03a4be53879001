#include "policy/decision_context.hpp"

#include <algorithm>
#include <utility>

#include "policy/seconds.hpp"

namespace dispatch_policy {

DecisionContext::DecisionContext(Settings given, std::uint64_t seed)
    : settings(std::move(given)), random(seed) {
  settings.group_size = std::max<std::size_t>(settings.group_size, 1);
  min_deadline = min_objective = Duration::max();
  for (const ClassSettings& message_class : settings.classes) {
    max_deadline = std::max(max_deadline, message_class.deadline);
    min_deadline = std::min(min_deadline, message_class.deadline);
    min_objective = std::min(min_objective, message_class.latency_objective);
  }
  if (settings.classes.empty()) min_deadline = min_objective = std::chrono::seconds(1);
}

void DecisionContext::Begin(Time at) {
  if (!started) started = at;
  now = std::max(now, at);
  actions.clear();
}

Duration DecisionContext::AddJitter(Duration duration) {
  return duration / 2 + FromSeconds(ToSeconds(duration) * static_cast<double>(random()) /
                                    static_cast<double>(random.max()));
}

}  // namespace dispatch_policy
