#include "policy/concurrency_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace dispatch_policy {

constexpr double kScarceShare = 0.2;       // of all slots: with fewer free, shares are enforced
constexpr double kDestinationShare = 0.5;  // of all slots, for one destination
constexpr double kUnhealthyShare = 0.25;   // of all slots, for endpoints whose last call failed

Call& ConcurrencyLimiter::BeginCall(Endpoint& endpoint, Destination& destination,
                                    std::size_t message_class) {
  const std::uint64_t id = next_call_id_++;
  Call& call = calls_[id];
  call.id = id;
  call.sent = now_;
  call.message_class = message_class;
  call.endpoint_unhealthy = endpoint.failures > 0;
  unhealthy_calls_ += call.endpoint_unhealthy;
  ++endpoint.calls_in_flight;
  ++endpoint.calls_not_overdue;
  ++destination.calls_in_flight;
  return call;
}

void ConcurrencyLimiter::EndCall(Endpoint& endpoint, const Call& call) {
  if (!call.overdue) --endpoint.calls_not_overdue;
  unhealthy_calls_ -= call.endpoint_unhealthy;
  --endpoint.calls_in_flight;
  --registry_.DestinationAt(endpoint.entry.destination).calls_in_flight;
  calls_.erase(call.id);
}

std::size_t ConcurrencyLimiter::FreeSlots() const {
  const std::size_t slots = settings_.max_concurrent_calls;
  return slots == 0 ? SIZE_MAX : slots - std::min(slots, calls_.size());
}

bool ConcurrencyLimiter::SlotsAreScarce(std::size_t taken) const {
  const auto slots = static_cast<double>(settings_.max_concurrent_calls);
  const double free = static_cast<double>(FreeSlots()) - static_cast<double>(taken);
  return settings_.max_concurrent_calls > 0 && free < kScarceShare * slots;
}

bool ConcurrencyLimiter::WithinDestinationShare(const Destination& destination) const {
  return !SlotsAreScarce(1) || !OtherDestinationsWait(destination) ||
         destination.calls_in_flight < SlotsForShare(kDestinationShare);
}

bool ConcurrencyLimiter::WithinUnhealthyShare(const Endpoint& endpoint) const {
  return endpoint.failures == 0 || !SlotsAreScarce(1) ||
         unhealthy_calls_ < SlotsForShare(kUnhealthyShare);
}

bool ConcurrencyLimiter::OtherDestinationsWait(const Destination& destination) const {
  for (DestinationId id : registry_.active()) {
    const Destination& other = registry_.DestinationAt(id);
    if (&other != &destination && !other.waiting.empty()) return true;
  }
  return false;
}

double ConcurrencyLimiter::SlotsForShare(double share) const {
  return std::max(1.0, std::floor(share * static_cast<double>(settings_.max_concurrent_calls)));
}

}  // namespace dispatch_policy
