// Tests which connection is closed next. The tests set the time; no socket is open.
#include "net/client_connection_table.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace brassfront {
namespace {

using std::chrono::milliseconds;
using State = ClientConnection::State;

const SteadyTime kStart{std::chrono::hours(1)};
constexpr milliseconds kDeadline{1000};

class Fixture {
 public:
  // Adds a connection that has been idle since the given time.
  ClientConnection& AddIdle(milliseconds since, bool has_submitted_message = false) {
    ClientConnection& connection = table.Add(Socket(), kStart + since);
    connection.commands = has_submitted_message ? 1 : 0;
    connection.has_submitted_message = has_submitted_message;
    table.Schedule(connection, kStart + since + kDeadline);
    return connection;
  }
  ClientConnection& AddLingering(milliseconds deadline) {
    ClientConnection& connection = table.Add(Socket(), kStart);
    connection.state = State::kLingering;
    table.Schedule(connection, kStart + deadline);
    return connection;
  }

  ClientConnectionTable table{{.max_idle = 1,
                               .min_idle_before_first_message = milliseconds(100),
                               .min_idle = milliseconds(200)}};
};

TEST_CASE_FIXTURE(Fixture, "connections are found by ids that are never reused") {
  ClientConnection& first = AddIdle(milliseconds(0));
  const ClientConnectionId first_id = first.id;
  CHECK(table.Find(first_id) == &first);
  table.Remove(first);
  CHECK(table.empty());
  CHECK(table.Find(first_id) == nullptr);
  CHECK(AddIdle(milliseconds(0)).id != first_id);
}

TEST_CASE_FIXTURE(Fixture, "the longest idle connection without a message is evicted first") {
  AddIdle(milliseconds(0), true);
  ClientConnection& later = AddIdle(milliseconds(20));
  ClientConnection& earlier = AddIdle(milliseconds(10));
  const SteadyTime now = kStart + milliseconds(500);
  CHECK(table.FindEvictable(now) == &earlier);
  table.Remove(earlier);
  CHECK(table.FindEvictable(now) == &later);
}

TEST_CASE_FIXTURE(Fixture, "without others the longest idle connection with a message is evicted") {
  AddIdle(milliseconds(20), true);
  ClientConnection& earlier = AddIdle(milliseconds(10), true);
  CHECK(table.FindEvictable(kStart + milliseconds(500)) == &earlier);
}

TEST_CASE_FIXTURE(Fixture, "no connection is evicted before its minimum idle time") {
  ClientConnection& with_message = AddIdle(milliseconds(0), true);
  CHECK(table.FindEvictable(kStart + milliseconds(199)) == nullptr);
  CHECK(table.FindEvictable(kStart + milliseconds(200)) == &with_message);
  ClientConnection& without_message = AddIdle(milliseconds(150));
  CHECK(table.FindEvictable(kStart + milliseconds(249)) == &with_message);
  CHECK(table.FindEvictable(kStart + milliseconds(250)) == &without_message);
}

TEST_CASE_FIXTURE(Fixture, "a connection in the middle of a command is not evicted") {
  ClientConnection& connection = AddIdle(milliseconds(0), true);
  table.Unschedule(connection);
  connection.reader.Feed("*1\r\n$4\r\nPI");
  table.Schedule(connection, kStart + kDeadline);
  CHECK(table.FindEvictable(kStart + milliseconds(500)) == nullptr);
  CHECK(table.IdsBetweenCommands().empty());
}

TEST_CASE_FIXTURE(Fixture, "an unfinished first command does not save a connection from eviction") {
  ClientConnection& connection = AddIdle(milliseconds(0));
  table.Unschedule(connection);
  connection.reader.Feed("*1\r\n$4\r\nPI");
  table.Schedule(connection, kStart + kDeadline);
  CHECK(table.FindEvictable(kStart + milliseconds(500)) == &connection);
}

TEST_CASE_FIXTURE(Fixture, "only idle connections with a message count as excess") {
  ClientConnection& first = AddIdle(milliseconds(0), true);
  AddIdle(milliseconds(0));
  const SteadyTime now = kStart + milliseconds(200);
  CHECK(table.FindExcessIdle(now) == nullptr);
  AddIdle(milliseconds(10), true);
  CHECK(table.FindExcessIdle(now - milliseconds(1)) == nullptr);  // not idle for long enough
  CHECK(table.FindExcessIdle(now) == &first);
}

TEST_CASE_FIXTURE(Fixture, "connections expire at their deadlines, the earliest first") {
  ClientConnection& later = AddIdle(milliseconds(10));
  ClientConnection& earlier = AddIdle(milliseconds(0));
  CHECK(table.FindExpired(kStart + kDeadline - milliseconds(1)) == nullptr);
  CHECK(table.FindExpired(kStart + kDeadline) == &earlier);
  table.Remove(earlier);
  CHECK(table.FindExpired(kStart + kDeadline) == nullptr);
  CHECK(table.FindExpired(kStart + kDeadline + milliseconds(10)) == &later);
}

TEST_CASE_FIXTURE(Fixture, "the lingering connection that began to close first is found first") {
  CHECK(table.FindOldestLingering() == nullptr);
  AddLingering(milliseconds(20));
  ClientConnection& oldest = AddLingering(milliseconds(10));
  CHECK(table.FindOldestLingering() == &oldest);
  CHECK(table.FindEvictable(kStart + milliseconds(500)) == nullptr);
}

TEST_CASE_FIXTURE(Fixture, "a connection that is being served is neither idle nor expires") {
  ClientConnection& serving = AddIdle(milliseconds(0), true);
  table.Unschedule(serving);
  serving.state = State::kServing;
  const SteadyTime late = kStart + std::chrono::hours(1);
  CHECK(table.FindExpired(late) == nullptr);
  CHECK(table.FindEvictable(late) == nullptr);
  CHECK(table.IdsBetweenCommands().empty());
  CHECK(table.IdsNotServing().empty());
  CHECK(table.size() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a drain closes connections that have been answered, not new ones") {
  AddIdle(milliseconds(0));
  const ClientConnection& answered = AddIdle(milliseconds(0), true);
  AddLingering(milliseconds(0));
  CHECK(table.IdsBetweenCommands() == std::vector<ClientConnectionId>{answered.id});
  CHECK(table.IdsNotServing().size() == 3);
}

}  // namespace
}  // namespace brassfront
