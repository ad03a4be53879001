// Tests which messages still need a final answer, in virtual time.
#include "forwarder/final_answer_ledger.hpp"

#include <doctest/doctest.h>

namespace brassfront {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Messages = std::vector<FinalAnswerLedger::MessageId>;

constexpr FinalAnswerLedger::Time kStart = seconds(100);
constexpr FinalAnswerLedger::Time kDeadline = kStart + seconds(2);
constexpr FinalAnswerLedger::Time kExpiry = kDeadline + FinalAnswerLedger::kDecisionGrace;

// Guards against a missed deadline, after which a message would never get its final answer.
TEST_CASE("a message that was not given up by its deadline is found until it is given up") {
  FinalAnswerLedger ledger;
  ledger.Open(1, kDeadline);
  CHECK(ledger.NextWakeUp() == kExpiry);
  CHECK(ledger.FindExpired(kExpiry - milliseconds(1)).empty());
  CHECK(ledger.FindExpired(kExpiry) == Messages{1});
  CHECK(ledger.FindExpired(kExpiry + seconds(1)) == Messages{1});
  CHECK(ledger.GiveUp(1));
  CHECK(ledger.FindExpired(kExpiry + seconds(1)).empty());
}

TEST_CASE("a message is given up once, and only while it is open") {
  FinalAnswerLedger ledger;
  CHECK_FALSE(ledger.GiveUp(1));
  ledger.Notify({.message = 1}, kStart);
  CHECK(ledger.outbox().size() == 0);
  ledger.Open(1, kDeadline);
  CHECK(ledger.GiveUp(1));
  CHECK_FALSE(ledger.GiveUp(1));
  ledger.Notify({.message = 1}, kStart);
  CHECK(ledger.outbox().size() == 1);
  CHECK(ledger.Close(1));
  CHECK_FALSE(ledger.Close(1));
  CHECK_FALSE(ledger.GiveUp(1));
  CHECK(ledger.open() == 0);
  CHECK(ledger.outbox().size() == 0);
}

TEST_CASE("a closed message has no deadline and no notification") {
  FinalAnswerLedger ledger;
  ledger.Open(1, kDeadline);
  ledger.Open(2, kDeadline);
  CHECK(ledger.GiveUp(2));
  ledger.Notify({.message = 2, .id = "b"}, kStart);
  ledger.Close(1);
  ledger.Close(2);
  CHECK(ledger.NextWakeUp() == FinalAnswerLedger::Time::max());
  CHECK_FALSE(ledger.outbox().NextPost(kDeadline));
}

TEST_CASE("a message that is opened twice keeps its first deadline") {
  FinalAnswerLedger ledger;
  ledger.Open(1, kDeadline);
  ledger.Open(1, kDeadline + seconds(5));
  CHECK(ledger.FindExpired(kExpiry) == Messages{1});
}

}  // namespace
}  // namespace brassfront
