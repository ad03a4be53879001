// Tests how long idle connections are kept, by one forwarder and by a hundred.
#include "net/idle_connection_budget.hpp"

#include <doctest/doctest.h>

namespace brassfront {
namespace {

using std::chrono::milliseconds;
using Seconds = IdleConnectionBudget::Seconds;

constexpr Seconds kIdle{9};
constexpr std::size_t kGroup = 100;
const IdleConnectionBudget::Time kStart{std::chrono::hours(1)};

// With these budgets, an endpoint that gets several concurrent calls from each forwarder of a small
// group has open connections for the next calls.
TEST_CASE("a forwarder of a small group keeps its budget of eight connections, four at most") {
  for (const auto& [group, most] :
       {std::pair<std::size_t, std::size_t>{0, 4}, {1, 4}, {2, 4}, {3, 3}, {4, 2}}) {
    const IdleConnectionBudget budget(group);
    CHECK(budget.MaxIdleConnections(kStart) == most);
    CHECK(budget.IdleTimeout(kStart, kIdle) == kIdle);
  }
}

TEST_CASE("a hundred forwarders together keep eight idle connections to an endpoint on average") {
  for (const milliseconds gap : {milliseconds(20), milliseconds(3000), milliseconds(60000)}) {
    IdleConnectionBudget budget(kGroup);
    for (int i = 0; i < 50; ++i) budget.OnCall(kStart + i * gap);
    const auto now = kStart + 50 * gap;
    CHECK(budget.MaxIdleConnections(now) == 1);
    // The share of time for which each forwarder keeps a connection, times the size of the group:
    // the mean number of idle connections.
    const double mean_idle = budget.IdleTimeout(now, kIdle) / Seconds(gap) * kGroup;
    CHECK(mean_idle <= 8.5);
  }
}

TEST_CASE("calls in a burst reuse their connection") {
  IdleConnectionBudget budget(kGroup);
  budget.OnCall(kStart);
  budget.OnCall(kStart + milliseconds(5000));
  CHECK(budget.IdleTimeout(kStart, kIdle) > milliseconds(100));
}

TEST_CASE("rejected connections shrink the budget, which recovers within a minute") {
  for (const std::size_t group : {std::size_t{2}, kGroup}) {
    IdleConnectionBudget budget(group);
    const Seconds before = budget.IdleTimeout(kStart, kIdle);
    for (int i = 0; i < 100; ++i) budget.OnConnectionRejected(kStart);
    CHECK(budget.MaxIdleConnections(kStart) <= 1);
    CHECK(budget.IdleTimeout(kStart, kIdle) < before / 10);
    const auto later = kStart + std::chrono::minutes(1);
    CHECK(budget.IdleTimeout(later, kIdle) == before);
  }
}

}  // namespace
}  // namespace brassfront
