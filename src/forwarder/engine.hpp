// The engine: one thread owns all state of the forwarder and alone calls the decision module.
//
// It works in turns. What other threads have to say comes by the inbox; what is of the module's
// concern waits for the next turn, and the rest is dealt with at once. No policy is here.
#ifndef BRASSFRONT_FORWARDER_ENGINE_HPP_
#define BRASSFRONT_FORWARDER_ENGINE_HPP_

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <shared_mutex>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "acceptance/message_acceptor.hpp"
#include "concurrency/bounded_queue.hpp"
#include "config/config.hpp"
#include "dispatch_policy/dispatch_policy.hpp"
#include "forwarder/call_observer.hpp"
#include "forwarder/deadline_queue.hpp"
#include "forwarder/endpoint_protocol.hpp"
#include "forwarder/message_trace.hpp"
#include "forwarder/stage_latencies.hpp"
#include "net/discovery_watcher.hpp"
#include "net/endpoint_client.hpp"
#include "net/notification_client.hpp"
#include "observe/log.hpp"
#include "spool/spool.hpp"

namespace brassfront {

class Engine : public MessageAcceptor {
 public:
  // Connections to next endpoint at once, at most.
  static std::size_t MaxEndpointConnections(const Config& config);

  // Lists from discovery go to `divert` instead, if it is given: whoever takes them says by Listed
  // what they come to.
  Engine(const Config& config, Spool& spool, BufferPool& buffers,
         DiscoveryWatcher::OnEndpointList divert = nullptr);
  ~Engine() override;

  // Before Restore: it hears of every call from now on, and outlives the engine.
  void SetCallObserver(CallObserver& observer) { call_observer_ = &observer; }
  // Takes up what an earlier process owed, with the endpoints that there are. Clients may come once
  // it has returned.
  void Restore(const MemberList& known);
  void Restore() { Restore(config_.known); }
  // Works until it has been told to leave and may.
  void Run(std::function<void()> on_drain);
  // After Run: whoever still waits for an answer is deferred, and nothing more is taken.
  void Close();

  // ---- for other threads ----
  SubmitResult Submit(DeliveryRequest request) override;
  void OnAcknowledged(std::uint64_t message) override;
  void OnClientDisconnected(std::uint64_t message) override;
  void BeginGracefulShutdown();
  void SetEndpoints(MemberList list) { inbox_.Push(std::move(list)); }
  void UpdateEndpoint(EndpointUpdate update) { inbox_.Push(std::move(update)); }
  // Does it on the engine's thread, once all that was put before has been taken up.
  void Post(std::function<void()> what);
  // Messages that are taken on and not ended, as of the last turn.
  std::size_t messages_in_flight() const { return messages_in_flight_; }
  // Discovery and the platform are to be reached at another address.
  void SetDiscoveryAddress(std::string discovery);

 private:
  using Duration = dispatch_policy::Duration;
  using Time = dispatch_policy::Time;
  using MessageId = dispatch_policy::MessageId;  // the same number in the spool

  struct PendingSubmission {
    DeliveryRequest request;
    std::promise<SubmitResult> reply;
    std::size_t message_class = 0, tenant = 0;
    Time submitted_at{};
  };
  struct MessageAcknowledged {
    MessageId message;
  };
  struct ClientDisconnected {
    MessageId message;
  };
  struct NotificationConfirmed {
    MessageId message;
  };
  struct ShutdownRequested {};
  struct DiscoveryAddressChanged {
    std::string discovery;
  };
  struct PostedTask {
    std::function<void()> what;
  };
  using InboxEvent =
      std::variant<PendingSubmission, MessageAcknowledged, ClientDisconnected, EndpointCallResult,
                   MemberList, NotificationConfirmed, ShutdownRequested, DiscoveryAddressChanged,
                   PostedTask, EndpointUpdate>;

  struct InFlightMessage {
    std::string id{};
    std::string key{};
    std::string body{};
    bool acknowledged = false;         // its client knows that it was taken on
    bool given_up = false;             // given up; its notice is on the way
    std::size_t attempts = 0;          // spool_index in the spool, by earlier processes too
    std::size_t attempts_decided = 0;  // by the module
    Time given_up_at{};
  };

  struct Endpoint {
    std::string name;
    std::string address;
    dispatch_policy::EndpointEntry entry;
    Time gone_since{};  // if it is removed
  };

  struct PendingAttempt {
    MessageId message = 0;
    std::string id{};
    std::size_t attempt = 0;      // as the module counts
    std::size_t spool_index = 0;  // as the spool counts
    bool cancelled = false;
  };

  struct PendingCall {
    dispatch_policy::EndpointId endpoint = 0;
    std::vector<PendingAttempt> attempts;  // none: a probe
    Time start_by{};
    Time deadline{};
    Time decided_at{};  // for, by the module
    Time started{};
    std::size_t bytes = 0;                        // of the bundle
    bool withdrawn = false;                       // before it was started
    std::shared_ptr<EndpointCall> endpoint_call;  // none until it is started
  };

