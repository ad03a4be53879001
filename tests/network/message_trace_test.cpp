// Tests the histories of accepted messages: states, steps, and overdue messages.
#include "forwarder/message_trace.hpp"

#include <doctest/doctest.h>

namespace brassfront {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a message's state follows from its steps") {
  MessageTrace trace;
  CHECK(trace.State(1) == MessageState::kOver);
  CHECK(trace.Begin(1, {}, seconds(20), TraceStep::kAccepted));
  CHECK_FALSE(trace.Begin(1, {}, seconds(20), TraceStep::kAccepted));
  CHECK(trace.State(1) == MessageState::kWaiting);
  trace.Note(1, milliseconds(1), TraceStep::kAcknowledged);
  trace.Note(1, milliseconds(5), TraceStep::kStarted, 12);
  CHECK(trace.State(1) == MessageState::kCalling);
  trace.Note(1, milliseconds(9), TraceStep::kCompleted, 2);
  CHECK(trace.State(1) == MessageState::kWaiting);
  trace.Note(1, milliseconds(10), TraceStep::kStarted, 3);
  trace.Note(1, milliseconds(11), TraceStep::kGivenUp, 1);
  CHECK(trace.State(1) == MessageState::kNotifying);
  trace.Note(1, milliseconds(12), TraceStep::kCompleted, 4);
  CHECK(trace.State(1) == MessageState::kNotifying);  // the notification is still to be confirmed
  CHECK(trace.History(1) ==
        "accepted+0 acknowledged+1 started+5(12) completed+9(2) started+10(3) given-up+11(1) "
        "completed+12(4)");
  trace.Note(1, milliseconds(15), TraceStep::kNotified);
  CHECK(trace.State(1) == MessageState::kOver);
  CHECK(trace.size() == 0);
  CHECK(trace.NextOverdue() == MessageTrace::Time::max());
  trace.Note(1, milliseconds(20), TraceStep::kCompleted);  // too late, so it is ignored
  CHECK(trace.History(1).empty());
}

TEST_CASE("an overdue message is reported once, with its history") {
  MessageTrace trace;
  trace.Begin(1, seconds(1), seconds(3), TraceStep::kAccepted);
  trace.Begin(2, seconds(1), seconds(2), TraceStep::kRestored, 4);
  trace.Begin(3, seconds(1), seconds(2), TraceStep::kAccepted);
  trace.Note(3, seconds(2), TraceStep::kDelivered);
  CHECK(trace.NextOverdue() == seconds(2) + MessageTrace::kGrace);
  CHECK(trace.TakeOverdue(seconds(2) + MessageTrace::kGrace - milliseconds(1)).empty());
  const auto late = trace.TakeOverdue(seconds(2) + MessageTrace::kGrace);
  REQUIRE(late.size() == 1);
  CHECK(late[0].message == 2);
  CHECK(late[0].state == MessageState::kWaiting);
  CHECK(late[0].history == "restored+0(4)");
  CHECK(trace.TakeOverdue(seconds(2) + MessageTrace::kGrace).empty());
  CHECK(trace.TakeOverdue(seconds(9)).size() == 1);
  CHECK(trace.overdue() == 2);
  trace.Note(2, seconds(9), TraceStep::kNotified);  // late, but it ends the message
  CHECK(trace.size() == 1);
}

TEST_CASE("the first and the last steps of a long history are kept") {
  MessageTrace trace;
  trace.Begin(1, {}, seconds(20), TraceStep::kAccepted);
  for (std::uint32_t i = 1; i <= 200; ++i) trace.Note(1, milliseconds(i), TraceStep::kStarted, i);
  const std::string history = trace.History(1);
  CHECK(history.starts_with("accepted+0 started+1(1) started+2(2)"));
  CHECK(history.find("started+7(7) ... started+185(185)") != std::string::npos);
  CHECK(history.ends_with("started+200(200)"));
}

}  // namespace
}  // namespace brassfront
