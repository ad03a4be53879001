// Tests which attempts share a call, when calls start, and how they are cancelled. Nothing is sent.
#include "forwarder/call_tracker.hpp"

#include <doctest/doctest.h>

#include <set>

#include "protocol/delivery_request.hpp"

namespace brassfront {
namespace {

using dispatch_policy::MessageId;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr dispatch_policy::Time kStart = seconds(100);

// Starts calls without sending them.
class FakeStarter : public CallTracker::Starter {
 public:
  [[nodiscard]] bool IsDeliverable(MessageId message) const override {
    return over.count(message) == 0;
  }
  [[nodiscard]] bool IsAcknowledged(MessageId message) const override {
    return unacknowledged.count(message) == 0;
  }
  [[nodiscard]] bool Start(CallId id, PendingCall& call, dispatch_policy::Time now) override {
    if (spool_is_full) return false;
    call.started_at = now;
    call.endpoint_call = std::make_shared<EndpointCall>(
        id, call.endpoint, "a:1", "", std::chrono::steady_clock::time_point::max());
    started.push_back(id);
    sizes.push_back(call.attempts.size());
    calls.push_back(call.endpoint_call);
    return true;
  }
  void OnAttemptNotSent(const PendingCall&, const PendingAttempt& attempt,
                        dispatch_policy::Time) override {
    not_sent.push_back(attempt.message);
  }

  std::set<MessageId> over, unacknowledged;
  bool spool_is_full = false;
  std::vector<CallId> started;
  std::vector<std::size_t> sizes;  // attempts of each started call
  std::vector<std::shared_ptr<EndpointCall>> calls;
  std::vector<MessageId> not_sent;
};

DecidedAttempt Attempt(MessageId message, std::size_t max_batch = 1, std::size_t bytes = 100) {
  return {.attempt = {.message = message},
          .endpoint = 1,
          .bytes = bytes,
          .max_batch = max_batch,
          .decided_at = kStart,
          .start_by = kStart + seconds(1),
          .deadline = kStart + seconds(2)};
}

class TrackerFixture {
 public:
  void Start(dispatch_policy::Time now = kStart) { tracker.StartReadyCalls(now, starter); }

