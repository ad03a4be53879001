// Tests the discovery watcher: its worst cases in virtual time, and with a misbehaving agent on
// loopback. The waits in the latter have no timeout: only a failure makes a test wait forever.
#include "net/discovery_watcher.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <random>
#include <string>
#include <thread>

#include "net/discovery_timeouts.hpp"
#include "net/socket.hpp"

namespace brassfront {
namespace {

using std::chrono::milliseconds;

enum class Path { kSilent, kRefused, kSlowToRefuse, kWatchBecameSilent, kWatchEnded };

// Returns the time from the moment when discovery is reachable and has a change until it is polled.
milliseconds NoticeDelay(Path path, std::size_t group, std::uint64_t seed, milliseconds down) {
  DiscoveryTimeouts times(group, seed);
  const DiscoveryTimeouts::Time start{milliseconds(10'000)};
  DiscoveryTimeouts::Time now = start;
  const DiscoveryTimeouts::Time reachable = start + down;
  if (path == Path::kWatchBecameSilent || path == Path::kWatchEnded) {
    times.OnPollStarted(now);
    times.OnProgress(now);  // the last progress: the watch becomes silent, or ends, right after it
    now = path == Path::kWatchEnded ? now : times.GiveUpAt();
    now += times.DelayAfter(now);
  }
  std::mt19937_64 random(seed);
  while (now < reachable) {  // a request made before that moment is not answered
    times.OnPollStarted(now);
    const auto silence = std::chrono::duration_cast<milliseconds>(times.GiveUpAt() - now);
    now += path == Path::kSilent ? silence
           : path == Path::kSlowToRefuse
               ? silence * static_cast<milliseconds::rep>(random() % 100) / 100
               : milliseconds(1);
    now += times.DelayAfter(now);
  }
  return std::chrono::duration_cast<milliseconds>(now - reachable);
}

TEST_CASE("a change is noticed in time on every path and with every group size") {
  milliseconds worst{0};
  for (const Path path : {Path::kSilent, Path::kRefused, Path::kSlowToRefuse,
                          Path::kWatchBecameSilent, Path::kWatchEnded}) {
    for (const std::size_t group : {1, 2, 4, 5, 30, 100, 300, 1000, 100'000}) {
      for (std::uint64_t seed = 0; seed < 200; ++seed) {
        const milliseconds down(static_cast<milliseconds::rep>(seed * 97 % 20'000));
        worst = std::max(worst, NoticeDelay(path, group, seed, down));
      }
    }
  }
  CHECK(worst <= DiscoveryTimeouts::kPollInterval + milliseconds(1));
  CHECK(worst + milliseconds(500) <= DiscoveryTimeouts::kNoticeLimit);
  CHECK(worst >= milliseconds(3000));  // the test is not vacuous
}

TEST_CASE("another address is polled in time, regardless of earlier failures") {
  for (const std::size_t group : {1, 300, 100'000}) {
    DiscoveryTimeouts times(group, 7);
    for (int i = 0; i < 20; ++i) {
      times.OnPollStarted(DiscoveryTimeouts::Time{});
      times.DelayAfter(DiscoveryTimeouts::Time{});
      CHECK(times.DelayAfterMove() <= milliseconds(2500));
    }
  }
}

// Guards against a peer that sends single bytes and so is never silent: the watcher stayed
// connected to it forever and got no list.
TEST_CASE("a response on which no line ends is given up") {
  Socket agent = Listen("127.0.0.1:0");
  BufferPool buffers;
  std::atomic<int> lists{0};
  DiscoveryWatcher watch(LocalAddress(agent), 1, {}, buffers, [&](MemberList) { ++lists; });
  Socket trickling = Accept(agent);
  trickling.SendAll("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  bool requested_again = false;
  // Sends a byte every 5 ms, far more often than the silence timeout.
  for (int i = 0; i < 4000 && !requested_again; ++i) {
    trickling.SendAll("1\r\n \r\n");
    requested_again =
        agent.AwaitInput(std::chrono::steady_clock::now() + std::chrono::milliseconds(5));
  }
  REQUIRE(requested_again);
  Socket good = Accept(agent);
  const std::string line = R"({"revision":2,"complete":true,"members":[]})"
                           "\n";
  good.SendAll("HTTP/1.1 200 OK\r\n\r\n" + line);
  while (lists == 0) std::this_thread::yield();
  CHECK(lists == 1);
}

}  // namespace
}  // namespace brassfront
