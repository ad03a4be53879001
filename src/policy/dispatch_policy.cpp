#include "dispatch_policy/dispatch_policy.hpp"

#include <utility>

#include "policy/policy_components.hpp"

namespace dispatch_policy {

// Hands each event to the component that it is for.
struct DispatchPolicy::Impl : PolicyComponents {
  using PolicyComponents::PolicyComponents;

  void On(const MessageArrived& event) { ledger.AdmitMessage(event); }
  void On(const MessageRestored& event) { ledger.RestoreMessage(event); }
  void On(const MessageCancelled& event) { ledger.CancelMessage(event); }
  void On(const AttemptCompleted& event) { retry_scheduler.CompleteAttempt(event); }
  void On(const HealthCheckCompleted& event) { breaker.CompleteHealthCheck(event); }
  void On(const EndpointList& event) { registry.ApplyList(event); }
  void On(const TimerFired&) { retry_scheduler.OnTimerFired(); }
  void On(const QuotaLeased& event) { rate_limiter.ApplyQuotaLease(event); }
  void On(const PeerHealthReport& event) { breaker.ApplyPeerReport(event); }
};

DispatchPolicy::DispatchPolicy(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
DispatchPolicy::~DispatchPolicy() = default;
DispatchPolicy::DispatchPolicy(DispatchPolicy&&) noexcept = default;
DispatchPolicy& DispatchPolicy::operator=(DispatchPolicy&&) noexcept = default;

std::vector<Action> DispatchPolicy::Decide(Time now, std::span<const Event> events) {
  impl_->context.Begin(now);
  impl_->registry.Subscribe();
  for (const Event& event : events) {
    std::visit([this](const auto& alternative) { impl_->On(alternative); }, event);
  }
  impl_->retry_scheduler.ReviewMessages();
  impl_->selector.Dispatch();
  impl_->admission_gate.UpdateAll();
  impl_->retry_scheduler.SetWakeUpTimer();
  return std::move(impl_->context.actions);
}

}  // namespace dispatch_policy
