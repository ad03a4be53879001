// Makes the dispatch policy's event for a message that an earlier process had accepted.
#ifndef BRASSFRONT_FORWARDER_RESTORED_MESSAGE_HPP_
#define BRASSFRONT_FORWARDER_RESTORED_MESSAGE_HPP_

#include <cstddef>

#include "config/config.hpp"
#include "dispatch_policy/dispatch_policy.hpp"
#include "forwarder/endpoint_registry.hpp"
#include "spool/spool.hpp"

namespace brassfront {

// Returns the effect of the class's messages: kNotIdempotent if the class is unknown.
[[nodiscard]] dispatch_policy::Effect EffectOf(const Config& config, std::size_t message_class);

// `now` and `spool_now` are the same moment on the two clocks. Endpoints to which the message may
// have been sent are assigned ids in the registry.
[[nodiscard]] dispatch_policy::MessageRestored MakeRestoredEvent(const RecoveredMessage& recovered,
                                                                 const Config& config,
                                                                 EndpointRegistry& endpoints,
                                                                 dispatch_policy::Time now,
                                                                 UnixMs spool_now);

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_RESTORED_MESSAGE_HPP_
