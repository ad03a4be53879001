// Tests the engine with one endpoint on loopback and no clients. One test also has a platform.
#include "forwarder/engine.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "net/socket.hpp"

namespace brassfront {
namespace {

// A temporary folder, removed by the destructor.
class Folder {
 public:
  Folder() {
    char name[] = "/tmp/brassfront-test-XXXXXX";
    REQUIRE(mkdtemp(name) != nullptr);
    path = name;
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string path;
};

Config OneEndpoint(const std::string& address, const std::string& discovery = "127.0.0.1:1",
                   int bundle = 1) {
  Config config =
      ParseConfig(R"({"name":"n","listen":"127.0.0.1:0","discovery":")" + discovery +
                  R"(",
    "seed":"01","limits":{"cores":1,"memory_mb":64,"sockets":256,"disk_mb":3},
    "known":{"revision":1,"complete":true,"members":[{"id":"hop","host_port":")" +
                  address + R"(","locality":"z","flavor":"f","cell":1,"phase":"Ready",
      "size":50.0,"up_since_ms":0}]},
    "settings":{"classes":[{"name":"e","effect":"token","key-scope":"all","goal-time":2500000000,
      "hard-limit":20000000000,"dedup-window":5000000000,"late-worth":0.3,"worth":1.0}],
      "realms":[{"name":"t","quota-rps":50.0}],"shapes":["f"],"zones":["z"],
      "family-info":{"workers":8,"bundle-max":[)" +
                  std::to_string(bundle) + R"(],"own-limits":[false],"loses-worth":"line"},
      "limits":{"open-cap":100,"max-attempts":12,"may-cancel":true,"probes":false,
        "retry-after":true,"max-retry-after":2000000000,"conn-idle":15000000000,
        "connect-timeout":1500000000},
      "rules":{"cold":14000000000,"cold-share":0.31,"fall":3000000000,"fall-multiple":1.5},
      "group-size":1,"tick":5000000,"weight-source":"rough"}})");
  return config;
}

DeliveryRequest Message(const std::string& id) {
  DeliveryRequest request;
  request.id = id;
  request.key = "key-" + id;
  request.class_name = "e";
  request.tenant_name = "t";
  request.destination = 1;
  request.time_left = std::chrono::seconds(20);
  request.body = "b";
  return request;
}

// Reads up to and including `mark`, or to the end of the stream.
std::string ReadUntil(Socket& socket, std::string_view mark) {
  std::string got;
  char byte = 0;
  while (!got.ends_with(mark) && socket.Receive({&byte, 1}) == 1) got += byte;
  return got;
}

// A platform that confirms notifications and answers no other request.
class Platform {
 public:
  std::string address() const { return LocalAddress(listener_); }
  // Returns the body of the next request with notifications.
  std::string NextNotification() {
    while (true) {
      Socket socket = Accept(listener_);
      const bool post = ReadUntil(socket, " ").starts_with("POST");
      if (post) ReadUntil(socket, "\r\n\r\n");
      const std::string body = post ? ReadUntil(socket, "}\n") : "";
      if (post) socket.SendAll("HTTP/1.1 204 No Content\r\n\r\n");
      kept_.push_back(std::move(socket));
      if (post) return body;
    }
  }

 private:
  Socket listener_ = Listen("127.0.0.1:0");
  std::vector<Socket> kept_;
};

class Fixture {
 public:
  explicit Fixture(const std::string& discovery = "127.0.0.1:1", int bundle = 1)
      : listener(Listen("127.0.0.1:0")),
        config(OneEndpoint(LocalAddress(listener), discovery, bundle)),
        owner(folder.path),
        spool(owner, config.limits.disk_bytes, [](const std::string&) {}) {
    engine.emplace(config, spool, buffers);
  }
  ~Fixture() {
    if (!runner.joinable()) return;
    engine->BeginGracefulShutdown();
    runner.join();
  }
  void Run() {
    engine->Restore();
    runner = std::thread([this] { engine->Run([] {}); });
  }
  // Accepts one call, answers it with 200 and returns the id of its message.
  std::string AnswerOne() {
    Socket socket = Accept(listener);
    const std::string got = ReadUntil(socket, "\r\n\r\nb");
    socket.SendAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    const std::string mark = "X-Correlation-Id: ";
    const std::size_t at = got.find(mark);
    if (at == std::string::npos) return "";
    return got.substr(at + mark.size(), got.find("\r\n", at) - at - mark.size());
  }

