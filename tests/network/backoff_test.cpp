// Pauses after failures: by themselves, and of a hundred that ask one service in virtual time.
#include "net/backoff.hpp"

#include <doctest/doctest.h>

#include <map>
#include <vector>

namespace brassfront {
namespace {

using std::chrono::milliseconds;

TEST_CASE("pauses double up to the longest, each is spread, and success begins anew") {
  Backoff pauses(milliseconds(100), milliseconds(1000), 7);
  for (const int mean : {100, 200, 400, 800, 1000, 1000}) {
    const auto pause = pauses.NextDelay();
    CHECK(pause >= milliseconds(mean / 2));
    CHECK(pause <= milliseconds(mean + mean / 2));
  }
  pauses.Reset();
  CHECK(pauses.NextDelay() <= milliseconds(150));
}

TEST_CASE("a longest pause below the first, and none at all, are taken as they must be") {
  CHECK(Backoff(milliseconds(100), milliseconds(0), 1).NextDelay() >= milliseconds(50));
  Backoff none(milliseconds(0), milliseconds(0), 1);
  CHECK(none.NextDelay() == milliseconds(0));
  CHECK(none.NextDelay() == milliseconds(0));
}

TEST_CASE("those that failed at one moment come back apart") {
  std::map<milliseconds, int> at;
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    ++at[Backoff(milliseconds(1000), milliseconds(4000), seed).NextDelay() / 100];
  }
  for (const auto& [tenth, count] : at) CHECK(count <= 25);
}

// A service that answers so many asks a second and turns the rest away; an ask that is turned away
// costs it half of one that is answered.
TEST_CASE("a service that a hundred ask at once has served all of them soon") {
  constexpr int kClients = 100;
  constexpr double kCapacity = 30;  // a second
  std::vector<Backoff> pauses;
  std::multimap<milliseconds, int> asks;
  for (int i = 0; i < kClients; ++i) {
    pauses.emplace_back(milliseconds(1000), milliseconds(4000), static_cast<std::uint64_t>(i));
    asks.emplace(milliseconds(0), i);
  }
  int asked = 0, served = 0;
  double room = 1;
  milliseconds now{0};
  while (!asks.empty() && asked < 100'000) {
    const auto [at, client] = *asks.begin();
    asks.erase(asks.begin());
    room = std::min(5.0, room + kCapacity * static_cast<double>((at - now).count()) / 1000);
    now = at;
    ++asked;
    if (room >= 1) {
      room -= 1;
      ++served;
    } else {
      room = std::max(0.0, room - 0.5);
      asks.emplace(
          now + std::max(milliseconds(1), pauses[static_cast<std::size_t>(client)].NextDelay()),
          client);
    }
  }
  CHECK(served == kClients);
  CHECK(asked < 5 * kClients);
  CHECK(now < milliseconds(15'000));
}

}  // namespace
}  // namespace brassfront
