// The client server against clients on loopback that behave badly. What is waited for has no limit
// of its own: only a failure would wait for good.
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

// Refuses, or accepts everything; counts what it is told.
class CountingAcceptor : public MessageAcceptor {
 public:
  SubmitResult Submit(DeliveryRequest) override {
    if (meanwhile) meanwhile();
    if (!accepts) return {};
    ++accepted;
    return {
        .status = SubmitResult::Status::kAccepted, .retry_after = {}, .error = {}, .message = 1};
  }
  void OnAcknowledged(std::uint64_t) override { ++acknowledged; }
  void OnClientDisconnected(std::uint64_t) override { ++disconnected; }

  bool accepts = false;
  std::function<void()> meanwhile;  // before each answer
  std::atomic<int> accepted{0}, acknowledged{0}, disconnected{0};
};

class Fixture {
 public:
  void Start(const ClientServer::Limits& limits) {
    Socket listener = Listen("127.0.0.1:0");
    address = AddressOf(listener);
    server.emplace(std::move(listener), limits, acceptor, buffers);
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

  CountingAcceptor acceptor;
  BufferPool buffers;
  std::string address;
  std::optional<ClientServer> server;
};

TEST_CASE_FIXTURE(Fixture,
                  "a client without a complete command in time gets an error and is closed") {
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

TEST_CASE_FIXTURE(Fixture, "an idle connection is closed without a reply") {
  Start({.connections = 8, .command = kNever, .idle = std::chrono::milliseconds(50)});
  Socket client = Client(kPing);
  CHECK(ToTheEnd(client) == "+PONG\r\n");
}

TEST_CASE_FIXTURE(Fixture,
                  "a new connection evicts one without a message first, then an idle one") {
  Start({.connections = 3,
         .command = kNever,
         .idle = kNever,
         .min_idle_before_first_message = std::chrono::milliseconds(0),
         .min_idle = std::chrono::milliseconds(0)});
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

TEST_CASE_FIXTURE(Fixture, "the longest idle connection is closed when too many are idle") {
  Start({.connections = 8,
         .command = kNever,
         .idle = kNever,
         .most_idle = 1,
         .min_idle_before_first_message = kNever,
         .min_idle = std::chrono::milliseconds(0)});
  Socket clients[4];
  for (Socket& client : clients) {
    client = Client(kPut);
    CHECK(Line(client) == "-BUSY\r\n");
  }
  CHECK(ToTheEnd(clients[0]).empty());
}

TEST_CASE_FIXTURE(Fixture,
                  "a connection over the limit is rejected with BUSY when none may be evicted") {
  Start({.connections = 2,
         .command = kNever,
         .idle = kNever,
         .min_idle_before_first_message = kNever,
         .min_idle = kNever});
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
    fixture.acceptor.accepts = true;
    fixture.Start({.connections = 2, .command = kNever, .idle = kNever});
    Socket client = fixture.Client(kPing);
    REQUIRE(Fixture::Line(client) == "+PONG\r\n");
    client.SendAll(kPut);
    fixture.server->Drain();  // mostly before the thread has woken up
    const std::string answer = Fixture::ToTheEnd(client);
    fixture.server.reset();
    CHECK(fixture.acceptor.disconnected == 0);
    CHECK(fixture.acceptor.acknowledged == fixture.acceptor.accepted);
    CHECK(answer == (fixture.acceptor.accepted > 0 ? "+OK\r\n" : ""));
    crossed += fixture.acceptor.accepted;
  }
  CHECK(crossed > 0);
}

TEST_CASE_FIXTURE(Fixture, "pipelined commands are answered in order, invalid ones up to a limit") {
  Start({.connections = 2, .command = kNever, .idle = kNever, .max_invalid_commands = 3});
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
  acceptor.accepts = true;
  Socket client = Client();
  acceptor.meanwhile = [&] {  // the command is read, and nothing reads on until it is answered
    CHECK(client.SendAll(kPut));
    server->Drain();
  };
  CHECK(client.SendAll(kPut));
  CHECK(Line(client) == "+OK\r\n");
  char byte = 0;
  CHECK(client.Receive({&byte, 1}) == 0);  // the end, and no reset
  CHECK(acceptor.accepted == 1);           // what was not read before it is not accepted
}

// The same where the whole server ends meanwhile.
TEST_CASE_FIXTURE(Fixture, "what comes while the last reply of all is written resets nothing") {
  Start({.connections = 8, .command = kNever, .idle = kNever});
  acceptor.accepts = true;
  Socket client = Client(), other = Client(kPing);
  REQUIRE(Line(other) == "+PONG\r\n");
  std::thread end;
  acceptor.meanwhile = [&] {
    CHECK(client.SendAll(kPut));
    end = std::thread([&] { server.reset(); });
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