  Folder folder;
  Socket listener;
  Config config;
  BufferPool buffers;
  FolderOwner owner;
  Spool spool;
  std::optional<Engine> engine;
  std::thread runner;
};

TEST_CASE_FIXTURE(Fixture,
                  "a request that the settings exclude is rejected without the engine's thread") {
  // The engine's thread does not run, so a request that needed it would wait forever.
  DeliveryRequest unknown_class = Message("a"), unknown_tenant = Message("b"),
                  no_key = Message("c");
  unknown_class.class_name = "x";
  unknown_tenant.tenant_name = "x";
  no_key.key.clear();
  CHECK(engine->Submit(std::move(unknown_class)).error == "unknown class");
  CHECK(engine->Submit(std::move(unknown_tenant)).error == "unknown tenant");
  CHECK(engine->Submit(std::move(no_key)).error == "no key");
  DeliveryRequest unlisted = Message("d");
  unlisted.destination = 2;
  CHECK(engine->Submit(std::move(unlisted)).unknown_destination);
}

TEST_CASE_FIXTURE(
    Fixture,
    "a late event of an ended message does not affect a new one with the same client's id") {
  Run();
  const SubmitResult first = engine->Submit(Message("same"));
  REQUIRE(first.status == SubmitResult::Status::kAccepted);
  CHECK(engine->Submit(Message("same")).error == "the id is taken");
  engine->OnClientDisconnected(first.message);
  // The inbox is processed in order, so the first message has ended by now.
  const SubmitResult second = engine->Submit(Message("same"));
  REQUIRE(second.status == SubmitResult::Status::kAccepted);
  CHECK(second.message != first.message);
  engine->OnClientDisconnected(first.message);  // again, as from a late thread
  engine->OnAcknowledged(second.message);
  CHECK(AnswerOne() == "same");
}

TEST_CASE_FIXTURE(Fixture,
                  "a message whose client has not been sent the acceptance is not delivered") {
  Run();
  const SubmitResult unacknowledged = engine->Submit(Message("unacknowledged"));
  const SubmitResult acknowledged = engine->Submit(Message("acknowledged"));
  REQUIRE(unacknowledged.status == SubmitResult::Status::kAccepted);
  REQUIRE(acknowledged.status == SubmitResult::Status::kAccepted);
  engine->OnAcknowledged(acknowledged.message);
  CHECK(AnswerOne() == "acknowledged");
  engine->OnClientDisconnected(unacknowledged.message);
}

// Guards against using the answer to a batch after its first message was given up: the answer was
// taken for all other messages too, but the endpoint counted none of them, and they were lost.
TEST_CASE("a batch is cancelled when the first of its messages is given up") {
  Platform platform;
  Fixture f(platform.address(), 2);
  f.Run();
  DeliveryRequest brief = Message("brief");
  brief.time_left = std::chrono::milliseconds(400);
  const SubmitResult first = f.engine->Submit(std::move(brief));
  const SubmitResult second = f.engine->Submit(Message("long"));
  REQUIRE(first.status == SubmitResult::Status::kAccepted);
  REQUIRE(second.status == SubmitResult::Status::kAccepted);
  f.engine->OnAcknowledged(first.message);
  f.engine->OnAcknowledged(second.message);
  Socket shared = Accept(f.listener);
  const std::string call = ReadUntil(shared, "]");
  REQUIRE(call.find("\"brief\"") != std::string::npos);
  REQUIRE(call.find("\"long\"") != std::string::npos);
  const std::string mark = "X-Time-Left-Ms: ";
  CHECK(std::stoi(call.substr(call.find(mark) + mark.size())) <= 350);  // below the 400 ms left

  CHECK(platform.NextNotification().find("\"brief\"") != std::string::npos);
  const std::string body = R"([{"id":"brief","state":"ok"},{"id":"long","state":"ok"}])";
  shared.SendAll("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                 body);
  REQUIRE(f.listener.AwaitInput(std::chrono::steady_clock::now() + std::chrono::seconds(10)));
  // With the last 50 ms the policy may have tried the message "brief" again: alone, never in a
  // batch.
  std::string next = f.AnswerOne();
  if (next == "brief") next = f.AnswerOne();
  CHECK(next == "long");
}

TEST_CASE("a queue that is filled as fast as it is emptied does not delay a deadline") {
  BoundedQueue<int> queue(4);
  queue.Push(0);
  std::chrono::steady_clock::time_point now{};
  const auto due = now + std::chrono::milliseconds(5);
  int taken = 0;
  DrainUntil(
      queue, [&] { return due; }, [&] { return now; },
      [&](int value) {
        REQUIRE(++taken < 1000);  // a drain without a time limit would not end
        now += std::chrono::milliseconds(1);
        queue.Push(value + 1);
      });
  CHECK(taken == 5);
}

TEST_CASE("a value may bring the deadline forward") {
  BoundedQueue<int> queue(4);
  for (int i = 0; i < 3; ++i) queue.Push(i);
  std::chrono::steady_clock::time_point now{}, due = now + std::chrono::hours(1);
  int taken = 0;
  DrainUntil(
      queue, [&] { return due; }, [&] { return now; },
      [&](int) {
        ++taken;
        due = now;
      });
  CHECK(taken == 1);
}

}  // namespace
}  // namespace brassfront
