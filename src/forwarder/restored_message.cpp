#include "forwarder/restored_message.hpp"

#include <algorithm>

#include "forwarder/index_of.hpp"

namespace brassfront {

dispatch_policy::Effect EffectOf(const Config& config, std::size_t message_class) {
  const auto& classes = config.policy_settings.classes;
  return message_class < classes.size() ? classes[message_class].effect
                                        : dispatch_policy::Effect::kNotIdempotent;
}

dispatch_policy::MessageRestored MakeRestoredEvent(const RecoveredMessage& recovered,
                                                   const Config& config,
                                                   EndpointRegistry& endpoints,
                                                   dispatch_policy::Time now, UnixMs spool_now) {
  dispatch_policy::MessageRestored event;
  event.message = recovered.spool_id;
  event.destination = recovered.message.destination;
  event.message_class = IndexOf(config.class_names, recovered.message.class_name);
  event.time_left = recovered.message.deadline - spool_now;
  // If the machine was rebooted, a change of the wall clock may have shifted the deadline by any
  // amount.
  if (event.message_class < config.policy_settings.classes.size()) {
    const auto longest = config.policy_settings.classes[event.message_class].deadline;
    event.time_left = std::min(event.time_left, longest);
  }
  event.attempts_used = recovered.attempts.size();
  for (const SpooledAttempt& attempt : recovered.attempts) {
    if (attempt.known_not_run || event.may_have_run) continue;
    const dispatch_policy::Duration age = std::max(spool_now - attempt.started_at, UnixMs(0));
    event.may_have_run = std::max(now - age, dispatch_policy::Time{});
    event.ran_on_endpoint = endpoints.FindOrAddId(attempt.endpoint);
  }
  return event;
}

}  // namespace brassfront
