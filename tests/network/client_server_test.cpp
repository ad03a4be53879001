// The sender side against clients on loopback that behave badly. What is waited for has no limit of
// its own: only a failure would wait for good.
#include "net/client_server.hpp"

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace brassfront {
namespace {

constexpr std::chrono::milliseconds kNever = std::chrono::hours(1);
constexpr std::string_view kPing = "*1\r\n$4\r\nPING\r\n";
constexpr std::string_view kPut =
    "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$1\r\ni\r\n$14\r\nc=n,d=1,dest=1\r\n$1\r\nx\r\n";

// Refuses, or takes everything; counts what it is told.
class CountingIntake : public MessageAcceptor {
 public:
  SubmitResult Submit(DeliveryRequest) override {
    if (meanwhile) meanwhile();
    if (!takes) return {};
    ++taken;
    return {
        .status = SubmitResult::Status::kAccepted, .retry_after = {}, .error = {}, .message = 1};
  }
  void OnAcknowledged(std::uint64_t) override { ++heard; }
  void OnClientDisconnected(std::uint64_t) override { ++lost; }

  bool takes = false;
  std::function<void()> meanwhile;  // before each answer
  std::atomic<int> taken{0}, heard{0}, lost{0};
};

class Fixture {
 public:
  void Start(const ClientServer::Limits& limits) {
    Socket listener = Listen("127.0.0.1:0");
    address = AddressOf(listener);
    side.emplace(std::move(listener), limits, acceptor, buffers);
  }
  Socket Client(std::string_view says = {}) {
    Socket socket = NewSocket();
    REQUIRE(Connect(socket, address, kNever));
    socket.SendAll(says);
    return socket;
  }
  // All that comes up to the close.
  static std::string ToTheEnd(Socket& socket) {
    std::string got;
    char byte = 0;
    while (socket.Receive({&byte, 1}) == 1) got += byte;
    return got;
  }
  static std::string Line(Socket& socket) {
    std::string got;
    char byte = 0;
    while (!got.ends_with("\r\n") && socket.Receive({&byte, 1}) == 1) got += byte;
    return got;
  }

  CountingIntake acceptor;
  BufferPool buffers;
  std::string address;
  std::optional<ClientServer> side;
};

TEST_CASE_FIXTURE(Fixture, "a client without a whole command in time gets an error and the close") {
  Start({.connections = 8, .command = std::chrono::milliseconds(50), .idle = kNever});
  for (const std::string_view says : {"", "*1\r\n$4\r\nPI", "*", "*1\r\n$100\r\nabc"}) {
    Socket client = Client(says);
    CHECK(ToTheEnd(client).starts_with("-ERR "));
  }
  Socket later = Client(std::string(kPing) + "*1\r\n$4");  // a later command is bound as well
  CHECK(Line(later) == "+PONG\r\n");
  CHECK(ToTheEnd(later).starts_with("-ERR "));
}

TEST_CASE_FIXTURE(Fixture, "a client that trickles is bound by the total, not by the gaps") {
  Start({.connections = 8, .command = std::chrono::milliseconds(200), .idle = kNever});
  Socket client = Client("*1\r\n$1000000\r\n");
  std::string got;
  while (got.empty()) {  // one byte at a time, far more often than the bound
    client.SendAll("x");
    if (client.AwaitInput(std::chrono::steady_clock::now() + std::chrono::milliseconds(5))) {
      got = Line(client);
    }
  }
  CHECK(got.starts_with("-ERR "));
}

TEST_CASE_FIXTURE(Fixture, "a connection that is idle is closed without a word") {
  Start({.connections = 8, .command = kNever, .idle = std::chrono::milliseconds(50)});
  Socket client = Client(kPing);
  CHECK(ToTheEnd(client) == "+PONG\r\n");
}

TEST_CASE_FIXTURE(Fixture,
                  "newcomers take the places of those without a message, then of idle ones") {
  Start({.connections = 3,
         .command = kNever,
         .idle = kNever,
         .useless = std::chrono::milliseconds(0),
         .least_idle = std::chrono::milliseconds(0)});
  Socket used = Client(kPut);
  CHECK(Line(used) == "-BUSY\r\n");  // what the acceptor answers
  Socket pinged = Client(kPing);
  CHECK(Line(pinged) == "+PONG\r\n");
  Socket silent = Client();
  Socket newcomers[3];
  for (Socket& newcomer : newcomers) {
    newcomer = Client(kPut);
    CHECK(Line(newcomer) == "-BUSY\r\n");
  }
  CHECK(ToTheEnd(pinged).empty());
  CHECK(ToTheEnd(silent).empty());
  CHECK(ToTheEnd(used).empty());  // the last of them, for the third newcomer
}

TEST_CASE_FIXTURE(Fixture, "of many that had their answer and stay the longest idle is closed") {
  Start({.connections = 8,
         .command = kNever,
         .idle = kNever,
         .most_idle = 1,
         .useless = kNever,
         .least_idle = std::chrono::milliseconds(0)});
  Socket clients[4];
  for (Socket& client : clients) {
    client = Client(kPut);
    CHECK(Line(client) == "-BUSY\r\n");
  }
  CHECK(ToTheEnd(clients[0]).empty());
}

TEST_CASE_FIXTURE(Fixture, "with all places in use a newcomer is told to come back") {
  Start({.connections = 2,
         .command = kNever,
         .idle = kNever,
         .useless = kNever,
         .least_idle = kNever});
  Socket first = Client(kPing), second = Client(kPing);
  CHECK(Line(first) == "+PONG\r\n");
  CHECK(Line(second) == "+PONG\r\n");
  Socket third = Client();
  CHECK(ToTheEnd(third) == "-BUSY 1000\r\n");
}

// A drain, like a newcomer that needs the place, stops the reading of idle connections. A command
// may have come just before, and is then read all the same: its answer is owed.
TEST_CASE("a command that crosses our own end of a connection is answered or was not read") {
  int crossed = 0;
  for (int round = 0; round < 1000; ++round) {
    Fixture fixture;
    fixture.acceptor.takes = true;
    fixture.Start({.connections = 2, .command = kNever, .idle = kNever});
    Socket client = fixture.Client(kPing);
    REQUIRE(Fixture::Line(client) == "+PONG\r\n");
    client.SendAll(kPut);
    fixture.side->Drain();  // mostly before the thread has woken up
    const std::string answer = Fixture::ToTheEnd(client);
    fixture.side.reset();
    CHECK(fixture.acceptor.lost == 0);
    CHECK(fixture.acceptor.heard == fixture.acceptor.taken);
    CHECK(answer == (fixture.acceptor.taken > 0 ? "+OK\r\n" : ""));
    crossed += fixture.acceptor.taken;
  }
  CHECK(crossed > 0);
}

TEST_CASE_FIXTURE(Fixture, "commands that came together are answered in order, faults to a bound") {
  Start({.connections = 2, .command = kNever, .idle = kNever, .most_faults = 3});
  std::string together;
  for (int i = 0; i < 600; ++i) together += kPing;
  Socket good = Client(together);
  for (int i = 0; i < 600; ++i) REQUIRE(Line(good) == "+PONG\r\n");
  constexpr std::string_view kNoSuch = "*1\r\n$4\r\nNOPE\r\n";
  const std::string put(kPut);  // in between, a good one starts the count anew
  std::string bad = std::string(kNoSuch) + std::string(kNoSuch) + put;
  for (int i = 0; i < 600; ++i) bad += kNoSuch;
  Socket client = Client(bad);
  const std::string error = "-ERR unknown command\r\n";
  CHECK(ToTheEnd(client) == error + error + "-BUSY\r\n" + error + error + error);
}

// A close over unread bytes reset the connection, and the reply just written went with it.
TEST_CASE_FIXTURE(Fixture, "what comes while a last reply is written resets nothing") {
  Start({.connections = 8, .command = kNever, .idle = kNever});
  acceptor.takes = true;
  Socket client = Client();
  acceptor.meanwhile = [&] {  // the command is read, and nothing reads on until it is answered
    CHECK(client.SendAll(kPut));
    side->Drain();
  };
  CHECK(client.SendAll(kPut));
  CHECK(Line(client) == "+OK\r\n");
  char byte = 0;
  CHECK(client.Receive({&byte, 1}) == 0);  // the end, and no reset
  CHECK(acceptor.taken == 1);              // what was not read before it is not taken on
}

// The same where the whole side ends meanwhile.
TEST_CASE_FIXTURE(Fixture, "what comes while the last reply of all is written resets nothing") {
  Start({.connections = 8, .command = kNever, .idle = kNever});
  acceptor.takes = true;
  Socket client = Client(), other = Client(kPing);
  REQUIRE(Line(other) == "+PONG\r\n");
  std::thread end;
  acceptor.meanwhile = [&] {
    CHECK(client.SendAll(kPut));
    end = std::thread([&] { side.reset(); });
    CHECK(ToTheEnd(other).empty());  // the stop has come
    other.Close();
  };
  CHECK(client.SendAll(kPut));
  CHECK(Line(client) == "+OK\r\n");
  char byte = 0;
  CHECK(client.Receive({&byte, 1}) == 0);
  client.Close();
  end.join();
}

TEST_CASE("the peer's end is told from our own, unread bytes or not") {
  Socket listener = Listen("127.0.0.1:0");
  Socket peer = NewSocket();
  REQUIRE(Connect(peer, AddressOf(listener), kNever));
  Socket ours = Accept(listener);
  CHECK_FALSE(ours.PeerHasEnded());
  shutdown(ours.fd(), SHUT_RD);
  CHECK_FALSE(ours.PeerHasEnded());
  peer.SendAll("unread");
  peer.Close();
  REQUIRE(ours.AwaitInput(SteadyTime::max()));
  while (!ours.PeerHasEnded()) std::this_thread::yield();  // its packet may still be on the way
  CHECK(ours.PeerHasEnded());
}

TEST_CASE_FIXTURE(Fixture, "the error line arrives though more was sent than is read") {
  Start({.connections = 2});
  Socket client = Client("*1\r\n$60000000\r\n" + std::string(300'000, 'x'));
  CHECK(ToTheEnd(client) == "-ERR protocol error\r\n");
}

}  // namespace
}  // namespace brassfront
