// The engine wires the forwarder's parts: it feeds the dispatch policy with what clients, endpoints
// and the platform say, and applies the actions that the policy returns. It decides nothing itself.
//
// One thread, the caller of Restore and Run, owns all state. Other threads reach it by its inbox.
// The order of operations is what keeps messages safe: the spool's record of a message precedes its
// client's OK, which precedes its first attempt; the record of an attempt precedes its first byte;
// the record of a message's end follows the delivery or the platform's 204 to the notification.
#ifndef BRASSFRONT_FORWARDER_ENGINE_HPP_
#define BRASSFRONT_FORWARDER_ENGINE_HPP_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "acceptance/message_acceptor.hpp"
#include "config/config.hpp"
#include "dispatch_policy/dispatch_policy.hpp"
#include "exclusions/endpoint_exclusions.hpp"
#include "forwarder/call_dispatcher.hpp"
#include "forwarder/call_observer.hpp"
#include "forwarder/condition_recorder.hpp"
#include "forwarder/endpoint_registry.hpp"
#include "forwarder/event_loop.hpp"
#include "forwarder/known_list_hold.hpp"
#include "forwarder/message_table.hpp"
#include "forwarder/notification_poster.hpp"
#include "forwarder/shutdown.hpp"
#include "forwarder/stage_latencies.hpp"
#include "forwarder/submission_queue.hpp"
#include "net/discovery_watcher.hpp"
#include "spool/spool.hpp"

namespace brassfront {

class Engine : public MessageAcceptor {
 public:
  // Connections to endpoints at once, at most: running calls, health checks and idle ones.
  [[nodiscard]] static std::size_t MaxEndpointConnections(const Config& config);

  // The arguments outlive the engine. Lists from discovery go to `divert` instead, if it is given:
  // its owner passes on by SetEndpoints what follows from them. Throws std::runtime_error where the
  // system has no room for a thread.
  Engine(const Config& config, Spool& spool, BufferPool& buffers,
         DiscoveryWatcher::OnEndpointList divert = nullptr);
  ~Engine() override;

  // ---- the engine's thread ----

  // To be called before Restore, if at all. The observer sees every call from then on, and outlives
  // the engine.
  void SetCallObserver(CallObserver& observer);
  // To be called before Restore, if at all. No call begins to an endpoint that is excluded, and
  // none at all while the exclusions are not complete. They outlive the engine.
  void SetExclusions(const EndpointExclusions& exclusions) {
    exclusions_ = &exclusions;
    call_dispatcher_.SetExclusions(exclusions);
  }
  // To be called before Restore, if at all. What is observed of endpoints is kept there, and taken
  // over from there. It outlives the engine.
  void SetConditionStore(ConditionStore& store) { condition_recorder_.SetStore(store); }
  // Takes over the messages that an earlier process had accepted, with the endpoints that are known
  // now. Clients may connect once it has returned.
  void Restore(const MemberList& known);
  void Restore() { Restore(config_.known_endpoints); }
  // Works until a shutdown is over. Calls `on_drain` when one begins.
  void Run(std::function<void()> on_drain);
  // To be called after Run: clients that wait in Submit are rejected, and nothing more is accepted.
  void Close();

  // ---- any thread ----

  SubmitResult Submit(DeliveryRequest request) override;
  void OnAcknowledged(std::uint64_t message) override;
  void OnClientDisconnected(std::uint64_t message) override;
  void BeginGracefulShutdown();
  void SetEndpoints(MemberList list) { loop_.Push(std::move(list)); }
  // The same and the one below for operators, who are not kept waiting by a full inbox.
  void SetEndpointsUrgently(MemberList list) { loop_.PushUrgent(std::move(list)); }
  void UpdateEndpointUrgently(EndpointUpdate update) { loop_.PushUrgent(std::move(update)); }
  void UpdateEndpoint(EndpointUpdate update) { loop_.Push(std::move(update)); }
  // Runs the task on the engine's thread, after everything that was pushed before.
  void Post(std::function<void()> task);
  // As of the last round of the loop.
  [[nodiscard]] std::size_t messages_in_flight() const { return messages_in_flight_; }
  // Discovery and the platform's notifications are reached at this address from now on.
  void SetDiscoveryAddress(std::string discovery);

