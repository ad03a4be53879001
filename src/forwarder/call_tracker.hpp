// Tracks the calls that the policy has decided on and that have not completed: which attempts share
// a call, which calls may start, and which calls are to be cancelled. It starts no thread and opens
// no connection: its owner carries out the calls.
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
  std::size_t spool_index = 0;  // the spool's number, from 0 over all processes; set at the start
  bool cancelled = false;
};

struct PendingCall {
  dispatch_policy::EndpointId endpoint = 0;
  bool health_check = false;             // then it has no attempts
  std::vector<PendingAttempt> attempts;  // more than one in a batch
  std::size_t batch_bytes = 0;           // total size of the attempts' items
  bool withdrawn = false;                // must not be started any more
  dispatch_policy::Time decided_at{};
  dispatch_policy::Time start_by{};
  dispatch_policy::Time deadline{};  // when the call times out
  dispatch_policy::Time started_at{};
  std::shared_ptr<EndpointCall> endpoint_call;  // null until the call is started
};

// An attempt that the policy has decided on, and the limits for sharing a call with others.
struct DecidedAttempt {
  PendingAttempt attempt;
  dispatch_policy::EndpointId endpoint = 0;
  std::size_t bytes = 0;      // size of its item in a batch
  std::size_t max_batch = 1;  // the endpoint's maximum
  dispatch_policy::Time decided_at{};
  dispatch_policy::Time start_by{};
  dispatch_policy::Time deadline{};
};

// Used only by the engine's thread.
class CallTracker {
 public:
  using Time = dispatch_policy::Time;
  using EndpointId = dispatch_policy::EndpointId;
  using MessageId = dispatch_policy::MessageId;

  // A batch times out this long before the earliest deadline of its messages. Clients and the
  // platform count a message's time from its submission, and the engine from the moment at which it
  // reads the submission. An answer between the two deadlines would be taken here for a delivery
  // that the platform does not count.
  static constexpr std::chrono::milliseconds kBatchTimeoutMargin{50};
  // Minimum time of a batch in addition to the margin. A message with less time left is sent in a
  // call of its own: in a batch, its early timeout would cost all other messages an attempt.
  static constexpr std::chrono::milliseconds kMinBatchTime{50};

  // Queries and actions that StartReadyCalls needs. An implementation must not call the tracker.
  class Starter {
   public:
    Starter() = default;
    Starter(const Starter&) = delete;
    Starter& operator=(const Starter&) = delete;
    virtual ~Starter() = default;
    // Whether the message is in flight and not given up.
    [[nodiscard]] virtual bool IsDeliverable(MessageId message) const = 0;
    // Whether the message's client knows that it was accepted. Called for deliverable messages
    // only.
    [[nodiscard]] virtual bool IsAcknowledged(MessageId message) const = 0;
    // Records the attempts, sets endpoint_call and passes it to a thread. Returns false if an
    // attempt cannot be recorded; nothing was sent then.
    [[nodiscard]] virtual bool Start(CallId id, PendingCall& call, Time now) = 0;
    // The attempt was decided and will not be sent.
    virtual void OnAttemptNotSent(const PendingCall& call, const PendingAttempt& attempt,
                                  Time now) = 0;
  };

  // `max_running_calls` limits the calls with messages that run at once. Health checks are not
  // counted.
  explicit CallTracker(std::size_t max_running_calls) : max_running_calls_(max_running_calls) {}

  void AddHealthCheck(EndpointId endpoint, Time now, Time deadline);
  // Adds the attempt to the endpoint's open batch if that has room, otherwise to a new call.
  void AddAttempt(DecidedAttempt decided);
  // Attempts that are added from now on begin new calls. Must be called after each decision.
  void CloseBatches() { open_batches_.clear(); }

  // Starts the calls whose messages are all acknowledged, as long as the number of running calls is
  // below its maximum. Drops calls that were withdrawn, whose latest start has passed, or that have
  // no deliverable message left.
  void StartReadyCalls(Time now, Starter& starter);

  // Cancels the attempt. Its call is aborted when all its attempts are cancelled, or at once if
  // `message_over` is set: a later answer would count here for the other messages of the batch,
  // while the platform counts nothing of a call that completes after one of its messages ended.
  void CancelAttempt(MessageId message, std::size_t attempt, bool message_over);
  // Withdraws the calls to matching endpoints whose requests are not yet being written.
  void WithdrawCalls(const std::function<bool(EndpointId)>& matches);
  // Aborts all started calls, also those whose requests are being written.
  void StopStarted();
  // Whether a call was started and has not completed.
  [[nodiscard]] bool HasStarted() const;
  // Must be called when the call's deadline has passed. Ignored if the call has completed.
  void OnTimeout(CallId id);
  // Removes and returns a call that has completed. Returns nothing if the id is unknown.
  [[nodiscard]] std::optional<PendingCall> Complete(CallId id);

  // Returns the endpoints of all calls, started or not.
  [[nodiscard]] std::set<EndpointId> EndpointsInUse() const;
  [[nodiscard]] std::size_t size() const { return calls_.size(); }

 private:
  enum class Readiness { kStart, kWait, kDrop };

  [[nodiscard]] Readiness CheckReadiness(const PendingCall& call, Time now,
                                         const Starter& starter) const;
  bool AddToOpenBatch(DecidedAttempt& decided);
  void Drop(CallId id, Time now, Starter& starter);

  const std::size_t max_running_calls_;
  std::size_t running_calls_ = 0;  // without health checks
  CallId next_id_ = 1;
  std::map<CallId, PendingCall> calls_;
  std::deque<CallId> ready_calls_;             // not started, in the order of their decisions
  std::map<EndpointId, CallId> open_batches_;  // of the decision that is currently applied
};

}  // namespace brassfront

#endif  // BRASSFRONT_FORWARDER_CALL_TRACKER_HPP_
