// How long idle connections are kept, over one forwarder and over a hundred.
#include "net/idle_connection_budget.hpp"

#include <doctest/doctest.h>

namespace brassfront {
namespace {

using std::chrono::milliseconds;
using Seconds = IdleConnectionBudget::Seconds;

constexpr Seconds kIdle{9};
constexpr std::size_t kGroup = 100;
const IdleConnectionBudget::Time kStart{std::chrono::hours(1)};

// Routes that take several calls at once from each forwarder of a small group find them open again.
TEST_CASE("one of a few forwarders keeps its share of eight connections, four at most") {
  for (const auto& [group, most] :
       {std::pair<std::size_t, std::size_t>{0, 4}, {1, 4}, {2, 4}, {3, 3}, {4, 2}}) {
    const IdleConnectionBudget share(group);
    CHECK(share.MaxIdleConnections(kStart) == most);
    CHECK(share.IdleTimeout(kStart, kIdle) == kIdle);
  }
}

TEST_CASE("a hundred forwarders together leave a next hop most of its places") {
  for (const milliseconds gap : {milliseconds(20), milliseconds(3000), milliseconds(60000)}) {
    IdleConnectionBudget share(kGroup);
    for (int i = 0; i < 50; ++i) share.OnCall(kStart + i * gap);
    const auto now = kStart + 50 * gap;
    CHECK(share.MaxIdleConnections(now) == 1);
    // The part of the time that each holds one, by the group: idle connections at once.
    const double held = share.IdleTimeout(now, kIdle) / Seconds(gap) * kGroup;
    CHECK(held <= 8.5);
  }
}

TEST_CASE("calls that come in a clump find their connection again") {
  IdleConnectionBudget share(kGroup);
  share.OnCall(kStart);
  share.OnCall(kStart + milliseconds(5000));
  CHECK(share.IdleTimeout(kStart, kIdle) > milliseconds(100));
}

TEST_CASE("a next hop that is crowded is left its places, and trusted again in time") {
  for (const std::size_t group : {std::size_t{2}, kGroup}) {
    IdleConnectionBudget share(group);
    const Seconds before = share.IdleTimeout(kStart, kIdle);
    for (int i = 0; i < 100; ++i) share.OnConnectionRejected(kStart);
    CHECK(share.MaxIdleConnections(kStart) <= 1);
    CHECK(share.IdleTimeout(kStart, kIdle) < before / 10);
    const auto later = kStart + std::chrono::minutes(1);
    CHECK(share.IdleTimeout(later, kIdle) == before);
  }
}

}  // namespace
}  // namespace brassfront