 private:
  using Duration = dispatch_policy::Duration;
  using Time = dispatch_policy::Time;
  using MessageId = dispatch_policy::MessageId;

  struct MessageAcknowledged {
    MessageId message;
  };
  struct ClientDisconnected {
    MessageId message;
  };
  struct ShutdownRequested {};
  struct DiscoveryAddressChanged {
    std::string discovery;
  };
  struct PostedTask {
    std::function<void()> task;
  };
  using InboxEvent =
      std::variant<PendingSubmission, MessageAcknowledged, ClientDisconnected, EndpointCallResult,
                   MemberList, NotificationPostResult, ShutdownRequested, DiscoveryAddressChanged,
                   PostedTask, EndpointUpdate>;

  void On(PendingSubmission submission);
  void On(const MessageAcknowledged& event);
  void On(const ClientDisconnected& event);
  void On(const EndpointCallResult& event);
  void On(const MemberList& event);
  void On(const NotificationPostResult& event);
  void On(const ShutdownRequested& event);
  void On(const DiscoveryAddressChanged& event);
  void On(const PostedTask& event);
  void On(EndpointUpdate event);
  void On(const Deadline& event);

  void Decide(Time now);
  void Apply(const dispatch_policy::SendAttempt& action);
  void Apply(const dispatch_policy::RejectMessage& action);
  void Apply(const dispatch_policy::FailMessage& action);
  void Apply(const dispatch_policy::CancelAttempt& action);
  void Apply(const dispatch_policy::SetTimer& action);
  void Apply(const dispatch_policy::StartHealthCheck& action);
  void Apply(const dispatch_policy::SubscribeToEndpointList&) {}  // the watch is always open
  void Apply(const dispatch_policy::LogMessage& action);

  std::size_t RestoreMessages(Time now);
  void RestoreMessage(RecoveredMessage recovered, Time now, UnixMs spool_now);
  void RetrySpool();
  // Passes an event on to the policy, or holds it back for as long as lists are.
  void AddListEvent(dispatch_policy::Event event);
  void AddConditions(const dispatch_policy::EndpointList& list);
  void AddLostConditions();
  void ReleaseHeldEvents(Time now);

  [[nodiscard]] Time NextWakeUp() const;
  bool RejectSubmission(MessageId message, SubmitResult result);
  void GiveUpExpired(Time now);
  Time TakeEvents(const std::function<Time()>& next_wake_up);
  void TakeLastAnswers();
  void LogMessageStep(const char* event, MessageId message, std::string_view reason = {}) const;
  void DoHousekeeping();
  void PublishMetrics();

  const Config& config_;
  CallObserver* call_observer_ = nullptr;
  EventLoop<InboxEvent> loop_;
  dispatch_policy::DispatchPolicy policy_;
  std::vector<dispatch_policy::Event> policy_events_;  // for the next decision
  Time last_decision_{};
  Time next_metrics_line_{};
  KnownListHold known_list_hold_;
  // Lists and restored messages that the policy is to get when it is over, in order.
  std::vector<dispatch_policy::Event> held_events_;
  const EndpointExclusions* exclusions_ = nullptr;

  MessageTable messages_;
  Spool& spool_;
  EndpointRegistry endpoints_;
  ConditionRecorder condition_recorder_;
  StageLatencies latencies_;
  SubmissionQueue submissions_;
  GracefulShutdown shutdown_;
  std::function<void()> on_drain_;
  std::atomic<std::size_t> messages_in_flight_{0};

  // Last, so that their threads end first: they push to the loop.
  CallDispatcher call_dispatcher_;
  NotificationPoster notification_poster_;
  DiscoveryWatcher discovery_watcher_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_ENGINE_HPP_
