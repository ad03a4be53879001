// The lives of taken messages: states, histories, and which ones are overdue.
#include "forwarder/message_trace.hpp"

#include <doctest/doctest.h>

namespace brassfront {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a life's state follows from its steps") {
  MessageTrace lives;
  CHECK(lives.StateOf(1) == LifeState::kOver);
  CHECK(lives.Begin(1, {}, seconds(20), Step::kTaken));
  CHECK_FALSE(lives.Begin(1, {}, seconds(20), Step::kTaken));
  CHECK(lives.StateOf(1) == LifeState::kHeld);
  lives.Note(1, milliseconds(1), Step::kHeard);
  lives.Note(1, milliseconds(5), Step::kStarted, 12);
  CHECK(lives.StateOf(1) == LifeState::kOut);
  lives.Note(1, milliseconds(9), Step::kSettled, 2);
  CHECK(lives.StateOf(1) == LifeState::kHeld);
  lives.Note(1, milliseconds(10), Step::kStarted, 3);
  lives.Note(1, milliseconds(11), Step::kGivenUp, 1);
  CHECK(lives.StateOf(1) == LifeState::kEnding);
  lives.Note(1, milliseconds(12), Step::kSettled, 4);
  CHECK(lives.StateOf(1) == LifeState::kEnding);  // the notice is still owed
  CHECK(lives.HistoryOf(1) ==
        "accepted+0 acknowledged+1 started+5(12) completed+9(2) started+10(3) given-up+11(1) "
        "completed+12(4)");
  lives.Note(1, milliseconds(15), Step::kNoticed);
  CHECK(lives.StateOf(1) == LifeState::kOver);
  CHECK(lives.living() == 0);
  CHECK(lives.Next() == MessageTrace::Time::max());
  lives.Note(1, milliseconds(20), Step::kSettled);  // late: passed over
  CHECK(lives.HistoryOf(1).empty());
}

TEST_CASE("what has not ended in time is told once, with its history") {
  MessageTrace lives;
  lives.Begin(1, seconds(1), seconds(3), Step::kTaken);
  lives.Begin(2, seconds(1), seconds(2), Step::kRestored, 4);
  lives.Begin(3, seconds(1), seconds(2), Step::kTaken);
  lives.Note(3, seconds(2), Step::kDelivered);
  CHECK(lives.Next() == seconds(2) + MessageTrace::kGrace);
  CHECK(lives.TakeOverdue(seconds(2) + MessageTrace::kGrace - milliseconds(1)).empty());
  const auto late = lives.TakeOverdue(seconds(2) + MessageTrace::kGrace);
  REQUIRE(late.size() == 1);
  CHECK(late[0].message == 2);
  CHECK(late[0].state == LifeState::kHeld);
  CHECK(late[0].history == "restored+0(4)");
  CHECK(lives.TakeOverdue(seconds(2) + MessageTrace::kGrace).empty());
  CHECK(lives.TakeOverdue(seconds(9)).size() == 1);
  CHECK(lives.overdue() == 2);
  lives.Note(2, seconds(9), Step::kNoticed);  // late, but it ends
  CHECK(lives.living() == 1);
}

TEST_CASE("of a long life the first and the last steps are kept") {
  MessageTrace lives;
  lives.Begin(1, {}, seconds(20), Step::kTaken);
  for (std::uint32_t i = 1; i <= 200; ++i) lives.Note(1, milliseconds(i), Step::kStarted, i);
  const std::string history = lives.HistoryOf(1);
  CHECK(history.starts_with("accepted+0 started+1(1) started+2(2)"));
  CHECK(history.find("started+7(7) ... started+185(185)") != std::string::npos);
  CHECK(history.ends_with("started+200(200)"));
}

}  // namespace
}  // namespace brassfront
