#include "dispatch_policy/dispatch_policy.hpp"

#include "policy/policy_components.hpp"

namespace dispatch_policy {

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

std::vector<ConditionChange> DispatchPolicy::TakeConditionChanges() {
  return impl_->condition_transfer.TakeChanges();
}

const char* ToString(GiveUpReason reason) {
  switch (reason) {
    case GiveUpReason::kNotAdmitted:
      return "not-admitted";
    case GiveUpReason::kUnknownClass:
      return "unknown-class";
    case GiveUpReason::kDeadline:
      return "deadline";
    case GiveUpReason::kAttemptsExhausted:
      return "attempts-exhausted";
    case GiveUpReason::kDedupWindowExpired:
      return "dedup-window-expired";
    case GiveUpReason::kEndpointsUnavailable:
      return "endpoints-unavailable";
  }
  return "unknown";
}

}  // namespace dispatch_policy
