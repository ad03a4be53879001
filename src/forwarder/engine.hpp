// The engine connects the forwarder's parts: it passes events from clients, endpoints and the
// platform to the dispatch policy, and applies the actions that the policy returns. It makes no
// decisions itself.
//
// One thread, the caller of Restore and Run, owns all state. Other threads push events to its
// inbox. The order of operations keeps messages from being lost: the spool's record of a message
// precedes its client's OK, which precedes its first attempt. The record of an attempt precedes its
// first byte. The record of a message's end follows the delivery, or the platform's 204 to the
// notification.
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
  // Maximum number of simultaneous connections to endpoints, used for running calls and health
  // checks or idle.
  [[nodiscard]] static std::size_t MaxEndpointConnections(const Config& config);

  // The arguments must outlive the engine. If `on_discovery_list` is given, lists from discovery go
  // to it instead of the engine; its owner passes the resulting lists to SetEndpoints. Throws
  // std::runtime_error if a thread cannot be created.
  Engine(const Config& config, Spool& spool, BufferPool& buffers,
         DiscoveryWatcher::OnEndpointList on_discovery_list = nullptr);
  ~Engine() override;

  // ---- the engine's thread ----

  // Optional; must be called before Restore. The observer is notified of every call from then on,
  // and must outlive the engine.
  void SetCallObserver(CallObserver& observer);
  // Optional; must be called before Restore. No call to an excluded endpoint starts, and no call at
  // all while the exclusions are not complete. They must outlive the engine.
  void SetExclusions(const EndpointExclusions& exclusions) {
    exclusions_ = &exclusions;
    call_dispatcher_.SetExclusions(exclusions);
  }
  // Optional; must be called before Restore. Conditions of endpoints are recorded in the store and
  // restored from it. It must outlive the engine.
  void SetConditionStore(ConditionStore& store) { condition_recorder_.SetStore(store); }
  // Restores the messages that an earlier process had accepted, with the endpoints that are known
  // now. Clients may connect once this has returned.
  void Restore(const MemberList& known);
  void Restore() { Restore(config_.known_endpoints); }
  // Runs the loop until a shutdown is over. Calls `on_drain` when a shutdown begins.
  void Run(std::function<void()> on_drain);
  // Must be called after Run. Clients that wait in Submit are rejected, and no more messages are
  // accepted.
  void Close();

  // ---- any thread ----

  SubmitResult Submit(DeliveryRequest request) override;
  void OnAcknowledged(std::uint64_t message) override;
  void OnClientDisconnected(std::uint64_t message) override;
  void BeginGracefulShutdown();
  void SetEndpoints(MemberList list) { loop_.Push(std::move(list)); }
  // The urgent variants are for operators: they do not wait when the inbox is full.
  void SetEndpointsUrgently(MemberList list) { loop_.PushUrgent(std::move(list)); }
  void UpdateEndpointUrgently(EndpointUpdate update) { loop_.PushUrgent(std::move(update)); }
  void UpdateEndpoint(EndpointUpdate update) { loop_.Push(std::move(update)); }
  // Runs the task on the engine's thread, after all events that were pushed before.
  void Post(std::function<void()> task);
  // Number of messages in flight at the end of the last round of the loop.
  [[nodiscard]] std::size_t messages_in_flight() const { return messages_in_flight_; }
  // Sets the address for discovery and for notifications to the platform.
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
  void On(const EndpointCallResult& result);
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
  // Passes an event on to the policy, or holds it back while lists are held back.
  void AddListEvent(dispatch_policy::Event event);
  void AddConditions(const dispatch_policy::EndpointList& list);
  void AddLostConditions();
  void ReleaseHeldEvents(Time now);

  [[nodiscard]] Time NextWakeUp() const;
  bool RejectSubmission(MessageId message, SubmitResult result);
  void GiveUpExpired(Time now);
  Time ProcessEvents(const std::function<Time()>& next_wake_up);
  void ProcessLastAnswers();
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
  // Lists and restored messages that are passed to the policy in this order when the hold ends.
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

  // The last members, so that their threads, which push to the loop, end first.
  CallDispatcher call_dispatcher_;
  NotificationPoster notification_poster_;
  DiscoveryWatcher discovery_watcher_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_ENGINE_HPP_
