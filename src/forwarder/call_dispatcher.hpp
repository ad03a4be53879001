// Carries out the calls that the policy decides on: records their attempts, passes them to the
// threads of EndpointClient, and reports their outcomes to the policy.
#ifndef BRASSFRONT_FORWARDER_CALL_DISPATCHER_HPP_
#define BRASSFRONT_FORWARDER_CALL_DISPATCHER_HPP_

#include <cstddef>
#include <functional>
#include <vector>

#include "config/config.hpp"
#include "dispatch_policy/dispatch_policy.hpp"
#include "exclusions/endpoint_exclusions.hpp"
#include "forwarder/call_observer.hpp"
#include "forwarder/call_tracker.hpp"
#include "forwarder/deadline_queue.hpp"
#include "forwarder/endpoint_protocol.hpp"
#include "forwarder/endpoint_registry.hpp"
#include "forwarder/message_table.hpp"
#include "forwarder/stage_latencies.hpp"
#include "net/endpoint_client.hpp"

namespace brassfront {

// Used only by the engine's thread; `on_result` is called by the threads that carry out calls.
class CallDispatcher : private CallTracker::Starter {
 public:
  using Time = dispatch_policy::Time;
  using MessageId = dispatch_policy::MessageId;
  using SetDeadline = std::function<void(Time, Deadline)>;

  // State shared with the engine, which owns it and outlives the dispatcher.
  struct Context {
    const Config& config;
    MessageTable& messages;
    const EndpointRegistry& endpoints;
    StageLatencies& latencies;
    std::vector<dispatch_policy::Event>& policy_events;  // for the next decision
  };

  // Maximum number of simultaneous connections to endpoints, used for running calls and health
  // checks or idle.
  [[nodiscard]] static std::size_t MaxConnections(const Config& config);

  // When a deadline of kind kCallTimeout or kIdleConnectionExpiry is due, the engine calls the
  // matching method below. Throws std::runtime_error if a thread cannot be created.
  CallDispatcher(const Context& context, BufferPool& buffers, EndpointClient::OnResult on_result,
                 SetDeadline set_deadline);

  // The observer is notified of every call from now on. It must outlive the dispatcher.
  void SetCallObserver(CallObserver& observer) { call_observer_ = &observer; }

  // The exclusions are checked before each call from now on. They must outlive the dispatcher.
  void SetExclusions(const EndpointExclusions& exclusions) { exclusions_ = &exclusions; }

  // ---- the policy's actions ----

  void Send(const dispatch_policy::SendAttempt& action, Time decided_at);
  void StartHealthCheck(const dispatch_policy::StartHealthCheck& action, Time decided_at);
  void Cancel(const dispatch_policy::CancelAttempt& action);
  // Must be called after all actions of a decision: later attempts do not share its calls.
  void CloseBatches() { calls_.CloseBatches(); }

  // ---- events ----

  // Starts the calls that may start by now.
  void StartReadyCalls(Time now) { calls_.StartReadyCalls(now, *this); }
  void OnResult(const EndpointCallResult& result);
  void OnTimeout(CallId call) { calls_.OnTimeout(call); }
  // Must be called when the endpoint list has changed. Withdraws calls to endpoints that no longer
  // serve, unless the request is already being written, and closes idle connections to them.
  void OnEndpointsChanged();
  void OnEndpointForgotten(dispatch_policy::EndpointId endpoint);
  void OnIdleConnectionExpiry();
  void CloseExpiredIdle() { endpoint_client_.CloseExpiredIdle(); }

  // Called at the end of the process. Withdraws calls that have not started; aborts started calls,
  // which complete with what has been received of their answers.
  void CancelAll();

  // Calls that have not completed, started or not.
  [[nodiscard]] const CallTracker& calls() const { return calls_; }

 private:
  // CallTracker::Starter
  [[nodiscard]] bool IsDeliverable(MessageId message) const override;
  [[nodiscard]] bool IsAcknowledged(MessageId message) const override;
  [[nodiscard]] bool Start(CallId id, PendingCall& call, Time now) override;
  void OnAttemptNotSent(const PendingCall& call, const PendingAttempt& attempt, Time now) override;

  [[nodiscard]] std::function<bool()> CallPermit(dispatch_policy::EndpointId endpoint) const;
  void CompleteCall(const PendingCall& call, const EndpointCallResult& result, Time now);
  void CompleteAttempt(const PendingCall& call, const PendingAttempt& attempt,
                       const AttemptResult& result, dispatch_policy::AttemptCompleted completed,
                       Time now);
  void ScheduleIdleExpiry();

  const Context context_;
  const SetDeadline set_deadline_;
  CallObserver* call_observer_ = nullptr;
  const EndpointExclusions* exclusions_ = nullptr;
  CallTracker calls_;
  Time idle_expiry_at_ = Time::max();  // earliest deadline set for idle connections
  EndpointClient endpoint_client_;     // the last member, so that its threads end first
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_CALL_DISPATCHER_HPP_
