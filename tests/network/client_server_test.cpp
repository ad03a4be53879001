// Tests the client server with misbehaving clients on loopback. The waits have no timeout: only a
// failure makes a test wait forever.
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

// Rejects or accepts every request, and counts the calls.
class CountingAcceptor : public MessageAcceptor {
 public:
  SubmitResult Submit(DeliveryRequest request) override {
    received_at.push_back(*request.received_at);
    if (on_submit) on_submit();
    if (!accepts) return {};
    ++accepted;
    return {
        .status = SubmitResult::Status::kAccepted, .retry_after = {}, .error = {}, .message = 1};
  }
  void OnAcknowledged(std::uint64_t) override { ++acknowledged; }
  void OnClientDisconnected(std::uint64_t) override { ++disconnected; }

  bool accepts = false;
  std::function<void()> on_submit;  // called before each result is returned
  // Of all requests. Not thread-safe: one client may send at a time, and the test reads it only
  // after the replies were received.
  std::vector<SteadyTime> received_at;
  std::atomic<int> accepted{0}, acknowledged{0}, disconnected{0};
};

class Fixture {
 public:
  void Start(const ClientServer::Limits& limits) {
    Socket listener = Listen("127.0.0.1:0", AcceptMode::kNonBlocking);
    address = LocalAddress(listener);
    server.emplace(std::move(listener), limits, acceptor, buffers);
  }
  Socket Client(std::string_view bytes = {}) {
    Socket socket = NewSocket();
    REQUIRE(Connect(socket, address, kNever));
    socket.SendAll(bytes);
    return socket;
  }
  // Waits for the number of idle connections: a client may read its reply before the worker has
  // returned its connection.
  void AwaitIdle(std::size_t connections) {
    while (server->idle_connections() != connections) std::this_thread::yield();
  }
  // Returns everything received until the connection is closed.
  static std::string ReadToEnd(Socket& socket) {
    std::string got;
    char byte = 0;
    while (socket.Receive({&byte, 1}) == 1) got += byte;
    return got;
  }
  static std::string ReadLine(Socket& socket) {
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
  for (const std::string_view bytes : {"", "*1\r\n$4\r\nPI", "*", "*1\r\n$100\r\nabc"}) {
    Socket client = Client(bytes);
    CHECK(ReadToEnd(client).starts_with("-ERR "));
  }
  Socket later = Client(std::string(kPing) + "*1\r\n$4");  // later commands are limited too
  CHECK(ReadLine(later) == "+PONG\r\n");
  CHECK(ReadToEnd(later).starts_with("-ERR "));
}

TEST_CASE_FIXTURE(Fixture,
                  "a client that sends single bytes is closed after the total command time") {
  Start({.connections = 8, .command = std::chrono::milliseconds(200), .idle = kNever});
  Socket client = Client("*1\r\n$1000000\r\n");
  std::string got;
  while (got.empty()) {  // one byte at a time, at intervals far below the limit
    client.SendAll("x");
    if (client.AwaitInput(std::chrono::steady_clock::now() + std::chrono::milliseconds(5))) {
      got = ReadLine(client);
    }
  }
  CHECK(got.starts_with("-ERR "));
}

TEST_CASE_FIXTURE(Fixture, "an idle connection is closed without a reply") {
  Start({.connections = 8, .command = kNever, .idle = std::chrono::milliseconds(50)});
  Socket client = Client(kPing);
  CHECK(ReadToEnd(client) == "+PONG\r\n");
}

TEST_CASE_FIXTURE(Fixture,
                  "a new connection evicts connections without a message first, then others") {
  Start({.connections = 3,
         .command = kNever,
         .idle = kNever,
         .min_idle_before_first_message = std::chrono::milliseconds(0),
         .min_idle = std::chrono::milliseconds(0)});
  Socket used = Client(kPut);
  CHECK(ReadLine(used) == "-BUSY\r\n");  // the acceptor rejects it
  Socket pinged = Client(kPing);
  CHECK(ReadLine(pinged) == "+PONG\r\n");
  Socket silent = Client();
  AwaitIdle(3);
  Socket new_clients[3];
  for (Socket& new_client : new_clients) {
    new_client = Client(kPut);
    CHECK(ReadLine(new_client) == "-BUSY\r\n");
  }
  CHECK(ReadToEnd(pinged).empty());
  CHECK(ReadToEnd(silent).empty());
  CHECK(ReadToEnd(used).empty());  // evicted last, for the third new connection
}

TEST_CASE_FIXTURE(Fixture, "the longest idle connection is closed when too many are idle") {
  Start({.connections = 8,
         .command = kNever,
         .idle = kNever,
         .max_idle = 1,
         .min_idle_before_first_message = kNever,
         .min_idle = std::chrono::milliseconds(0)});
  Socket clients[4];
  for (Socket& client : clients) {
    client = Client(kPut);
    CHECK(ReadLine(client) == "-BUSY\r\n");
    if (&client == &clients[0]) AwaitIdle(1);  // so that it is the longest idle one
  }
  CHECK(ReadToEnd(clients[0]).empty());
}

TEST_CASE_FIXTURE(Fixture,
                  "a connection over the limit is rejected with BUSY when none may be evicted") {
  Start({.connections = 2,
         .command = kNever,
         .idle = kNever,
         .min_idle_before_first_message = kNever,
         .min_idle = kNever});
  Socket first = Client(kPing), second = Client(kPing);
  CHECK(ReadLine(first) == "+PONG\r\n");
  CHECK(ReadLine(second) == "+PONG\r\n");
  Socket third = Client();
  CHECK(ReadToEnd(third) == "-BUSY 1000\r\n");
}

// A drain stops the reading of idle connections, and so does a new connection that needs their
// place. A command that was received just before must still be read and answered.
TEST_CASE("a command sent at the same time as a drain is answered, or was not executed") {
  int executed = 0;
  for (int round = 0; round < 1000; ++round) {
    Fixture fixture;
    fixture.acceptor.accepts = true;
    fixture.Start({.connections = 2, .command = kNever, .idle = kNever});
    Socket client = fixture.Client(kPing);
    REQUIRE(Fixture::ReadLine(client) == "+PONG\r\n");
    client.SendAll(kPut);
    fixture.server->Drain();  // usually before the poll loop has woken up
    const std::string answer = Fixture::ReadToEnd(client);
    fixture.server.reset();
    CHECK(fixture.acceptor.disconnected == 0);
    CHECK(fixture.acceptor.acknowledged == fixture.acceptor.accepted);
    CHECK(answer == (fixture.acceptor.accepted > 0 ? "+OK\r\n" : ""));
    executed += fixture.acceptor.accepted;
  }
  CHECK(executed > 0);
}

TEST_CASE_FIXTURE(Fixture, "pipelined commands are answered in order") {
  Start({.connections = 2, .command = kNever, .idle = kNever, .max_invalid_commands = 3});
  std::string pipelined;
  for (int i = 0; i < 600; ++i) pipelined += kPing;
  Socket client = Client(pipelined);
  for (int i = 0; i < 600; ++i) REQUIRE(ReadLine(client) == "+PONG\r\n");
}

// Guards against extending the deadline of a message by the time for which its command waited for
// earlier commands on the same connection.
TEST_CASE_FIXTURE(Fixture,
                  "the time of pipelined commands counts from the moment when they were read") {
  Start({.connections = 4});
  acceptor.on_submit = [] { std::this_thread::sleep_for(std::chrono::milliseconds(1)); };
  Socket client = Client(std::string(kPut) + std::string(kPut) + std::string(kPut));
  for (int i = 0; i < 3; ++i) CHECK(ReadLine(client).starts_with("-BUSY"));
  REQUIRE(acceptor.received_at.size() == 3);
  CHECK(acceptor.received_at[0] == acceptor.received_at[1]);
  CHECK(acceptor.received_at[0] == acceptor.received_at[2]);
}

TEST_CASE_FIXTURE(Fixture, "the time of a command received during others counts from their read") {
  Start({.connections = 4});
  Socket client = Client();
  bool sent = false;
  acceptor.on_submit = [&] {
    if (!std::exchange(sent, true)) client.SendAll(kPut);
  };
  client.SendAll(kPut);
  for (int i = 0; i < 2; ++i) CHECK(ReadLine(client).starts_with("-BUSY"));
  client.SendAll(kPut);
  CHECK(ReadLine(client).starts_with("-BUSY"));
  REQUIRE(acceptor.received_at.size() == 3);
  CHECK(acceptor.received_at[0] == acceptor.received_at[1]);
  CHECK(acceptor.received_at[2] > acceptor.received_at[1]);
}

TEST_CASE_FIXTURE(Fixture, "a connection is closed after too many consecutive invalid commands") {
  Start({.connections = 2, .command = kNever, .idle = kNever, .max_invalid_commands = 3});
  const std::string invalid = "*1\r\n$4\r\nNOPE\r\n";
  std::string pipelined = invalid + invalid + std::string(kPut);  // kPut resets the count
  for (int i = 0; i < 600; ++i) pipelined += invalid;
  Socket client = Client(pipelined);
  const std::string error = "-ERR unknown command\r\n";
  CHECK(ReadToEnd(client) == error + error + "-BUSY\r\n" + error + error + error);
}

// Guards against closing a socket with unread input, which resets the connection and may discard
// the reply that was just written.
TEST_CASE_FIXTURE(Fixture, "input during the last reply of a connection does not reset it") {
  Start({.connections = 8, .command = kNever, .idle = kNever});
  acceptor.accepts = true;
  Socket client = Client();
  acceptor.on_submit = [&] {  // nothing more is read until this command is answered
    CHECK(client.SendAll(kPut));
    server->Drain();
  };
  CHECK(client.SendAll(kPut));
  CHECK(ReadLine(client) == "+OK\r\n");
  char byte = 0;
  CHECK(client.Receive({&byte, 1}) == 0);  // closed, not reset
  CHECK(acceptor.accepted == 1);           // the unread command is not accepted
}

// The same fault, when the whole server stops at that time.
TEST_CASE_FIXTURE(Fixture,
                  "input during the last reply of the server does not reset its connection") {
  Start({.connections = 8, .command = kNever, .idle = kNever});
  acceptor.accepts = true;
  Socket client = Client(), other = Client(kPing);
  REQUIRE(ReadLine(other) == "+PONG\r\n");
  std::thread end;
  acceptor.on_submit = [&] {
    CHECK(client.SendAll(kPut));
    end = std::thread([&] { server.reset(); });
    CHECK(ReadToEnd(other).empty());  // the server is stopping
    other.Close();
  };
  CHECK(client.SendAll(kPut));
  CHECK(ReadLine(client) == "+OK\r\n");
  char byte = 0;
  CHECK(client.Receive({&byte, 1}) == 0);
  client.Close();
  end.join();
}

TEST_CASE("the peer's close is detected despite unread input, and our own shutdown is not one") {
  Socket listener = Listen("127.0.0.1:0");
  Socket peer = NewSocket();
  REQUIRE(Connect(peer, LocalAddress(listener), kNever));
  Socket ours = Accept(listener);
  CHECK_FALSE(ours.PeerHasEnded());
  shutdown(ours.fd(), SHUT_RD);
  CHECK_FALSE(ours.PeerHasEnded());
  peer.SendAll("unread");
  peer.Close();
  REQUIRE(ours.AwaitInput(SteadyTime::max()));
  while (!ours.PeerHasEnded()) std::this_thread::yield();  // its FIN may not have arrived yet
  CHECK(ours.PeerHasEnded());
}

TEST_CASE_FIXTURE(Fixture, "the reply to a protocol error arrives although input is left unread") {
  Start({.connections = 2});
  Socket client = Client("*1\r\n$60000000\r\n" + std::string(300'000, 'x'));
  CHECK(ReadToEnd(client) == "-ERR protocol error\r\n");
}

}  // namespace
}  // namespace brassfront
