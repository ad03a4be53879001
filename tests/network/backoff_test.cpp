// Tests the backoff delays alone, and with a hundred clients of one service in virtual time.
#include "net/backoff.hpp"

#include <doctest/doctest.h>

#include <map>
#include <vector>

namespace brassfront {
namespace {

using std::chrono::milliseconds;

TEST_CASE("delays double up to the maximum with jitter, and start again after a reset") {
  Backoff backoffs(milliseconds(100), milliseconds(1000), 7);
  for (const int mean : {100, 200, 400, 800, 1000, 1000}) {
    const auto delay = backoffs.NextDelay();
    CHECK(delay >= milliseconds(mean / 2));
    CHECK(delay <= milliseconds(mean + mean / 2));
  }
  backoffs.Reset();
  CHECK(backoffs.NextDelay() <= milliseconds(150));
}

TEST_CASE("a maximum below the initial delay counts as equal to it, and zero stays zero") {
  CHECK(Backoff(milliseconds(100), milliseconds(0), 1).NextDelay() >= milliseconds(50));
  Backoff none(milliseconds(0), milliseconds(0), 1);
  CHECK(none.NextDelay() == milliseconds(0));
  CHECK(none.NextDelay() == milliseconds(0));
}

TEST_CASE("clients that failed at the same moment retry at different times") {
  std::map<milliseconds, int> at;
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    ++at[Backoff(milliseconds(1000), milliseconds(4000), seed).NextDelay() / 100];
  }
  for (const auto& [tenth, count] : at) CHECK(count <= 25);
}

// The simulated service answers a limited number of requests per second and rejects the rest. A
// rejected request costs it half as much as an answered one.
TEST_CASE("an overloaded service soon serves a hundred clients that started at once") {
  constexpr int kClients = 100;
  constexpr double kRequestsPerSecond = 30;
  std::vector<Backoff> backoffs;
  std::multimap<milliseconds, int> requests;
  for (int i = 0; i < kClients; ++i) {
    backoffs.emplace_back(milliseconds(1000), milliseconds(4000), static_cast<std::uint64_t>(i));
    requests.emplace(milliseconds(0), i);
  }
  int requested = 0, served = 0;
  double capacity = 1;
  milliseconds now{0};
  while (!requests.empty() && requested < 100'000) {
    const auto [at, client] = *requests.begin();
    requests.erase(requests.begin());
    capacity = std::min(
        5.0, capacity + kRequestsPerSecond * static_cast<double>((at - now).count()) / 1000);
    now = at;
    ++requested;
    if (capacity >= 1) {
      capacity -= 1;
      ++served;
    } else {
      capacity = std::max(0.0, capacity - 0.5);
      requests.emplace(
          now + std::max(milliseconds(1), backoffs[static_cast<std::size_t>(client)].NextDelay()),
          client);
    }
  }
  CHECK(served == kClients);
  CHECK(requested < 5 * kClients);
  CHECK(now < milliseconds(15'000));
}

}  // namespace
}  // namespace brassfront
