#include "policy/concurrency_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace dispatch_policy {
namespace {

constexpr double kScarceSlots = 0.2;     // share of slots free below which the companion acts
constexpr double kSlotShare = 0.5;       // of the slots for one destination then
constexpr double kSickSlotShare = 0.25;  // and for all endpoints whose last call failed

}  // namespace

Call& ConcurrencyLimiter::BeginCall(Endpoint& e, Destination& d, std::size_t message_class) {
  const std::uint64_t id = next_call_++;
  Call& call = calls_[id];
  call.id = id;
  call.sent = now_;
  call.message_class = message_class;
  call.sick = e.fails_in_row > 0;
  sick_out_ += call.sick;
  ++e.calls_out;
  ++e.fresh_out;
  ++d.calls_out;
  return call;
}

void ConcurrencyLimiter::EndCall(Endpoint& e, const Call& call) {
  if (!call.overdue) --e.fresh_out;
  sick_out_ -= call.sick;
  --e.calls_out;
  --registry_.DestinationAt(e.entry.destination).calls_out;
  calls_.erase(call.id);
}

std::size_t ConcurrencyLimiter::FreeSlots() const {
  if (settings_.max_concurrent_calls == 0) return SIZE_MAX;
  return settings_.max_concurrent_calls > calls_.size()
             ? settings_.max_concurrent_calls - calls_.size()
             : 0;
}

bool ConcurrencyLimiter::SlotsScarce(std::size_t taken) const {
  return settings_.max_concurrent_calls > 0 &&
         static_cast<double>(FreeSlots()) - static_cast<double>(taken) <
             kScarceSlots * static_cast<double>(settings_.max_concurrent_calls);
}

bool ConcurrencyLimiter::WithinSlotShare(const Destination& d) const {
  return !SlotsScarce(1) || !OthersHoldWork(d) || d.calls_out < SlotsOf(kSlotShare);
}

bool ConcurrencyLimiter::WithinSickShare(const Endpoint& e) const {
  return e.fails_in_row == 0 || !SlotsScarce(1) || sick_out_ < SlotsOf(kSickSlotShare);
}

bool ConcurrencyLimiter::OthersHoldWork(const Destination& d) const {
  return std::any_of(registry_.active_destinations().begin(), registry_.active_destinations().end(),
                     [&](DestinationId id) {
                       const Destination& other = registry_.DestinationAt(id);
                       return &other != &d && !other.waiting.empty();
                     });
}

double ConcurrencyLimiter::SlotsOf(double share) const {
  return std::max(1.0, std::floor(share * static_cast<double>(settings_.max_concurrent_calls)));
}

}  // namespace dispatch_policy
