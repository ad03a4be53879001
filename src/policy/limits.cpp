#include <algorithm>
#include <cmath>

#include "policy/admission_gate.hpp"
#include "policy/concurrency_limiter.hpp"
#include "policy/rate_limiter.hpp"

namespace dispatch_policy {

constexpr double kOnsetShare = 0.9;           // share of the discard threshold; H in the paper
constexpr double kAbatementShare = 0.78;      // share of the discard threshold; L in the paper
constexpr double kOverloadRejectShare = 0.6;  // share of new messages; q in the paper
constexpr double kMinDiscardThreshold = 8;    // messages; with fewer a burst makes the gate flap
// Maximum ratio of a destination's backlog to the number of messages that may still be accepted.
constexpr double kMaxCapacityMultiple = 2;
// Retry-After while the time from onset to abatement is unknown.
constexpr Duration kInitialRetryAfter = std::chrono::seconds(1);

bool AdmissionGate::Admit(Destination& destination) {
  Update(destination);
  if (destination.admission.mode == AdmissionMode::kDiscard) return false;
  if (destination.admission.mode == AdmissionMode::kNormal) return true;
  return static_cast<double>(context_.random()) >=
         kOverloadRejectShare * static_cast<double>(context_.random.max());
}

void AdmissionGate::UpdateAll() {
  for (DestinationId id : registry_.active()) Update(registry_.DestinationAt(id));
  std::erase_if(registry_.active(), [this](DestinationId id) {
    const Destination& destination = registry_.DestinationAt(id);
    return destination.waiting.empty() && destination.admission.mode == AdmissionMode::kNormal;
  });
}

Duration AdmissionGate::RetryAfter(const Destination& destination, const Message& message) const {
  if (!settings_.clients_honor_retry_after) return Duration{};
  Duration after = std::min(destination.admission.time_to_abate.value_or(kInitialRetryAfter),
                            std::max(message.deadline - now_, Duration{}));
  if (settings_.max_retry_after > Duration{}) after = std::min(after, settings_.max_retry_after);
  return after;
}

bool AdmissionGate::HalfOfCapacityUsed() const {
  return settings_.max_in_flight > 0 && 2 * in_flight_ >= settings_.max_in_flight;
}

void AdmissionGate::Update(Destination& destination) {
  const AdmissionThresholds thresholds = ComputeThresholds(destination);
  const auto unsent = static_cast<double>(destination.waiting.size());
  AdmissionState& state = destination.admission;
  const bool at_onset = unsent >= thresholds.onset;
  if (at_onset) state.last_at_onset = now_;
  if (unsent >= thresholds.discard) {
    state.mode = AdmissionMode::kDiscard;
  } else if (state.mode == (at_onset ? AdmissionMode::kNormal : AdmissionMode::kDiscard)) {
    state.mode = AdmissionMode::kOverload;
  }
  if (state.mode == AdmissionMode::kOverload && unsent < thresholds.abatement) {
    state.mode = AdmissionMode::kNormal;
    state.time_to_abate = now_ - state.last_at_onset;
  }
}

AdmissionThresholds AdmissionGate::ComputeThresholds(const Destination& destination) {
  const double rate = std::max(destination.sends.Rate(now_), EvenShareOfRate(destination));
  double discard = rate * ToSeconds(context_.min_deadline);
  discard = std::max(discard, kMinDiscardThreshold);
  if (settings_.max_in_flight > 0) {
    const auto capacity = static_cast<double>(settings_.max_in_flight);
    const double left = capacity - static_cast<double>(in_flight_);
    discard = std::max(std::min(discard, kMaxCapacityMultiple * left), 1.0);
  }
  return {kAbatementShare * discard, kOnsetShare * discard, discard};
}

double AdmissionGate::EvenShareOfRate(const Destination& destination) {
  const auto group_size = static_cast<double>(settings_.group_size);
  double share = 0;
  for (EndpointId id : destination.endpoints) {
    Endpoint& endpoint = registry_.EndpointAt(id);
    if (endpoint.entry.state != EndpointState::kListed) continue;
    if (endpoint.health != Health::kClosed) return 0;
    const auto batch = static_cast<double>(registry_.MaxBatch(endpoint));
    share = std::max(share, registry_.FindScope(endpoint).limit * batch / group_size);
  }
  return share;
}

// Shares of all slots.
constexpr double kScarceShare = 0.2;       // if fewer are free, the other shares are enforced
constexpr double kDestinationShare = 0.5;  // for one destination
constexpr double kUnhealthyShare = 0.25;   // for endpoints whose last call failed

Call& ConcurrencyLimiter::BeginCall(Endpoint& endpoint, Destination& destination,
                                    std::size_t message_class) {
  Call& call = calls_[next_call_id_];
  call.id = next_call_id_++;
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

const Duration kRejectionPause = std::chrono::milliseconds(300);
const Duration kMaxRateLimitWindow = std::chrono::seconds(2);
const int kMaxBackoffDoublings = 3;
const double kBatchingShare = 0.4;

constexpr double kRejectionBackoff = 0.85;  // factor of the accepted rate after a rejection
// Growth of a learned rate; increases with each kMaxRateLimitWindow without a rejection.
constexpr double kRecoveryPerSecond = 0.15;
constexpr double kLowAllowance = 0.3;      // remaining share of the limit; below, no rate grows
constexpr double kAssumedLimit = 3;        // calls per second of all dispatchers, if unknown
constexpr double kMinShareOfDemand = 0.2;  // minimum of a learned rate, as a share of own demand
constexpr std::size_t kLargeGroup = 10;    // dispatchers; each one's calls are a small part of all

// Rates of instances that call rarely.
constexpr double kMinCallsToLearnRate = 6;  // in kCallRateTimeConstant; fewer do not show a limit
constexpr double kUsableEvenShare = 0.8;    // of the even share of the limit, after a rejection
constexpr double kRareCallerBackoff = 0.5;  // factor of the rate for each further rejection
constexpr double kMinUsableShare = 0.4;     // minimum rate, as a share of the usable even share

// Pause after a rejection, in mean intervals between own calls; doubles with each rejection.
constexpr double kPauseInCallIntervals = 0.6;
constexpr double kMinLeasedRate = 0.05;          // calls per second; one call in 20 s
constexpr double kFullHistoryTimeConstants = 8;  // after this, older events are negligible

void RateEstimator::Add(Time now) {
  value_ = value_ * Weight(now - last_) + 1 / time_constant_;
  last_ = now;
}

void RateEstimator::Resume(double rate, Time now) {
  value_ = rate;
  first_ = now - FromSeconds(kFullHistoryTimeConstants * time_constant_);
  last_ = now;
}

double RateEstimator::Rate(Time now) const {
  if (value_ <= 0) return 0;
  const Duration seen = std::max<Duration>(now - first_, std::chrono::seconds(1));
  return value_ * Weight(now - last_) / (1 - Weight(seen));
}

double RateEstimator::Weight(Duration age) const {
  return std::exp(-ToSeconds(age) / time_constant_);
}

void RateLimiter::ApplyQuotaLease(const QuotaLeased& event) {
  Endpoint* endpoint = registry_.FindEndpoint(event.endpoint);
  if (endpoint != nullptr) registry_.FindScope(*endpoint).leased_rate = event.rate;
}

void RateLimiter::ApplyLoadReport(RateLimitScope& scope, const LoadReport& report) {
  if (report.limit.value_or(0) <= 0) return;
  scope.limit = *report.limit;
  scope.limit_reported = true;
  scope.allowance_left = report.allowance_left;
}

void RateLimiter::RecordCall(Endpoint& endpoint) {
  RateLimitScope& scope = registry_.FindScope(endpoint);
  double interval = scope.rate > 0 ? 1 / scope.rate : 0;
  double max_rate = scope.limit_reported ? scope.limit : 0;
  if (scope.leased_rate) max_rate = std::max(*scope.leased_rate, kMinLeasedRate);
  if (max_rate > 0) interval = std::max(interval, 1 / max_rate);
  scope.next_call = std::max(scope.next_call, now_) + FromSeconds(interval);
}

void RateLimiter::OnCallAccepted(RateLimitScope& scope) {
  scope.accepted_calls.Add(now_);
  scope.rejections = 0;
  const bool allowance_low = scope.allowance_left && *scope.allowance_left < kLowAllowance;
  if (scope.rate <= 0 || allowance_low) return;
  const double elapsed = std::min(1.0, ToSeconds(now_ - scope.rate_changed));
  const double windows = ToSeconds(now_ - scope.last_rejection) / ToSeconds(kMaxRateLimitWindow);
  scope.rate *= 1 + std::min(1.0, kRecoveryPerSecond * (1 + windows)) * elapsed;
  scope.rate_changed = now_;
  if (!scope.from_even_share) return;
  scope.rate = std::max(scope.rate, UsableEvenShare(scope));
  scope.next_call = std::min(scope.next_call, now_ + FromSeconds(1 / scope.rate));
}

void RateLimiter::OnCallRejected(Endpoint& endpoint, const Call& call, Duration retry_after,
                                 Duration trial_interval) {
  RateLimitScope& scope = registry_.FindScope(endpoint);
  if (scope.rejections > 0 && call.sent < scope.last_rejection) return;
  if (scope.rejections++ == 0) scope.first_rejection = now_;
  scope.last_rejection = now_;
  const double share = LocalShareOfLimit(endpoint);
  const int factor = 1 << std::min(scope.rejections - 1, kMaxBackoffDoublings);
  const bool wait_is_known = factor == 1 && retry_after > Duration{};
  const double intervals = wait_is_known ? 0 : kPauseInCallIntervals * factor;
  const Duration backoff = std::max(kRejectionPause * factor, FromSeconds(intervals / share));
  const Duration pause = std::min(backoff, std::max(kRejectionPause, trial_interval));
  const Time wait_end = now_ + retry_after;
  scope.next_call = std::max(scope.next_call, wait_end + context_.AddJitter(pause));
  if (endpoint.health != Health::kClosed) return;
  if (scope.rate > 0 && now_ - scope.rate_changed < kRejectionPause) return;
  if (!CallsRarely(share)) return LimitToAcceptedRate(scope, share);
  LimitRareCaller(scope, share);
  const Duration interval = FromSeconds(1 / scope.rate);
  scope.next_call = std::max(scope.next_call, wait_end + context_.AddJitter(interval));
}

void RateLimiter::LimitToAcceptedRate(RateLimitScope& scope, double local_share) {
  const double accepted = scope.accepted_calls.Rate(now_);
  const double previous_rate = scope.rate > 0 ? scope.rate : 2 * std::max(accepted, local_share);
  scope.rate =
      std::max(kMinShareOfDemand * local_share,
               kRejectionBackoff * std::min(previous_rate, std::max(accepted, previous_rate / 2)));
  scope.from_even_share = false;
  scope.rate_changed = now_;
}

void RateLimiter::LimitRareCaller(RateLimitScope& scope, double local_share) {
  const double share = scope.limit > 0 ? UsableEvenShare(scope) : local_share;
  const double previous_rate = scope.from_even_share ? kRareCallerBackoff * scope.rate : share;
  scope.rate = std::max(kMinUsableShare * share, std::min(previous_rate, share));
  scope.from_even_share = true;
  scope.rate_changed = now_;
}

double RateLimiter::LocalShareOfLimit(Endpoint& endpoint) {
  double demand = registry_.DestinationAt(endpoint.entry.destination).arrivals.Rate(now_);
  if (registry_.MaxBatch(endpoint) > 1) {
    demand = std::min(demand, 1 / (kBatchingShare * ToSeconds(context_.min_objective)));
  }
  const double limit = std::max(registry_.FindScope(endpoint).limit, kAssumedLimit);
  return std::max(demand, limit / static_cast<double>(settings_.group_size));
}

double RateLimiter::UsableEvenShare(const RateLimitScope& scope) const {
  return kUsableEvenShare * scope.limit / static_cast<double>(settings_.group_size);
}

bool RateLimiter::GroupIsLarge() const { return settings_.group_size >= kLargeGroup; }

bool RateLimiter::CallsRarely(double local_share) const {
  return GroupIsLarge() && local_share * kCallRateTimeConstant.count() < kMinCallsToLearnRate;
}

}  // namespace dispatch_policy
