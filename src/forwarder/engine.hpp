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
#include "forwarder/deadlines.hpp"
#include "forwarder/message_trace.hpp"
#include "forwarder/stage_latencies.hpp"
#include "forwarder/translate.hpp"
#include "net/discovery_watcher.hpp"
#include "net/endpoint_client.hpp"
#include "net/notification_client.hpp"
#include "observe/log.hpp"
#include "spool/spool.hpp"

namespace brassfront {

class Engine : public MessageAcceptor {
 public:
  // Connections to next hops at once, at most.
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

  struct Arrival {
    DeliveryRequest request;
    std::promise<SubmitResult> answer;
    std::size_t the_class = 0, tenant = 0;
    Time handed_in{};
  };
  struct HeardNow {
    MessageId message;
  };
  struct LostNow {
    MessageId message;
  };
  struct NoticeHeard {
    MessageId message;
  };
  struct LeaveNow {};
  struct MoveNow {
    std::string discovery;
  };
  struct ThenNow {
    std::function<void()> what;
  };
  using Item = std::variant<Arrival, HeardNow, LostNow, EndpointCallResult, MemberList, NoticeHeard,
                            LeaveNow, MoveNow, ThenNow, EndpointUpdate>;

  struct Held {
    std::string id{};
    std::string key{};
    std::string body{};
    bool heard = false;             // its client knows that it was taken on
    bool ending = false;            // given up; its notice is on the way
    std::size_t attempts = 0;       // noted in the spool, by earlier processes too
    std::size_t attempts_told = 0;  // by the module
    Time given_up{};
  };

  struct Hop {
    std::string name;
    std::string address;
    dispatch_policy::EndpointEntry entry;
    Time gone_since{};  // if it is removed
  };

  struct OutPart {
    MessageId message = 0;
    std::string id{};
    std::size_t attempt = 0;  // as the module counts
    std::size_t noted = 0;    // as the spool counts
    bool cancelled = false;
  };

  struct Out {
    dispatch_policy::EndpointId hop = 0;
    std::vector<OutPart> parts;  // none: a probe
    Time start_by{};
    Time ends{};
    Time asked{};  // for, by the module
    Time started{};
    std::size_t bytes = 0;                   // of the bundle
    bool recalled = false;                   // before it was started
    std::shared_ptr<EndpointCall> delivery;  // none until it is started
  };

  void On(Arrival arrival);
  void On(const HeardNow& e);
  void On(const LostNow& e);
  void On(const EndpointCallResult& e);
  void On(const MemberList& e);
  void On(const NoticeHeard& e);
  void On(const LeaveNow&);
  void On(const MoveNow& e);
  void On(const ThenNow& e);
  void On(EndpointUpdate e);
  void On(const Deadline& e);

  void Turn(Time now);
  void KeepArrivals();
  void Do(const dispatch_policy::SendAttempt& e);
  void Do(const dispatch_policy::RejectMessage& e);
  void Do(const dispatch_policy::FailMessage& e);
  void Do(const dispatch_policy::CancelAttempt& e);
  void Do(const dispatch_policy::SetTimer& e);
  void Do(const dispatch_policy::StartHealthCheck& e);
  void Do(const dispatch_policy::SubscribeToEndpointList&) {}  // the watch is always open
  void Do(const dispatch_policy::LogMessage& e);

  std::string Reject(const DeliveryRequest& request, std::size_t& the_class,
                     std::size_t& tenant) const;
  Time NextDue() const;
  void Refused(Arrival& arrival, SubmitResult answer);
  bool IsListed(dispatch_policy::DestinationId destination) const;
  void NoteListed();
  bool HasRoomFor(const DeliveryRequest& request) const;
  void GiveUp(MessageId message, Notification notice);
  void Erase(MessageId message);
  void End(MessageId message, Step step);
  void TellOverdue(Time now);
  dispatch_policy::EndpointId HopNumber(const std::string& name);
  void ForgetHops(Time now);
  void RetireInTime();
  dispatch_policy::EndpointList TakeList(const MemberList& list);

  void StartReady(Time now);
  bool Start(std::uint64_t number, Out& out, Time now);
  void Settle(const Out& out, const OutPart& part, const AttemptEnd& end, Time now,
              Duration wait = {}, const dispatch_policy::LoadReport& report = {});
  void SettleUnsent(const Out& out, Time now);
  template <typename Bound>
  void Recall(Bound bound);

  CallTarget TargetOf(const Hop& hop) const;
  std::function<bool()> PermitOf(const Hop& hop) const;

  const Config& config_;
  Spool& spool_;
  CallObserver* call_observer_ = nullptr;
  BoundedQueue<Item> inbox_;
  dispatch_policy::DispatchPolicy policy_;
  std::vector<dispatch_policy::Event> events_;  // for the next turn
  Time last_turn_{};
  Deadlines deadlines_;
  Time retire_at_ = Time::max();  // the earliest deadline set for it

  std::map<MessageId, Held> held_;
  std::unordered_map<std::string, MessageId> numbers_;
  MessageTrace lives_;
  std::size_t owed_ = 0;        // held and not given up
  std::size_t body_bytes_ = 0;  // of all held
  MessageId next_message_;
  std::map<MessageId, Arrival> arrivals_;  // not answered yet

  std::map<dispatch_policy::EndpointId, Hop> hops_;
  std::unordered_map<std::string, dispatch_policy::EndpointId> hop_numbers_;
  dispatch_policy::EndpointId next_hop_ = 0;
  Duration longest_deadline_{};  // of the classes
  mutable std::shared_mutex listed_mutex_;
  std::unordered_set<dispatch_policy::DestinationId>
      listed_;  // those of hops_; for other threads as well
  std::uint64_t revision_ = 0;

  std::uint64_t next_out_ = 1;
  std::map<std::uint64_t, Out> out_;
  std::deque<std::uint64_t> ready_;                              // not started yet
  std::map<dispatch_policy::EndpointId, std::uint64_t> bundle_;  // still open in this turn
  std::vector<Notification> given_up_;                           // in this turn
  std::size_t slots_taken_ = 0;

  StageLatencies stages_;
  std::atomic<std::size_t> messages_in_flight_{0};  // for other threads

  std::function<void()> on_drain_;
  bool leaving_ = false;    // asked to
  bool may_leave_ = false;  // once nothing is owed
  bool left_ = false;

  // Last: their threads speak to all of the above.
  EndpointClient endpoint_client_;
  NotificationClient notices_;
  DiscoveryWatcher watch_;
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_ENGINE_HPP_
