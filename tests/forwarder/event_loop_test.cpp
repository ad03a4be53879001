// Tests the event loop with a manual clock.
#include "forwarder/event_loop.hpp"

#include <doctest/doctest.h>

#include <vector>

namespace brassfront {
namespace {

using std::chrono::milliseconds;

class LoopFixture {
 public:
  // Returns the events and deadlines of one round in their order; deadlines as negative ids.
  std::vector<int> RunOnce() {
    std::vector<int> seen;
    last_round = loop.RunOnce(
        [this] { return wake_up; },
        [&](int event) {
          seen.push_back(event);
          now += event_cost;
        },
        [&](const Deadline& deadline) { seen.push_back(-static_cast<int>(deadline.id)); });
    return seen;
  }

  DeadlineQueue::Time now{milliseconds(1000)};
  DeadlineQueue::Time wake_up{};  // past: a round never waits
  DeadlineQueue::Time event_cost{};
  DeadlineQueue::Time last_round{};
  EventLoop<int> loop{4, [this] { return now; }};
};

TEST_CASE_FIXTURE(LoopFixture, "a round passes on events before deadlines that are due") {
  loop.SetDeadline(now, {DeadlineKind::kPolicyTimer, 7});
  wake_up = DeadlineQueue::Time::max();
  loop.Push(1);
  CHECK(RunOnce() == std::vector<int>{1, -7});
  CHECK(last_round == now);
}

TEST_CASE_FIXTURE(LoopFixture, "deadlines are handled in the order of their times, once each") {
  loop.SetDeadline(now - milliseconds(1), {DeadlineKind::kCallTimeout, 2});
  loop.SetDeadline(now - milliseconds(2), {DeadlineKind::kCallTimeout, 1});
  loop.SetDeadline(now + milliseconds(1), {DeadlineKind::kCallTimeout, 3});
  CHECK(RunOnce() == std::vector<int>{-1, -2});
  CHECK(RunOnce().empty());
  now += milliseconds(1);
  CHECK(RunOnce() == std::vector<int>{-3});
}

TEST_CASE_FIXTURE(LoopFixture, "a full inbox does not delay a deadline that becomes due") {
  for (int event = 1; event <= 4; ++event) loop.Push(event);
  wake_up = DeadlineQueue::Time::max();
  event_cost = milliseconds(1);
  loop.SetDeadline(now + milliseconds(2), {DeadlineKind::kCallTimeout, 9});
  CHECK(RunOnce() == std::vector<int>{1, 2, -9});
  CHECK(RunOnce() == std::vector<int>{3, 4});
}

TEST_CASE_FIXTURE(LoopFixture, "a closed loop drops waiting events and accepts no more") {
  loop.Push(1);
  loop.Close();
  CHECK_FALSE(loop.Push(2));
  CHECK(RunOnce().empty());
}

}  // namespace
}  // namespace brassfront
