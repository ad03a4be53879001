#include "policy/concurrency_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace dispatch_policy {
namespace {

constexpr double kScarceSlotShare = 0.2;       // share of slots free below which the companion acts
constexpr double kDestinationSlotShare = 0.5;  // of the slots for one destination then
constexpr double kUnhealthySlotShare = 0.25;   // and for all endpoints whose last call failed

}  // namespace

Call& ConcurrencyLimiter::BeginCall(Endpoint& endpoint, Destination& destination,
                                    std::size_t message_class) {
  const std::uint64_t id = next_call_id_++;
  Call& call = calls_[id];
  call.id = id;
  call.sent = now_;
  call.message_class = message_class;
  call.endpoint_unhealthy = endpoint.failures_in_row > 0;
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
  if (settings_.max_concurrent_calls == 0) return SIZE_MAX;
  return settings_.max_concurrent_calls > calls_.size()
             ? settings_.max_concurrent_calls - calls_.size()
             : 0;
}

bool ConcurrencyLimiter::SlotsAreScarce(std::size_t taken) const {
  return settings_.max_concurrent_calls > 0 &&
         static_cast<double>(FreeSlots()) - static_cast<double>(taken) <
             kScarceSlotShare * static_cast<double>(settings_.max_concurrent_calls);
}

bool ConcurrencyLimiter::WithinDestinationShare(const Destination& destination) const {
  return !SlotsAreScarce(1) || !OtherDestinationsWait(destination) ||
         destination.calls_in_flight < SlotsForShare(kDestinationSlotShare);
}

bool ConcurrencyLimiter::WithinUnhealthyShare(const Endpoint& endpoint) const {
  return endpoint.failures_in_row == 0 || !SlotsAreScarce(1) ||
         unhealthy_calls_ < SlotsForShare(kUnhealthySlotShare);
}

bool ConcurrencyLimiter::OtherDestinationsWait(const Destination& destination) const {
  return std::any_of(registry_.active().begin(), registry_.active().end(), [&](DestinationId id) {
    const Destination& other = registry_.DestinationAt(id);
    return &other != &destination && !other.waiting.empty();
  });
}

double ConcurrencyLimiter::SlotsForShare(double share) const {
  return std::max(1.0, std::floor(share * static_cast<double>(settings_.max_concurrent_calls)));
}

}  // namespace dispatch_policy
