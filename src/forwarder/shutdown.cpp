#include "forwarder/shutdown.hpp"

namespace brassfront {

std::optional<GracefulShutdown::ExitTimes> GracefulShutdown::Begin(Time now) {
  if (exit_times_) return std::nullopt;
  exit_times_ = {.earliest = now + kMinDuration, .latest = now + kMaxDuration};
  return exit_times_;
}

bool GracefulShutdown::IsOver(Time now, std::size_t messages_in_flight) const {
  if (!exit_times_ || now < exit_times_->earliest) return false;
  return messages_in_flight == 0 || now >= exit_times_->latest;
}

}  // namespace brassfront
