// The calls that the policy has decided and that have not completed: which attempts share a call,
// which calls may start, and which ones are to be cancelled. It starts no thread and opens no
// connection: whoever owns it carries calls out.
#ifndef BRASSFRONT_FORWARDER_CALL_TRACKER_HPP_
#define BRASSFRONT_FORWARDER_CALL_TRACKER_HPP_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dispatch_policy/dispatch_policy.hpp"
#include "net/endpoint_call.hpp"

namespace brassfront {

using CallId = std::uint64_t;

// One attempt to deliver one message, as part of a call.
struct PendingAttempt {
  dispatch_policy::MessageId message = 0;
  std::string client_id{};
  std::size_t attempt = 0;      // the policy's number, from 0 in each process
  std::size_t spool_index = 0;  // the spool's number, from 0 over all processes; once started
  bool cancelled = false;
};

struct PendingCall {
  dispatch_policy::EndpointId endpoint = 0;
  bool health_check = false;             // then it has no attempts
  std::vector<PendingAttempt> attempts;  // several share a call
  std::size_t batch_bytes = 0;           // of the attempts' items
  bool withdrawn = false;                // not to be started any more
  dispatch_policy::Time decided_at{};
  dispatch_policy::Time start_by{};
  dispatch_policy::Time deadline{};  // it times out then
  dispatch_policy::Time started_at{};
  std::shared_ptr<EndpointCall> endpoint_call;  // none until it is started
};

// An attempt that the policy has decided, and how it may share a call.
struct DecidedAttempt {
  PendingAttempt attempt;
  dispatch_policy::EndpointId endpoint = 0;
  std::size_t bytes = 0;      // of its item in a batch
  std::size_t max_batch = 1;  // of the endpoint
  dispatch_policy::Time decided_at{};
  dispatch_policy::Time start_by{};
  dispatch_policy::Time deadline{};
};

// Used by the engine's thread alone.
class CallTracker {
 public:
  using Time = dispatch_policy::Time;
  using EndpointId = dispatch_policy::EndpointId;
  using MessageId = dispatch_policy::MessageId;

  // A batch times out this long before the first deadline of its messages. Clients and the platform
  // count the deadline from the submission, and the engine from the moment it saw it; an answer
  // between the two would be taken here for a delivery that the platform does not count.
  static constexpr std::chrono::milliseconds kBatchTimeoutMargin{50};
  // A batch has at least this much time besides. A message with less is called alone: in a batch it
  // would spend an attempt of all the others.
  static constexpr std::chrono::milliseconds kMinBatchTime{50};

  // What StartReadyCalls needs to know and to have done. It must not call the tracker.
  class Starter {
   public:
    Starter() = default;
    Starter(const Starter&) = delete;
    Starter& operator=(const Starter&) = delete;
    virtual ~Starter() = default;
    // In flight and not given up.
    [[nodiscard]] virtual bool IsDeliverable(MessageId message) const = 0;
    // Its client knows that it was accepted; asked of deliverable messages.
    [[nodiscard]] virtual bool IsAcknowledged(MessageId message) const = 0;
    // Records the attempts, sets endpoint_call and hands it to a thread. False: it cannot be
    // recorded, and nothing was sent.
    [[nodiscard]] virtual bool Start(CallId id, PendingCall& call, Time now) = 0;
    // The attempt was decided and will not be sent.
    virtual void OnAttemptNotSent(const PendingCall& call, const PendingAttempt& attempt,
                                  Time now) = 0;
  };

  // Calls with messages that may run at once; health checks are not counted.
  explicit CallTracker(std::size_t max_running_calls) : max_running_calls_(max_running_calls) {}

  void AddHealthCheck(EndpointId endpoint, Time now, Time deadline);
  // Adds the attempt to the endpoint's open batch if it has room, else to a new call.
  void AddAttempt(DecidedAttempt decided);
  // Attempts that are added from now on begin new calls. To be called after each decision.
  void CloseBatches() { open_batches_.clear(); }

  // Starts the calls whose messages are all acknowledged while running calls are below their
  // maximum. Drops calls that were withdrawn, are too late, or have no deliverable message left.
  void StartReadyCalls(Time now, Starter& starter);

  // Cancels the attempt. Its call ends when all its attempts are cancelled, or at once if
  // `message_over`: an answer that came later would count for the other messages of the batch,
  // while the platform counts nothing of a call that outlasts one of its messages.
  void CancelAttempt(MessageId message, std::size_t attempt, bool message_over);
  // Withdraws the calls to these endpoints that are not being written yet.
  void WithdrawCalls(const std::function<bool(EndpointId)>& matches);
  // Ends all started calls, whatever they are doing.
  void StopStarted();
  // Whether a call was started and has not completed.
  [[nodiscard]] bool HasStarted() const;
  // The call's deadline has passed; ignored if the call has completed.
  void OnTimeout(CallId id);
  // Removes a call that has run; none if the id is unknown.
  [[nodiscard]] std::optional<PendingCall> Complete(CallId id);

  // Of all calls, started or not.
  [[nodiscard]] std::set<EndpointId> EndpointsInUse() const;
  [[nodiscard]] std::size_t size() const { return calls_.size(); }

 private:
  enum class Readiness { kStart, kWait, kDrop };

  [[nodiscard]] Readiness CheckReadiness(const PendingCall& call, Time now,
                                         const Starter& starter) const;
  bool AddToOpenBatch(DecidedAttempt& decided);
  void Drop(CallId id, Time now, Starter& starter);

  const std::size_t max_running_calls_;
  std::size_t running_calls_ = 0;  // with messages
  CallId next_id_ = 1;
  std::map<CallId, PendingCall> calls_;
  std::deque<CallId> ready_calls_;             // not started, in the order of their decisions
  std::map<EndpointId, CallId> open_batches_;  // of the decision that is being applied
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_CALL_TRACKER_HPP_