  FakeStarter starter;
  CallTracker tracker{2};
};

TEST_CASE_FIXTURE(TrackerFixture, "attempts of one decision to one endpoint share a call") {
  for (MessageId message = 1; message <= 5; ++message) tracker.AddAttempt(Attempt(message, 4));
  Start();
  CHECK(starter.sizes == std::vector<std::size_t>{4, 1});
}

TEST_CASE_FIXTURE(TrackerFixture, "attempts of two decisions do not share a call") {
  tracker.AddAttempt(Attempt(1, 4));
  tracker.CloseBatches();
  tracker.AddAttempt(Attempt(2, 4));
  Start();
  CHECK(starter.sizes == std::vector<std::size_t>{1, 1});
}

TEST_CASE_FIXTURE(TrackerFixture, "a batch stays within the size of a request's body") {
  tracker.AddAttempt(Attempt(1, 4, kMaxBodyBytes - 100));
  tracker.AddAttempt(Attempt(2, 4, 100));
  tracker.AddAttempt(Attempt(3, 4, 1));
  Start();
  CHECK(starter.sizes == std::vector<std::size_t>{2, 1});
}

TEST_CASE_FIXTURE(TrackerFixture, "a message with very little time left shares no call") {
  const auto least = CallTracker::kBatchTimeoutMargin + CallTracker::kMinBatchTime;
  DecidedAttempt brief = Attempt(1, 4);
  brief.deadline = kStart + least - milliseconds(1);
  tracker.AddAttempt(brief);          // stays alone, although it was added first
  tracker.AddAttempt(Attempt(2, 4));  // begins the next call
  brief.attempt.message = 3;
  tracker.AddAttempt(brief);  // does not join it
  DecidedAttempt enough = Attempt(4, 4);
  enough.deadline = kStart + least;
  tracker.AddAttempt(Attempt(5, 4));
  tracker.AddAttempt(enough);
  Start();
  for (const CallId call : starter.started) (void)tracker.Complete(call);
  Start();
  CHECK(starter.sizes == std::vector<std::size_t>{1, 1, 1, 2});
}

TEST_CASE_FIXTURE(TrackerFixture, "a batch has the earliest times of its attempts") {
  tracker.AddAttempt(Attempt(1, 4));
  DecidedAttempt brief = Attempt(2, 4);
  brief.start_by = kStart + milliseconds(110);
  brief.deadline = kStart + milliseconds(120);
  tracker.AddAttempt(std::move(brief));
  Start();
  const auto call = tracker.Complete(starter.started.at(0));
  REQUIRE(call.has_value());
  CHECK(call->start_by == kStart + milliseconds(110));
  CHECK(call->deadline == kStart + milliseconds(120));
}

TEST_CASE_FIXTURE(TrackerFixture, "a call waits until all its messages are acknowledged") {
  starter.unacknowledged = {2};
  tracker.AddAttempt(Attempt(1, 4));
  tracker.AddAttempt(Attempt(2, 4));
  Start();
  CHECK(starter.started.empty());
  starter.unacknowledged.clear();
  Start();
  CHECK(starter.sizes == std::vector<std::size_t>{2});
}

TEST_CASE_FIXTURE(TrackerFixture, "calls beyond the maximum wait in order, health checks do not") {
  for (MessageId message = 1; message <= 3; ++message) tracker.AddAttempt(Attempt(message));
  tracker.AddHealthCheck(2, kStart, kStart + seconds(1));
  Start();
  CHECK(starter.started == std::vector<CallId>{1, 2, 4});
  CHECK(tracker.Complete(4).has_value());  // a health check, which does not count
  Start();
  CHECK(starter.started.size() == 3);
  CHECK(tracker.Complete(1).has_value());
  Start();
  CHECK(starter.started.back() == 3);
}

TEST_CASE_FIXTURE(TrackerFixture,
                  "a message that has ended is removed from its batch, an empty call is dropped") {
  tracker.AddAttempt(Attempt(1, 4));
  tracker.AddAttempt(Attempt(2, 4));
  tracker.CloseBatches();
  tracker.AddAttempt(Attempt(3, 4));
  starter.over = {1, 3};
  Start();
  CHECK(starter.sizes == std::vector<std::size_t>{1});
  CHECK(starter.not_sent == std::vector<MessageId>{1, 3});
  CHECK(tracker.size() == 1);
}

TEST_CASE_FIXTURE(TrackerFixture, "a call that is too late is not sent") {
  tracker.AddAttempt(Attempt(1));
  Start(kStart + seconds(1) + milliseconds(1));
  CHECK(starter.started.empty());
  CHECK(starter.not_sent == std::vector<MessageId>{1});
  CHECK(tracker.size() == 0);
}

TEST_CASE_FIXTURE(TrackerFixture, "a call that cannot be recorded is not sent and not counted") {
  starter.spool_is_full = true;
  for (MessageId message = 1; message <= 3; ++message) tracker.AddAttempt(Attempt(message));
  Start();
  CHECK(starter.not_sent == std::vector<MessageId>{1, 2, 3});
  starter.spool_is_full = false;
  tracker.CloseBatches();
  tracker.AddAttempt(Attempt(4));
  tracker.AddAttempt(Attempt(5));
  Start();
  CHECK(starter.started.size() == 2);
}

TEST_CASE_FIXTURE(TrackerFixture, "a batch is cancelled once all its attempts are cancelled") {
  tracker.AddAttempt(Attempt(1, 4));
  tracker.AddAttempt(Attempt(2, 4));
  Start();
  tracker.CancelAttempt(1, 0, false);
  CHECK(starter.calls[0]->stop_reason() == EndpointCall::StopReason::kNone);
  tracker.CancelAttempt(2, 0, false);
  CHECK(starter.calls[0]->stop_reason() == EndpointCall::StopReason::kCancelled);
}

TEST_CASE_FIXTURE(TrackerFixture, "a batch is cancelled as soon as one of its messages is over") {
  tracker.AddAttempt(Attempt(1, 4));
  tracker.AddAttempt(Attempt(2, 4));
  Start();
  tracker.CancelAttempt(1, 0, true);
  CHECK(starter.calls[0]->stop_reason() == EndpointCall::StopReason::kCancelled);
}

TEST_CASE_FIXTURE(TrackerFixture, "a call that is cancelled before it starts is not sent") {
  tracker.AddAttempt(Attempt(1));
  tracker.CancelAttempt(1, 0, false);
  Start();
  CHECK(starter.started.empty());
  CHECK(starter.not_sent == std::vector<MessageId>{1});
}

TEST_CASE_FIXTURE(TrackerFixture, "only the specified attempt is cancelled") {
  tracker.AddAttempt(Attempt(1));
  tracker.CancelAttempt(1, 1, true);
  tracker.CancelAttempt(2, 0, true);
  Start();
  CHECK(starter.started.size() == 1);
}

TEST_CASE_FIXTURE(TrackerFixture, "calls to a withdrawn endpoint are not sent, others are") {
  tracker.AddAttempt(Attempt(1));
  DecidedAttempt other = Attempt(2);
  other.endpoint = 2;
  tracker.AddAttempt(std::move(other));
  Start();
  tracker.CloseBatches();
  tracker.AddAttempt(Attempt(3));
  tracker.WithdrawCalls([](auto endpoint) { return endpoint == 1; });
  CHECK(starter.calls[0]->stop_reason() == EndpointCall::StopReason::kWithdrawn);
  CHECK(starter.calls[1]->stop_reason() == EndpointCall::StopReason::kNone);
  Start();
  CHECK(starter.not_sent == std::vector<MessageId>{3});
}

TEST_CASE_FIXTURE(TrackerFixture, "the timeout of a batch is not a fault of its endpoint") {
  tracker.AddAttempt(Attempt(1, 4));
  tracker.AddAttempt(Attempt(2, 4));
  tracker.CloseBatches();
  tracker.AddAttempt(Attempt(3));
  Start();
  for (const CallId id : {CallId{1}, CallId{2}, CallId{99}}) tracker.OnTimeout(id);
  CHECK(starter.calls[0]->stop_reason() == EndpointCall::StopReason::kCancelled);
  CHECK(starter.calls[1]->stop_reason() == EndpointCall::StopReason::kTimedOut);
}

TEST_CASE_FIXTURE(TrackerFixture, "a call completes once, and its endpoint is in use until then") {
  tracker.AddAttempt(Attempt(1));
  CHECK(tracker.EndpointsInUse() == std::set<dispatch_policy::EndpointId>{1});
  Start();
  CHECK(tracker.Complete(1).has_value());
  CHECK_FALSE(tracker.Complete(1).has_value());
  CHECK(tracker.EndpointsInUse().empty());
}

}  // namespace
}  // namespace brassfront