  void On(PendingSubmission submission);
  void On(const MessageAcknowledged& event);
  void On(const ClientDisconnected& event);
  void On(const EndpointCallResult& event);
  void On(const MemberList& event);
  void On(const NotificationConfirmed& event);
  void On(const ShutdownRequested&);
  void On(const DiscoveryAddressChanged& event);
  void On(const PostedTask& event);
  void On(EndpointUpdate event);
  void On(const Deadline& event);

  void Decide(Time now);
  void PersistAccepted();
  void Apply(const dispatch_policy::SendAttempt& action);
  void Apply(const dispatch_policy::RejectMessage& action);
  void Apply(const dispatch_policy::FailMessage& action);
  void Apply(const dispatch_policy::CancelAttempt& action);
  void Apply(const dispatch_policy::SetTimer& action);
  void Apply(const dispatch_policy::StartHealthCheck& action);
  void Apply(const dispatch_policy::SubscribeToEndpointList&) {}  // the watch is always open
  void Apply(const dispatch_policy::LogMessage& action);

  std::string Reject(const DeliveryRequest& request, std::size_t& message_class,
                     std::size_t& tenant) const;
  Time NextWakeUp() const;
  void Reply(PendingSubmission& submission, SubmitResult reply);
  bool KnowsDestination(dispatch_policy::DestinationId destination) const;
  void PublishKnownDestinations();
  bool HasCapacityFor(const DeliveryRequest& request) const;
  void GiveUp(MessageId message, Notification notice);
  void Erase(MessageId message);
  void End(MessageId message, TraceStep step);
  void LogOverdue(Time now);
  dispatch_policy::EndpointId FindOrAddEndpoint(const std::string& name);
  void ForgetRemovedEndpoints(Time now);
  void ScheduleIdleExpiry();
  dispatch_policy::EndpointList ApplyList(const MemberList& list);

  void StartReadyCalls(Time now);
  bool Start(std::uint64_t number, PendingCall& call, Time now);
  void CompleteAttempt(const PendingCall& call, const PendingAttempt& attempt,
                       const AttemptResult& end, Time now, Duration wait = {},
                       const dispatch_policy::LoadReport& report = {});
  void CompleteUnsent(const PendingCall& call, Time now);
  template <typename Bound>
  void WithdrawCalls(Bound bound);

  CallTarget Target(const Endpoint& endpoint) const;
  std::function<bool()> CallPermit(const Endpoint& endpoint) const;

  const Config& config_;
  Spool& spool_;
  CallObserver* call_observer_ = nullptr;
  BoundedQueue<InboxEvent> inbox_;
  dispatch_policy::DispatchPolicy policy_;
  std::vector<dispatch_policy::Event> events_;  // for the next turn
  Time last_decision_{};
  DeadlineQueue deadlines_;
  Time idle_expiry_at_ = Time::max();  // the earliest deadline set for it

  std::map<MessageId, InFlightMessage> messages_;
  std::unordered_map<std::string, MessageId> ids_by_client_id_;
  MessageTrace trace_;
  std::size_t deliverable_ = 0;  // held and not given up
  std::size_t body_bytes_ = 0;   // of all held
  MessageId next_message_;
  std::map<MessageId, PendingSubmission> submissions_;  // not answered yet

  std::map<dispatch_policy::EndpointId, Endpoint> endpoints_;
  std::unordered_map<std::string, dispatch_policy::EndpointId> endpoint_ids_;
  dispatch_policy::EndpointId next_endpoint_ = 0;
  Duration longest_deadline_{};  // of the classes
  mutable std::shared_mutex known_destinations_mutex_;
  std::unordered_set<dispatch_policy::DestinationId>
      known_destinations_;  // those of endpoints_; for other threads as well
  std::uint64_t revision_ = 0;

  std::uint64_t next_call_ = 1;
  std::map<std::uint64_t, PendingCall> calls_;
  std::deque<std::uint64_t> ready_calls_;                              // not started yet
  std::map<dispatch_policy::EndpointId, std::uint64_t> open_batches_;  // still open in this turn
  std::vector<Notification> notifications_;                            // in this turn
  std::size_t running_calls_ = 0;

  StageLatencies latencies_;
  std::atomic<std::size_t> messages_in_flight_{0};  // for other threads

  std::function<void()> on_drain_;
  bool shutting_down_ = false;  // decided_at to
  bool may_exit_ = false;       // once nothing is recovered
  bool exited_ = false;

  // Last: their threads speak to all of the above.
  EndpointClient endpoint_client_;
  NotificationClient notification_client_;
  DiscoveryWatcher discovery_watcher_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_ENGINE_HPP_
